"""Identifiers, error types and clock utilities shared by all packages."""

from bilberryring.core.addresses import (
    ADDRESS_PATTERN,
    MAX_OCTET,
    MAX_PORT,
    is_address,
)
from bilberryring.core.clock import (
    ReceiverClock,
    from_micros,
    to_micros,
    use_monotonic_time,
)
from bilberryring.core.compression import compress, decompress
from bilberryring.core.delivery import ClosedBy, Delivery
from bilberryring.core.errors import (
    ErrorCode,
    RunOutcome,
    ServingError,
    SettingsError,
)
from bilberryring.core.identifiers import (
    AttemptId,
    Fingerprint,
    Incarnation,
    PromptPartId,
    RequestId,
    new_incarnation,
    new_request_id,
)
from bilberryring.core.json_decoding import MalformedJsonError, decode_json
from bilberryring.core.numbers import (
    bytes_from_megabytes,
    parse_number,
    parse_whole_number,
)
from bilberryring.core.tcp_options import (
    KEEPALIVE_SECONDS,
    TCP_USER_TIMEOUT_MS,
    drop_handshakes,
    has_unread,
    set_reset_on_close,
    set_tcp_options,
)

__all__ = [
    "ADDRESS_PATTERN",
    "AttemptId",
    "ClosedBy",
    "Delivery",
    "ErrorCode",
    "Fingerprint",
    "Incarnation",
    "KEEPALIVE_SECONDS",
    "MAX_OCTET",
    "MAX_PORT",
    "MalformedJsonError",
    "PromptPartId",
    "ReceiverClock",
    "RequestId",
    "RunOutcome",
    "ServingError",
    "SettingsError",
    "TCP_USER_TIMEOUT_MS",
    "bytes_from_megabytes",
    "compress",
    "decode_json",
    "decompress",
    "from_micros",
    "has_unread",
    "is_address",
    "new_incarnation",
    "new_request_id",
    "drop_handshakes",
    "set_reset_on_close",
    "set_tcp_options",
    "parse_number",
    "parse_whole_number",
    "to_micros",
    "use_monotonic_time",
]
