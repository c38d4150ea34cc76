"""Handling of callers' requests: admission, attempts with retries, and responses."""

import math

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from bilberryring.admission import PlannedStop
from bilberryring.core import ErrorCode, RequestId, ServingError
from bilberryring.execution import SilenceDecision, StreamEnd
from bilberryring.fleet import MS_PER_SECOND, AnnouncedEndpoint, EndpointId
from bilberryring.gateway.attempts import AttemptRunner
from bilberryring.gateway.caller_site import CallerExchange
from bilberryring.gateway.connection_pool import LISTENER_SECONDS, ConnectionPool
from bilberryring.gateway.crash_record import CrashRecord
from bilberryring.gateway.endpoint_choice import Choice, EndpointChooser
from bilberryring.gateway.late_requests import deadline_in_stop, predicted_seconds
from bilberryring.gateway.messages import (
    AttemptError,
    CallerMetadata,
    FailureReason,
)
from bilberryring.gateway.peer_view import EndpointDeath
from bilberryring.gateway.refusals import (
    RETRY_AFTER_SECONDS,
    held_back,
    not_run,
    outcome_unknown,
    send_error,
)
from bilberryring.gateway.repeat_rules import (
    MIN_SEND_SECONDS,
    RetryPolicy,
    check_deadline,
    is_in_time,
)
from bilberryring.gateway.request_context import (
    Attempt,
    HeaderCodec,
    NotRun,
    RequestContext,
    RetryableFailure,
)
from bilberryring.gateway.request_gate import RequestGate
from bilberryring.gateway.request_log import RequestLog
from bilberryring.gateway.running_attempts import (
    AttemptEnded,
    AttemptSilent,
    ConfirmationOverdue,
    RunningAttempts,
    StopEnded,
)
from bilberryring.gateway.statement_recorder import StatementRecorder
from bilberryring.membership import EndpointHealth
from bilberryring.process.waiting import wait_at_most
from bilberryring.telemetry import LogEvent

HARMLESS_REASONS = (
    FailureReason.DEADLINE,
    FailureReason.END_UNKNOWN,
    FailureReason.NO_MEMORY,
    FailureReason.NO_RETRY,
    FailureReason.QUARANTINED,
    FailureReason.WITHDRAWN,
)
"""Why an attempt can fail without a fault of the endpoint."""
SUPERSEDED = "superseded"
"""The reason of an attempt that ended because another one had answered, or had sent the
request first."""
MAX_UNSENT_BESIDE = 1
"""Number of attempts beside another one that may order memory at the same time."""
REPLACEMENT_SLOT_SHARE = 0.5
"""Share of an engine's slots in use from which it gets no request whose endpoint is
only busy. In a burst all engines are, and a repeat would make others wait."""
CONFIRMATION_PATIENCE_SHARE = 0.5
"""Share of a caller's patience for which it waits for the end mark of a stream, while
another endpoint is asked whether it has more."""
BEGIN_SECONDS = 1.0
"""Seconds of writing after which an answer no longer counts as just begun."""
DEATH_CHECK_SECONDS = 0.1
"""Longest time in seconds for which another attempt waits for the check whether the
endpoint crashed. An endpoint that refuses connections does so within milliseconds."""


UNREAD_REQUEST = CallerMetadata(
    request_id=RequestId(""),
    host="",
    key=None,
    timeout=None,
    prompt_tokens=0,
    max_tokens=0,
    last_event_id="",
)
"""The metadata of a request whose headers could not be decoded."""


