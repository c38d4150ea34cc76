"""The gateway process: startup, periodic housekeeping and shutdown."""

from twisted.internet.error import CannotListenError
from twisted.internet.task import deferLater
from twisted.web import http
from twisted.web.resource import Resource

from bilberryring.admission import (
    EndpointStatements,
    PlannedStop,
    StatedStanding,
    StopStep,
)
from bilberryring.capacity import TICK_SECONDS, EndpointSpeeds
from bilberryring.core import (
    ErrorCode,
    Incarnation,
    SettingsError,
    new_incarnation,
)
from bilberryring.fleet import AnnouncedEndpoint, CallerLimits, FleetState, Workspace
from bilberryring.gateway.attempts import AttemptRunner
from bilberryring.gateway.caller_site import CallerExchange, CallerSite
from bilberryring.gateway.capacity_report import CapacityReport
from bilberryring.gateway.capacity_samples import CapacitySamples
from bilberryring.gateway.connection_pool import ConnectionPool
from bilberryring.gateway.counters import GatewayCounters
from bilberryring.gateway.crash_record import CrashRecord
from bilberryring.gateway.endpoint_choice import EndpointChooser
from bilberryring.gateway.endpoint_slices import EndpointSlices
from bilberryring.gateway.forwarding import Forwarder
from bilberryring.gateway.head_checks import caller_head_check, refuse_body
from bilberryring.gateway.held_answers import MAX_HELD_BYTES, HeldAnswers
from bilberryring.gateway.operator_queries import GatewayQueries
from bilberryring.gateway.peer_view import PeerView
from bilberryring.gateway.peers import PeerExchange
from bilberryring.gateway.published_copies import PublishedCopies
from bilberryring.gateway.repeat_rules import RetryPolicy
from bilberryring.gateway.request_context import HeaderCodec
from bilberryring.gateway.request_gate import RequestGate
from bilberryring.gateway.request_log import RequestLog, log_part_decision
from bilberryring.gateway.reservations import ReservationManager
from bilberryring.gateway.settings import GatewaySettings
from bilberryring.gateway.statement_recorder import StatementRecorder
from bilberryring.gateway.store_readers import ReadingDuty
from bilberryring.http import make_client_budget
from bilberryring.membership import EndpointHealth
from bilberryring.process.allocator import return_large_blocks
from bilberryring.process.client_budget_report import ClientBudgetReport
from bilberryring.process.early_listener import EarlyListener
from bilberryring.process.explanations import ExplainQuery
from bilberryring.process.loops import start_loop
from bilberryring.process.operator_site import (
    ProcessStatus,
    operator_listener,
    operator_resource,
)
from bilberryring.process.pauses import PauseDetector
from bilberryring.process.running import Listeners
from bilberryring.quarantine import CrashMemory
from bilberryring.routing import WorkTracker
from bilberryring.telemetry import (
    FIRST_TOKEN_BUCKETS,
    BoundedOutput,
    EventLog,
    LogEvent,
    Metrics,
)

HOUSEKEEPING_SECONDS = 0.25
"""Seconds between two runs of the periodic housekeeping."""
DRAIN_CHECK_SECONDS = 0.05
MAX_HOLD_SECONDS = 0.5
"""Longest time in seconds for which callers wait to be accepted at a start. Callers
assume that a request which is not read within a second is lost."""
HOLD_CHECK_SECONDS = 0.01
MAX_SERIES = 256
"""Maximum number of series of one histogram; further ones share a series."""
ACCEPT_BACKLOG = 512


