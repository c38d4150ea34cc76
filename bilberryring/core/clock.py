"""Clocks: the runtime's clock made monotonic, and clocks of other processes."""

import time
from collections import deque

from twisted.internet.interfaces import IReactorTime

MICROSECONDS = 1_000_000
OFFSET_WINDOW_SECONDS = 60.0


def use_monotonic_time(reactor: IReactorTime) -> None:
    """Make `reactor.seconds` monotonic.

    The reactor reads the wall clock by default. An operator who sets that
    clock would move every timeout, so each process calls this before it
    schedules anything.
    """
    reactor.seconds = time.monotonic


class ReceiverClock:
    """Estimate of another process's clock, from samples in its heartbeats.

    A sample is never later than the truth, since a message takes time, so the
    largest offset in the window is both safe and closest. A deadline stated in
    the receiver's clock is thus never later than the sender means.

    >>> clock = ReceiverClock()
    >>> clock.add_sample(receiver_time=100.0, own_time=10.0)
    >>> clock.add_sample(receiver_time=101.0, own_time=13.0)
    >>> clock.receiver_time(own_time=20.0)
    110.0
    """

    def __init__(self):
        self._samples: deque[tuple[float, float]] = deque()

    def add_sample(self, *, receiver_time: float, own_time: float) -> None:
        """Take the receiver's time in seconds, read at `own_time`."""
        offset = receiver_time - own_time
        while self._samples and self._samples[-1][1] <= offset:
            self._samples.pop()
        self._samples.append((own_time, offset))
        horizon = own_time - OFFSET_WINDOW_SECONDS
        while len(self._samples) > 1 and self._samples[0][0] < horizon:
            self._samples.popleft()

    def receiver_time(self, *, own_time: float) -> float | None:
        """Return the receiver's clock at `own_time`, or `None` without samples."""
        if not self._samples:
            return None
        return own_time + self._samples[0][1]


def to_micros(seconds: float) -> int:
    """Return whole microseconds, the unit on the wire.

    >>> to_micros(1.5)
    1500000
    """
    return int(seconds * MICROSECONDS)


def from_micros(micros: int) -> float:
    """Return seconds from the microseconds of the wire."""
    return micros / MICROSECONDS
