"""One task for each request: where it goes, what may be repeated, how it ends."""

import random
from dataclasses import dataclass, field
from typing import Protocol as Interface

from twisted.internet.defer import CancelledError, Deferred

from bilberryring.core import ErrorCode, Fingerprint, RequestId, ServingError
from bilberryring.execution import RetryWindow
from bilberryring.fleet import (
    MILLISECONDS,
    AnnouncedEndpoint,
    EndpointId,
    FleetState,
    RequestKind,
    Route,
    Service,
    ServiceName,
    Workspace,
)
from bilberryring.gateway.caller_site import CallerExchange
from bilberryring.gateway.counters import GatewayCounters
from bilberryring.gateway.crash_record import CrashRecord, fingerprint_of
from bilberryring.gateway.endpoint_choice import Choice, EndpointChooser
from bilberryring.gateway.endpoint_connection import EndpointAnswer
from bilberryring.gateway.endpoint_pool import EndpointPool
from bilberryring.gateway.event_stream import EventStream
from bilberryring.gateway.messages import (
    AnswerData,
    AnswerEnd,
    AnswerFacts,
    AnswerHead,
    AttemptBroken,
    BreakReason,
    CallerFacts,
    CallerRequest,
    HeaderPairs,
    MemoryOrder,
    SendFacts,
)
from bilberryring.gateway.peer_view import EndpointDeath, PeerView
from bilberryring.gateway.refusals import (
    SOON_SECONDS,
    answer_failure,
    not_run,
    unknown,
)
from bilberryring.gateway.reservations import Hold, Reservations
from bilberryring.gateway.settings import GatewaySettings
from bilberryring.membership import EndpointHealth
from bilberryring.routing import WorkBook
from bilberryring.telemetry import EventLog, LogEvent

DEFAULT_PATIENCE = 60.0
"""Seconds that a caller waits who does not say how long."""
LAST_WORD_SECONDS = 0.15
"""Seconds past the deadline in which the endpoint's own answer to it is awaited."""
SHORTEST_SEND_SECONDS = 0.02
"""Time left below which a request is not sent."""
IDLE_SECONDS = 30.0
"""Idle time up to which a connection serves requests that may be repeated."""
IDLE_ONCE_SECONDS = 0.5
"""Idle time up to which one serves requests that may run once: the endpoint
closing it at that moment would leave the outcome unknown."""
MAX_HELD_BYTES = 1024 * 1024
"""Bytes of an answer that are held until it is whole, so that a cut one can be
repeated; larger answers are passed on as they come."""
FIRST_SILENCE_FACTOR = 2.0
"""Multiple of the first answer's objective after which a silent endpoint is
given up, where the request may be repeated."""
FIRST_SILENCE_SECONDS = 0.5
GAP_SILENCE_FACTOR = 3.0
"""Multiple of the gap objective after which a silent stream is given up."""
GAP_SILENCE_SECONDS = 0.25
HELD_BACK_SECONDS = 60.0
"""Seconds after which a request that ended endpoints may come again."""
HOPELESS_SHARE = 0.9
"""Share of the time left after which a predicted first token is refused."""
SERVER_ERROR = 500
SUCCESS = range(200, 300)


class HeaderCodec(Interface):
    """Translates headers between the platform and the gateway."""

    def decode_caller(self, headers: HeaderPairs) -> CallerFacts: ...

    def encode_send(self, headers: HeaderPairs, send: SendFacts) -> HeaderPairs: ...

    def decode_answer(self, status: int, headers: HeaderPairs) -> AnswerFacts: ...

    def encode_answer(self, headers: HeaderPairs) -> HeaderPairs: ...

    def encode_order(self, order: MemoryOrder) -> tuple[bytes, HeaderPairs, bytes]: ...