class Forwarder:
    """Runs one task for each request in progress."""

    def __init__(
        self,
        *,
        reactor,
        codec: HeaderCodec,
        gate: RequestGate,
        retry_policy: RetryPolicy,
        chooser: EndpointChooser,
        attempts: AttemptRunner,
        pool: ConnectionPool,
        health: EndpointHealth,
        crashes: CrashRecord,
        statements: StatementRecorder,
        log: RequestLog,
    ):
        self._reactor = reactor
        self._codec = codec
        self._gate = gate
        self._retry_policy = retry_policy
        self._chooser = chooser
        self._attempts = attempts
        self._pool = pool
        self._health = health
        self._crashes = crashes
        self._statements = statements
        self._log = log
        self._tasks: set[Deferred] = set()
        self._running: set[RunningAttempts] = set()
        self._stop: PlannedStop | None = None
        self._has_stopped = False

    @property
    def in_progress(self) -> int:
        """The number of requests in progress."""
        return len(self._tasks)

    def end_earlier_runs(self, endpoint: AnnouncedEndpoint) -> None:
        """End the attempts at earlier runs of an endpoint that has started."""
        self._attempts.end_earlier_runs(endpoint)

    def drain(self, stop: PlannedStop) -> None:
        """Send only what can end before the stop does.

        Each caller's connection is closed after the response to its next request.
        """
        self._stop = stop
        self._log.begin_stop(signalled_at=stop.signalled_at)

    def refuse_new(self) -> None:
        """Refuse new requests with the outcome "not run": the process exits soon."""
        self._gate.refuse_new()

    def end_all(self) -> None:
        """Answer all requests in progress, as the process exits."""
        self._has_stopped = True
        for running in tuple(self._running):
            running.end_stop()

    def accept(self, exchange: CallerExchange) -> None:
        """Start the task of one request."""
        task = Deferred.fromCoroutine(self._serve(exchange))
        self._tasks.add(task)
        exchange.notifyFinish().addErrback(lambda _: self._cancel(task))
        task.addErrback(self._end_failed_task, exchange)
        task.addBoth(lambda _: self._tasks.discard(task))

    def _cancel(self, task: Deferred) -> None:
        task.cancel()

    def _end_failed_task(self, failure: Failure, exchange: CallerExchange) -> None:
        """Close the connection of a request whose error could not be handled."""
        exchange.abort()
        detail = repr(failure.value)
        self._log.write(LogEvent.INTERNAL_FAULT, UNREAD_REQUEST, detail=detail)

    async def _serve(self, exchange: CallerExchange) -> None:
        metadata = UNREAD_REQUEST
        context: RequestContext | None = None
        if self._stop is not None:
            exchange.close_after_response()
        try:
            request = exchange.read_request()
            metadata = self._codec.decode_request_headers(request.headers)
            context = self._gate.admit(exchange, request, metadata)
            try:
                await self._forward(context)
            except ServingError as error:
                self._end_without_answer(context, error)
            self._log.request_finished(context)
        except ServingError as error:
            may_be_complete = (
                context is not None and context.known_end.end is StreamEnd.UNKNOWN
            )
            if may_be_complete and exchange.has_started:
                exchange.leave_incomplete()
            else:
                send_error(exchange, error, request_id=metadata.request_id)
            self._log.request_failed(metadata, context, error, exchange.delivery)
        except CancelledError as error:
            if exchange.has_caller_left:
                self._log.caller_left(
                    metadata, context, exchange.delivery, exchange.closed_by
                )
            else:
                self._send_internal_error(exchange, metadata, context, error)
        except Exception as error:
            self._send_internal_error(exchange, metadata, context, error)

    def _send_internal_error(
        self,
        exchange: CallerExchange,
        metadata: CallerMetadata,
        context: RequestContext | None,
        error: Exception,
    ) -> None:
        internal_error = outcome_unknown(ErrorCode.INTERNAL)
        send_error(exchange, internal_error, request_id=metadata.request_id)
        self._log.write(LogEvent.INTERNAL_FAULT, metadata, detail=repr(error))
        self._log.request_failed(metadata, context, internal_error, exchange.delivery)

    async def _forward(self, context: RequestContext) -> None:
        """Make attempts until one succeeds or the request must not be retried."""
        self._retry_policy.record_request(context)
        running = RunningAttempts(
            run=lambda attempt: self._attempts.run(context, attempt, running),
            on_superseded=lambda attempt: self._record_superseded(context, attempt),
            on_fault=lambda error: self._record_fault(context, error),
        )
        self._running.add(running)
        try:
            self._start_attempt(context, running)
            while True:
                match await running.next_event():
                    case StopEnded():
                        raise self._stop_error(context, running)
                    case ConfirmationOverdue():
                        if context.known_end.end is StreamEnd.PRESUMED:
                            raise outcome_unknown(ErrorCode.ENDPOINT_FAILED)
                    case AttemptSilent(attempt=attempt):
                        self._handle_silence(context, attempt, running)
                    case AttemptEnded(error=None):
                        return
                    case AttemptEnded(attempt=attempt, error=error):
                        await self._record_attempt_error(
                            context, attempt, error, running
                        )
                        if running.are_over:
                            self._check_retry(context, error)
                            self._limit_confirmation(context, running)
                            self._start_attempt(context, running)
        finally:
            self._running.discard(running)
            running.cancel()

    def _limit_confirmation(
        self, context: RequestContext, running: RunningAttempts
    ) -> None:
        """Bound the wait for an end to be confirmed, so that no caller leaves in it."""
        patience = context.route.patience_seconds
        if context.known_end.end is not StreamEnd.PRESUMED or math.isinf(patience):
            return
        ends_at = context.silent_since + CONFIRMATION_PATIENCE_SHARE * patience
        seconds = max(0.0, ends_at - self._reactor.seconds())
        running.end_confirmation_after(seconds, clock=self._reactor)

    def _stop_error(
        self, context: RequestContext, running: RunningAttempts
    ) -> ServingError:
        """Return the error for a request that cannot end before the process does."""
        context.exchange.close_after_response()
        if context.may_have_run or running.may_have_run:
            return outcome_unknown(
                ErrorCode.OUTCOME_UNKNOWN, detail="the gateway shuts down"
            )
        return not_run(ErrorCode.LEAVING, retry_after=RETRY_AFTER_SECONDS)

    def _start_attempt(self, context: RequestContext, running: RunningAttempts) -> None:
        """Start an attempt, or raise `ServingError` if there is no endpoint for it."""
        if self._has_stopped:
            raise self._stop_error(context, running)
        self._check_quarantine(context)
        choice = self._choose(context)
        if not self._fits_stop(context, choice):
            raise self._stop_error(context, running)
        self._start_at(context, running, choice)

    def _start_at(
        self, context: RequestContext, running: RunningAttempts, choice: Choice
    ) -> None:
        self._chooser.record_choice(choice, now=self._reactor.seconds())
        stream = context.stream.resumed() if context.stream else None
        running.start(Attempt(choice=choice, stream=stream))

    def _fits_stop(self, context: RequestContext, choice: Choice) -> bool:
        """Return whether the request may be sent; limits its deadline if so."""
        if self._stop is None:
            return True
        has_begun = context.exchange.has_started
        seconds = predicted_seconds(
            route=context.route,
            service=context.service,
            metadata=context.metadata,
            choice=choice,
            has_begun=has_begun,
        )
        deadline = deadline_in_stop(
            self._stop,
            deadline=context.deadline,
            route=context.route,
            now=self._reactor.seconds(),
            predicted_seconds=seconds,
            has_begun=has_begun,
        )
        if deadline is None:
            return False
        context.deadline = deadline
        return True

    def _check_retry(self, context: RequestContext, error: Exception) -> None:
        """Return if another attempt may follow the one that ended with `error`.

        Otherwise raises the error to send to the caller.
        """
        match error:
            case NotRun():
                self._retry_policy.check_retry(
                    context, cause=error, seconds=self._seconds_until_start(context)
                )
            case AttemptError():
                self._retry_policy.check_retry(context, cause=error)
            case RetryableFailure():
                if not self._retry_policy.may_retry(context):
                    raise outcome_unknown(ErrorCode.ENDPOINT_FAILED)
            case _:
                raise outcome_unknown(ErrorCode.INTERNAL)

    def _handle_silence(
        self, context: RequestContext, attempt: Attempt, running: RunningAttempts
    ) -> None:
        """Start another attempt beside silent ones if that one can answer in time.

        The silent ones go on: their endpoints may be sound.
        """
        if not running.are_all_silent:
            return
        choice = self._choose_successor(
            context, running, must_be_in_time=attempt.is_excused
        )
        decision = (
            choice if isinstance(choice, SilenceDecision) else SilenceDecision.SUCCESSOR
        )
        is_logged = isinstance(choice, Choice) or not attempt.is_excused
        if is_logged and attempt.silence_decision is not decision:
            self._log.attempt_silent(context, attempt, decision)
            attempt.silence_decision = decision
        if isinstance(choice, Choice):
            self._start_at(context, running, choice)

    def _choose_successor(
        self,
        context: RequestContext,
        running: RunningAttempts,
        *,
        must_be_in_time: bool,
    ) -> Choice | SilenceDecision:
        """Return where a silent request goes as well.

        If the silent endpoint is only busy, another one must be predicted to answer
        before the caller leaves: in a burst all are busy, and repeats help nobody.
        """
        if running.n_unsent > MAX_UNSENT_BESIDE:
            return SilenceDecision.NOT_ALLOWED
        if not self._retry_policy.allows_another(context):
            return SilenceDecision.NOT_ALLOWED
        if self._is_quarantined(context):
            return SilenceDecision.QUARANTINED
        now = self._reactor.seconds()
        choice = self._choose_among(
            context, frozenset(context.tried_endpoints), now, allows_avoided=False
        )
        if choice is None or not is_in_time(choice, context.deadline - now):
            return SilenceDecision.NO_ENDPOINT
        if must_be_in_time and not self._answers_before_leaving(context, choice, now):
            return SilenceDecision.NO_ENDPOINT
        if not self._retry_policy.may_retry(context):
            return SilenceDecision.NO_BUDGET
        if not self._fits_stop(context, choice):
            return SilenceDecision.NOT_ALLOWED
        return choice

    def _answers_before_leaving(
        self, context: RequestContext, choice: Choice, now: float
    ) -> bool:
        """Whether a choice is predicted to answer before the caller leaves.

        Its engine needs free slots: others may place prompts there too.
        """
        engine = context.service.engine
        if engine is not None:
            work = self._chooser.work(choice.endpoint.id, now=now)
            if work.requests >= REPLACEMENT_SLOT_SHARE * engine.slots:
                return False
        return now + choice.predicted_ms / MS_PER_SECOND <= context.leaves_at

    def _record_superseded(self, context: RequestContext, attempt: Attempt) -> None:
        """Record an attempt that ends because another one has answered."""
        if attempt.number and context.stream is not None:
            context.replaced_endpoint = attempt.endpoint
        if not attempt.is_silent or attempt.is_excused or not attempt.number:
            self._log.attempt_failed(context, attempt, SUPERSEDED)
            return
        self._log.attempt_failed(context, attempt, FailureReason.SILENT.value)
        self._health.record_broken_attempt(
            attempt.endpoint, now=self._reactor.seconds()
        )

    def _record_fault(self, context: RequestContext, error: Exception) -> None:
        self._log.write(LogEvent.INTERNAL_FAULT, context.metadata, detail=repr(error))

    async def _record_attempt_error(
        self,
        context: RequestContext,
        attempt: Attempt,
        error: Exception,
        running: RunningAttempts,
    ) -> None:
        """Record why an attempt ended; raises an error that is for the caller.

        None is while another attempt runs, which may have an answer.
        """
        match error:
            case ServingError():
                if running.are_over:
                    raise error
                self._log.attempt_failed(context, attempt, error.code.value)
            case NotRun():
                self._record_refusal(context, attempt, error)
            case RetryableFailure():
                context.unknown_sends += 1
                context.failure_response = error
                self._health.record_failure(attempt.endpoint)
                status = error.head.status
                self._log.attempt_failed(context, attempt, f"status_{status}")
            case AttemptError():
                context.unknown_sends += error.was_sent
                await self._record_break(context, attempt, error)
            case _:
                context.unknown_sends += attempt.number > 0
                self._record_fault(context, error)

    def _end_without_answer(self, context: RequestContext, error: ServingError) -> None:
        """End a request whose attempts are over without a complete answer.

        A stream that is presumed complete ends as such. Otherwise the caller gets the
        last failure response of an endpoint. Raises `error` if there is none or another
        response has been started.
        """
        if context.known_end.end is StreamEnd.PRESUMED:
            self._attempts.complete_stream(context)
            return
        failed = context.failure_response
        if failed is None or context.exchange.has_started:
            raise error
        context.status = failed.head.status
        self._attempts.send_to_caller(context, failed.head, failed.body)

    def _check_quarantine(self, context: RequestContext) -> None:
        """Raise `ServingError` if endpoints crashed under the request or its prompt."""
        if self._crashes.is_quarantined(
            context.fingerprint, is_sent_once=context.route.is_sent_once
        ):
            raise held_back(
                "endpoints crashed under the request",
                retry_after=self._crashes.seconds_left(context.fingerprint),
                may_have_run=context.may_have_run,
            )
        part = self._crashes.quarantined_part(context.metadata.shared_parts)
        if part is not None:
            raise held_back(
                f"prompt part {part}",
                retry_after=self._crashes.part_seconds_left(part),
                may_have_run=context.may_have_run,
            )

    def _is_quarantined(self, context: RequestContext) -> bool:
        try:
            self._check_quarantine(context)
        except ServingError:
            return True
        return False

    def _choose(self, context: RequestContext) -> Choice:
        now = self._reactor.seconds()
        if context.deadline - now < MIN_SEND_SECONDS:
            raise self._retry_policy.deadline_error(context)
        choice = None
        if self._retry_policy.allows_another(context):
            choice = self._choose_among(
                context, frozenset(context.tried_endpoints), now
            )
            if choice is None and context.failure_response is not None:
                choice = self._choose_among(context, frozenset(), now)
        if choice is None and self._retry_policy.allows_return(context):
            choice = self._choose_replaced(context, now)
        if choice is None:
            seconds = self._seconds_until_start(context)
            self._statements.log_refusal(context, seconds)
            raise self._retry_policy.no_endpoint_error(context, seconds=seconds)
        if not context.sends:
            check_deadline(choice, context.deadline - now)
        return choice

    def _choose_replaced(self, context: RequestContext, now: float) -> Choice | None:
        """Return to an endpoint that another one replaced, which has broken off.

        It is sent the request anew: the caller has events of the run that replaced it.
        """
        among = frozenset({context.replaced_endpoint})
        context.replaced_endpoint = None
        return self._choose_among(context, frozenset(), now, among=among)

    def _seconds_until_start(self, context: RequestContext) -> float | None:
        return self._chooser.seconds_until_start(
            route=context.route,
            service=context.service,
            workspace=context.workspace,
            now=self._reactor.seconds(),
        )

    def _choose_among(
        self,
        context: RequestContext,
        excluded: frozenset[EndpointId],
        now: float,
        *,
        allows_avoided: bool = True,
        among: frozenset[EndpointId] | None = None,
    ) -> Choice | None:
        return self._chooser.choose(
            route=context.route,
            service=context.service,
            workspace=context.workspace,
            metadata=context.metadata,
            excluded=excluded,
            now=now,
            seconds_left=context.deadline - now,
            allows_avoided=allows_avoided,
            among=among,
        )

    def _record_refusal(
        self, context: RequestContext, attempt: Attempt, refused: NotRun
    ) -> None:
        context.not_run_sends += 1
        self._log.attempt_failed(
            context,
            attempt,
            f"not_run_{refused.metadata.status}",
            culprit=refused.metadata.culprit,
        )
        if refused.metadata.is_misdirected:
            self._health.record_broken_attempt(
                attempt.endpoint, now=self._reactor.seconds()
            )
            return
        culprit = self._resolve_culprit(attempt.choice, refused.metadata.culprit)
        if not refused.metadata.rest:
            self._health.record_failure(culprit)

    def _resolve_culprit(self, choice: Choice, address: str) -> EndpointId:
        """Return the endpoint at fault for a refusal; record a break if it is a helper.

        `address` is what the refusing endpoint named as the cause; it may be empty. If
        it is none of the helpers, the refusing endpoint itself is at fault.
        """
        for helper in choice.helpers:
            if address in (helper.address, helper.id):
                now = self._reactor.seconds()
                self._health.record_broken_attempt(helper.id, now=now)
                return helper.id
        return choice.endpoint.id

    async def _record_break(
        self, context: RequestContext, attempt: Attempt, error: AttemptError
    ) -> None:
        self._log.attempt_failed(context, attempt, error.reason.value)
        if error.reason not in HARMLESS_REASONS:
            self._health.record_broken_attempt(
                attempt.endpoint, now=self._reactor.seconds()
            )
        if error.was_sent and error.reason is FailureReason.CLOSED:
            check = Deferred.fromCoroutine(self._check_death(context, attempt))
            check.addErrback(lambda failure: self._record_fault(context, failure.value))
            await wait_at_most(check, seconds=DEATH_CHECK_SECONDS, clock=self._reactor)

    async def _check_death(self, context: RequestContext, attempt: Attempt) -> None:
        """Suspect the request of a crash if the endpoint accepts no new connection.

        Its prompt can be the cause only if the endpoint refuses connections, and had
        not been writing the answer for a while. An endpoint that does not respond at
        all may be cut off; if it was silent before, nothing tells of a crash.
        """
        was_silent = attempt.is_silent and not attempt.is_excused
        sent_before = self._reactor.seconds() - attempt.sent_at
        endpoint = attempt.choice.endpoint
        had_begun = self._had_begun(attempt)
        failure = await self._pool.connection_failure(
            endpoint.address, lasting=LISTENER_SECONDS
        )
        if failure is None or (was_silent and failure is not FailureReason.REFUSED):
            return
        is_candidate = failure is FailureReason.REFUSED and not had_begun
        death = EndpointDeath(
            death=endpoint.run,
            fingerprints=(context.fingerprint,),
            parts=context.metadata.shared_parts if is_candidate else (),
            were_suspects=attempt.was_suspect,
            sent_before=sent_before if failure is FailureReason.REFUSED else math.inf,
        )
        self._crashes.record(death)
        self._log.prompt_suspected(
            context,
            endpoint.id,
            crashes=self._crashes.crash_count(context.fingerprint),
            memory_seconds=self._crashes.memory_seconds,
            sent_before=sent_before,
        )

    def _had_begun(self, attempt: Attempt) -> bool:
        """Whether the endpoint had been writing the answer for a while."""
        if attempt.answer_began_at is None:
            return False
        return self._reactor.seconds() - attempt.answer_began_at >= BEGIN_SECONDS
