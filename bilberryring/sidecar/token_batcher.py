"""Batching of the tokens of all attempts of a link into few frames."""

from twisted.internet.interfaces import IReactorTime

from bilberryring.wire import LinkProtocol, TokenBatch, Tokens

BATCH_SECONDS = 0.002


class TokenBatcher:
    """Collects tokens for up to `BATCH_SECONDS` and sends them as one frame."""

    def __init__(self, *, reactor: IReactorTime, link: LinkProtocol):
        self._reactor = reactor
        self._link = link
        self._items: list[Tokens] = []
        self._timer = None

    def add(
        self, attempt: int, first_index: int, texts: list[str], *, is_urgent: bool
    ) -> None:
        """Add tokens of an attempt to the next frame, and send it now if urgent."""
        self._items.append(
            Tokens(attempt=attempt, first_index=first_index, texts=texts)
        )
        if is_urgent:
            self.flush()
        elif self._timer is None:
            self._timer = self._reactor.callLater(BATCH_SECONDS, self.flush)

    def flush(self) -> None:
        """Send the collected tokens now.

        It is called before the end of an attempt is sent, which must come after its
        tokens.
        """
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if self._items:
            items, self._items = self._items, []
            self._link.send(TokenBatch(items=items))
