"""A clock for simulations with many timers."""

import heapq
import itertools
from collections.abc import Callable

from twisted.internet.base import DelayedCall
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from zope.interface import implementer


@implementer(IReactorTime)
class SimulationClock:
    """A clock that `advance` moves, as `twisted.internet.task.Clock`.

    Its timers are in a heap: `Clock` sorts all of them for each that is set or runs.
    Of two timers that are due at the same time, the one that was set first runs first.

    >>> clock = SimulationClock()
    >>> timer = clock.callLater(0.2, print, "later")
    >>> timer = clock.callLater(0.1, print, "sooner")
    >>> clock.advance(0.3)
    sooner
    later
    """

    def __init__(self):
        self._now = 0.0
        self._entries: list[tuple[float, int, DelayedCall]] = []
        self._numbers = itertools.count()

    def seconds(self) -> float:
        """Return the simulated time, in seconds since the start."""
        return self._now

    def callLater(
        self, delay: float, callable: Callable[..., object], *args, **kw
    ) -> IDelayedCall:
        """Call `callable` in `delay` seconds."""
        call = DelayedCall(
            self._now + delay,
            callable,
            args,
            kw,
            lambda cancelled: None,
            self._add,
            self.seconds,
        )
        self._add(call)
        return call

    def getDelayedCalls(self) -> list[IDelayedCall]:
        """Return the timers that have neither run nor been cancelled."""
        return list(
            {id(call): call for _, _, call in self._entries if call.active()}.values()
        )

    def advance(self, seconds: float) -> None:
        """Let time pass and run the timers that are due by then, in their order."""
        self._now += seconds
        while self._entries and self._entries[0][0] <= self._now:
            due_at, _, call = heapq.heappop(self._entries)
            if not call.active():
                continue
            if call.getTime() > due_at:
                self._add(call)
                continue
            call.called = 1
            call.func(*call.args, **call.kw)

    def _add(self, call: DelayedCall) -> None:
        # A timer that was set to an earlier time has two entries; the first counts.
        heapq.heappush(self._entries, (call.getTime(), next(self._numbers), call))
