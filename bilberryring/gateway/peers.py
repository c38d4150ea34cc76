"""Reports between gateways, and copying of published items from a peer.

Reports are sent as UDP datagrams to the neighbours on the ring, which use some of the
same endpoints. Most of them contain only what changed; a complete one now and then
makes good what was lost on the way. Complete reports with known members also go to a
few other gateways, so that all of them learn of each other. Published items are copied
over TCP, because they are large.
"""

import math
import random
from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.error import MessageLengthError
from twisted.internet.interfaces import IDelayedCall
from twisted.internet.protocol import ClientCreator, DatagramProtocol, Factory
from twisted.internet.task import LoopingCall

from bilberryring.capacity import EndpointSpeeds
from bilberryring.core import Incarnation
from bilberryring.fleet import ReplicaPosition
from bilberryring.gateway.copy_codec import (
    answer_query,
    decode_copy,
    encode_positions,
    make_query,
)
from bilberryring.gateway.crash_record import CrashRecord
from bilberryring.gateway.endpoint_slices import EndpointSlices
from bilberryring.gateway.peer_view import CrashNews, PeerReport, PeerView
from bilberryring.gateway.published_copies import PublishedCopies
from bilberryring.gateway.report_codec import (
    MAX_MEMBERS,
    ReportError,
    decode_crash_report,
    decode_report,
    encode_deaths,
    encode_members,
    encode_parts,
    encode_work,
)
from bilberryring.gateway.settings import GatewaySettings
from bilberryring.gateway.store_readers import ReadingDuty
from bilberryring.http import ClientBudget
from bilberryring.process.loops import start_loop
from bilberryring.routing import WorkTracker
from bilberryring.telemetry import EventLog, LogEvent
from bilberryring.wire import (
    CopyAnswer,
    CopyQuery,
    CrashReport,
    FrameError,
    GatewayReport,
    LinkProtocol,
    decode_message,
    encode_message,
)

REPORT_SECONDS = 0.5
"""Longest time in seconds between two reports of a gateway to its neighbours."""
COALESCE_SECONDS = 0.2
"""Seconds for which changes are collected before they are reported together."""
TICK_SECONDS = 0.25
"""Seconds between two checks whether a report is due."""
COMPLETE_REPORT_SECONDS = 2.0
"""Seconds between two complete reports."""
GOSSIP_PEERS = 2
"""Gateways outside the neighbourhood that get each complete report."""
MAX_MALFORMED_PEERS = 256
"""Senders of malformed reports that are remembered, so that each is logged once."""
INCARNATION_CHARS = 8
"""Characters of the incarnation that reports contain, to tell restarts apart."""
NEWS_PEERS = 4
"""Gateways, drawn at random, that get news of a crash at once, and pass it on. A few
rounds reach hundreds of gateways."""
NEWS_DISTANCE = 1
"""Distance on the ring of the gateways that get them too, so that no gateway depends on
chance alone: those that nobody draws hear from their neighbours."""
NEWS_SECONDS = 0.05
"""Seconds for which news of crashes are collected before they are sent together."""
COPY_RETRY_SECONDS = 0.2
"""Seconds after a failed copy before another one is requested."""
COPY_TIMEOUT_SECONDS = 1.0
"""Timeout in seconds, both for connecting to a peer and for its published items."""
MAX_COPY_BYTES = 16 * 1024 * 1024
"""Bytes of a peer's published items: 16 values of the largest size in the store."""
MAX_QUERY_BYTES = 1024
"""Bytes of a peer's query, which names a prefix and a revision."""
QUERY_SECONDS = 2 * COPY_TIMEOUT_SECONDS
"""Seconds after which the connection of a peer that copies is closed; by then the peer
has given the copy up."""


class CopyError(Exception):
    """A peer has sent no copy of what it was asked for."""


