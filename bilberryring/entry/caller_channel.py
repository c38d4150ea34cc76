"""A caller's connection to an entry."""

from bilberryring.core import RunOutcome
from bilberryring.entry.caller_site import IDEMPOTENCY_HEADER
from bilberryring.fleet import CallerLimits
from bilberryring.http import (
    IDLE_TIMEOUT_SECONDS,
    MAX_BODY_BYTES,
    DrainableCallerChannel,
)

CALLER_LIMITS = CallerLimits(
    max_body_bytes=MAX_BODY_BYTES, idle_timeout=IDLE_TIMEOUT_SECONDS
)
"""Limits on callers' requests."""

LINGER_BYTES = MAX_BODY_BYTES + 1024 * 1024
"""Bytes of a refused request that are read and dropped."""
LINGER_SECONDS = 5.0
"""Seconds for which a refused request is read and dropped."""


class EntryChannel(DrainableCallerChannel):
    """Refuses requests that are malformed, too large or too slow."""

    linger_bytes = LINGER_BYTES
    linger_seconds = LINGER_SECONDS

    @property
    def refusal_outcome(self) -> RunOutcome:
        """Whether a refused request was executed.

        Another copy of a call with a ticket may have run.
        """
        headers = self.requests[-1].requestHeaders if self.requests else None
        has_ticket = headers is not None and headers.hasHeader(IDEMPOTENCY_HEADER)
        return RunOutcome.UNKNOWN if has_ticket else RunOutcome.NOT_RUN
