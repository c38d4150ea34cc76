"""Errors of the gateway itself and the responses that report them to callers."""

import msgspec

from bilberryring.core import (
    ErrorCode,
    RequestId,
    RunOutcome,
    ServingError,
)
from bilberryring.gateway.caller_site import CallerExchange
from bilberryring.http import PROBLEM_TYPE, problem_from_error

RETRY_AFTER_SECONDS = 0.25
"""Seconds after which a caller may retry a refused request, as at another gateway."""


def not_run(
    code: ErrorCode, *, detail: str = "", retry_after: float | None = None
) -> ServingError:
    """Return the error for a request that did not run and will not run."""
    return ServingError(
        code=code,
        outcome=RunOutcome.NOT_RUN,
        detail=detail,
        retry_after=retry_after,
    )


def held_back(detail: str, *, retry_after: float, may_have_run: bool) -> ServingError:
    """Return the error for a request under which, or under a part, endpoints crashed.

    `detail` names what they crashed under.
    """
    if may_have_run:
        return outcome_unknown(ErrorCode.ENDPOINT_FAILED, detail=detail)
    return not_run(ErrorCode.HELD_BACK, detail=detail, retry_after=retry_after)


def outcome_unknown(code: ErrorCode, *, detail: str = "") -> ServingError:
    """Return the error for a request that may have run."""
    return ServingError(code=code, outcome=RunOutcome.UNKNOWN, detail=detail)


def send_error(
    exchange: CallerExchange, error: ServingError, *, request_id: RequestId
) -> None:
    """Send an error to the caller, or abort the connection if a response has begun."""
    if exchange.is_closed:
        return
    if exchange.has_started:
        exchange.abort()
        return
    body = msgspec.json.encode(problem_from_error(error, request_id=request_id))
    headers = [
        (b"Content-Type", PROBLEM_TYPE),
        (b"Content-Length", b"%d" % len(body)),
    ]
    if error.retry_after is not None:
        headers.append((b"Retry-After", b"%.2f" % error.retry_after))
    exchange.start(error.code.status, b"", tuple(headers))
    exchange.write(body)
    exchange.end()
