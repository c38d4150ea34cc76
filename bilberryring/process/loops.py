"""Periodic work and tasks whose exceptions are logged and end nothing else."""

from collections.abc import Callable, Coroutine

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from bilberryring.telemetry import EventLog, LogEvent


def start_loop(
    *, reactor, work: Callable[[], None], seconds: float, log: EventLog
) -> LoopingCall:
    """Call `work` now and every `seconds`; return the loop, which can be stopped.

    An exception is logged and does not end the loop.
    """
    loop = make_loop(reactor=reactor, work=work, log=log)
    loop.start(seconds)
    return loop


def make_loop(*, reactor, work: Callable[[], None], log: EventLog) -> LoopingCall:
    """Return a loop that calls `work` once it is started, like `start_loop`."""

    def guarded() -> None:
        try:
            work()
        except Exception as error:
            log.write(LogEvent.INTERNAL_FAULT, detail=repr(error))

    loop = LoopingCall(guarded)
    loop.clock = reactor
    return loop


def start_task(work: Coroutine, *, log: EventLog) -> None:
    """Run a coroutine whose result nobody awaits; an exception is logged."""

    def failed(failure) -> None:
        log.write(LogEvent.INTERNAL_FAULT, detail=repr(failure.value))

    Deferred.fromCoroutine(work).addErrback(failed)
