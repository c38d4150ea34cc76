"""How an entry's own attempts at an endpoint went, and what follows from it.

Health answers can be wrong either way, so only attempts count. An endpoint that
could not be reached or broke off is avoided for a time that doubles with each
failure in a row. The share of failures among the last attempts tells endpoints
that fail now and then.

>>> health = EndpointHealth()
>>> health.record_break("a", now=0.0)
>>> health.is_avoided("a", now=0.3), health.is_avoided("a", now=0.6)
(True, False)
>>> health.record_success("a")
>>> 0.0 < health.failure_share("a") < 0.5
True
"""

from dataclasses import dataclass

FIRST_AVOID_SECONDS = 0.5
LONGEST_AVOID_SECONDS = 4.0
TRIAL_SECONDS = 1.5
"""Seconds for which one request alone tries an endpoint that broke off before."""
MEMORY = 0.7
"""Weight of the earlier attempts against the last one."""


@dataclass(slots=True)
class _Record:
    failure_share: float = 0.0
    breaks_in_row: int = 0
    avoid_until: float = 0.0


class EndpointHealth:
    """Outcomes by endpoint; times are in seconds."""

    def __init__(self):
        self._records: dict[str, _Record] = {}

    def failure_share(self, endpoint: str) -> float:
        """Return the share of failures among the last attempts."""
        record = self._records.get(endpoint)
        return record.failure_share if record else 0.0

    def is_avoided(self, endpoint: str, *, now: float) -> bool:
        """Whether the endpoint gets no work while another one can take it."""
        record = self._records.get(endpoint)
        return record is not None and now < record.avoid_until

    def record_start(self, endpoint: str, *, now: float) -> None:
        """Note an attempt: after a break it is a trial, and the only one."""
        record = self._records.get(endpoint)
        if record is not None and record.breaks_in_row:
            record.avoid_until = max(record.avoid_until, now + TRIAL_SECONDS)

    def record_success(self, endpoint: str) -> None:
        """Note a whole answer."""
        record = self._records.get(endpoint)
        if record is None:
            return
        record.failure_share *= MEMORY
        record.breaks_in_row = 0
        record.avoid_until = 0.0

    def record_failure(self, endpoint: str) -> None:
        """Note an answer that tells of a failure."""
        record = self._records.setdefault(endpoint, _Record())
        record.failure_share = record.failure_share * MEMORY + (1.0 - MEMORY)

    def record_break(self, endpoint: str, *, now: float) -> None:
        """Note an attempt that got no answer, or only a part of one."""
        self.record_failure(endpoint)
        record = self._records[endpoint]
        avoid = FIRST_AVOID_SECONDS * 2**record.breaks_in_row
        record.avoid_until = now + min(avoid, LONGEST_AVOID_SECONDS)
        record.breaks_in_row = min(record.breaks_in_row + 1, 8)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that has gone."""
        self._records.pop(endpoint, None)
