"""Monotonic reactor time, and estimates of the clocks of other processes."""

import time
from collections import deque

from twisted.internet.interfaces import IReactorTime

MICROSECONDS_PER_SECOND = 1_000_000
OFFSET_WINDOW_SECONDS = 60.0
"""How long a sample takes part in the clock estimate of `ReceiverClock`."""


def use_monotonic_time(reactor: IReactorTime) -> None:
    """Make `reactor.seconds` return monotonic time.

    By default the reactor reads the wall clock, so setting that clock would
    shift every timeout. Each process therefore calls this function before it
    schedules anything.
    """
    reactor.seconds = time.monotonic


class ReceiverClock:
    """Estimates another process's clock from the times in its heartbeats.

    A sample is the time at which the other process sent a message, paired with
    the time at which it arrived here. The message took time to arrive, so the
    offset between the two is at most the true offset between the clocks. The
    largest offset among the samples of the last `OFFSET_WINDOW_SECONDS` is
    therefore the closest estimate and still not above the true offset. A
    deadline converted to the receiver's clock is never later than the sender
    intended.

    >>> clock = ReceiverClock()
    >>> clock.add_sample(receiver_time=100.0, own_time=10.0)
    >>> clock.add_sample(receiver_time=101.0, own_time=13.0)
    >>> clock.receiver_time(own_time=20.0)
    110.0
    """

    def __init__(self):
        self._samples: deque[tuple[float, float]] = deque()

    def add_sample(self, *, receiver_time: float, own_time: float) -> None:
        """Add the receiver's time, in seconds, of a message received at `own_time`."""
        offset = receiver_time - own_time
        while self._samples and self._samples[-1][1] <= offset:
            self._samples.pop()
        self._samples.append((own_time, offset))
        window_start = own_time - OFFSET_WINDOW_SECONDS
        while len(self._samples) > 1 and self._samples[0][0] < window_start:
            self._samples.popleft()

    def receiver_time(self, *, own_time: float) -> float | None:
        """Return the receiver's estimated time at `own_time`, in seconds.

        The result is `None` as long as there are no samples.
        """
        if not self._samples:
            return None
        return own_time + self._samples[0][1]


def to_micros(seconds: float) -> int:
    """Convert seconds to whole microseconds, the unit of time on the wire.

    >>> to_micros(1.5)
    1500000
    """
    return int(seconds * MICROSECONDS_PER_SECOND)


def from_micros(micros: int) -> float:
    """Convert microseconds, the unit of time on the wire, to seconds."""
    return micros / MICROSECONDS_PER_SECOND
