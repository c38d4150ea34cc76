"""Headers of requests and answers, translated to the gateway's types and back."""

from collections.abc import Iterable

import msgspec

from bilberryring.core import RequestId
from bilberryring.fleet import MILLISECONDS, WorkspaceName
from bilberryring.gateway.messages import (
    AnswerFacts,
    CallerFacts,
    HeaderPairs,
    MemoryOrder,
    SendFacts,
)
from bilberryring.platform.names import (
    AT_SERVER,
    AUTHORIZATION,
    DEADLINE_MS,
    HELPERS,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    ORDER_PATH,
    REQUEST_ID,
    REQUEST_PRIORITY,
    RETRY_AFTER,
    SERVER_LOAD,
    STAMP,
    TARGET_INSTANCE,
    TENANT,
    TOKEN_USAGE,
)

MISDIRECTED = 421
RequestParts = tuple[bytes, HeaderPairs, bytes]
"""Target, headers and body of a request."""
BEARER = b"bearer "
_CONNECTION_HEADERS = frozenset(
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
_OWN_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE_MS,
        TENANT,
        TARGET_INSTANCE,
        REQUEST_PRIORITY,
        HELPERS,
        AUTHORIZATION,
    )
)


def decode_caller(headers: HeaderPairs) -> CallerFacts:
    """Return what a caller's headers say; unreadable numbers count as absent."""
    fields = {name.lower(): value for name, value in headers}
    prompt_tokens, max_tokens = _token_usage(fields.get(TOKEN_USAGE.lower(), b""))
    return CallerFacts(
        request_id=RequestId(_text(fields.get(REQUEST_ID.lower(), b""))),
        host=_text(fields.get(b"host", b"")),
        key=_bearer(fields.get(AUTHORIZATION.lower(), b"")),
        patience=_patience(fields.get(DEADLINE_MS.lower(), b"")),
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        last_event_id=_text(fields.get(LAST_EVENT_ID.lower(), b"")),
    )


def encode_send(headers: HeaderPairs, send: SendFacts) -> HeaderPairs:
    """Return the headers with which a request goes to an endpoint."""
    kept = [
        (name, value)
        for name, value in _end_to_end(headers)
        if name.lower() not in _OWN_HEADERS
        and not (send.resume_after and name.lower() == LAST_EVENT_ID.lower())
    ]
    left = max(1, int(send.seconds_left * MILLISECONDS))
    kept.append((DEADLINE_MS, b"%d" % left))
    kept.append((TARGET_INSTANCE, send.endpoint.encode("latin-1")))
    if send.workspace is not None:
        kept.append((TENANT, _workspace_bytes(send.workspace)))
    if send.helpers:
        kept.append((HELPERS, ",".join(send.helpers).encode("latin-1")))
    if send.resume_after:
        kept.append((LAST_EVENT_ID, send.resume_after.encode("latin-1")))
    return tuple(kept)


def encode_order(order: MemoryOrder) -> RequestParts:
    """Return the target, headers and body of an order about memory."""
    if order.tokens:
        content = {
            "op": "reserve",
            "id": order.ticket,
            "tokens": order.tokens,
            "hold_ms": int(order.hold_seconds * MILLISECONDS),
            "wait": False,
        }
    else:
        content = {"op": "release", "id": order.ticket}
    headers = (
        (b"Content-Type", b"application/json"),
        (TARGET_INSTANCE, order.endpoint.encode("latin-1")),
    )
    return ORDER_PATH.encode(), headers, msgspec.json.encode(content)


def decode_answer(status: int, headers: HeaderPairs) -> AnswerFacts:
    """Return what an endpoint's headers say of its answer."""
    fields = {name.lower(): value for name, value in headers}
    request_id = fields.get(REQUEST_ID.lower())
    has_not_run = NOT_EXECUTED.lower() in fields or status == MISDIRECTED
    return AnswerFacts(
        status=status,
        request_id=None if request_id is None else RequestId(_text(request_id)),
        is_stamped=STAMP.lower() in fields,
        is_encoded=b"content-encoding" in fields,
        has_not_run=has_not_run,
        is_misdirected=status == MISDIRECTED,
        culprit=_text(fields.get(AT_SERVER.lower(), b"")),
        load=_load(fields.get(SERVER_LOAD.lower(), b"")),
        retry_after=_seconds(fields.get(RETRY_AFTER.lower(), b"")),
    )


def encode_answer(headers: HeaderPairs) -> HeaderPairs:
    """Return the headers with which an endpoint's answer goes to the caller."""
    return tuple(_end_to_end(headers))


def _end_to_end(headers: HeaderPairs) -> Iterable[tuple[bytes, bytes]]:
    named = set(_CONNECTION_HEADERS)
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return ((name, value) for name, value in headers if name.lower() not in named)


def _text(value: bytes) -> str:
    return value.decode("latin-1").strip()


def _workspace_bytes(workspace: WorkspaceName) -> bytes:
    return workspace.encode("latin-1", "replace")


def _bearer(value: bytes) -> str | None:
    if value[: len(BEARER)].lower() != BEARER:
        return None
    return _text(value[len(BEARER) :]) or None


def _patience(value: bytes) -> float | None:
    try:
        return max(0.0, float(value) / MILLISECONDS)
    except ValueError:
        return None


def _token_usage(value: bytes) -> tuple[int, int]:
    parts = value.split(b",")
    if len(parts) != 2 or not all(part.strip().isdigit() for part in parts):
        return 0, 0
    return int(parts[0]), int(parts[1])


def _load(value: bytes) -> tuple[int, int, int] | None:
    parts = value.split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return int(parts[0]), int(parts[1]), int(parts[2])


def _seconds(value: bytes) -> float | None:
    try:
        return float(value) if value else None
    except ValueError:
        return None
