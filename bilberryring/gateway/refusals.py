"""Failures of the gateway's own, as answers to callers."""

import msgspec

from bilberryring.core import ErrorCode, RequestId, RunOutcome, ServingError
from bilberryring.gateway.caller_site import CallerExchange
from bilberryring.http import PROBLEM_TYPE, problem_of

SOON_SECONDS = 0.25
"""Seconds after which a refused request may be served by another entry."""


def not_run(
    code: ErrorCode, *, detail: str = "", retry_after: float | None = None
) -> ServingError:
    """Return the refusal of a request that has not run and never will."""
    return ServingError(
        code=code,
        outcome=RunOutcome.NOT_RUN,
        detail=detail,
        retry_after=retry_after,
    )


def unknown(code: ErrorCode, *, detail: str = "") -> ServingError:
    """Return the failure of a request that may have run."""
    return ServingError(code=code, outcome=RunOutcome.UNKNOWN, detail=detail)


def answer_failure(
    exchange: CallerExchange, error: ServingError, *, request_id: RequestId
) -> None:
    """Tell the caller; an answer that has begun is cut."""
    if exchange.is_gone:
        return
    if exchange.has_started:
        exchange.cut()
        return
    body = msgspec.json.encode(problem_of(error, request_id=request_id))
    headers = [
        (b"Content-Type", PROBLEM_TYPE),
        (b"Content-Length", b"%d" % len(body)),
    ]
    if error.retry_after is not None:
        headers.append((b"Retry-After", b"%.2f" % error.retry_after))
    exchange.start(error.code.status, b"", tuple(headers))
    exchange.write(body)
    exchange.end()