class PeerExchange(DatagramProtocol):
    """Sends and receives reports and copies published items from peers."""

    def __init__(
        self,
        *,
        reactor,
        settings: GatewaySettings,
        incarnation: Incarnation,
        view: PeerView,
        slices: EndpointSlices,
        tracker: WorkTracker,
        copies: PublishedCopies,
        crashes: CrashRecord,
        duty: ReadingDuty,
        log: EventLog,
        speeds: EndpointSpeeds | None = None,
        generator: random.Random | None = None,
        client_budget: ClientBudget | None = None,
    ):
        self._random = generator or random.Random()
        self._client_budget = client_budget
        self._reactor = reactor
        self._settings = settings
        self._incarnation = incarnation
        self._view = view
        self._slices = slices
        self._tracker = tracker
        self._copies = copies
        self._crashes = crashes
        self._duty = duty
        self._log = log
        self._speeds = speeds or EndpointSpeeds()
        self._sequence = 0
        self._reported_at = -math.inf
        self._completed_at = -math.inf
        self._pending_report = None
        self._pending_news = None
        crashes.set_listener(self._schedule_news)
        self._is_copying = False
        self._copy_retry_at = 0.0
        self._on_doubt: Callable[[], None] = lambda: None
        self._loop: LoopingCall | None = None
        self._n_sent = 0
        self._malformed: dict[str, str] = {}
        self._listener = None

    @property
    def n_sent(self) -> int:
        """The number of datagrams sent so far."""
        return self._n_sent

    def start(self) -> None:
        """Bind the peer port for UDP and TCP and start the periodic reports."""
        port, host = self._settings.peer_port, self._settings.host
        self._reactor.listenUDP(port, self, interface=host)
        self._listener = self._reactor.listenTCP(
            port,
            CopyFactory(
                copies=self._copies, clock=self._reactor, budget=self._client_budget
            ),
            interface=host,
        )
        self.start_reports()

    def set_doubt_listener(self, on_doubt: Callable[[], None]) -> None:
        """Set the function that is called when peers are in doubt as sources.

        This gateway may be behind then, and has to read the store itself.
        """
        self._on_doubt = on_doubt

    def start_reports(self) -> None:
        """Start the periodic reports; the transport must be connected."""
        self._loop = start_loop(
            reactor=self._reactor,
            work=self._tick,
            seconds=TICK_SECONDS,
            log=self._log,
        )

    def stop(self) -> None:
        """Stop the periodic reports."""
        if self._loop is not None and self._loop.running:
            self._loop.stop()

    def report_change(self, *, is_urgent: bool = False) -> None:
        """Report a change of the work or of the published items.

        The report is sent at once if `is_urgent`, and otherwise after a short time in
        which further changes are collected.
        """
        if is_urgent:
            self._report_changes()
        elif self._pending_report is None:
            self._pending_report = self._reactor.callLater(
                COALESCE_SECONDS, self._report_changes
            )

    def encode_complete_report(self) -> bytes:
        """Return a datagram with all that this gateway reports."""
        return encode_message(self._complete_report(self._reactor.seconds()))

    def datagramReceived(self, datagram: bytes, addr) -> None:
        try:
            message = decode_message(datagram)
            match message:
                case GatewayReport():
                    self._handle_report(decode_report(message, host=addr[0]))
                case CrashReport():
                    self._handle_news(decode_crash_report(message))
        except (FrameError, ReportError) as error:
            self._log_malformed(addr[0], str(error))
        else:
            self._malformed.pop(addr[0], None)

    def _log_malformed(self, host: str, detail: str) -> None:
        """Log why reports cannot be read, once while that stays the same."""
        if self._malformed.get(host) == detail:
            return
        self._malformed[host] = detail
        if len(self._malformed) > MAX_MALFORMED_PEERS:
            del self._malformed[next(iter(self._malformed))]
        self._log.write(LogEvent.PEER_REPORT_MALFORMED, peer=host, detail=detail)

    def _handle_report(self, report: PeerReport) -> None:
        now = self._reactor.seconds()
        if report.host == self._settings.host:
            return
        if self._view.update(report, now=now):
            self._log.write(LogEvent.PEER_HEARD, peer=report.host)
            self._send_report(self._complete_report(now), (report.host,))
        for speed in report.speeds:
            self._speeds.record_peer(report.host, speed, now=now)
        self._handle_news(CrashNews(deaths=report.deaths, parts=report.parts))
        self._crashes.take_over_memory(report.crash_memory_seconds)
        if self._is_ahead(report):
            self._copy_from_peers()

    def _handle_news(self, news: CrashNews) -> None:
        self._crashes.add_standings(news.parts)
        self._crashes.add_deaths(news.deaths)

    def _schedule_news(self) -> None:
        if self._pending_news is None:
            self._pending_news = self._reactor.callLater(NEWS_SECONDS, self._send_news)

    def _send_news(self) -> None:
        """Tell some gateways what this one learned of crashes; they pass it on."""
        self._pending_news = None
        news = self._crashes.take_news()
        report = CrashReport(
            deaths=encode_deaths(news.deaths), parts=encode_parts(news.parts)
        )
        near = self._view.neighbours(distance=NEWS_DISTANCE)
        others = [
            host
            for host in self._view.hosts(now=self._reactor.seconds())
            if host not in near
        ]
        drawn = self._random.sample(others, min(NEWS_PEERS, len(others)))
        self._send_report(report, (*near, *drawn))

    def _tick(self) -> None:
        now = self._reactor.seconds()
        for host in self._view.expire(now=now):
            self._log.write(LogEvent.PEER_LOST, peer=host)
        if now - self._completed_at >= COMPLETE_REPORT_SECONDS:
            self._send_complete_reports(now)
        elif now - self._reported_at >= REPORT_SECONDS - TICK_SECONDS / 2:
            self._report_changes()
        self._copy_from_peers()

    def _send_complete_reports(self, now: float) -> None:
        """Report all work to the neighbours, and to some others all that is known."""
        self._cancel_pending()
        self._reported_at = self._completed_at = now
        self._tracker.clear_changed()
        neighbours = self._slices.neighbours()
        report = self._complete_report(now)
        for_others = report.members, report.deaths
        report.members, report.deaths = [], []
        self._send_report(report, neighbours)
        report.members, report.deaths = for_others
        others = [host for host in self._view.hosts(now=now) if host not in neighbours]
        pool = others or neighbours
        self._send_report(
            report, self._random.sample(pool, min(GOSSIP_PEERS, len(pool)))
        )

    def _report_changes(self) -> None:
        self._cancel_pending()
        self._reported_at = self._reactor.seconds()
        changed = self._tracker.changed
        self._tracker.clear_changed()
        report = self._make_report(changed, is_complete=False)
        self._send_report(report, self._slices.neighbours())

    def _cancel_pending(self) -> None:
        if self._pending_report is not None and self._pending_report.active():
            self._pending_report.cancel()
        self._pending_report = None

    def _complete_report(self, now: float) -> GatewayReport:
        report = self._make_report(self._tracker.endpoints, is_complete=True)
        report.members = encode_members(self._view.members(now=now, most=MAX_MEMBERS))
        return report

    def _make_report(
        self, endpoints: tuple[str, ...], *, is_complete: bool
    ) -> GatewayReport:
        now = self._reactor.seconds()
        self._sequence += 1
        speeds = self._speeds.reports(endpoints, now=now, is_complete=is_complete)
        endpoints = (*endpoints, *(name for name in speeds if name not in endpoints))
        return GatewayReport(
            incarnation=self._incarnation[:INCARNATION_CHARS],
            sequence=self._sequence,
            is_complete=is_complete,
            work=[
                encode_work(
                    endpoint,
                    self._tracker.work(endpoint, now=now),
                    speeds.get(endpoint),
                )
                for endpoint in endpoints
            ],
            revisions=encode_positions(self._copies.positions, has_counts=is_complete),
            deaths=(
                encode_deaths(self._crashes.reported_deaths()) if is_complete else []
            ),
            parts=encode_parts(self._crashes.standings()) if is_complete else [],
            store_access=self._duty.access.value,
            failure_domain=self._settings.failure_domain,
            crash_memory_s=int(self._crashes.memory_seconds) if is_complete else None,
        )

    def _send_report(self, report: GatewayReport | CrashReport, hosts) -> None:
        if self.transport is None or not hosts:
            return
        datagram = encode_message(report)
        for host in hosts:
            self._send_datagram(datagram, host)

    def _send_datagram(self, datagram: bytes, host: str) -> None:
        try:
            self.transport.write(datagram, (host, self._settings.peer_port))
            self._n_sent += 1
        except (OSError, ValueError, MessageLengthError) as error:
            self._log.write(LogEvent.PEER_UNREACHABLE, peer=host, detail=str(error))

    def _is_ahead(self, report: PeerReport) -> bool:
        own = dict(self._copies.positions)
        return any(
            prefix in own and position.is_ahead_of(own[prefix])
            for prefix, position in report.positions
        )

    def _copy_from_peers(self) -> None:
        now = self._reactor.seconds()
        if self._is_copying or now < self._copy_retry_at:
            return
        for prefix, position in self._copies.positions:
            host = self._view.host_ahead(
                prefix,
                position=position,
                now=now,
                domain=self._settings.failure_domain,
            )
            if host is not None:
                self._start_copy(host, prefix, position)
                return
        host = self._view.host_to_verify(now=now)
        if host is not None:
            self._start_copy(host, *self._copies.positions[0])

    def _start_copy(self, host: str, prefix: str, position: ReplicaPosition) -> None:
        self._is_copying = True
        Deferred.fromCoroutine(self._copy(host, prefix, position))

    async def _copy(self, host: str, prefix: str, position: ReplicaPosition) -> None:
        """Copy the published items under a prefix from a peer that is ahead."""
        received: Deferred[CopyAnswer] = Deferred()
        link = None
        try:
            creator = ClientCreator(
                self._reactor,
                LinkProtocol,
                clock=self._reactor,
                on_open=lambda link: None,
                on_message=lambda link, message: _resolve(received, message),
                on_closed=lambda link: _resolve(received, None),
                max_frame_bytes=MAX_COPY_BYTES,
            )
            link = await creator.connectTCP(
                host, self._settings.peer_port, timeout=COPY_TIMEOUT_SECONDS
            )
            known = self._view.position(host, prefix)
            # Changes since the position would not show what was removed later.
            wants_all = known is not None and known.is_level_with(position)
            link.send(make_query(prefix, position, wants_all=wants_all))
            received.addTimeout(COPY_TIMEOUT_SECONDS, self._reactor)
            answer = await received
            if not isinstance(answer, CopyAnswer) or answer.prefix != prefix:
                raise CopyError(f"no copy of {prefix!r}")
            self._apply_copy(host, answer, since=position)
            self._view.record_copy(host, now=self._reactor.seconds())
        except Exception as error:
            # Twisted raises many kinds of exceptions for a failed connection.
            self._copy_retry_at = self._reactor.seconds() + COPY_RETRY_SECONDS
            self._log.write(LogEvent.PEER_UNREACHABLE, peer=host, detail=repr(error))
            self._doubt_peers(host)
        finally:
            self._is_copying = False
            if link is not None:
                link.transport.abortConnection()

    def _doubt_peers(self, host: str) -> None:
        """Rely on no peer until a copy from it succeeds, as one from `host` failed."""
        now = self._reactor.seconds()
        if self._view.record_failed_copy(host, now=now):
            self._log.write(
                LogEvent.PEERS_DOUBTED,
                peer=host,
                peers=len(self._view.live_hosts(now=now)),
            )
            self._on_doubt()

    def _apply_copy(
        self, host: str, answer: CopyAnswer, *, since: ReplicaPosition
    ) -> None:
        if answer.era is None:
            return
        copy = decode_copy(answer)
        take = self._copies.take_changes if copy.is_delta else self._copies.take_copy
        changed = take(copy.prefix, copy.items, revision=copy.revision, era=copy.era)
        held = self._copies.add_lost_writes(
            copy.prefix,
            copy.lost_writes,
            era=copy.era,
            latest_lost=copy.latest_lost,
        )
        self._log.write(
            LogEvent.COPY_TAKEN,
            peer=host,
            prefix=copy.prefix,
            since=since.latest.number,
            revision=copy.revision,
            era=copy.era,
            is_delta=copy.is_delta,
            items=len(copy.items),
            changed=changed,
            lost_writes=len(copy.lost_writes),
            held=held,
        )


