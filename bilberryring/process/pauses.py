"""Pauses of the process or its VM, seen from the clock that runs on meanwhile.

>>> seconds = iter((10.0, 10.3, 15.0))
>>> detector = PauseDetector(read_clock=lambda: next(seconds))
>>> detector.tick(), detector.tick()
(0.0, 4.7)
"""

import time
from collections.abc import Callable

SHORTEST_PAUSE = 1.0
"""Seconds between two ticks that count as a pause. Source: ticks are a quarter of
a second apart, and a busy process is late by less."""


def boot_seconds() -> float:
    """Return the time since the start of the VM, suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseDetector:
    """Compares regular ticks with the clock."""

    def __init__(self, *, read_clock: Callable[[], float] = boot_seconds):
        self._read_clock = read_clock
        self._last = read_clock()

    def tick(self) -> float:
        """Return the length of the pause since the last tick, or 0."""
        now = self._read_clock()
        elapsed, self._last = now - self._last, now
        return round(elapsed, 3) if elapsed > SHORTEST_PAUSE else 0.0
