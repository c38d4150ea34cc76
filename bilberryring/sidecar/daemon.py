"""The sidecar daemon, which alone decides what the endpoint beside it runs."""

from twisted.internet.protocol import Factory
from twisted.internet.task import deferLater

from bilberryring.adapters import EngineClient, PlatformReader
from bilberryring.admission import EndpointLimits
from bilberryring.core import ErrorCode, RunOutcome, new_incarnation, to_micros
from bilberryring.http import MAX_BODY_BYTES, HttpClient, make_client_budget
from bilberryring.membership import (
    HEARTBEAT_SECONDS,
    ReportedLoad,
    SidecarState,
    needs_report,
)
from bilberryring.objects import ModelEndpoint, ObjectSet, ServiceEndpoint
from bilberryring.process.allocator import return_large_blocks
from bilberryring.process.client_budget_report import (
    UPDATE_SECONDS,
    ClientBudgetReport,
)
from bilberryring.process.configuration import ConfigurationTask
from bilberryring.process.engine_death_broadcaster import EngineDeathBroadcaster
from bilberryring.process.late_reading import read_arrived
from bilberryring.process.loops import make_loop
from bilberryring.process.operator_site import (
    ProcessStatus,
    operator_listener,
    operator_resource,
)
from bilberryring.process.refused_sets import refused_statuses
from bilberryring.process.running import Listeners
from bilberryring.process.settings import SidecarSettings
from bilberryring.sidecar.peer import PeerLink
from bilberryring.sidecar.prompt_runner import PromptRunner
from bilberryring.sidecar.service_runner import ServiceRunner
from bilberryring.sidecar.token_batcher import TokenBatcher
from bilberryring.telemetry import EventLog, LogEvent, Metrics
from bilberryring.wire import (
    MAX_STRING_BYTES,
    Beat,
    CallService,
    Cancel,
    EngineDeath,
    Heartbeat,
    Hello,
    LinkProtocol,
    PromptCleared,
    PromptPart,
    Refused,
    RunPrompt,
    SetAnswer,
    SetNotice,
    SetQuery,
    SuspectAnswer,
    SuspectQuery,
)

ROLE = "sidecar"
MAX_HELLO_BYTES = 64 * 1024
"""Bytes of a frame of a peer that has not sent its hello."""
HELLO_SECONDS = 10.0
"""Seconds within which a peer has to send its hello, which it does at once."""
DRAIN_CHECK_SECONDS = 0.1
DRAIN_IDLE_SECONDS = 2.0
"""How long nothing must have run before a draining sidecar exits.

Meanwhile it refuses calls with tickets issued before the drain, and reports them as
"not run". After it has exited, whether they ran would be unknown.
"""
LINK_END_SECONDS = 3.0
"""How long a drained sidecar waits for its peers to read what it has sent. A host may
pause for about two seconds and go on."""


