"""The tasks of all requests: where each goes, what is repeated, how it ends."""

from twisted.internet.defer import CancelledError, Deferred

from bilberryring.core import ErrorCode, ServingError
from bilberryring.fleet import AnnouncedEndpoint, EndpointId
from bilberryring.gateway.attempts import AttemptRunner
from bilberryring.gateway.caller_site import CallerExchange
from bilberryring.gateway.crash_record import CrashRecord
from bilberryring.gateway.endpoint_choice import Choice, EndpointChooser
from bilberryring.gateway.endpoint_pool import EndpointPool
from bilberryring.gateway.messages import AttemptBroken, BreakReason
from bilberryring.gateway.peer_view import EndpointDeath
from bilberryring.gateway.refusals import answer_failure, unknown
from bilberryring.gateway.repeat_rules import (
    SHORTEST_SEND_SECONDS,
    RepeatRules,
    check_in_time,
)
from bilberryring.gateway.request_gate import RequestGate
from bilberryring.gateway.request_log import RequestLog
from bilberryring.gateway.request_run import (
    HeaderCodec,
    NotRun,
    Repeatable,
    RequestRun,
)
from bilberryring.membership import EndpointHealth
from bilberryring.telemetry import LogEvent


class Forwarder:
    """Owns the tasks of all requests in progress."""

    def __init__(
        self,
        *,
        reactor,
        codec: HeaderCodec,
        gate: RequestGate,
        rules: RepeatRules,
        chooser: EndpointChooser,
        attempts: AttemptRunner,
        pool: EndpointPool,
        health: EndpointHealth,
        crashes: CrashRecord,
        log: RequestLog,
    ):
        self._reactor = reactor
        self._codec = codec
        self._gate = gate
        self._rules = rules
        self._chooser = chooser
        self._attempts = attempts
        self._pool = pool
        self._health = health
        self._crashes = crashes
        self._log = log
        self._tasks: set[Deferred] = set()
        self._is_draining = False

    @property
    def in_progress(self) -> int:
        """The requests that are not answered yet."""
        return len(self._tasks)

    def drain(self) -> None:
        """Ask callers to use another connection from now on."""
        self._is_draining = True

    def refuse_new(self) -> None:
        """Answer new requests as not run: this process ends soon."""
        self._gate.refuse_new()

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
            run = self._gate.admit(exchange, request, facts)
            try:
                await self._forward(run)
            except ServingError as error:
                self._answer_with_failure(run, error)
            self._log.end(run)
        except ServingError as error:
            self._log.failure(facts, run, error)
            answer_failure(exchange, error, request_id=facts.request_id)
        except CancelledError:
            self._log.write(LogEvent.CALLER_LEFT, facts)
        except Exception as error:
            self._log.write(LogEvent.INTERNAL_FAULT, facts, detail=repr(error))
            fault = unknown(ErrorCode.INTERNAL)
            answer_failure(exchange, fault, request_id=facts.request_id)

    async def _forward(self, run: RequestRun) -> None:
        """Send the request until it is answered or must not be sent again."""
        self._rules.record_request(run)
        while True:
            choice = self._choose(run)
            try:
                await self._attempts.attempt(run, choice)
                return
            except NotRun as refused:
                self._note_refusal(run, choice, refused)
                self._rules.check_repeat(run, cause=refused)
            except Repeatable as failed:
                run.unknown_sends += 1
                run.endpoint_failure = failed
                self._health.record_failure(choice.endpoint.id)
                self._log.attempt_failed(run, choice, f"status_{failed.head.status}")
                if not self._rules.may_repeat(run):
                    self._attempts.pass_on(run, failed.head, failed.body)
                    return
            except AttemptBroken as broken:
                run.unknown_sends += broken.was_sent
                self._note_break(run, choice, broken)
                self._rules.check_repeat(run, cause=broken)

    def _answer_with_failure(self, run: RequestRun, error: ServingError) -> None:
        """Give the caller the failure that an endpoint answered, if there is one."""
        failed = run.endpoint_failure
        if failed is None or run.exchange.has_started:
            raise error
        run.status = failed.head.status
        self._attempts.pass_on(run, failed.head, failed.body)

    def _choose(self, run: RequestRun) -> Choice:
        now = self._reactor.seconds()
        if run.ends_at - now < SHORTEST_SEND_SECONDS:
            raise self._rules.out_of_time(run)
        choice = self._choose_among(run, frozenset(run.tried), now)
        if choice is None and run.endpoint_failure is not None:
            choice = self._choose_among(run, frozenset(), now)
        if choice is None:
            raise self._rules.without_endpoint(run)
        if not run.sends:
            check_in_time(choice, run.ends_at - now)
        return choice

    def _choose_among(
        self, run: RequestRun, excluded: frozenset[EndpointId], now: float
    ) -> Choice | None:
        return self._chooser.choose(
            route=run.route,
            service=run.service,
            workspace=run.workspace,
            facts=run.facts,
            excluded=excluded,
            now=now,
            seconds_left=run.ends_at - now,
        )

    def _note_refusal(self, run: RequestRun, choice: Choice, refused: NotRun) -> None:
        self._log.attempt_failed(
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
        self._log.attempt_failed(run, choice, broken.reason.value)
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
        self._log.write(LogEvent.PROMPT_SUSPECTED, run.facts, endpoint=endpoint.id)