class CopyFactory(Factory):
    """Sends the published items to peers that request them.

    A connection is for one query, and is closed after `QUERY_SECONDS`.
    """

    def __init__(
        self, *, copies: PublishedCopies, clock, budget: ClientBudget | None = None
    ):
        self._copies = copies
        self._budget = budget
        self._clock = clock
        self._timers: dict[LinkProtocol, IDelayedCall] = {}
        self._answered: set[LinkProtocol] = set()

    def buildProtocol(self, addr):
        return LinkProtocol(
            clock=self._clock,
            on_open=self._opened,
            on_message=self._answer,
            on_closed=self._closed,
            max_frame_bytes=MAX_QUERY_BYTES,
            budget=self._budget,
        )

    def _opened(self, link: LinkProtocol) -> None:
        self._timers[link] = self._clock.callLater(
            QUERY_SECONDS, link.transport.abortConnection
        )

    def _closed(self, link: LinkProtocol) -> None:
        timer = self._timers.pop(link)
        if timer.active():
            timer.cancel()
        self._answered.discard(link)

    def _answer(self, link: LinkProtocol, message: object) -> None:
        match message:
            case CopyQuery(prefix=prefix) if link not in self._answered:
                replica = self._copies.replica(prefix)
                if replica is not None:
                    self._answered.add(link)
                    link.send(answer_query(message, replica, now=self._copies.now()))
                    return
        link.transport.abortConnection()


def _resolve(waiting: Deferred, message: object) -> None:
    if not waiting.called:
        waiting.callback(message)
