"""Translates HTTP headers to the gateway's types and back."""

from collections.abc import Iterable

import msgspec
import xxhash

from bilberryring.core import (
    PromptPartId,
    RequestId,
    parse_number,
    parse_whole_number,
)
from bilberryring.fleet import MS_PER_SECOND, WorkspaceName
from bilberryring.gateway.messages import (
    AttemptMetadata,
    CallerMetadata,
    HeaderPairs,
    MemoryOrder,
    ResponseMetadata,
)
from bilberryring.platform.names import (
    AUTHORIZATION,
    DEADLINE_MS,
    ENDPOINT_LEAVING,
    ENDPOINT_LIMIT,
    ENDPOINT_LOAD,
    FAILED_AT,
    HELPERS,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    ORDER_PATH,
    PROMPT_PREFIX,
    REQUEST_ID,
    REQUEST_PRIORITY,
    RESPONSE_STAMP,
    RETRY_AFTER,
    TARGET_INSTANCE,
    TOKEN_USAGE,
    WORKSPACE,
)
from bilberryring.platform.waiting_times import parse_retry_after

MISDIRECTED_STATUS = 421
BUSY_STATUS = 503
"""The status with which an endpoint asks this gateway for rest. Others that may have a
`Retry-After`, such as 429, concern the caller of the request."""
MAX_SHARED_PARTS = 16
"""Parts of one prompt that are looked at."""
MAX_PART_CHARS = 32
"""Longest name in characters of a part. Peers are told of the parts of many prompts in
one datagram, so longer names count by a hash."""
MAX_COUNT = 2**31 - 1
"""Largest number of tokens, requests or slots in a header."""
MAX_STATED_RATE = 1e9
"""Most requests per second that count as an endpoint's limit."""
RequestParts = tuple[bytes, HeaderPairs, bytes]
"""The target, the headers and the body of a request."""
BEARER_SCHEME = b"bearer "
_HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
_GATEWAY_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE_MS,
        WORKSPACE,
        TARGET_INSTANCE,
        REQUEST_PRIORITY,
        HELPERS,
        AUTHORIZATION,
    )
)


def decode_request_headers(headers: HeaderPairs) -> CallerMetadata:
    """Return what the headers of a caller's request say.

    A number that cannot be parsed counts as absent.
    """
    fields = {name.lower(): value for name, value in headers}
    prompt_tokens, max_tokens = _parse_token_usage(fields.get(TOKEN_USAGE.lower(), b""))
    return CallerMetadata(
        request_id=RequestId(_decode_text(fields.get(REQUEST_ID.lower(), b""))),
        host=_decode_text(fields.get(b"host", b"")),
        key=_parse_bearer(fields.get(AUTHORIZATION.lower(), b"")),
        timeout=_parse_milliseconds(fields.get(DEADLINE_MS.lower(), b"")),
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        last_event_id=_decode_text(fields.get(LAST_EVENT_ID.lower(), b"")),
        shared_parts=_parse_shared_parts(fields.get(PROMPT_PREFIX.lower(), b"")),
    )


def encode_request_headers(headers: HeaderPairs, send: AttemptMetadata) -> HeaderPairs:
    """Return the headers of a caller's request as it is sent to an endpoint.

    The API key, hop-by-hop headers and headers that only the gateway may set are
    removed; the gateway's own are added.
    """
    outgoing = [
        (name, value)
        for name, value in _end_to_end(headers)
        if name.lower() not in _GATEWAY_HEADERS
        and not (send.last_event_id and name.lower() == LAST_EVENT_ID.lower())
    ]
    remaining_ms = max(1, int(send.seconds_left * MS_PER_SECOND))
    outgoing.append((DEADLINE_MS, b"%d" % remaining_ms))
    outgoing.append((TARGET_INSTANCE, send.endpoint.encode("latin-1")))
    if send.workspace is not None:
        outgoing.append((WORKSPACE, _encode_workspace(send.workspace)))
    if send.helpers:
        outgoing.append((HELPERS, ",".join(send.helpers).encode("latin-1")))
    if send.last_event_id:
        outgoing.append((LAST_EVENT_ID, send.last_event_id.encode("latin-1")))
    return tuple(outgoing)


