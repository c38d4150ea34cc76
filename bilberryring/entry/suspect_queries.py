"""Questions to all sidecars whether a suspected prompt may run alone now.

Messages on a link arrive in order, so a sidecar's answer comes after its report of a
crash that the prompt caused there before.
"""

import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred

from bilberryring.core import Fingerprint, RequestId
from bilberryring.quarantine import SUSPECT_TURN_SECONDS
from bilberryring.wire import LinkProtocol, SuspectAnswer, SuspectQuery


@dataclass(slots=True, kw_only=True)
class _Query:
    done: Deferred[None] = field(default_factory=Deferred)
    unanswered: set[LinkProtocol] = field(default_factory=set)


class SuspectQueries:
    """Asks the sidecars on `links`, and waits until each has answered or closed."""

    def __init__(self, *, reactor, links: Callable[[], Iterable[LinkProtocol]]):
        self._reactor = reactor
        self._links = links
        self._queries: dict[int, _Query] = {}
        self._numbers = itertools.count(1)

    async def wait_for_turn(self, fingerprint: Fingerprint, request: RequestId) -> None:
        """Return when no sidecar asks to wait, or after `SUSPECT_TURN_SECONDS`."""
        number, query = next(self._numbers), _Query()
        message = SuspectQuery(query=number, fingerprint=fingerprint, request=request)
        for link in tuple(self._links()):
            if link.send(message):
                query.unanswered.add(link)
        if not query.unanswered:
            return
        self._queries[number] = query
        limit = self._reactor.callLater(SUSPECT_TURN_SECONDS, query.done.callback, None)
        try:
            await query.done
        finally:
            del self._queries[number]
            if limit.active():
                limit.cancel()

    def handle_answer(self, link: LinkProtocol, message: SuspectAnswer) -> None:
        """Record the answer of a sidecar; one that comes too late is dropped."""
        query = self._queries.get(message.query)
        if query is not None:
            self._record(query, link)

    def link_closed(self, link: LinkProtocol) -> None:
        """Expect no more answers on a link."""
        for query in tuple(self._queries.values()):
            self._record(query, link)

    def _record(self, query: _Query, link: LinkProtocol) -> None:
        query.unanswered.discard(link)
        if not query.unanswered and not query.done.called:
            query.done.callback(None)
