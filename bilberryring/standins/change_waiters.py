"""Answers that wait for the next write to a stand-in's store."""

from twisted.internet.defer import Deferred


class ChangeWaiters:
    """Wakes all who wait when something was written, or after their time."""

    def __init__(self, *, reactor):
        self._reactor = reactor
        self._waiting: list[Deferred[None]] = []

    async def wait(self, timeout: float) -> None:
        """Return after the next write, or after `timeout` seconds."""
        woken: Deferred[None] = Deferred()
        self._waiting.append(woken)
        timer = self._reactor.callLater(timeout, self._wake, woken)
        await woken
        if timer.active():
            timer.cancel()

    def wake_all(self) -> None:
        """Tell all who wait that something was written."""
        for woken in tuple(self._waiting):
            self._wake(woken)

    def _wake(self, woken: Deferred[None]) -> None:
        if woken in self._waiting:
            self._waiting.remove(woken)
            woken.callback(None)
