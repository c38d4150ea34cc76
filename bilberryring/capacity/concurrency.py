"""The number of requests in progress up to which an endpoint keeps its speed.

An endpoint that slows down with its load is told from one that is slow for a while by
contrast: it is slow with many requests, fast again as soon as it has fewer, and slow
again with many. One such change may be chance, as the end of a slow time falls together
with a low load, so that the second one within `CROSSING_SECONDS` counts.
"""

import math

CROSSING_SECONDS = 15.0
"""Longest time between two changes from slow to fast that count together."""
CROSSINGS = 2
RAISE_SECONDS = 5.0
"""Seconds without a sign of the limit after which it is raised by one request."""
FORGET_SECONDS = 60.0
"""Seconds without a sign of the limit after which it is forgotten."""
SLOW_RATIO = 1.6
"""Slowdown from which a sample counts as slow; below `FINE_RATIO` it counts as fast."""
FINE_RATIO = 1.3


class ConcurrencyLimit:
    """A learned limit, infinite until the endpoint has shown one.

    >>> limit = ConcurrencyLimit()
    >>> for requests, ratio in ((3, 1.0), (5, 2.5), (3, 1.0), (5, 2.5), (4, 1.1)):
    ...     limit.observe(requests=requests, low=ratio, high=ratio, now=1.0)
    >>> limit.value(now=1.0), limit.value(now=12.0)
    (4, 6)
    """

    __slots__ = ("_limit", "_set_at", "_fine", "_slow", "_crossings", "_crossed_at")

    def __init__(self):
        self._limit: float = math.inf
        self._set_at = -math.inf
        self._fine: int | None = None
        self._slow: int | None = None
        self._crossings = 0
        self._crossed_at = -math.inf

    def value(self, *, now: float) -> float:
        """Return the number of requests, infinite if no limit is known."""
        if now - self._set_at > FORGET_SECONDS:
            return math.inf
        return self._limit + int((now - self._set_at) / RAISE_SECONDS)

    def observe(self, *, requests: int, low: float, high: float, now: float) -> None:
        """Count a sample that was taken with a number of requests in progress."""
        if low > SLOW_RATIO:
            self._observe_slow(requests, now)
        elif high < FINE_RATIO:
            self._observe_fine(requests, now)

    def _observe_slow(self, requests: int, now: float) -> None:
        if self._slow is None or requests < self._slow:
            self._slow = requests
        if requests > self.value(now=now):
            self._limit, self._set_at = self.value(now=now), now

    def _observe_fine(self, requests: int, now: float) -> None:
        slow, self._slow = self._slow, None
        if slow is not None and self._fine is not None:
            if max(requests, self._fine) < slow:
                self._cross(slow, now)
            else:
                # The same load was fast and slow: the speed changed with time.
                self._crossings = 0
        self._fine = requests
        if requests > self.value(now=now):
            self._limit, self._set_at = requests, now

    def _cross(self, slow: int, now: float) -> None:
        if now - self._crossed_at > CROSSING_SECONDS:
            self._crossings = 0
        self._crossings += 1
        self._crossed_at = now
        if self._crossings >= CROSSINGS:
            self._limit, self._set_at = min(self.value(now=now), slow - 1), now
