"""Tokens of many streams, gathered into few frames on one link."""

from twisted.internet.interfaces import IReactorTime

from bilberryring.wire import LinkProtocol, TokenBatch, Tokens

BATCH_SECONDS = 0.002


class TokenBatcher:
    """Gathers tokens for a moment and sends them as one frame."""

    def __init__(self, *, reactor: IReactorTime, link: LinkProtocol):
        self._reactor = reactor
        self._link = link
        self._items: list[Tokens] = []
        self._timer = None

    def add(
        self, attempt: int, first_index: int, texts: list[str], *, is_urgent: bool
    ) -> None:
        """Send tokens of an attempt soon, or at once when a caller waits for them."""
        self._items.append(
            Tokens(attempt=attempt, first_index=first_index, texts=texts)
        )
        if is_urgent:
            self.flush()
        elif self._timer is None:
            self._timer = self._reactor.callLater(BATCH_SECONDS, self.flush)

    def flush(self) -> None:
        """Send what was gathered now, so that an end can follow it."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if self._items:
            items, self._items = self._items, []
            self._link.send(TokenBatch(items=items))
