"""Waiting for other tasks."""

from twisted.internet.defer import Deferred


def wait_at_most(work: Deferred, *, seconds: float, clock) -> Deferred[None]:
    """Return a `Deferred` that fires when the work ends or the time has passed.

    The work continues in either case, and its result is passed on unchanged. `clock`
    is the reactor.
    """
    waiting: Deferred[None] = Deferred()

    def finish(result: object = None) -> object:
        if not waiting.called:
            waiting.callback(None)
        if timer.active():
            timer.cancel()
        return result

    timer = clock.callLater(seconds, finish)
    work.addBoth(finish)
    return waiting
