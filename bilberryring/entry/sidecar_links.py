"""The entry's links to sidecars and the attempts on them."""

import itertools

from twisted.internet.defer import Deferred, DeferredQueue

from bilberryring.core import AttemptId
from bilberryring.entry.attempt_channel import AttemptChannel, EndpointSilent
from bilberryring.entry.endpoint_record import EndpointRecord, MalformedReportError
from bilberryring.entry.sidecar_link import SidecarLink
from bilberryring.entry.suspect_queries import SuspectQueries
from bilberryring.membership import Standing
from bilberryring.objects import ObjectSet
from bilberryring.process.engine_death_broadcaster import EngineDeathBroadcaster
from bilberryring.process.loops import make_loop
from bilberryring.routing import EndpointLoad, PromptShape
from bilberryring.routing.subset import Endpoint
from bilberryring.telemetry import EventLog, LogEvent
from bilberryring.wire import (
    Heartbeat,
    Hello,
    LinkProtocol,
    SetAnswer,
    SetNotice,
    SetQuery,
)

UNTRACK_DELAY_SECONDS = 600.0
SILENCE_CHECK_SECONDS = 0.5
LATE_CHECK_SECONDS = 2 * SILENCE_CHECK_SECONDS
"""Seconds after a check from which on this process counts as paused."""
CROSS_DOMAIN_ROUND_TRIP_SECONDS = 0.01
"""The assumed round-trip time to an endpoint of another failure domain."""


