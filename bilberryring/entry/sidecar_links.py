"""The task that owns the entry's links to sidecars and the attempts on them."""

import itertools

from twisted.internet.defer import Deferred, DeferredQueue
from twisted.internet.task import LoopingCall

from bilberryring.core import AttemptId
from bilberryring.entry.attempt_channel import AttemptChannel, EndpointSilent
from bilberryring.entry.endpoint_record import EndpointRecord
from bilberryring.entry.sidecar_link import SidecarLink
from bilberryring.membership import Standing
from bilberryring.objects import ObjectSet
from bilberryring.process.death_spread import DeathSpread
from bilberryring.routing import Endpoint, EndpointLoad, PromptShape
from bilberryring.telemetry import EventLog, LogEvent
from bilberryring.wire import (
    Heartbeat,
    Hello,
    LinkProtocol,
    SetAnswer,
    SetNotice,
    SetQuery,
)

FORGET_SECONDS = 600.0
SILENCE_CHECK_SECONDS = 0.5
FAR_SECONDS = 0.01
"""The way to an endpoint of another failure domain and back."""


class SidecarLinks:
    """Tracks endpoints, keeps a link to each, and opens attempts on them."""

    def __init__(
        self,
        *,
        reactor,
        log: EventLog,
        failure_domain: str,
        hello: Hello,
        configuration,
    ):
        self._deaths = DeathSpread(reactor=reactor, links=self._open_links)
        self._reactor = reactor
        self._log = log
        self._failure_domain = failure_domain
        self._hello = hello
        self._configuration = configuration
        self._links: dict[str, SidecarLink] = {}
        self._standings: dict[str, Standing] = {}
        self._tracked_until: dict[str, float] = {}
        self._attempts = itertools.count(1)
        self._waiting_for_greeting: list[Deferred[None]] = []
        self._silence_loop = LoopingCall(self._look_for_silence)
        self._silence_loop.clock = reactor
        self._silence_loop.start(SILENCE_CHECK_SECONDS, now=False)

    @property
    def deaths(self) -> DeathSpread:
        """The deaths of engines that this process knows of."""
        return self._deaths

    @property
    def names(self) -> tuple[str, ...]:
        """The names of the endpoints tracked."""
        return tuple(self._links)

    @property
    def open_attempts(self) -> int:
        """The attempts that have not ended."""
        return sum(len(link.channels) for link in self._links.values())

    def track(self, endpoints: dict[str, Endpoint]) -> None:
        """Track these endpoints; others are kept until their work has ended."""
        now = self._reactor.seconds()
        for name, endpoint in endpoints.items():
            self._track_one(name, endpoint)
        for name in tuple(self._links.keys() - endpoints.keys()):
            self._forget_later(name, now)

    def ensure(self, name: str, endpoint: Endpoint | None) -> EndpointRecord | None:
        """Return the record of an endpoint, tracking it when it is known."""
        if name not in self._links and endpoint is not None:
            self._track_one(name, endpoint)
        link = self._links.get(name)
        return link.record if link else None

    def record(self, name: str) -> EndpointRecord | None:
        """Return the record of a tracked endpoint."""
        link = self._links.get(name)
        return link.record if link else None

    def domain_of(self, name: str) -> str:
        """Return the failure domain of a tracked endpoint."""
        return self._links[name].record.endpoint.failure_domain

    def standing(self, name: str) -> Standing:
        """Return how to treat a tracked endpoint now."""
        record = self._links[name].record
        objects = self._configuration.objects
        domain = record.endpoint.failure_domain
        is_out = objects is not None and domain in objects.domains_out
        return record.standing(domain_out=is_out, now=self._reactor.seconds())

    def loads(
        self, names: list[str], *, excluded: frozenset[str] = frozenset()
    ) -> list[EndpointLoad]:
        """Return the loads of the named endpoints that take new work."""
        now = self._reactor.seconds()
        found = []
        for name in names:
            link = self._links.get(name)
            if link is None or name in excluded or link.protocol is None:
                continue
            if not self.standing(name).takes_new_work:
                continue
            domain = link.record.endpoint.failure_domain
            distance = 0.0 if domain == self._failure_domain else FAR_SECONDS
            found.append(link.record.load(now=now, distance_seconds=distance))
        return found

    def open_attempt(
        self, name: str, mailbox: DeferredQueue, *, shape: PromptShape | None = None
    ) -> AttemptChannel | None:
        """Open an attempt at an endpoint; `None` when its link is closed."""
        link = self._links.get(name)
        if link is None or link.protocol is None:
            return None
        channel = AttemptChannel(
            attempt=AttemptId(next(self._attempts)),
            record=link.record,
            link=link.protocol,
            mailbox=mailbox,
            on_close=link.remove_channel,
        )
        link.add_channel(channel)
        link.record.begin_attempt(shape, now=self._reactor.seconds())
        return channel

    def next_greeting(self, timeout: float) -> Deferred[None]:
        """Fire at the next greeting of any sidecar, or after the timeout."""
        waiting: Deferred[None] = Deferred()
        self._waiting_for_greeting.append(waiting)
        self._reactor.callLater(timeout, self._release_waiting, waiting)
        return waiting

    def set_listed_leaving(self, addresses: frozenset[str]) -> None:
        """Take the addresses that the platform's list says are leaving."""
        for link in self._links.values():
            is_leaving = link.record.endpoint.sidecar in addresses
            link.record.set_listed_leaving(is_leaving)

    def stop(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.stop()

    def link_opened(self, link: LinkProtocol) -> None:
        """Greet a sidecar and tell it the set in force."""
        link.send(self._hello)
        self._configuration.add_link(link)

    def link_closed(self, sidecar: SidecarLink, link: LinkProtocol) -> None:
        """Note that a link is gone."""
        self._configuration.remove_link(link)
        self._log.write(LogEvent.LINK_CLOSED, endpoint=sidecar.record.endpoint.name)
        self._note_standing(sidecar)

    def greeted(self, sidecar: SidecarLink, hello: Hello) -> None:
        """Note the incarnation that greeted."""
        self._log.write(
            LogEvent.LINK_OPENED,
            endpoint=sidecar.record.endpoint.name,
            incarnation=hello.incarnation,
        )
        for waiting in tuple(self._waiting_for_greeting):
            self._release_waiting(waiting)

    def heartbeat_taken(
        self, sidecar: SidecarLink, link: LinkProtocol, heartbeat: Heartbeat
    ) -> None:
        """Compare sets and note a changed standing."""
        self._configuration.take_notice(link, heartbeat.set_number)
        self._note_standing(sidecar)

    def beat_taken(self) -> None:
        """Note that a peer lives."""
        self._configuration.note_peer()

    def set_message(self, link: LinkProtocol, message: object) -> None:
        """Hand a message about sets to the configuration."""
        match message:
            case SetNotice():
                self._configuration.take_notice(link, message.number)
            case SetQuery():
                self._configuration.take_query(link, message)
            case SetAnswer():
                self._configuration.take_answer(link, message)

    def _open_links(self) -> list[LinkProtocol]:
        protocols = [link.protocol for link in self._links.values()]
        return [protocol for protocol in protocols if protocol is not None]

    def _look_for_silence(self) -> None:
        """Tell the attempts of endpoints that fell silent."""
        for name, link in self._links.items():
            self._note_standing(link)
            if link.channels and self._standings.get(name) is Standing.SILENT:
                for channel in link.channels:
                    channel.deliver(EndpointSilent())

    def _track_one(self, name: str, endpoint: Endpoint) -> None:
        link = self._links.get(name)
        if link is not None and link.record.endpoint.sidecar != endpoint.sidecar:
            link.stop()
            link = None
        if link is None:
            link = SidecarLink(
                reactor=self._reactor,
                owner=self,
                record=EndpointRecord(endpoint=endpoint),
            )
            self._links[name] = link
            link.connect()
            return
        self._tracked_until.pop(name, None)
        link.record.replace_endpoint(endpoint)

    def _forget_later(self, name: str, now: float) -> None:
        link = self._links[name]
        until = self._tracked_until.setdefault(name, now + FORGET_SECONDS)
        if until <= now and not link.channels:
            link.stop()
            del self._links[name]
            del self._tracked_until[name]
            self._standings.pop(name, None)

    def _note_standing(self, sidecar: SidecarLink) -> None:
        name = sidecar.record.endpoint.name
        if self._links.get(name) is not sidecar:
            return
        standing = self.standing(name)
        if standing is not self._standings.get(name):
            self._standings[name] = standing
            self._log.write(
                LogEvent.ENDPOINT_STANDING_CHANGED,
                endpoint=name,
                standing=standing.value,
            )

    def _release_waiting(self, waiting: Deferred[None]) -> None:
        if waiting in self._waiting_for_greeting:
            self._waiting_for_greeting.remove(waiting)
            waiting.callback(None)


def objects_endpoint(objects: ObjectSet, name: str) -> Endpoint | None:
    """Return the endpoint of a name, of either kind."""
    return objects.model_endpoints.get(name) or objects.service_endpoints.get(name)
