"""The task that owns the entry's links to sidecars and the attempts on them."""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import Deferred, DeferredQueue
from twisted.internet.protocol import ClientFactory
from twisted.internet.task import LoopingCall

from bilberryring.core import AttemptId
from bilberryring.entry.endpoint_record import EndpointRecord
from bilberryring.membership import Standing
from bilberryring.objects import ObjectSet
from bilberryring.process.death_spread import DeathSpread
from bilberryring.process.settings import host_and_port
from bilberryring.routing import Endpoint, EndpointLoad, PromptShape
from bilberryring.telemetry import EventLog, LogEvent
from bilberryring.wire import (
    Beat,
    EngineDeath,
    Finished,
    Heartbeat,
    Hello,
    LinkProtocol,
    PromptCleared,
    Refused,
    ServiceAnswer,
    SetAnswer,
    SetNotice,
    SetQuery,
    TokenBatch,
)

CONNECT_TIMEOUT_SECONDS = 1.0
RECONNECT_MIN_SECONDS = 0.1
RECONNECT_MAX_SECONDS = 1.0
RECONNECT_FACTOR = 1.6
FORGET_SECONDS = 600.0
SILENCE_CHECK_SECONDS = 0.5
FAR_SECONDS = 0.01
"""The way to an endpoint of another failure domain and back."""


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The link closed while the attempt was open."""


@dataclass(frozen=True, slots=True)
class EndpointSilent:
    """No word came from the sidecar for too long, though its link is open."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The request's deadline passed."""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection."""


@dataclass(frozen=True, slots=True)
class CallerTooSlow:
    """The caller does not read its stream."""


class AttemptChannel:
    """One attempt at one endpoint: messages go out, and come into a mailbox."""

    def __init__(
        self,
        *,
        attempt: AttemptId,
        record: EndpointRecord,
        link: LinkProtocol,
        mailbox: DeferredQueue,
        on_close: Callable[["AttemptChannel"], None],
    ):
        self._attempt = attempt
        self._record = record
        self._link = link
        self._mailbox = mailbox
        self._on_close = on_close
        self._is_closed = False

    @property
    def attempt(self) -> AttemptId:
        """The number of the attempt."""
        return self._attempt

    @property
    def record(self) -> EndpointRecord:
        """The endpoint of the attempt."""
        return self._record

    @property
    def link(self) -> LinkProtocol:
        """The link that carries the attempt."""
        return self._link

    def send(self, message: object) -> bool:
        """Send a message of the attempt; `False` when the link is closed."""
        return self._link.send(message)

    def deliver(self, message: object) -> None:
        """Put a message into the mailbox of the request."""
        if not self._is_closed:
            self._mailbox.put(message)

    def close(self) -> None:
        """End the attempt here; later messages of it are dropped."""
        if not self._is_closed:
            self._is_closed = True
            self._record.end_attempt()
            self._on_close(self)


class _SidecarLink:
    """Keeps one connection open, with pauses that grow and vary."""

    def __init__(self, *, owner: "SidecarLinks", record: EndpointRecord):
        self._owner = owner
        self._record = record
        self._protocol: LinkProtocol | None = None
        self._pause = RECONNECT_MIN_SECONDS
        self._is_stopped = False
        self._connector = None
        self.channels: dict[AttemptId, AttemptChannel] = {}
        self.last_standing: Standing | None = None
        self.tracked_until: float | None = None

    @property
    def record(self) -> EndpointRecord:
        """The endpoint's record."""
        return self._record

    @property
    def protocol(self) -> LinkProtocol | None:
        """The open link, once the sidecar has greeted."""
        if self._protocol is not None and self._record.incarnation:
            return self._protocol
        return None

    def connect(self) -> None:
        """Open the connection now."""
        if self._is_stopped:
            return
        factory = ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda address: LinkProtocol(
            on_open=self._opened,
            on_message=self._received,
            on_closed=self._closed,
        )
        factory.clientConnectionFailed = lambda connector, reason: self._retry()
        host, port = host_and_port(self._record.endpoint.sidecar)
        self._connector = self._owner.reactor.connectTCP(
            host, port, factory, timeout=CONNECT_TIMEOUT_SECONDS
        )

    def stop(self) -> None:
        """Close the connection for good."""
        self._is_stopped = True
        if self._connector is not None:
            self._connector.disconnect()

    def _retry(self) -> None:
        if self._is_stopped:
            return
        self._owner.reactor.callLater(
            self._pause * random.uniform(0.7, 1.3), self.connect
        )
        self._pause = min(self._pause * RECONNECT_FACTOR, RECONNECT_MAX_SECONDS)

    def _opened(self, link: LinkProtocol) -> None:
        self._protocol = link
        self._pause = RECONNECT_MIN_SECONDS
        self._owner.link_opened(link)

    def _closed(self, link: LinkProtocol) -> None:
        self._protocol = None
        self._record.link_closed()
        self._owner.link_closed(self, link)
        for channel in tuple(self.channels.values()):
            channel.deliver(LinkLost())
        self._retry()

    def _received(self, link: LinkProtocol, message: object) -> None:
        match message:
            case TokenBatch():
                for tokens in message.items:
                    channel = self.channels.get(tokens.attempt)
                    if channel is not None:
                        channel.deliver(tokens)
            case Finished() | Refused() | ServiceAnswer():
                channel = self.channels.get(message.attempt)
                if channel is not None:
                    channel.deliver(message)
            case Beat():
                self._record.take_beat(message, now=self._owner.reactor.seconds())
                self._owner.beat_taken()
            case Heartbeat():
                now = self._owner.reactor.seconds()
                self._record.take_heartbeat(message, now=now)
                self._owner.heartbeat_taken(self, link, message)
            case Hello():
                self._record.link_opened(message.incarnation)
                self._owner.greeted(self, message)
            case EngineDeath():
                self._owner.deaths.take_death(message, link)
            case PromptCleared():
                self._owner.deaths.take_cleared(message, link)
            case _:
                self._owner.set_message(link, message)


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
        self.deaths = DeathSpread(reactor=reactor, links=self._open_links)
        self.reactor = reactor
        self._log = log
        self._failure_domain = failure_domain
        self._hello = hello
        self._configuration = configuration
        self._links: dict[str, _SidecarLink] = {}
        self._attempts = itertools.count(1)
        self._waiting_for_greeting: list[Deferred[None]] = []
        self._silence_loop = LoopingCall(self._look_for_silence)
        self._silence_loop.clock = reactor
        self._silence_loop.start(SILENCE_CHECK_SECONDS, now=False)

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
        now = self.reactor.seconds()
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
        return record.standing(domain_out=is_out, now=self.reactor.seconds())

    def loads(
        self, names: list[str], *, excluded: frozenset[str] = frozenset()
    ) -> list[EndpointLoad]:
        """Return the loads of the named endpoints that take new work."""
        now = self.reactor.seconds()
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
            on_close=lambda closed: link.channels.pop(closed.attempt, None),
        )
        link.channels[channel.attempt] = channel
        link.record.begin_attempt(shape, now=self.reactor.seconds())
        return channel

    def next_greeting(self, timeout: float) -> Deferred[None]:
        """Fire at the next greeting of any sidecar, or after the timeout."""
        waiting: Deferred[None] = Deferred()
        self._waiting_for_greeting.append(waiting)
        self.reactor.callLater(timeout, self._release_waiting, waiting)
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

    def link_closed(self, sidecar: _SidecarLink, link: LinkProtocol) -> None:
        """Note that a link is gone."""
        self._configuration.remove_link(link)
        self._log.write(LogEvent.LINK_CLOSED, endpoint=sidecar.record.endpoint.name)
        self._note_standing(sidecar)

    def greeted(self, sidecar: _SidecarLink, hello: Hello) -> None:
        """Note the incarnation that greeted."""
        self._log.write(
            LogEvent.LINK_OPENED,
            endpoint=sidecar.record.endpoint.name,
            incarnation=hello.incarnation,
        )
        for waiting in tuple(self._waiting_for_greeting):
            self._release_waiting(waiting)

    def heartbeat_taken(
        self, sidecar: _SidecarLink, link: LinkProtocol, heartbeat: Heartbeat
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
        for link in self._links.values():
            self._note_standing(link)
            if link.channels and link.last_standing is Standing.SILENT:
                for channel in tuple(link.channels.values()):
                    channel.deliver(EndpointSilent())

    def _track_one(self, name: str, endpoint: Endpoint) -> None:
        link = self._links.get(name)
        if link is not None and link.record.endpoint.sidecar != endpoint.sidecar:
            link.stop()
            link = None
        if link is None:
            link = _SidecarLink(owner=self, record=EndpointRecord(endpoint=endpoint))
            self._links[name] = link
            link.connect()
            return
        link.tracked_until = None
        link.record.replace_endpoint(endpoint)

    def _forget_later(self, name: str, now: float) -> None:
        link = self._links[name]
        if link.tracked_until is None:
            link.tracked_until = now + FORGET_SECONDS
        if link.tracked_until <= now and not link.channels:
            link.stop()
            del self._links[name]

    def _note_standing(self, sidecar: _SidecarLink) -> None:
        name = sidecar.record.endpoint.name
        if self._links.get(name) is not sidecar:
            return
        standing = self.standing(name)
        if standing is not sidecar.last_standing:
            sidecar.last_standing = standing
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
