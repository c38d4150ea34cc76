"""Reports between gateways, and copying of published items from a peer.

Reports are sent as UDP datagrams. Each one contains the complete state, so a lost one
is not sent again. Published items are copied over TCP, because they are large.
"""

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientCreator, DatagramProtocol, Factory
from twisted.internet.task import LoopingCall

from bilberryring.core import Fingerprint, Incarnation
from bilberryring.fleet import PublishedItem
from bilberryring.gateway.crash_record import CrashRecord
from bilberryring.gateway.peer_view import EndpointDeath, PeerReport, PeerView
from bilberryring.gateway.published_copies import PublishedCopies
from bilberryring.gateway.settings import GatewaySettings
from bilberryring.process.loops import start_loop
from bilberryring.routing import DecodeGroup, EndpointWork, PrefillStream, WorkTracker
from bilberryring.telemetry import EventLog, LogEvent
from bilberryring.wire import (
    CopyAnswer,
    CopyItem,
    CopyQuery,
    CopyRevision,
    EngineDeath,
    EntryReport,
    FrameError,
    LinkProtocol,
    StarterReport,
    WorkReport,
    WriterCount,
    decode_message,
    encode_message,
)

REPORT_SECONDS = 0.4
"""Seconds between the reports of a gateway without changes."""
COALESCE_SECONDS = 0.015
"""Seconds for which changes are collected before they are reported together."""
COPY_RETRY_SECONDS = 0.2
"""Seconds after a failed copy before another one is requested."""
COPY_TIMEOUT_SECONDS = 1.0
"""Timeout in seconds, both for connecting to a peer and for its published items."""


