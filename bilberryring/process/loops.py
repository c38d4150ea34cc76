"""Periodic work that continues after an exception."""

from collections.abc import Callable

from twisted.internet.task import LoopingCall

from bilberryring.telemetry import EventLog, LogEvent


def start_loop(
    *, reactor, work: Callable[[], None], seconds: float, log: EventLog
) -> LoopingCall:
    """Call `work` now and every `seconds`; return the loop, which can be stopped.

    An exception is logged and does not end the loop.
    """

    def guarded() -> None:
        try:
            work()
        except Exception as error:
            log.write(LogEvent.INTERNAL_FAULT, detail=repr(error))

    loop = LoopingCall(guarded)
    loop.clock = reactor
    loop.start(seconds)
    return loop