class GatewayDaemon:
    """Builds the components of a gateway and runs them until it is drained.

    `reload_settings` reads the settings again, and `settings_version` returns a number
    that changes with them; `loaded_settings_version` is what it returned before
    `settings` were read.
    """

    def __init__(
        self,
        *,
        reactor,
        settings: GatewaySettings,
        log: EventLog,
        codec: HeaderCodec,
        adapter_class,
        reload_settings=None,
        settings_version=None,
        loaded_settings_version: int = 0,
        output: BoundedOutput | None = None,
        early_listener: EarlyListener | None = None,
    ):
        self._reactor = reactor
        self._settings = settings
        self._log = log
        self._reload_settings = reload_settings
        self._settings_version = settings_version
        self._loaded_settings_version = loaded_settings_version
        self._output = output
        self._early_listener = early_listener
        self._pauses = PauseDetector()
        self._fleet = FleetState()
        self._tracker = WorkTracker()
        self._health = EndpointHealth()
        self._statements = EndpointStatements()
        self._speeds = EndpointSpeeds(is_on=settings.learns_capacity)
        self._pool = ConnectionPool(reactor=reactor)
        self._copies = PublishedCopies(
            prefixes=adapter_class.prefixes,
            clock=reactor,
            rules=adapter_class.loss_rules,
        )
        self._peer_view = PeerView(
            own_host=settings.host, seed_hosts=settings.seed_hosts
        )
        self._metrics = Metrics()
        self._first_response_seconds = self._metrics.histogram(
            name="first_answer_seconds",
            doc="Time to the first byte of an answer",
            labels=("route", "workspace"),
            buckets=FIRST_TOKEN_BUCKETS,
            max_series=MAX_SERIES,
        )
        self._slices = EndpointSlices(
            clock=reactor, settings=settings, fleet=self._fleet, peers=self._peer_view
        )
        self._capacity_report = CapacityReport(
            clock=reactor,
            speeds=self._speeds,
            fleet=self._fleet,
            metrics=self._metrics,
            log=log,
        )
        self._duty = ReadingDuty(
            clock=reactor,
            own_host=settings.host,
            is_alone=not set(settings.seed_hosts) - {settings.host},
            peers=lambda: self._peer_view.store_access(now=reactor.seconds()),
        )
        incarnation = new_incarnation()
        crash_memory = CrashMemory(now=reactor.seconds())
        if settings.is_first_start:
            crash_memory.record_first_start()
        self._crashes = crashes = CrashRecord(clock=reactor, memory=crash_memory)
        self._counters = GatewayCounters(metrics=self._metrics)
        self._client_budget = make_client_budget(
            clock=reactor,
            largest_request_bytes=CallerLimits().max_body_bytes,
            memory_bytes=settings.memory_bytes,
            max_descriptors=settings.max_descriptors,
        )
        self._peers = PeerExchange(
            reactor=reactor,
            settings=settings,
            incarnation=incarnation,
            view=self._peer_view,
            slices=self._slices,
            tracker=self._tracker,
            copies=self._copies,
            crashes=crashes,
            duty=self._duty,
            speeds=self._speeds,
            log=log,
            client_budget=self._client_budget,
        )
        self._adapter = adapter_class(
            reactor=reactor,
            settings=settings,
            fleet=self._fleet,
            copies=self._copies,
            peers=self._peer_view,
            duty=self._duty,
            log=log,
            on_endpoint_removed=self._on_endpoint_removed,
            on_endpoint_started=self._on_endpoint_started,
            on_first_start=crash_memory.record_first_start,
        )
        self._peers.set_doubt_listener(self._adapter.refresh)
        self._copies.add_listener(
            lambda replica, keys: self._peers.report_change(is_urgent=True)
        )
        self._held_answers = HeldAnswers(
            on_change=self._count_held_answers,
            must_wait=lambda: self._client_budget.is_unread_too_much,
        )
        self._forwarder = self._build_forwarder(codec, crashes, incarnation)
        self._budget_report = ClientBudgetReport(
            clock=reactor, budget=self._client_budget, metrics=self._metrics, log=log
        )
        self._site = CallerSite(
            reactor=reactor,
            on_request=self._forwarder.accept,
            limits=self._caller_limits,
            on_refused=lambda code: log.write(LogEvent.CALLER_REFUSED, code=code.value),
            check_head=caller_head_check(codec=codec, gate=self._gate),
            client_budget=self._client_budget,
        )
        self._ready_site = CallerSite(
            reactor=reactor,
            on_request=self._respond_to_readiness,
            check_head=refuse_body,
            client_budget=self._client_budget,
            is_always_served=True,
        )
        self._listeners = Listeners(reactor=reactor, log=log)
        self._is_draining = False
        self._has_been_ready = False

    def _build_forwarder(
        self, codec: HeaderCodec, crashes: CrashRecord, incarnation: Incarnation
    ) -> Forwarder:
        chooser = EndpointChooser(
            settings=self._settings,
            slices=self._slices,
            tracker=self._tracker,
            peers=self._peer_view,
            health=self._health,
            statements=self._statements,
            speeds=self._speeds,
        )
        self._samples = CapacitySamples(
            clock=self._reactor,
            chooser=chooser,
            speeds=self._speeds,
            is_on=self._settings.learns_capacity,
        )
        self._queries = GatewayQueries(
            clock=self._reactor,
            settings=self._settings,
            incarnation=incarnation,
            fleet=self._fleet,
            chooser=chooser,
            health=self._health,
            statements=self._statements,
            crashes=crashes,
            counters=self._counters,
            speeds=self._speeds,
        )
        retry_policy = RetryPolicy(
            clock=self._reactor, bounds=self._settings.bounds, peers=self._peer_view
        )
        log = RequestLog(
            clock=self._reactor,
            log=self._log,
            counters=self._counters,
            observe_first_response=self._observe_first_response,
        )
        statements = StatementRecorder(
            clock=self._reactor,
            statements=self._statements,
            chooser=chooser,
            log=self._log,
        )
        self._reservations = ReservationManager(
            reactor=self._reactor,
            pool=self._pool,
            codec=codec,
            statements=statements,
            log=self._log,
            owner_id=incarnation[:8],
        )
        attempts = AttemptRunner(
            reactor=self._reactor,
            codec=codec,
            fleet=self._fleet,
            chooser=chooser,
            pool=self._pool,
            tracker=self._tracker,
            health=self._health,
            reservations=self._reservations,
            crashes=crashes,
            retry_policy=retry_policy,
            statements=statements,
            log=log,
            on_work_changed=self._peers.report_change,
            samples=self._samples,
            held=self._held_answers,
        )
        self._gate = RequestGate(fleet=self._fleet, crashes=crashes)
        return Forwarder(
            reactor=self._reactor,
            codec=codec,
            gate=self._gate,
            retry_policy=retry_policy,
            chooser=chooser,
            attempts=attempts,
            pool=self._pool,
            health=self._health,
            crashes=crashes,
            statements=statements,
            log=log,
        )

    @property
    def metrics(self) -> Metrics:
        """The metrics of the process."""
        return self._metrics

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send requests to this gateway."""
        return (
            not self._is_draining
            and self._fleet.configuration is not None
            and bool(self._fleet.endpoints.all)
        )

    def start(self) -> None:
        """Bind the addresses and start to read the published state.

        Raises `SettingsError` if an address cannot be bound.
        """
        settings = self._settings
        return_large_blocks()
        try:
            self._listen_for_callers()
            self._listeners.listen(
                settings.ready_address, self._ready_site, key="ready_address"
            )
            self._listeners.listen_http(
                settings.metrics_address,
                self._operator_site(),
                key="metrics_address",
                **operator_listener(self._client_budget),
            )
            self._peers.start()
        except CannotListenError as error:
            raise SettingsError(
                code=ErrorCode.ADDRESS_IN_USE, key="peer_port", detail=str(error)
            )
        self._adapter.start()
        start_loop(
            reactor=self._reactor,
            work=self._run_housekeeping,
            seconds=HOUSEKEEPING_SECONDS,
            log=self._log,
        )
        if settings.learns_capacity:
            start_loop(
                reactor=self._reactor,
                work=self._samples.tick,
                seconds=TICK_SECONDS,
                log=self._log,
            )
        self._log.write(
            LogEvent.PROCESS_STARTED,
            caller_address=settings.caller_address,
            metrics_address=settings.metrics_address,
            failure_domain=settings.failure_domain,
            is_first_start=settings.is_first_start,
        )

    def _listen_for_callers(self) -> None:
        """Listen for callers, and accept them when the gateway is ready.

        A caller that is refused only because the published state is not read yet would
        spend a retry on it. It is read within a few round trips of the store.
        """
        early = self._early_listener
        self._listeners.listen(
            self._settings.caller_address,
            self._site,
            key="caller_address",
            opened=None if early is None else early.socket,
        )
        if early is not None:
            self._log.write(
                LogEvent.LISTENER_OPENED,
                is_early=early.socket is not None,
                decision=early.decision.value,
                detail=early.detail,
            )
        self._listeners.hold("caller_address")
        self._accept_when_ready(self._reactor.seconds() + MAX_HOLD_SECONDS)

    def _accept_when_ready(self, until: float) -> None:
        if self.is_ready or self._is_draining or self._reactor.seconds() >= until:
            self._listeners.resume("caller_address")
            return
        self._reactor.callLater(HOLD_CHECK_SECONDS, self._accept_when_ready, until)

    async def drain(self) -> None:
        """Stop serving without losing requests.

        The gateway reports that it is not ready, serves requests until the load
        balancer has noticed, then refuses new requests and waits for those in progress.
        Those that are left at the end get an error.
        """
        stop = PlannedStop(
            signalled_at=self._reactor.seconds(),
            grace=self._settings.bounds.drain_seconds,
        )
        self._is_draining = True
        self._forwarder.drain(stop)
        self._reservations.drain(until=stop.releases_until)
        await deferLater(self._reactor, stop.refuses_at - stop.signalled_at)
        self._forwarder.refuse_new()
        self._log_step(stop, StopStep.REFUSING)
        await self._wait_for_callers(until=stop.listens_until)
        await self._listeners.close("caller_address")
        self._log_step(stop, StopStep.NOT_LISTENING)
        await self._wait_for_callers(until=stop.ends_at)
        self._log_step(stop, StopStep.ENDING)
        await self._answer_the_rest()
        self._log_step(stop, StopStep.FLUSHING)
        await self._wait_for_callers(until=stop.exits_at)
        await self._wait_for_releases(until=stop.releases_until)
        self._log_dropped_lines()
        self._log_step(stop, StopStep.EXITING)
        self._adapter.stop()
        self._peers.stop()

    def _log_step(self, stop: PlannedStop, step: StopStep) -> None:
        """Log what is open at a step of a stop, and what a caller may still lose."""
        self._log.write(
            LogEvent.DRAIN_CONTINUED,
            step=step.value,
            signalled_ago=round(self._reactor.seconds() - stop.signalled_at, 3),
            in_progress=self._forwarder.in_progress,
            connections=self._site.open_connections,
            unsent_bytes=self._site.output_bytes,
            releases=self._reservations.releases_in_progress,
        )

    async def _wait_for_callers(self, *, until: float) -> None:
        """Wait until all connections are closed; those that are idle are closed.

        Timers run before sockets are served: what waits to be accepted, read or written
        when the time has passed, as after a pause of this process, is served first.
        """
        while True:
            self._site.close_idle()
            await deferLater(self._reactor, DRAIN_CHECK_SECONDS)
            if not self._has_callers() or self._reactor.seconds() >= until:
                return

    def _has_callers(self) -> bool:
        return bool(
            self._site.open_connections or self._listeners.has_waiting("caller_address")
        )

    async def _wait_for_releases(self, *, until: float) -> None:
        """Wait until engines have answered that memory is released."""
        while self._reservations.releases_in_progress:
            left = until - self._reactor.seconds()
            if left <= 0:
                return
            await deferLater(self._reactor, min(DRAIN_CHECK_SECONDS, left))

    async def _answer_the_rest(self) -> None:
        if not self._forwarder.in_progress:
            return
        # Answers that have arrived are read first: timers run before sockets are read.
        await deferLater(self._reactor, DRAIN_CHECK_SECONDS)
        if self._forwarder.in_progress:
            self._log.write(
                LogEvent.DRAIN_TIMED_OUT, in_progress=self._forwarder.in_progress
            )
        self._forwarder.end_all()

    def reload(self) -> None:
        """Read the settings again and apply those that may change at run time."""
        if self._reload_settings is None:
            return
        try:
            settings = self._reload_settings()
        except SettingsError as error:
            self._log.write(LogEvent.SETTINGS_REFUSED, detail=str(error))
            return
        self._peer_view.set_seeds(settings.seed_hosts)
        self._log.write(LogEvent.SETTINGS_RELOADED, seeds=settings.seed_hosts)

    def _operator_site(self) -> Resource:
        root = operator_resource(
            status=self.status,
            metrics=self._metrics,
            is_ready=lambda: self.is_ready,
        )
        root.putChild(b"explain", ExplainQuery(explain=self._queries.explain))
        return root

    def status(self) -> ProcessStatus:
        """Return the state that operators see."""
        if self._is_draining:
            state = "leaving"
        else:
            state = "live" if self.is_ready else "starting"
        return self._queries.status(
            state=state,
            in_progress=self._forwarder.in_progress,
            links=len(self._peer_view.live_hosts(now=self._reactor.seconds())),
            is_reader=self._duty.is_due,
        )

    def _on_endpoint_removed(self, endpoint: AnnouncedEndpoint) -> None:
        self._health.forget(endpoint.id)
        self._statements.forget_limit(endpoint.run)
        if not self._fleet.endpoints.has_address(endpoint.address):
            self._pool.close_address(endpoint.address)
        self._samples.forget(endpoint)

    def _on_endpoint_started(self, endpoint: AnnouncedEndpoint) -> None:
        # Idle connections to the address were opened to an earlier run.
        self._pool.close_address(endpoint.address)
        self._forwarder.end_earlier_runs(endpoint)

    def _count_held_answers(self, n_bytes: int) -> None:
        """Charge what is held above the memory that is kept for held answers."""
        self._client_budget.hold_others(max(0, n_bytes - MAX_HELD_BYTES))

    def _caller_limits(self) -> CallerLimits:
        configuration = self._fleet.configuration
        return CallerLimits() if configuration is None else configuration.limits

    def _respond_to_readiness(self, exchange: CallerExchange) -> None:
        if exchange.path != self._adapter.ready_path:
            status, body = http.NOT_FOUND, b"not found\n"
        elif self.is_ready:
            status, body = http.OK, b"ready\n"
        else:
            status, body = http.SERVICE_UNAVAILABLE, b"not ready\n"
        exchange.start(status, b"", ((b"Content-Length", b"%d" % len(body)),))
        exchange.write(body)
        exchange.end()

    def _run_housekeeping(self) -> None:
        self._check_pause()
        self._budget_report.update()
        self._held_answers.resume()
        self._check_settings()
        self._adapter.expire()
        self._crashes.update()
        self._statements.expire(now=self._reactor.seconds())
        self._log_part_decisions()
        self._pool.close_expired()
        self._capacity_report.update()
        self._log_dropped_lines()
        self._counters.set_totals(
            store_calls=self._adapter.store_calls,
            connections=self._pool.n_opened,
            reports=self._peers.n_sent,
            in_progress=self._forwarder.in_progress,
            quarantined_parts=len(self._crashes.quarantined_parts()),
            resting_endpoints=self._count_standing(StatedStanding.RESTING),
            leaving_endpoints=self._count_standing(StatedStanding.LEAVING),
        )
        configuration = self._fleet.configuration
        if self.is_ready and not self._has_been_ready:
            self._has_been_ready = True
            self._log.write(
                LogEvent.PROCESS_READY,
                configuration=configuration.version,
                endpoints=len(self._fleet.endpoints.all),
            )

    def _count_standing(self, standing: StatedStanding) -> int:
        """Return how many announced endpoints stand so by their own statements."""
        now = self._reactor.seconds()
        return sum(
            self._statements.standing(endpoint.run, now=now) is standing
            for endpoint in self._fleet.endpoints.all
        )

    def _check_pause(self) -> None:
        """Read the published state again if this process or its VM was paused."""
        seconds = self._pauses.tick()
        if seconds:
            self._log.write(LogEvent.PROCESS_PAUSED, seconds=round(seconds, 2))
            self._adapter.refresh()

    def _check_settings(self) -> None:
        """Reload the settings if their file has changed; no signal is needed."""
        if self._settings_version is None:
            return
        version = self._settings_version()
        if version not in (0, self._loaded_settings_version):
            self._loaded_settings_version = version
            self.reload()

    def _log_dropped_lines(self) -> None:
        dropped = self._output.take_dropped() if self._output else 0
        if dropped:
            self._log.write(LogEvent.LOG_LINES_DROPPED, lines=dropped)

    def _log_part_decisions(self) -> None:
        for decision in self._crashes.take_decisions():
            log_part_decision(self._log, decision)

    def _observe_first_response(
        self, route: str, workspace: Workspace | None, seconds: float
    ) -> None:
        name = workspace.name if workspace else ""
        self._first_response_seconds.observe((route, name), seconds)