class SidecarLinks:
    """Tracks endpoints, keeps a link to the sidecar of each, and opens attempts.

    An endpoint that is no longer wanted stays tracked for
    `UNTRACK_DELAY_SECONDS`, and longer while attempts at it are open. So does the
    link to an earlier address of an endpoint, for its attempts and its ledger.
    """

    def __init__(
        self,
        *,
        reactor,
        log: EventLog,
        failure_domain: str,
        hello: Hello,
        configuration,
    ):
        self._deaths = EngineDeathBroadcaster(reactor=reactor, links=self._open_links)
        self._suspects = SuspectQueries(reactor=reactor, links=self._heard_links)
        self._reactor = reactor
        self._log = log
        self._failure_domain = failure_domain
        self._hello = hello
        self._configuration = configuration
        self._links: dict[str, SidecarLink] = {}
        self._retired: dict[SidecarLink, float] = {}
        self._last_check = reactor.seconds()
        self._standings: dict[str, Standing] = {}
        self._untrack_at: dict[str, float] = {}
        self._attempts = itertools.count(1)
        self._hello_waiters: list[Deferred[None]] = []
        self._silence_loop = make_loop(
            reactor=reactor, work=self._check_silence, log=log
        )
        self._silence_loop.start(SILENCE_CHECK_SECONDS, now=False)

    @property
    def deaths(self) -> EngineDeathBroadcaster:
        """The engine deaths that this process knows of."""
        return self._deaths

    @property
    def suspects(self) -> SuspectQueries:
        """The questions to sidecars about suspected prompts."""
        return self._suspects

    @property
    def is_receiving(self) -> bool:
        """Whether a message has arrived, or is arriving, that was not read yet."""
        return any(link.is_receiving for link in self._open_links())

    @property
    def names(self) -> tuple[str, ...]:
        """The names of the tracked endpoints."""
        return tuple(self._links)

    @property
    def open_attempts(self) -> int:
        """The number of attempts that have not ended."""
        return sum(len(link.channels) for link in self._all_links())

    def track(self, endpoints: dict[str, Endpoint]) -> None:
        """Track these endpoints, and untrack others once that is due.

        It has to be called periodically, since only a later call removes an
        endpoint whose delay has passed.
        """
        now = self._reactor.seconds()
        for name, endpoint in endpoints.items():
            self._track_endpoint(name, endpoint)
        for name in tuple(self._links.keys() - endpoints.keys()):
            self._untrack_when_due(name, now)
        for link, until in tuple(self._retired.items()):
            if not link.channels and (until <= now or link.protocol is None):
                link.stop()
                del self._retired[link]

    def ensure_tracked(
        self, name: str, endpoint: Endpoint | None
    ) -> EndpointRecord | None:
        """Return the record of an endpoint, which is tracked first if need be.

        `None` when it is not tracked and `endpoint` is `None`.
        """
        if name not in self._links and endpoint is not None:
            self._track_endpoint(name, endpoint)
        link = self._links.get(name)
        return link.record if link else None

    def record(self, name: str) -> EndpointRecord | None:
        """Return the record of an endpoint, or `None` when it is not tracked."""
        link = self._links.get(name)
        return link.record if link else None

    def failure_domain_of(self, name: str) -> str:
        """Return the failure domain of a tracked endpoint."""
        return self._links[name].record.endpoint.failure_domain

    def standing(self, name: str) -> Standing:
        """Return the standing of a tracked endpoint, which decides how it is used."""
        record = self._links[name].record
        objects = self._configuration.objects
        domain = record.endpoint.failure_domain
        is_out = objects is not None and domain in objects.domains_out
        return record.standing(domain_out=is_out, now=self._silence_counts_until())

    def is_silent(self, record: EndpointRecord) -> bool:
        """Whether nothing is heard of an endpoint, whatever its standing."""
        return record.is_silent(now=self._silence_counts_until())

    def loads(
        self, names: list[str], *, excluded: frozenset[str] = frozenset()
    ) -> list[EndpointLoad]:
        """Return the loads of those named endpoints that take new work."""
        now = self._reactor.seconds()
        found = []
        for name in names:
            link = self._links.get(name)
            if link is None or name in excluded or link.protocol is None:
                continue
            if not self.standing(name).takes_new_work:
                continue
            domain = link.record.endpoint.failure_domain
            distance = (
                0.0
                if domain == self._failure_domain
                else CROSS_DOMAIN_ROUND_TRIP_SECONDS
            )
            found.append(link.record.load(now=now, round_trip_seconds=distance))
        return found

    def open_attempt(
        self,
        name: str,
        mailbox: DeferredQueue,
        *,
        shape: PromptShape | None = None,
        incarnation: str = "",
    ) -> AttemptChannel | None:
        """Open an attempt at an endpoint, or return `None` when its link is closed.

        `shape` is that of the prompt, or `None` for a call to a service. With
        `incarnation`, only that of the sidecar will do, if need be at an earlier
        address.
        """
        link = self._links.get(name)
        if incarnation:
            link = self._find_incarnation(name, incarnation)
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

    def next_hello(self, timeout: float) -> Deferred[None]:
        """Fire at the next hello of any sidecar, or after `timeout` seconds."""
        waiter: Deferred[None] = Deferred()
        self._hello_waiters.append(waiter)
        self._reactor.callLater(timeout, self._release_hello_waiter, waiter)
        return waiter

    def set_listed_leaving(self, addresses: frozenset[str]) -> None:
        """Set which sidecar addresses the platform lists as leaving."""
        for link in self._links.values():
            is_leaving = link.record.endpoint.sidecar in addresses
            link.record.set_listed_leaving(is_leaving)

    def stop(self) -> None:
        """Close all links."""
        for link in self._all_links():
            link.stop()

    def link_opened(self, link: LinkProtocol) -> None:
        """Send this process's hello to a sidecar and announce the set in force."""
        link.send(self._hello)
        self._configuration.add_link(link)

    def link_closed(self, sidecar: SidecarLink, link: LinkProtocol) -> None:
        """Log a closed link and stop exchanging sets over it."""
        self._configuration.remove_link(link)
        self._suspects.link_closed(link)
        self._log.write(LogEvent.LINK_CLOSED, endpoint=sidecar.record.endpoint.name)
        self._update_standing(sidecar)

    def message_failed(self, sidecar: SidecarLink, error: Exception) -> None:
        """Log why a message is dropped."""
        if isinstance(error, MalformedReportError):
            self._log.write(
                LogEvent.PEER_REPORT_MALFORMED,
                peer=sidecar.record.endpoint.name,
                detail=str(error),
            )
            return
        self._log.write(LogEvent.INTERNAL_FAULT, detail=repr(error))

    def hello_received(self, sidecar: SidecarLink, hello: Hello) -> None:
        """Log the sidecar's incarnation and wake those who wait for a hello."""
        self._log.write(
            LogEvent.LINK_OPENED,
            endpoint=sidecar.record.endpoint.name,
            incarnation=hello.incarnation,
        )
        for waiter in tuple(self._hello_waiters):
            self._release_hello_waiter(waiter)

    def heartbeat_received(
        self, sidecar: SidecarLink, link: LinkProtocol, heartbeat: Heartbeat
    ) -> None:
        """Compare set numbers and log a changed standing."""
        self._configuration.handle_notice(link, heartbeat.set_number)
        self._update_standing(sidecar)

    def beat_received(self) -> None:
        """Tell the configuration that a peer is alive."""
        self._configuration.record_peer_activity()

    def set_message_received(self, link: LinkProtocol, message: object) -> None:
        """Pass a message about sets to the configuration."""
        match message:
            case SetNotice():
                self._configuration.handle_notice(link, message.number)
            case SetQuery():
                self._configuration.handle_query(link, message)
            case SetAnswer():
                self._configuration.handle_answer(link, message)

    def _all_links(self) -> tuple[SidecarLink, ...]:
        return (*self._links.values(), *self._retired)

    def _find_incarnation(self, name: str, incarnation: str) -> SidecarLink | None:
        for link in self._all_links():
            record = link.record
            if record.endpoint.name == name and record.incarnation == incarnation:
                return link
        return None

    def _silence_counts_until(self) -> float:
        """Return the time up to which a silence counts, which is mostly now.

        While this process was paused, it could not hear anything.
        """
        return min(self._reactor.seconds(), self._last_check + LATE_CHECK_SECONDS)

    def _open_links(self) -> list[LinkProtocol]:
        protocols = [link.protocol for link in self._all_links()]
        return [protocol for protocol in protocols if protocol is not None]

    def _heard_links(self) -> list[LinkProtocol]:
        """Return the open links to sidecars that are not silent."""
        return [
            link.protocol
            for name, link in self._links.items()
            if link.protocol is not None and self.standing(name) is not Standing.SILENT
        ]

    def _check_silence(self) -> None:
        """Deliver `EndpointSilent` to the attempts at endpoints that are silent.

        No answer about a suspected prompt is expected from them either.
        """
        now = self._reactor.seconds()
        pause = now - self._silence_counts_until()
        self._last_check = now
        for link in self._all_links():
            if pause > 0.0:
                link.record.exclude_pause(pause, now=now)
            self._update_standing(link)
            if not self.is_silent(link.record):
                continue
            if link.protocol is not None:
                self._suspects.link_closed(link.protocol)
            for channel in link.channels:
                channel.deliver(EndpointSilent())

    def _track_endpoint(self, name: str, endpoint: Endpoint) -> None:
        self._untrack_at.pop(name, None)
        link = self._links.get(name)
        if link is not None and link.record.endpoint.sidecar != endpoint.sidecar:
            self._retire(link)
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
        link.record.replace_endpoint(endpoint)

    def _retire(self, link: SidecarLink) -> None:
        """Stop using a link for new work, as the sidecar has another address."""
        if link.protocol is None:
            link.stop()
            return
        link.retire()
        self._retired[link] = self._reactor.seconds() + UNTRACK_DELAY_SECONDS

    def _untrack_when_due(self, name: str, now: float) -> None:
        link = self._links[name]
        untrack_at = self._untrack_at.setdefault(name, now + UNTRACK_DELAY_SECONDS)
        if untrack_at <= now and not link.channels:
            link.stop()
            del self._links[name]
            del self._untrack_at[name]
            self._standings.pop(name, None)

    def _update_standing(self, sidecar: SidecarLink) -> None:
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

    def _release_hello_waiter(self, waiter: Deferred[None]) -> None:
        if waiter in self._hello_waiters:
            self._hello_waiters.remove(waiter)
            waiter.callback(None)


def find_endpoint(objects: ObjectSet, name: str) -> Endpoint | None:
    """Return the model or service endpoint of this name, or `None`."""
    return objects.model_endpoints.get(name) or objects.service_endpoints.get(name)
