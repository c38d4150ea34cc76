"""Limit on the requests that one entry starts on an endpoint each second.

An endpoint in cold start fails above a certain rate of requests, and it may become
cold without notice. Each entry keeps to an equal part of that rate on every endpoint.
So the sum over all entries stays within the rate, although no entry knows what the
others send.

>>> rate = StartRate()
>>> [rate.try_start("a", now=0.0, per_second=2) for _ in range(3)]
[True, True, False]
>>> rate.try_start("a", now=1.5, per_second=2)
True
"""

from collections import deque

WINDOW_SECONDS = 1.1
"""Length of the sliding window: the second to which the rate applies, and 0.1 s for
variation in the network delay."""


class StartRate:
    """Counts the starts in a sliding window, by endpoint."""

    def __init__(self):
        self._starts: dict[str, deque[float]] = {}

    def may_start(self, endpoint: str, *, now: float, per_second: int) -> bool:
        """Whether one more start stays within the rate."""
        starts = self._starts.get(endpoint)
        if starts is None:
            return per_second > 0
        while starts and starts[0] <= now - WINDOW_SECONDS:
            starts.popleft()
        if not starts:
            del self._starts[endpoint]
        return len(starts) < per_second

    def record_start(self, endpoint: str, *, now: float) -> None:
        """Count a start."""
        self._starts.setdefault(endpoint, deque()).append(now)

    def try_start(self, endpoint: str, *, now: float, per_second: int) -> bool:
        """Count a start if it stays within the rate, and return whether it does."""
        if not self.may_start(endpoint, now=now, per_second=per_second):
            return False
        self.record_start(endpoint, now=now)
        return True


def share_of_rate(*, per_second: float, entries: int) -> int:
    """Return how many starts each second one of the entries may make, at least 1.

    >>> share_of_rate(per_second=59.0, entries=4)
    14
    """
    return max(1, int(per_second / max(1, entries)))
