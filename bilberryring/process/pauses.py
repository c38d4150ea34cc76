"""Detects pauses of the process or its VM with a clock that runs on during them.

>>> seconds = iter((10.0, 10.3, 15.0))
>>> detector = PauseDetector(read_clock=lambda: next(seconds))
>>> detector.tick(), detector.tick()
(0.0, 4.7)
"""

import time
from collections.abc import Callable

MIN_PAUSE_SECONDS = 1.0
"""Seconds between two ticks above which the process counts as paused. Ticks are a
quarter of a second apart, and a busy process delays them by less than this."""


def boot_seconds() -> float:
    """Return the seconds since the VM started, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseDetector:
    """Detects pauses from the time between regular ticks."""

    def __init__(self, *, read_clock: Callable[[], float] = boot_seconds):
        self._read_clock = read_clock
        self._last_tick = read_clock()

    def tick(self) -> float:
        """Return the seconds since the last tick if they count as a pause, or 0."""
        now = self._read_clock()
        elapsed, self._last_tick = now - self._last_tick, now
        return round(elapsed, 3) if elapsed > MIN_PAUSE_SECONDS else 0.0
