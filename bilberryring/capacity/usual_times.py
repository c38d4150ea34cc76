"""The usual response time of a plain service, by how busy the endpoint was.

Nothing is published about such a service, so all of its responses together are what
one endpoint is compared with.
"""

import math

from bilberryring.capacity.speed import Interval

WEIGHT = 0.02
"""Share of the distance to a response by which the usual time moves."""
MIN_RESPONSES = 20
"""Responses from which the usual time is known."""
BUSY_STEPS = 4
"""Number of classes up to all slots in use; more requests are one further class."""
JITTER_SECONDS = 0.02
"""Time added to each response time. Differences of a few milliseconds come from links
and processes, and no caller feels them; services that answer within 1 ms would
otherwise seem to differ by a multiple."""
MAX_STEP = math.log(8.0)
"""Largest distance of a response from the usual time that counts."""


class UsualTimes:
    """The usual response times of one service.

    >>> times = UsualTimes()
    >>> for _ in range(30):
    ...     sample = times.observe(0.03, requests=1, slots=8)
    >>> sample
    Interval(low=1.0, high=1.0)
    """

    __slots__ = ("_logs", "_counts")

    def __init__(self):
        self._logs = [0.0] * (BUSY_STEPS + 1)
        self._counts = [0] * (BUSY_STEPS + 1)

    def observe(self, seconds: float, *, requests: int, slots: int) -> Interval | None:
        """Count a response; return its sample if the usual time was known."""
        step = min(BUSY_STEPS, max(0, requests - 1) * BUSY_STEPS // max(1, slots))
        log = math.log(max(seconds, 0.0) + JITTER_SECONDS)
        count = self._counts[step] = self._counts[step] + 1
        distance = min(MAX_STEP, max(-MAX_STEP, log - self._logs[step]))
        if count <= MIN_RESPONSES:
            self._logs[step] += (log - self._logs[step]) / count
            return None
        ratio = round(math.exp(distance), 4)
        self._logs[step] += WEIGHT * distance
        return Interval(low=ratio, high=ratio)