class SidecarDaemon:
    """Connects the tasks of one sidecar and answers messages on its links."""

    def __init__(self, *, reactor, settings: SidecarSettings, log: EventLog):
        self._reactor = reactor
        self._settings = settings
        self._log = log
        self._incarnation = new_incarnation()
        self._metrics = Metrics()
        self._deaths = EngineDeathBroadcaster(
            reactor=reactor, links=lambda: self._peers
        )
        self._peers: dict[LinkProtocol, PeerLink] = {}
        self._prompt_runner: PromptRunner | None = None
        self._service_runner: ServiceRunner | None = None
        self._endpoint: ModelEndpoint | ServiceEndpoint | None = None
        self._is_draining = False
        self._last_report: ReportedLoad | None = None
        self._last_report_at = 0.0
        self._listeners = Listeners(reactor=reactor, log=log)
        self._target = HttpClient(reactor=reactor, base_url=settings.target_url)
        self._configuration = ConfigurationTask(
            reactor=reactor,
            platform=PlatformReader(
                client=HttpClient(reactor=reactor, base_url=settings.platform_url),
                reader=settings.process,
            ),
            log=log,
            failure_domain=settings.failure_domain,
            endpoint=settings.endpoint,
            on_change=self._set_changed,
        )
        self._client_budget = make_client_budget(
            clock=reactor,
            largest_request_bytes=MAX_BODY_BYTES,
            memory_bytes=settings.memory_bytes,
            max_descriptors=settings.max_descriptors,
            connects_to_endpoints=False,
        )
        report = ClientBudgetReport(
            clock=reactor, budget=self._client_budget, metrics=self._metrics, log=log
        )
        self._budget_loop = make_loop(reactor=reactor, work=report.update, log=log)
        self._heartbeat_loop = make_loop(
            reactor=reactor, work=self._send_report_or_beat, log=log
        )

    @property
    def state(self) -> SidecarState:
        """The state of the endpoint that the sidecar reports."""
        if self._is_draining or self._is_superseded:
            return SidecarState.LEAVING
        if self._endpoint is None:
            return SidecarState.STARTING
        if self._is_domain_out:
            return SidecarState.OUT
        if self._prompt_runner is not None and self._prompt_runner.watch.is_lost:
            return SidecarState.ENGINE_LOST
        if self._prompt_runner is not None and self._prompt_runner.load().is_cold:
            return SidecarState.COLD
        return SidecarState.READY

    def start(self) -> None:
        """Listen on the addresses and start the tasks."""
        factory = Factory.forProtocol(
            lambda: LinkProtocol(
                clock=self._reactor,
                on_open=self._link_opened,
                on_message=self._message_received,
                on_closed=self._link_closed,
                max_frame_bytes=MAX_HELLO_BYTES,
                budget=self._client_budget,
            )
        )
        factory.noisy = False
        self._listeners.listen(self._settings.link_address, factory, key="link_address")
        self._listeners.listen_http(
            self._settings.operator_address,
            operator_resource(
                status=self._status, metrics=self._metrics, is_ready=self._is_ready
            ),
            key="operator_address",
            **operator_listener(self._client_budget),
        )
        return_large_blocks()
        self._budget_loop.start(UPDATE_SECONDS)
        self._configuration.start()
        self._heartbeat_loop.start(HEARTBEAT_SECONDS, now=False)
        self._log.write(
            LogEvent.PROCESS_STARTED,
            incarnation=self._incarnation,
            link_address=self._settings.link_address,
        )

    async def drain(self) -> None:
        """Refuse new work, and return once running work has ended and was answered.

        At the latest it stops waiting for work `drain_seconds` after the start, with a
        log line that counts the work left.
        """
        self._is_draining = True
        self._send_heartbeats()
        idle_since = self._reactor.seconds()
        until = idle_since + self._settings.drain_seconds
        while True:
            now = self._reactor.seconds()
            if self._in_progress():
                idle_since = now
            if now - idle_since >= DRAIN_IDLE_SECONDS:
                break
            if now >= until:
                await read_arrived(self._reactor, self._is_working, due_at=until)
                self._log.write(LogEvent.DRAIN_TIMED_OUT, left=self._in_progress())
                break
            await deferLater(self._reactor, DRAIN_CHECK_SECONDS)
        await self._end_links()

    async def _end_links(self) -> None:
        """Wait until the peers have read what was sent to them."""
        links = tuple(self._peers)
        for link in links:
            link.end()
        until = self._reactor.seconds() + LINK_END_SECONDS
        while any(link in self._peers for link in links):
            if self._reactor.seconds() >= until:
                return
            await deferLater(self._reactor, DRAIN_CHECK_SECONDS)

    @property
    def _is_superseded(self) -> bool:
        return (
            self._prompt_runner is not None and self._prompt_runner.watch.is_superseded
        )

    @property
    def _is_domain_out(self) -> bool:
        objects = self._configuration.objects
        return objects is not None and (
            self._settings.failure_domain in objects.domains_out
        )

    def _is_ready(self) -> bool:
        return self._endpoint is not None and not self._is_draining

    def _in_progress(self) -> int:
        prompts = self._prompt_runner.attempt_count if self._prompt_runner else 0
        calls = self._service_runner.running if self._service_runner else 0
        return prompts + calls

    def _is_working(self) -> bool:
        return self._in_progress() > 0

    def _sidecar_refusal(self) -> ErrorCode | None:
        """Return the reason for which the sidecar takes no new work, or `None`."""
        match self.state:
            case SidecarState.LEAVING:
                return ErrorCode.LEAVING
            case SidecarState.OUT:
                return ErrorCode.DOMAIN_OUT
            case _:
                return None

    def _set_changed(self, objects: ObjectSet) -> None:
        name = self._settings.endpoint
        model_endpoint = objects.model_endpoints.get(name)
        service_endpoint = objects.service_endpoints.get(name)
        was_ready = self._endpoint is not None
        if model_endpoint is not None:
            self._endpoint = model_endpoint
            self._ensure_prompt_runner(model_endpoint)
        elif service_endpoint is not None:
            self._endpoint = service_endpoint
            self._ensure_service_runner()
        if not was_ready and self._endpoint is not None:
            self._log.write(LogEvent.PROCESS_READY)
        self._send_heartbeats()

    def _ensure_prompt_runner(self, endpoint: ModelEndpoint) -> None:
        if self._prompt_runner is not None:
            return
        self._prompt_runner = PromptRunner(
            reactor=self._reactor,
            engine=EngineClient(client=self._target),
            log=self._log,
            incarnation=self._incarnation,
            hello=self._hello(),
            limits=EndpointLimits(
                kv_tokens=endpoint.kv_tokens,
                concurrency=endpoint.concurrency,
                cold_allowance=endpoint.cold_allowance,
                cold_completions=endpoint.cold_completions,
            ),
            objects=lambda: self._configuration.objects,
            sidecar_refusal=self._sidecar_refusal,
            on_change=self._report_state_change,
            deaths=self._deaths,
        )
        self._prompt_runner.start()

    def _ensure_service_runner(self) -> None:
        if self._service_runner is not None:
            return
        self._service_runner = ServiceRunner(
            reactor=self._reactor,
            client=self._target,
            log=self._log,
            incarnation=self._incarnation,
            concurrency=lambda: self._endpoint.concurrency,
            sidecar_refusal=self._sidecar_refusal,
        )

    def _hello(self) -> Hello:
        return Hello(
            process=self._settings.process,
            role=ROLE,
            failure_domain=self._settings.failure_domain,
            incarnation=self._incarnation,
        )

    def _link_opened(self, link: LinkProtocol) -> None:
        link.send(self._hello())
        self._configuration.add_link(link)
        self._reactor.callLater(HELLO_SECONDS, self._hello_is_due, link)

    def _hello_is_due(self, link: LinkProtocol) -> None:
        """Close a link without a hello, once what has arrived meanwhile was read."""
        self._reactor.callLater(0, self._close_unknown, link)

    def _close_unknown(self, link: LinkProtocol) -> None:
        if link.is_open and link not in self._peers:
            link.transport.abortConnection()

    def _link_closed(self, link: LinkProtocol) -> None:
        self._configuration.remove_link(link)
        peer = self._peers.pop(link, None)
        if peer is None:
            return
        self._log.write(LogEvent.LINK_CLOSED, peer=peer.incarnation)
        if self._prompt_runner is not None:
            self._prompt_runner.drop_link(link)
        if self._service_runner is not None:
            self._service_runner.drop_link(link)

    def _message_received(self, link: LinkProtocol, message: object) -> None:
        """Handle a message; one that cannot be handled ends its attempt alone."""
        try:
            self._handle_message(link, message)
        except Exception as error:
            self._log.write(LogEvent.INTERNAL_FAULT, detail=repr(error))
            peer = self._peers.get(link)
            if peer is not None:
                self._fail_attempt(peer, message)

    def _handle_message(self, link: LinkProtocol, message: object) -> None:
        match message:
            case Hello():
                self._register_peer(link, message)
            case SetNotice():
                self._configuration.handle_notice(link, message.number)
            case SetQuery():
                self._configuration.handle_query(link, message)
            case SetAnswer():
                self._configuration.handle_answer(link, message)
            case EngineDeath():
                self._deaths.handle_death(message, link)
            case PromptCleared():
                self._deaths.handle_cleared(message, link)
            case _:
                peer = self._peers.get(link)
                if peer is not None:
                    self._route_work_message(peer, message)

    def _register_peer(self, link: LinkProtocol, hello: Hello) -> None:
        batcher = TokenBatcher(reactor=self._reactor, link=link)
        link.set_max_frame(MAX_STRING_BYTES)
        link.keep()
        self._peers[link] = PeerLink(
            link=link, incarnation=hello.incarnation, batcher=batcher
        )
        self._log.write(
            LogEvent.LINK_OPENED, peer=hello.process, incarnation=hello.incarnation
        )
        link.send(self._heartbeat())
        self._deaths.tell(link)

    def _route_work_message(self, peer: PeerLink, message: object) -> None:
        match message:
            case RunPrompt() if self._prompt_runner is not None:
                self._prompt_runner.run_prompt(peer, message)
            case PromptPart() if self._prompt_runner is not None:
                self._prompt_runner.add_prompt_part(peer, message)
            case Cancel() if self._prompt_runner is not None:
                self._prompt_runner.cancel(peer, message)
            case SuspectQuery() if self._prompt_runner is not None:
                self._prompt_runner.answer_when_free(peer.link, message)
            case SuspectQuery():
                peer.link.send(SuspectAnswer(query=message.query))
            case CallService() if self._service_runner is not None:
                self._service_runner.call(peer, message)
            case RunPrompt():
                _refuse(peer, message.attempt, ErrorCode.NO_SET, RunOutcome.NOT_RUN)
            case CallService():
                _refuse(peer, message.attempt, ErrorCode.NO_SET, RunOutcome.UNKNOWN)

    def _fail_attempt(self, peer: PeerLink, message: object) -> None:
        match message:
            case RunPrompt() | CallService():
                _refuse(peer, message.attempt, ErrorCode.INTERNAL, RunOutcome.UNKNOWN)
            case PromptPart() if self._prompt_runner is not None:
                self._prompt_runner.fail(peer, message)

    def _report_state_change(self) -> None:
        last = self._last_report
        if last is None or self.state is not last.state:
            self._send_heartbeats()

    def _send_report_or_beat(self) -> None:
        """Send a full heartbeat if the load has changed enough, else a short beat."""
        now = self._reactor.seconds()
        must_report = needs_report(
            last=self._last_report,
            current=self._reported_load(),
            since_last=now - self._last_report_at,
        )
        if must_report:
            self._send_heartbeats()
            return
        beat = Beat(sender_clock=to_micros(now))
        for peer in tuple(self._peers.values()):
            peer.link.send(beat)

    def _send_heartbeats(self) -> None:
        heartbeat = self._heartbeat()
        self._last_report = self._reported_load()
        self._last_report_at = self._reactor.seconds()
        for peer in tuple(self._peers.values()):
            peer.link.send(heartbeat)

    def _reported_load(self) -> ReportedLoad:
        heartbeat = self._heartbeat()
        rate = max(heartbeat.prefill_rate, 1)
        return ReportedLoad(
            state=self.state,
            set_number=heartbeat.set_number,
            allowance=heartbeat.allowance,
            running=heartbeat.running,
            waits=tuple(tokens / rate for tokens in heartbeat.backlog_tokens),
        )

    def _heartbeat(self) -> Heartbeat:
        heartbeat = Heartbeat(
            sender_clock=to_micros(self._reactor.seconds()),
            state=self.state.value,
            set_number=self._configuration.sets.number,
            backlog_tokens=[],
            running=0,
            free_kv_tokens=0,
            allowance=0,
            prefill_rate=0,
            kv_tokens=0,
        )
        if self._prompt_runner is not None and self._endpoint is not None:
            load = self._prompt_runner.load()
            heartbeat.backlog_tokens = list(load.backlog_tokens)
            heartbeat.running = load.running + load.queued
            heartbeat.free_kv_tokens = load.free_kv_tokens
            heartbeat.allowance = load.allowance
            heartbeat.prefill_rate = int(load.prefill_rate)
            heartbeat.kv_tokens = self._endpoint.kv_tokens
        elif self._service_runner is not None and self._endpoint is not None:
            heartbeat.running = self._service_runner.running
            heartbeat.allowance = self._endpoint.concurrency
        return heartbeat

    def _status(self) -> ProcessStatus:
        sets = self._configuration.sets
        return ProcessStatus(
            process=self._settings.process,
            role=ROLE,
            failure_domain=self._settings.failure_domain,
            endpoint=self._settings.endpoint,
            incarnation=self._incarnation,
            state=self.state.value,
            set_number=sets.number,
            set_digest=sets.digest,
            highest_seen=self._configuration.highest_seen,
            is_reader=self._configuration.is_reader,
            refused_sets=refused_statuses(sets.refused),
            in_progress=self._in_progress(),
            links=len(self._peers),
            quarantined=self._deaths.quarantined(),
        )


def _refuse(peer: PeerLink, attempt: int, code: ErrorCode, outcome: RunOutcome) -> None:
    peer.link.send(
        Refused(
            attempt=attempt,
            code=code.value,
            detail="",
            outcome=outcome.value,
            retry_after=0,
        )
    )
