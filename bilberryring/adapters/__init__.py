"""Clients for the HTTP interfaces of model engines and of the platform."""

from bilberryring.adapters.engine import (
    CALL_TIMEOUT_SECONDS,
    EngineClient,
    EngineError,
    Generation,
    GenerationEnd,
)
from bilberryring.adapters.engine_protocol import (
    CancelRequest,
    GenerateEvent,
    GenerateRequest,
    HeldRequest,
    HeldResponse,
)
from bilberryring.adapters.platform import (
    PART_PREFIX,
    READ_TIMEOUT_SECONDS,
    SET_KEY_DIGEST_LENGTH,
    SET_KEY_DIGITS,
    SET_PREFIX,
    PlatformError,
    PlatformReader,
    PlatformValue,
    parse_set_key,
    set_key,
)
from bilberryring.adapters.platform_protocol import ListedVm, WatchItem, WatchResponse

__all__ = [
    "CALL_TIMEOUT_SECONDS",
    "CancelRequest",
    "EngineClient",
    "EngineError",
    "GenerateEvent",
    "GenerateRequest",
    "Generation",
    "GenerationEnd",
    "HeldRequest",
    "HeldResponse",
    "ListedVm",
    "PART_PREFIX",
    "PlatformError",
    "PlatformReader",
    "PlatformValue",
    "READ_TIMEOUT_SECONDS",
    "SET_KEY_DIGEST_LENGTH",
    "SET_KEY_DIGITS",
    "SET_PREFIX",
    "WatchItem",
    "WatchResponse",
    "parse_set_key",
    "set_key",
]
