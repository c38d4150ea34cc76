"""Health of endpoints, from the outcomes of an entry's own attempts.

The answers of health checks can be wrong in both directions, so only attempts count.
After a connection that failed or closed before the end of the answer, here called a
break, the endpoint is avoided for a time that doubles with each consecutive break.
An endpoint that is silent in the middle of an attempt is avoided until it sends
something, as it may be sound. Endpoints that fail intermittently show by the share of
failures among their recent attempts.

>>> health = EndpointHealth()
>>> health.record_broken_attempt("a", now=0.0)
>>> health.is_avoided("a", now=0.3), health.is_avoided("a", now=0.6)
(True, False)
>>> health.record_success("a")
>>> 0.0 < health.failure_share("a") < 0.5
True
"""

from dataclasses import dataclass

MIN_AVOID_SECONDS = 0.5
"""Seconds for which an endpoint is avoided after a first break."""
MAX_AVOID_SECONDS = 4.0
TRIAL_SECONDS = 1.5
"""Seconds that an endpoint has for the single trial request after a break."""
HISTORY_WEIGHT = 0.7
"""Weight of the earlier attempts in the moving average of failures; the last attempt
has the rest."""


@dataclass(slots=True)
class _Record:
    failure_share: float = 0.0
    consecutive_breaks: int = 0
    avoid_until: float = 0.0
    silent_until: float = 0.0


class EndpointHealth:
    """Records the outcomes of attempts by endpoint; times are in seconds."""

    def __init__(self):
        self._records: dict[str, _Record] = {}

    def failure_share(self, endpoint: str) -> float:
        """Return the moving average of failures, from 0 (none) to 1 (all attempts)."""
        record = self._records.get(endpoint)
        return record.failure_share if record else 0.0

    def is_avoided(self, endpoint: str, *, now: float) -> bool:
        """Whether to send requests elsewhere while another endpoint can take them."""
        record = self._records.get(endpoint)
        return record is not None and now < max(record.avoid_until, record.silent_until)

    def record_start(self, endpoint: str, *, now: float) -> None:
        """Record the start of an attempt.

        After a break it is a trial: the endpoint is avoided until the trial has
        succeeded or `TRIAL_SECONDS` have passed.
        """
        record = self._records.get(endpoint)
        if record is not None and record.consecutive_breaks:
            record.avoid_until = max(record.avoid_until, now + TRIAL_SECONDS)

    def record_silence(self, endpoint: str, *, now: float) -> None:
        """Record that an endpoint has sent nothing for longer than expected."""
        record = self._records.setdefault(endpoint, _Record())
        record.silent_until = now + MAX_AVOID_SECONDS

    def end_silence(self, endpoint: str) -> None:
        """Record that a silent endpoint has sent something."""
        record = self._records.get(endpoint)
        if record is not None:
            record.silent_until = 0.0

    def record_success(self, endpoint: str) -> None:
        """Record a complete answer, which ends the avoidance."""
        record = self._records.get(endpoint)
        if record is None:
            return
        record.failure_share *= HISTORY_WEIGHT
        record.consecutive_breaks = 0
        record.avoid_until = record.silent_until = 0.0

    def record_failure(self, endpoint: str) -> None:
        """Record an answer that reports a failure, which causes no avoidance."""
        record = self._records.setdefault(endpoint, _Record())
        record.failure_share = record.failure_share * HISTORY_WEIGHT + (
            1.0 - HISTORY_WEIGHT
        )

    def record_broken_attempt(self, endpoint: str, *, now: float) -> None:
        """Record an attempt that got no answer, or only a part of one."""
        self.record_failure(endpoint)
        record = self._records[endpoint]
        avoid_seconds = MIN_AVOID_SECONDS * 2**record.consecutive_breaks
        record.avoid_until = now + min(avoid_seconds, MAX_AVOID_SECONDS)
        record.consecutive_breaks = min(record.consecutive_breaks + 1, 8)

    def forget(self, endpoint: str) -> None:
        """Remove the record of an endpoint that is no longer announced."""
        self._records.pop(endpoint, None)
