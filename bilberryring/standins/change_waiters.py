"""Long-polling requests that wait for the next write to a simulated store."""

from twisted.internet.defer import Deferred


class ChangeWaiters:
    """Resumes waiting coroutines after a write, or when their timeout has passed."""

    def __init__(self, *, reactor):
        self._reactor = reactor
        self._waiters: list[Deferred[None]] = []

    async def wait(self, timeout: float) -> None:
        """Return after the next write, or after `timeout` seconds."""
        waiter: Deferred[None] = Deferred()
        self._waiters.append(waiter)
        timer = self._reactor.callLater(timeout, self._wake, waiter)
        await waiter
        if timer.active():
            timer.cancel()

    def wake_all(self) -> None:
        """Resume all waiting coroutines because something was written."""
        for waiter in tuple(self._waiters):
            self._wake(waiter)

    def _wake(self, waiter: Deferred[None]) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            waiter.callback(None)
