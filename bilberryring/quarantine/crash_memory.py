"""Since when a process knows of crashes, on its own or from its peers.

What a process knows ends with it. One that starts beside others takes over their
memory. If all start at the same moment, a request that was quarantined just before
comes as one that nobody knows.

>>> memory = CrashMemory(now=100.0)
>>> memory.covers(600.0, now=150.0)
False
>>> memory.take_over(700.0, now=150.0)
>>> memory.covers(600.0, now=150.0)
True
"""

import math


class CrashMemory:
    """The time for which the crashes of a fleet are known; times are in seconds."""

    def __init__(self, *, now: float):
        self._known_since = now

    def seconds(self, *, now: float) -> float:
        """Return for how long crashes are known; infinite if all are."""
        return now - self._known_since

    def covers(self, seconds: float, *, now: float) -> bool:
        """Whether all crashes of the last `seconds` are known."""
        return self.seconds(now=now) >= seconds

    def take_over(self, seconds: float, *, now: float) -> None:
        """Record that a peer knows the crashes of the last `seconds`, and told them."""
        self._known_since = min(self._known_since, now - seconds)

    def record_first_start(self) -> None:
        """Record that the fleet starts for the first time, without any crash before."""
        self._known_since = -math.inf