@dataclass(slots=True, kw_only=True)
class RequestRun:
    """One request on its way; `ends_at` is in own seconds."""

    exchange: CallerExchange
    request: CallerRequest
    facts: CallerFacts
    route: Route
    service: Service
    workspace: Workspace | None
    ends_at: float
    events: EventStream | None
    fingerprint: Fingerprint
    sends: int = 0
    unknown_sends: int = 0
    tried: set[EndpointId] = field(default_factory=set)
    first_answer_at: float | None = None
    last_data_at: float | None = None
    longest_gap: float = 0.0
    status: int = 0

    @property
    def request_id(self) -> RequestId:
        """The id that the caller gave."""
        return self.facts.request_id

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have begun to work on it."""
        return self.unknown_sends > 0


class _NotRun(Exception):
    """The endpoint said that it did not run the request."""

    def __init__(self, *, facts: AnswerFacts):
        self.facts = facts
        super().__init__(f"not_run: {facts.status}. Remedy: another endpoint.")


class _Repeatable(Exception):
    """The endpoint answered with a failure that another one may not have."""

    def __init__(self, *, head: AnswerHead, body: bytes):
        self.head = head
        self.body = body
        super().__init__(f"endpoint_error: {head.status}. Remedy: another endpoint.")


class Forwarder:
    """Owns the tasks of all requests in progress."""

    def __init__(
        self,
        *,
        reactor,
        settings: GatewaySettings,
        codec: HeaderCodec,
        fleet: FleetState,
        chooser: EndpointChooser,
        pool: EndpointPool,
        book: WorkBook,
        peers: PeerView,
        health: EndpointHealth,
        reservations: Reservations,
        crashes: CrashRecord,
        log: EventLog,
        on_work_changed,
        observe,
        counters: GatewayCounters,
    ):
        self._reactor = reactor
        self._settings = settings
        self._codec = codec
        self._fleet = fleet
        self._chooser = chooser
        self._pool = pool
        self._book = book
        self._peers = peers
        self._health = health
        self._reservations = reservations
        self._crashes = crashes
        self._log = log
        self._on_work_changed = on_work_changed
        self._observe = observe
        self._counters = counters
        self._windows: dict[ServiceName, RetryWindow] = {}
        self._tasks: set[Deferred] = set()
        self._is_draining = False
        self._refuses_new = False

    @property
    def in_progress(self) -> int:
        """The requests that are not answered yet."""
        return len(self._tasks)

    def drain(self) -> None:
        """Ask callers to use another connection from now on."""
        self._is_draining = True

    def refuse_new(self) -> None:
        """Answer new requests as not run: this process ends soon."""
        self._refuses_new = True

    def accept(self, exchange: CallerExchange) -> None:
        """Start the task of one request."""
        task = Deferred.fromCoroutine(self._serve(exchange))
        self._tasks.add(task)
        exchange.notifyFinish().addErrback(lambda _: self._caller_left(task))
        task.addBoth(lambda _: self._tasks.discard(task))

    def _caller_left(self, task: Deferred) -> None:
        task.cancel()

    async def _serve(self, exchange: CallerExchange) -> None:
        request = exchange.read_request()
        facts = self._codec.decode_caller(request.headers)
        if self._is_draining:
            exchange.close_after()
        run: RequestRun | None = None
        try:
            run = self._admit(exchange, request, facts)
            await self._forward(run)
            self._log_end(run)
        except ServingError as error:
            self._log_failure(facts, run, error)
            answer_failure(exchange, error, request_id=facts.request_id)
        except CancelledError:
            self._log.write(LogEvent.CALLER_LEFT, request=facts.request_id)
        except Exception as error:
            self._log.write(
                LogEvent.INTERNAL_FAULT, request=facts.request_id, detail=repr(error)
            )
            fault = unknown(ErrorCode.INTERNAL)
            answer_failure(exchange, fault, request_id=facts.request_id)

    def _admit(
        self, exchange: CallerExchange, request: CallerRequest, facts: CallerFacts
    ) -> RequestRun:
        """Return the request with its route, or refuse it."""
        configuration = self._fleet.configuration
        if self._refuses_new:
            raise not_run(ErrorCode.LEAVING, retry_after=SOON_SECONDS)
        if configuration is None:
            raise not_run(ErrorCode.NO_SET, retry_after=2 * SOON_SECONDS)
        if len(request.body) > configuration.limits.max_body_bytes:
            raise not_run(ErrorCode.BODY_TOO_LARGE)
        path = request.target.split(b"?", 1)[0].decode("latin-1")
        route = configuration.route_of(facts.host, path)
        if route is None:
            raise self._unknown(ErrorCode.PATH_UNKNOWN)
        workspace = self._workspace(facts, route)
        fingerprint = fingerprint_of(request, facts.key)
        if self._crashes.is_refused(fingerprint):
            raise not_run(ErrorCode.HELD_BACK, retry_after=HELD_BACK_SECONDS)
        service = self._service(route)
        patience = DEFAULT_PATIENCE if facts.patience is None else facts.patience
        is_stream = route.kind is RequestKind.STREAMING
        return RequestRun(
            exchange=exchange,
            request=request,
            facts=facts,
            route=route,
            service=service,
            workspace=workspace,
            ends_at=request.received_at + min(patience, route.timeout),
            events=EventStream(last_id=facts.last_event_id) if is_stream else None,
            fingerprint=fingerprint,
        )

    def _unknown(self, code: ErrorCode) -> ServingError:
        """Refuse what this process does not know, unless its view is old."""
        if self._fleet.stale_since is not None:
            return not_run(
                ErrorCode.NO_SET,
                detail="the published state cannot be read",
                retry_after=2 * SOON_SECONDS,
            )
        return not_run(code)

    def _workspace(self, facts: CallerFacts, route: Route) -> Workspace | None:
        configuration = self._fleet.configuration
        if not configuration.has_workspaces:
            return None
        found = configuration.workspace_of(facts.key) if facts.key else None
        if found is None and not route.is_anonymous:
            raise self._unknown(ErrorCode.KEY_UNKNOWN)
        return found

    def _service(self, route: Route) -> Service:
        """Draw a service by weight among those that exist."""
        services = self._fleet.configuration.services
        shares = [share for share in route.shares if share.service in services]
        if not shares:
            raise not_run(ErrorCode.NO_ENDPOINT, retry_after=1.0)
        drawn = random.choices(shares, weights=[share.weight for share in shares])
        return services[drawn[0].service]

    async def _forward(self, run: RequestRun) -> None:
        """Send the request until it is answered or must not be sent again."""
        self._window(run.service.name).record_request(now=self._reactor.seconds())
        while True:
            choice = self._choose(run)
            try:
                await self._attempt(run, choice)
                return
            except _NotRun as refused:
                self._note_refusal(run, choice, refused)
                self._check_repeat(run, cause=refused)
            except _Repeatable as failed:
                run.unknown_sends += 1
                self._health.record_failure(choice.endpoint.id)
                self._log_attempt_failed(run, choice, f"status_{failed.head.status}")
                if not self._may_repeat(run):
                    self._pass_on(run, failed.head, failed.body)
                    return
            except AttemptBroken as broken:
                run.unknown_sends += broken.was_sent
                self._note_break(run, choice, broken)
                self._check_repeat(run, cause=broken)

    def _choose(self, run: RequestRun) -> Choice:
        now = self._reactor.seconds()
        if run.ends_at - now < SHORTEST_SEND_SECONDS:
            raise self._out_of_time(run)
        choice = self._chooser.choose(
            route=run.route,
            service=run.service,
            facts=run.facts,
            excluded=frozenset(run.tried),
            now=now,
            seconds_left=run.ends_at - now,
        )
        if choice is None:
            raise self._without_endpoint(run)
        if not run.sends:
            _check_in_time(choice, run.ends_at - now)
        return choice

    async def _attempt(self, run: RequestRun, choice: Choice) -> None:
        endpoint = choice.endpoint
        run.tried.add(endpoint.id)
        self._book.place(choice.placed)
        self._on_work_changed()
        answer: EndpointAnswer | None = None
        hold: Hold | None = None
        is_whole = False
        try:
            if choice.holders:
                hold = await self._reservations.hold(
                    run.request_id, choice.holders, choice.holder_tokens
                )
            answer = await self._send(run, choice, hold)
            await self._relay(run, choice, answer)
            is_whole = True
            self._health.record_success(endpoint.id)
            self._crashes.clear(run.fingerprint)
        except (_NotRun, _Repeatable):
            is_whole = True
            raise
        finally:
            self._book.remove(choice.placed)
            self._on_work_changed()
            if answer is not None and not is_whole and self._may_abort(run):
                answer.abort()
            if hold is not None:
                hold.release()

    def _may_abort(self, run: RequestRun) -> bool:
        """Whether the endpoint may stop: a call that runs once may have begun."""
        return run.route.kind is not RequestKind.NON_IDEMPOTENT

    async def _send(
        self, run: RequestRun, choice: Choice, hold: Hold | None
    ) -> EndpointAnswer:
        may_repeat = run.route.may_repeat
        connection = await self._pool.acquire(
            choice.endpoint.address,
            most_idle=IDLE_SECONDS if may_repeat else IDLE_ONCE_SECONDS,
            timeout=run.ends_at - self._reactor.seconds(),
        )
        now = self._reactor.seconds()
        left = run.ends_at - now
        if left < SHORTEST_SEND_SECONDS or not self._is_still_usable(choice):
            raise AttemptBroken(reason=BreakReason.DEADLINE, was_sent=False)
        send = SendFacts(
            endpoint=choice.endpoint.id,
            seconds_left=left,
            workspace=run.workspace.name if run.workspace else None,
            helpers=_helper_names(choice, hold),
            resume_after=run.events.last_id if run.events else "",
        )
        run.sends += 1
        self._chooser.record_start(choice.endpoint.id, now=now)
        self._health.record_start(choice.endpoint.id, now=now)
        self._log_send(run, choice, left)
        expected = run.request_id

        def is_expected(head: AnswerHead) -> bool:
            facts = self._codec.decode_answer(head.status, head.headers)
            return facts.request_id is None or facts.request_id == expected

        return connection.send(
            method=run.request.method,
            target=run.request.target,
            headers=self._codec.encode_send(run.request.headers, send),
            body=run.request.body,
            is_expected=is_expected,
        )

    def _is_still_usable(self, choice: Choice) -> bool:
        return self._fleet.endpoints.is_usable(choice.endpoint.id)

    async def _relay(
        self, run: RequestRun, choice: Choice, answer: EndpointAnswer
    ) -> None:
        head = await answer.receive(timeout=self._first_silence(run, choice))
        facts = self._codec.decode_answer(head.status, head.headers)
        if facts.has_not_run:
            await self._read_rest(run, answer)
            raise _NotRun(facts=facts)
        if head.status in SUCCESS and (not facts.is_stamped or facts.is_encoded):
            raise AttemptBroken(reason=BreakReason.MALFORMED, was_sent=True)
        run.status = head.status
        if run.events is not None and head.status in SUCCESS:
            await self._relay_stream(run, choice, answer, head)
            return
        body = await self._read_rest(run, answer)
        if head.status >= SERVER_ERROR and run.route.may_repeat:
            raise _Repeatable(head=head, body=body)
        self._note_first_answer(run)
        self._pass_on(run, head, body)

    async def _read_rest(self, run: RequestRun, answer: EndpointAnswer) -> bytes:
        """Return the body once it is whole."""
        parts: list[bytes] = []
        while True:
            match await answer.receive(timeout=self._time_left(run)):
                case AnswerData(data):
                    parts.append(data)
                case AnswerEnd():
                    return b"".join(parts)

    def _pass_on(self, run: RequestRun, head: AnswerHead, body: bytes) -> None:
        """Give a whole answer to the caller."""
        exchange = run.exchange
        if exchange.is_gone:
            return
        if exchange.has_started:
            exchange.cut()
            return
        headers = (
            *self._codec.encode_answer(head.headers),
            (b"Content-Length", b"%d" % len(body)),
        )
        exchange.start(head.status, head.reason, headers)
        exchange.write(body)
        exchange.end()

    async def _relay_stream(
        self,
        run: RequestRun,
        choice: Choice,
        answer: EndpointAnswer,
        head: AnswerHead,
    ) -> None:
        exchange = run.exchange
        run.events.discard_partial()
        if not exchange.has_started:
            headers = self._codec.encode_answer(head.headers)
            exchange.start(head.status, head.reason, headers)
        exchange.throttle(answer.transport)
        timeout = self._first_silence(run, choice)
        while True:
            match await answer.receive(timeout=timeout):
                case AnswerData(data):
                    self._relay_data(run, choice, data)
                    timeout = self._gap_silence(run)
                case AnswerEnd():
                    rest = run.events.take_partial()
                    if rest and not exchange.is_gone:
                        exchange.write(rest)
                    exchange.end()
                    return

    def _relay_data(self, run: RequestRun, choice: Choice, data: bytes) -> None:
        whole = run.events.feed(data)
        self._note_gap(run)
        if choice.placed.is_reading:
            self._note_first_answer(run)
            self._book.mark_read(choice.placed)
            self._on_work_changed()
        if whole and not run.exchange.is_gone:
            run.exchange.write(whole)

    def _note_first_answer(self, run: RequestRun) -> None:
        if run.first_answer_at is None:
            run.first_answer_at = self._reactor.seconds()

    def _note_gap(self, run: RequestRun) -> None:
        now = self._reactor.seconds()
        if run.last_data_at is not None:
            run.longest_gap = max(run.longest_gap, now - run.last_data_at)
        run.last_data_at = now

    def _time_left(self, run: RequestRun) -> float:
        return run.ends_at - self._reactor.seconds() + LAST_WORD_SECONDS

    def _first_silence(self, run: RequestRun, choice: Choice) -> float:
        left = self._time_left(run)
        if not self._could_repeat(run):
            return left
        limit = run.route.first_answer_objective * FIRST_SILENCE_FACTOR
        limit = max(limit, choice.predicted_ms / 1_000.0 * 2) + FIRST_SILENCE_SECONDS
        return min(left, limit)

    def _gap_silence(self, run: RequestRun) -> float:
        left = self._time_left(run)
        gap = run.route.gap_objective
        if gap is None or not self._could_repeat(run):
            return left
        return min(left, gap * GAP_SILENCE_FACTOR + GAP_SILENCE_SECONDS)

    def _could_repeat(self, run: RequestRun) -> bool:
        return run.route.may_repeat and run.sends < run.route.max_endpoints

    def _may_repeat(self, run: RequestRun) -> bool:
        """Whether another send is allowed, and spend it."""
        now = self._reactor.seconds()
        if run.exchange.is_gone or run.sends >= run.route.max_endpoints:
            return False
        if run.ends_at - now < SHORTEST_SEND_SECONDS:
            return False
        if run.sends == 0:
            return True
        entries = self._peers.entry_count(now=now)
        return self._window(run.service.name).try_spend(now=now, entries=entries)

    def _check_repeat(self, run: RequestRun, *, cause: Exception) -> None:
        """Go on to another attempt, or raise the failure that the caller gets."""
        match cause:
            case _NotRun():
                if not self._may_repeat(run):
                    raise self._refusal(run, cause.facts)
            case AttemptBroken():
                is_safe = run.route.may_repeat or not run.may_have_run
                if not is_safe or not self._may_repeat(run):
                    raise self._broken(run, cause)

    def _refusal(self, run: RequestRun, facts: AnswerFacts) -> ServingError:
        if run.may_have_run:
            return unknown(ErrorCode.ENDPOINT_FAILED)
        wait = facts.retry_after or 2 * SOON_SECONDS
        return not_run(ErrorCode.QUEUE_FULL, retry_after=wait)

    def _broken(self, run: RequestRun, broken: AttemptBroken) -> ServingError:
        if self._reactor.seconds() >= run.ends_at - SHORTEST_SEND_SECONDS:
            return self._out_of_time(run)
        if not run.may_have_run:
            return self._without_endpoint(run)
        if run.route.may_repeat:
            return unknown(ErrorCode.ENDPOINT_FAILED, detail=broken.reason.value)
        return unknown(ErrorCode.OUTCOME_UNKNOWN, detail=broken.reason.value)

    def _out_of_time(self, run: RequestRun) -> ServingError:
        if run.may_have_run:
            return unknown(ErrorCode.DEADLINE_PASSED)
        return not_run(ErrorCode.TOO_LATE)

    def _without_endpoint(self, run: RequestRun) -> ServingError:
        if run.may_have_run:
            return unknown(ErrorCode.ENDPOINT_FAILED)
        return not_run(ErrorCode.NO_ENDPOINT, retry_after=2 * SOON_SECONDS)

    def _note_refusal(self, run: RequestRun, choice: Choice, refused: _NotRun) -> None:
        self._log_attempt_failed(
            run,
            choice,
            f"not_run_{refused.facts.status}",
            culprit=refused.facts.culprit,
        )
        if refused.facts.is_misdirected:
            self._health.record_break(choice.endpoint.id, now=self._reactor.seconds())
            return
        self._health.record_failure(self._culprit(choice, refused.facts.culprit))

    def _culprit(self, choice: Choice, address: str) -> EndpointId:
        """Return the endpoint at an address that was named as the one at fault."""
        for helper in choice.helpers:
            if address in (helper.address, helper.id):
                now = self._reactor.seconds()
                self._health.record_break(helper.id, now=now)
                return helper.id
        return choice.endpoint.id

    def _note_break(
        self, run: RequestRun, choice: Choice, broken: AttemptBroken
    ) -> None:
        self._log_attempt_failed(run, choice, broken.reason.value)
        if broken.was_sent and broken.reason is BreakReason.CLOSED:
            Deferred.fromCoroutine(self._check_death(run, choice.endpoint))
        if broken.reason not in (BreakReason.DEADLINE, BreakReason.NO_MEMORY):
            self._health.record_break(choice.endpoint.id, now=self._reactor.seconds())

    async def _check_death(self, run: RequestRun, endpoint: AnnouncedEndpoint) -> None:
        """Hold the request against its endpoint's end, if it has ended."""
        if await self._pool.can_connect(endpoint.address):
            return
        death = EndpointDeath(
            death=f"{endpoint.id}/{endpoint.born}", fingerprints=(run.fingerprint,)
        )
        self._crashes.record(death)
        self._log.write(
            LogEvent.PROMPT_SUSPECTED, request=run.request_id, endpoint=endpoint.id
        )

    def _window(self, service: ServiceName) -> RetryWindow:
        window = self._windows.get(service)
        if window is None:
            bounds = self._settings.bounds
            window = RetryWindow(
                ratio=bounds.retry_ratio,
                slack=bounds.retry_slack,
                seconds=bounds.retry_window,
            )
            self._windows[service] = window
        return window

    def _log_send(self, run: RequestRun, choice: Choice, left: float) -> None:
        self._log.write(
            LogEvent.ATTEMPT_STARTED,
            request=run.request_id,
            route=run.route.name,
            endpoint=choice.endpoint.id,
            attempt=run.sends,
            helpers=len(choice.helpers),
            prompt_tokens=run.facts.prompt_tokens,
            predicted_ms=round(choice.predicted_ms),
            left_ms=round(left * 1_000),
            configuration=self._fleet.configuration.version,
        )

    def _log_attempt_failed(
        self, run: RequestRun, choice: Choice, reason: str, culprit: str = ""
    ) -> None:
        self._counters.count_failed_attempt(reason)
        self._log.write(
            LogEvent.ATTEMPT_FAILED,
            request=run.request_id,
            endpoint=choice.endpoint.id,
            attempt=run.sends,
            reason=reason,
            culprit=culprit,
            helpers=[helper.id for helper in choice.helpers],
        )

    def _log_end(self, run: RequestRun) -> None:
        now = self._reactor.seconds()
        first = run.first_answer_at or now
        first_seconds = first - run.request.received_at
        self._observe(run.route.name, run.workspace, first_seconds)
        self._counters.count_request(run.route.name, str(run.status))
        self._log.write(
            LogEvent.REQUEST_FINISHED,
            request=run.request_id,
            status=run.status,
            first_ms=round(first_seconds * 1_000),
            gap_ms=round(run.longest_gap * 1_000),
            total_ms=round((now - run.request.received_at) * 1_000),
        )

    def _log_failure(
        self, facts: CallerFacts, run: RequestRun | None, error: ServingError
    ) -> None:
        route = run.route.name if run else ""
        self._counters.count_request(route, error.code.value)
        self._log.write(
            LogEvent.REQUEST_FAILED,
            request=facts.request_id,
            route=route,
            code=error.code.value,
            outcome=error.outcome.value,
            sends=run.sends if run else 0,
            retry_after=error.retry_after,
            detail=error.detail,
        )


def _check_in_time(choice: Choice, seconds_left: float) -> None:
    """Refuse at once what would not begin before its caller gives up."""
    predicted = choice.predicted_ms / MILLISECONDS
    if predicted <= HOPELESS_SHARE * seconds_left:
        return
    backlog = choice.backlog_ms / MILLISECONDS
    raise not_run(
        ErrorCode.TOO_LATE,
        detail=f"the first token would come in {predicted:.1f} s",
        retry_after=max(SOON_SECONDS, backlog) if backlog else None,
    )


def _helper_names(choice: Choice, hold: Hold | None) -> tuple[str, ...]:
    """Return the helpers' addresses, with the reservations that they keep."""
    tickets = hold.tickets if hold else {}
    return tuple(
        f"{helper.address}/{tickets[helper.address]}"
        if helper.address in tickets
        else helper.address
        for helper in choice.helpers
    )