class PeerExchange(DatagramProtocol):
    """Sends and receives reports and copies published items from peers."""

    def __init__(
        self,
        *,
        reactor,
        settings: GatewaySettings,
        incarnation: Incarnation,
        view: PeerView,
        tracker: WorkTracker,
        copies: PublishedCopies,
        crashes: CrashRecord,
        log: EventLog,
    ):
        self._reactor = reactor
        self._settings = settings
        self._incarnation = incarnation
        self._view = view
        self._tracker = tracker
        self._copies = copies
        self._crashes = crashes
        self._log = log
        self._sequence = 0
        self._pending_report = None
        self._is_copying = False
        self._copy_retry_at = 0.0
        self._loop: LoopingCall | None = None
        self._n_sent = 0
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
            port, _CopyFactory(copies=self._copies), interface=host
        )
        self._loop = start_loop(
            reactor=self._reactor,
            work=self._tick,
            seconds=REPORT_SECONDS,
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
            self._send_reports()
        elif self._pending_report is None:
            self._pending_report = self._reactor.callLater(
                COALESCE_SECONDS, self._send_reports
            )

    def datagramReceived(self, datagram: bytes, addr) -> None:
        try:
            message = decode_message(datagram)
        except FrameError as error:
            self._log.write(LogEvent.PEER_REPORT_MALFORMED, detail=str(error))
            return
        match message:
            case EntryReport():
                self._handle_report(_decode_report(message))

    def _handle_report(self, report: PeerReport) -> None:
        now = self._reactor.seconds()
        if report.host == self._settings.host:
            return
        if self._view.update(report, now=now):
            self._log.write(
                LogEvent.PEER_HEARD, peer=report.host, peer_process=report.process
            )
        self._crashes.add_deaths(report.deaths)
        self._copy_from_peers()

    def _tick(self) -> None:
        now = self._reactor.seconds()
        for host in self._view.expire(now=now):
            self._log.write(LogEvent.PEER_LOST, peer=host)
        self._send_reports()
        self._copy_from_peers()

    def _send_reports(self) -> None:
        if self._pending_report is not None and self._pending_report.active():
            self._pending_report.cancel()
        self._pending_report = None
        if self.transport is None:
            return
        now = self._reactor.seconds()
        self._sequence += 1
        datagram = encode_message(self._own_report(now))
        for host in self._view.hosts(now=now):
            self._send_datagram(datagram, host)

    def _send_datagram(self, datagram: bytes, host: str) -> None:
        try:
            self.transport.write(datagram, (host, self._settings.peer_port))
            self._n_sent += 1
        except OSError as error:
            self._log.write(LogEvent.PEER_UNREACHABLE, peer=host, detail=str(error))

    def _own_report(self, now: float) -> EntryReport:
        return EntryReport(
            process=self._settings.process,
            incarnation=self._incarnation,
            host=self._settings.host,
            sequence=self._sequence,
            known_hosts=list(self._view.live_hosts(now=now)),
            revisions=[
                CopyRevision(prefix=prefix, revision=revision)
                for prefix, revision in self._copies.revisions
            ],
            work=[
                _encode_work(endpoint, self._tracker.work(endpoint, now=now))
                for endpoint in self._tracker.endpoints
            ],
            deaths=[
                EngineDeath(death=item.death, fingerprints=list(item.fingerprints))
                for item in self._crashes.recent_deaths()
            ],
        )

    def _copy_from_peers(self) -> None:
        now = self._reactor.seconds()
        if self._is_copying or now < self._copy_retry_at:
            return
        for prefix, revision in self._copies.revisions:
            host = self._view.host_ahead(prefix, revision=revision, now=now)
            if host is not None:
                self._is_copying = True
                Deferred.fromCoroutine(self._copy(host, prefix))
                return

    async def _copy(self, host: str, prefix: str) -> None:
        """Copy the published items under a prefix from a peer with a later revision."""
        received: Deferred[CopyAnswer] = Deferred()
        link = None
        try:
            creator = ClientCreator(
                self._reactor,
                LinkProtocol,
                on_open=lambda link: None,
                on_message=lambda link, message: _resolve(received, message),
                on_closed=lambda link: _resolve(received, None),
            )
            link = await creator.connectTCP(
                host, self._settings.peer_port, timeout=COPY_TIMEOUT_SECONDS
            )
            revision = dict(self._copies.revisions)[prefix]
            link.send(CopyQuery(prefix=prefix, revision=revision))
            received.addTimeout(COPY_TIMEOUT_SECONDS, self._reactor)
            answer = await received
            if isinstance(answer, CopyAnswer) and answer.prefix == prefix:
                self._apply_copy(host, answer)
        except Exception as error:
            # Twisted raises many kinds of exceptions for a failed connection.
            self._copy_retry_at = self._reactor.seconds() + COPY_RETRY_SECONDS
            self._log.write(LogEvent.PEER_UNREACHABLE, peer=host, detail=repr(error))
        finally:
            self._is_copying = False
            if link is not None:
                link.transport.abortConnection()

    def _apply_copy(self, host: str, answer: CopyAnswer) -> None:
        items = tuple(
            PublishedItem(key=item.key, revision=item.revision, value=item.value)
            for item in answer.items
        )
        changed = self._copies.take_copy(answer.prefix, items, revision=answer.revision)
        self._log.write(
            LogEvent.COPY_TAKEN,
            peer=host,
            prefix=answer.prefix,
            revision=answer.revision,
            changed=changed,
        )


class _CopyFactory(Factory):
    """Sends the published items to peers that request them."""

    def __init__(self, *, copies: PublishedCopies):
        self._copies = copies

    def buildProtocol(self, addr):
        return LinkProtocol(
            on_open=lambda link: None,
            on_message=self._answer,
            on_closed=lambda link: None,
        )

    def _answer(self, link: LinkProtocol, message: object) -> None:
        match message:
            case CopyQuery(prefix=prefix):
                replica = self._copies.replica(prefix)
                if replica is None:
                    link.transport.abortConnection()
                    return
                items = [
                    CopyItem(key=item.key, revision=item.revision, value=item.value)
                    for item in replica.items
                ]
                link.send(
                    CopyAnswer(prefix=prefix, revision=replica.revision, items=items)
                )


def _resolve(waiting: Deferred, message: object) -> None:
    if not waiting.called:
        waiting.callback(message)


def _encode_work(endpoint: str, work: EndpointWork) -> WorkReport:
    return WorkReport(
        endpoint=endpoint,
        requests=work.requests,
        reading_ms=work.prefill_ms,
        reading_for_ms=work.prefill_elapsed_ms,
        kv_tokens=work.kv_tokens,
        writers=_encode_groups(work.decode_groups),
        starters=[
            StarterReport(gap_ms=item.gap_ms, value=item.value, due_ms=item.due_ms)
            for item in work.prefill_streams
        ],
    )


def _encode_groups(groups: tuple[DecodeGroup, ...]) -> list[WriterCount]:
    return [
        WriterCount(gap_ms=group.gap_ms, count=group.count, value=group.value)
        for group in groups
    ]


def _decode_report(message: EntryReport) -> PeerReport:
    return PeerReport(
        process=message.process,
        incarnation=message.incarnation,
        host=message.host,
        sequence=message.sequence,
        known_hosts=tuple(message.known_hosts or ()),
        revisions=tuple(
            (item.prefix, item.revision) for item in message.revisions or ()
        ),
        work=tuple((item.endpoint, _decode_work(item)) for item in message.work or ()),
        deaths=tuple(
            EndpointDeath(
                death=item.death,
                fingerprints=tuple(
                    Fingerprint(fingerprint) for fingerprint in item.fingerprints
                ),
            )
            for item in message.deaths or ()
        ),
    )


def _decode_work(message: WorkReport) -> EndpointWork:
    return EndpointWork(
        requests=message.requests,
        prefill_ms=message.reading_ms,
        prefill_elapsed_ms=message.reading_for_ms or 0.0,
        kv_tokens=message.kv_tokens,
        decode_groups=_decode_groups(message.writers),
        prefill_streams=tuple(
            PrefillStream(gap_ms=item.gap_ms, value=item.value, due_ms=item.due_ms)
            for item in message.starters or ()
        ),
    )


def _decode_groups(messages: list[WriterCount] | None) -> tuple[DecodeGroup, ...]:
    return tuple(
        DecodeGroup(gap_ms=item.gap_ms, count=item.count, value=item.value or 0.0)
        for item in messages or ()
    )