def encode_order(order: MemoryOrder) -> RequestParts:
    """Return the target, headers and body that reserve or release memory."""
    if order.tokens:
        content = {
            "op": "reserve",
            "id": order.reservation_id,
            "tokens": order.tokens,
            "hold_ms": int(order.hold_seconds * MS_PER_SECOND),
            "wait": False,
        }
    else:
        content = {"op": "release", "id": order.reservation_id}
    headers = (
        (b"Content-Type", b"application/json"),
        (TARGET_INSTANCE, order.endpoint.encode("latin-1")),
    )
    return ORDER_PATH.encode(), headers, msgspec.json.encode(content)


def decode_response_headers(status: int, headers: HeaderPairs) -> ResponseMetadata:
    """Return what the headers of an endpoint's response say."""
    fields = {name.lower(): value for name, value in headers}
    request_id = fields.get(REQUEST_ID.lower())
    has_not_run = NOT_EXECUTED.lower() in fields or status == MISDIRECTED_STATUS
    retry_after = parse_retry_after(
        [value for name, value in headers if name.lower() == RETRY_AFTER.lower()],
        date=fields.get(b"date", b""),
    )
    return ResponseMetadata(
        status=status,
        request_id=None if request_id is None else RequestId(_decode_text(request_id)),
        is_stamped=RESPONSE_STAMP.lower() in fields,
        is_encoded=b"content-encoding" in fields,
        has_not_run=has_not_run,
        is_misdirected=status == MISDIRECTED_STATUS,
        culprit=_decode_text(fields.get(FAILED_AT.lower(), b"")),
        load=_parse_load(fields.get(ENDPOINT_LOAD.lower(), b"")),
        retry_after=retry_after,
        is_leaving=fields.get(ENDPOINT_LEAVING.lower(), b"").strip() == b"1",
        rest=retry_after if status == BUSY_STATUS else None,
        requests_per_second=_parse_rate(fields.get(ENDPOINT_LIMIT.lower(), b"")),
    )


def encode_response_headers(headers: HeaderPairs) -> HeaderPairs:
    """Return the headers of an endpoint's response without hop-by-hop headers."""
    return tuple(_end_to_end(headers))


def _end_to_end(headers: HeaderPairs) -> Iterable[tuple[bytes, bytes]]:
    """Return the headers that are not limited to one connection."""
    dropped = set(_HOP_BY_HOP_HEADERS)
    for name, value in headers:
        if name.lower() == b"connection":
            dropped.update(part.strip().lower() for part in value.split(b","))
    dropped.discard(b"host")
    return ((name, value) for name, value in headers if name.lower() not in dropped)


def _decode_text(value: bytes) -> str:
    return value.decode("latin-1").strip()


def _encode_workspace(workspace: WorkspaceName) -> bytes:
    """Return the name in UTF-8, so that no two names have the same bytes.

    A second coding for names that fit it would break that: the bytes of a name in UTF-8
    are those of another one in Latin-1.
    """
    return workspace.encode()


def _parse_bearer(value: bytes) -> str | None:
    if value[: len(BEARER_SCHEME)].lower() != BEARER_SCHEME:
        return None
    return _decode_text(value[len(BEARER_SCHEME) :]) or None


def _parse_milliseconds(value: bytes) -> float | None:
    milliseconds = parse_number(value)
    return None if milliseconds is None else max(0.0, milliseconds / MS_PER_SECOND)


def _parse_counts(value: bytes, count: int) -> tuple[int, ...] | None:
    """Return the whole numbers of a list of that many, or `None` if it is none."""
    numbers = tuple(
        parse_whole_number(part, most=MAX_COUNT) for part in value.split(b",")
    )
    return None if len(numbers) != count or None in numbers else numbers


def _parse_token_usage(value: bytes) -> tuple[int, int]:
    return _parse_counts(value, 2) or (0, 0)


def _parse_shared_parts(value: bytes) -> tuple[PromptPartId, ...]:
    """Return the parts of a prompt without the last, which is the request's own."""
    names = [entry.partition(b":")[0].strip() for entry in value.split(b",")[:-1]]
    names = [name for name in names if name][:MAX_SHARED_PARTS]
    return tuple(PromptPartId(_shorten_name(name)) for name in names)


def _shorten_name(name: bytes) -> str:
    """Return the name of a part, or a hash of one that is too long for reports."""
    if len(name) > MAX_PART_CHARS:
        return xxhash.xxh3_128_hexdigest(name)
    return _decode_text(name)


def _parse_load(value: bytes) -> tuple[int, int, int] | None:
    return _parse_counts(value, 3)


def _parse_rate(value: bytes) -> float | None:
    rate = parse_number(value)
    return rate if rate is not None and 0.0 <= rate <= MAX_STATED_RATE else None
