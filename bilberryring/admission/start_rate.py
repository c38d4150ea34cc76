"""How many requests a second one entry may start on an endpoint.

An endpoint in cold start fails above a rate, and it may turn cold without
notice. Each entry keeps to an even part of that rate on every endpoint, so the
sum over all entries stays within it although none knows of the others' sends.

>>> rate = StartRate()
>>> [rate.try_start("a", now=0.0, per_second=2) for _ in range(3)]
[True, True, False]
>>> rate.try_start("a", now=1.5, per_second=2)
True
"""

from collections import deque

WINDOW_SECONDS = 1.1
"""One second, in which the bound counts, and the variation of the network."""


class StartRate:
    """Starts in the last second, by endpoint."""

    def __init__(self):
        self._starts: dict[str, deque[float]] = {}

    def may_start(self, endpoint: str, *, now: float, per_second: int) -> bool:
        """Whether one more start keeps to the rate."""
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
        """Count a start if it keeps to the rate."""
        if not self.may_start(endpoint, now=now, per_second=per_second):
            return False
        self.record_start(endpoint, now=now)
        return True


def share_of_rate(*, per_second: float, entries: int) -> int:
    """Return the whole starts a second that one of the entries may make.

    >>> share_of_rate(per_second=59.0, entries=4)
    14
    """
    return max(1, int(per_second / max(1, entries)))
