"""Refusals of sidecars as errors.

>>> from bilberryring.wire import Refused
>>> message = Refused(attempt=1, code="resting", detail="", outcome="halted",
...     retry_after=0)
>>> error = error_from_refusal(message)
>>> error.code.value, error.outcome.value
('endpoint_failed', 'unknown')
"""

from bilberryring.core import ErrorCode, RunOutcome, ServingError, from_micros
from bilberryring.wire import Refused


def error_from_refusal(message: Refused) -> ServingError:
    """Return the error of a refusal; what a newer version has added counts as unknown.

    An unknown code counts as `ENDPOINT_FAILED`: another endpoint may follow.
    """
    try:
        code = ErrorCode(message.code)
    except ValueError:
        code = ErrorCode.ENDPOINT_FAILED
    try:
        outcome = RunOutcome(message.outcome)
    except ValueError:
        outcome = RunOutcome.UNKNOWN
    return ServingError(
        code=code,
        outcome=outcome,
        detail=message.detail,
        retry_after=from_micros(message.retry_after) or None,
    )
