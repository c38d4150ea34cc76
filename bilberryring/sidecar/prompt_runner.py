"""The task that runs prompts on the one engine beside the sidecar."""

import math
from collections.abc import Callable

from bilberryring.adapters import (
    CancelRequest,
    EngineClient,
    EngineError,
    GenerateRequest,
    Generation,
    GenerationEnd,
)
from bilberryring.admission import (
    AdmissionLoad,
    EndpointLimits,
    PromptAdmission,
    PromptRefusal,
    PromptWork,
    Queued,
    WorkKey,
)
from bilberryring.core import ErrorCode, Fingerprint, RunOutcome
from bilberryring.objects import ObjectSet
from bilberryring.process.engine_death_broadcaster import EngineDeathBroadcaster
from bilberryring.process.loops import make_loop, start_task
from bilberryring.quarantine import (
    PromptStanding,
    SuspectQuestion,
    SuspectState,
    SuspectTurns,
)
from bilberryring.sidecar.attempt import AttemptState, PromptAttempt
from bilberryring.sidecar.attempt_answers import (
    outcome_of,
    send_finished,
    send_held,
    send_refused,
    work_key,
)
from bilberryring.sidecar.engine_watch import (
    FAILED_POLLS_UNTIL_LOST,
    POLL_SECONDS,
    EngineWatch,
)
from bilberryring.sidecar.peer import PeerLink
from bilberryring.sidecar.span_lead import build_span_lead, start_gathering
from bilberryring.sidecar.tombstones import Tombstones
from bilberryring.telemetry import EventLog, LogEvent
from bilberryring.wire import (
    Cancel,
    EngineDeath,
    Hello,
    LinkProtocol,
    PromptPart,
    RunPrompt,
    SuspectAnswer,
    SuspectQuery,
)

DISPATCH_SECONDS = 0.05
WRITING_SECONDS = FAILED_POLLS_UNTIL_LOST * POLL_SECONDS
"""Seconds since its last tokens for which a prompt goes on at an engine that refuses
polls."""
MIN_RATE_SAMPLE_TOKENS = 2_000
"""Shorter prompts do not count as measurements of the prefill rate."""


class PromptRunner:
    """Holds admission and the attempts, and sends requests to the engine.

    `objects` returns the set in force, and `sidecar_refusal` the reason for which the
    sidecar takes no new work, if any. `on_change` is called when the load or the state
    may have changed.
    """

    def __init__(
        self,
        *,
        reactor,
        engine: EngineClient,
        log: EventLog,
        incarnation: str,
        hello: Hello,
        limits: EndpointLimits,
        objects: Callable[[], ObjectSet | None],
        sidecar_refusal: Callable[[], ErrorCode | None],
        on_change: Callable[[], None],
        deaths: EngineDeathBroadcaster,
    ):
        self._reactor = reactor
        self._engine = engine
        self._log = log
        self._objects = objects
        self._sidecar_refusal = sidecar_refusal
        self._on_change = on_change
        self._deaths = deaths
        self._own_deaths_prefix = f"{incarnation}/"
        self._hello = hello
        self._admission = PromptAdmission(limits=limits)
        self._attempts: dict[WorkKey, PromptAttempt] = {}
        self._tombstones = Tombstones()
        self._suspect_turns = SuspectTurns()
        self._watch = EngineWatch(
            reactor=reactor,
            engine=engine,
            log=log,
            incarnation=incarnation,
            owned_requests=self._owned_requests,
            on_restart=self._engine_restarted,
            on_silent=self._on_change,
            on_lost=self._engine_lost,
            on_still_lost=self._fail_silent,
            on_poll=self._engine_polled,
        )
        self._dispatch_loop = make_loop(reactor=reactor, work=self._dispatch, log=log)

    @property
    def watch(self) -> EngineWatch:
        """The watch over the engine."""
        return self._watch

    @property
    def attempt_count(self) -> int:
        """The number of attempts that have not ended."""
        return len(self._attempts)

    def load(self) -> AdmissionLoad:
        """Return the load that the sidecar reports to entries."""
        return self._admission.load()

    def start(self) -> None:
        """Start watching the engine and starting queued prompts."""
        self._watch.start()
        self._dispatch_loop.start(DISPATCH_SECONDS, now=False)

    def stop(self) -> None:
        """Stop watching the engine and starting queued prompts."""
        self._watch.stop()
        if self._dispatch_loop.running:
            self._dispatch_loop.stop()

    def run_prompt(self, peer: PeerLink, message: RunPrompt) -> None:
        """Accept or refuse a new attempt, whose prompt follows in parts."""
        now = self._reactor.seconds()
        attempt = PromptAttempt(
            key=work_key(peer, message.attempt), peer=peer, message=message
        )
        refusal = self._find_refusal(attempt, now)
        if refusal is not None:
            self._refuse(attempt, refusal, RunOutcome.NOT_RUN)
            return
        self._attempts[attempt.key] = attempt
        attempt.timer = self._reactor.callLater(
            attempt.deadline - now, self._deadline_passed, attempt
        )

    def add_prompt_part(self, peer: PeerLink, part: PromptPart) -> None:
        """Add a part of a prompt, and go on with the attempt after the last one.

        The helpers of a span are gathered first, before admission.
        """
        attempt = self._attempts.get(work_key(peer, part.attempt))
        if attempt is None or not attempt.add_part(part):
            return
        if not attempt.is_complete:
            return
        if attempt.message.span_members:
            self._gather_helpers(attempt)
        else:
            self._request_admission(attempt)

    def fail(self, peer: PeerLink, part: PromptPart) -> None:
        """End the attempt of a part that could not be handled."""
        attempt = self._attempts.get(work_key(peer, part.attempt))
        if attempt is not None:
            self._end_early(attempt, ErrorCode.INTERNAL)

    def cancel(self, peer: PeerLink, message: Cancel) -> None:
        """Cancel an attempt, or record it as cancelled when it has not arrived yet."""
        key = work_key(peer, message.attempt)
        attempt = self._attempts.get(key)
        if attempt is None:
            self._tombstones.add(key, now=self._reactor.seconds())
            return
        self._end_early(attempt, ErrorCode.CANCELLED)

    def answer_when_free(self, link: LinkProtocol, message: SuspectQuery) -> None:
        """Answer once a suspected prompt may run alone, as far as is known here."""
        self._suspect_turns.ask(
            SuspectQuestion(
                asker=link,
                query=message.query,
                fingerprint=Fingerprint(message.fingerprint),
                request=message.request,
            )
        )
        self._answer_suspect_queries()

    def drop_link(self, link: LinkProtocol) -> None:
        """Cancel every attempt of a closed link, as it can no longer be answered."""
        self._suspect_turns.withdraw(link)
        for attempt in tuple(self._attempts.values()):
            if attempt.peer.link is link:
                self._end_early(attempt, ErrorCode.CANCELLED)

    def _find_refusal(self, attempt: PromptAttempt, now: float) -> ErrorCode | None:
        if self._tombstones.contains(attempt.key, now=now):
            return ErrorCode.CANCELLED
        if now >= attempt.deadline:
            return ErrorCode.TOO_LATE
        standing = self._deaths.standing(Fingerprint(attempt.message.fingerprint))
        if standing is PromptStanding.QUARANTINED:
            return ErrorCode.QUARANTINED
        if standing is PromptStanding.SUSPECT and not attempt.message.isolated:
            return ErrorCode.SUSPECT
        refusal = self._sidecar_refusal()
        if refusal is None and self._watch.is_lost:
            return ErrorCode.NO_ENDPOINT
        return refusal

    def _gather_helpers(self, attempt: PromptAttempt) -> None:
        """Have the helpers of a span hold their parts before this endpoint starts.

        Every span takes its members in the order of their names, and the lead is the
        last, so two spans cannot wait for each other in a circle.
        """
        attempt.span = build_span_lead(
            self._reactor, self._objects(), attempt.message, self._hello
        )
        attempt.state = AttemptState.GATHERING
        start_gathering(
            attempt.span,
            attempt.message,
            b"".join(attempt.parts),
            on_gathered=lambda: self._helpers_gathered(attempt),
            on_lost=lambda: self._span_lost(attempt),
            log=self._log,
        )

    def _helpers_gathered(self, attempt: PromptAttempt) -> None:
        if attempt.state is AttemptState.GATHERING:
            self._request_admission(attempt)

    def _span_lost(self, attempt: PromptAttempt) -> None:
        """End the attempt, as a helper has lost its part of the prompt."""
        if attempt.state is not AttemptState.ENDED:
            self._end_early(attempt, ErrorCode.ENDPOINT_FAILED)

    def _request_admission(self, attempt: PromptAttempt) -> None:
        now = self._reactor.seconds()
        refusal = self._find_refusal(attempt, now)
        if refusal is not None:
            self._refuse(attempt, refusal, RunOutcome.NOT_RUN)
            return
        match self._admission.offer(attempt.to_prompt_work(self._objects()), now=now):
            case PromptRefusal(code=code, retry_after=retry_after):
                self._refuse(attempt, code, RunOutcome.NOT_RUN, retry_after=retry_after)
            case Queued():
                attempt.state = AttemptState.QUEUED
                self._log.write(LogEvent.PROMPT_QUEUED, request=attempt.message.request)
                self._dispatch()

    def _engine_polled(self) -> None:
        """Report the end of a silence of the engine, and go on."""
        self._on_change()
        if self._watch.is_superseded:
            self._refuse_waiting(ErrorCode.LEAVING)
        self._dispatch()

    def _dispatch(self) -> None:
        """Start the prompts that may start, and refuse those that may no longer run."""
        now = self._reactor.seconds()
        self._refuse_quarantined()
        self._answer_suspect_queries()
        for work in self._admission.expire(now=now):
            attempt = self._attempts[work.key]
            self._refuse(attempt, ErrorCode.TOO_LATE, RunOutcome.NOT_RUN)
        if not self._watch.can_send_requests:
            return
        for work in self._admission.take_starts(now=now):
            attempt = self._attempts[work.key]
            attempt.state = AttemptState.RUNNING
            attempt.started_at = now
            attempt.engine_incarnation = self._watch.engine_incarnation
            start_task(self._run(attempt, work), log=self._log)

    def _refuse_quarantined(self) -> None:
        """Refuse the waiting prompts that were quarantined since they arrived."""
        quarantined = self._deaths.quarantined()
        if not quarantined:
            return
        for attempt in tuple(self._attempts.values()):
            is_waiting = attempt.state is AttemptState.QUEUED
            if is_waiting and attempt.message.fingerprint in quarantined:
                self._admission.withdraw(attempt.key)
                self._refuse(attempt, ErrorCode.QUARANTINED, RunOutcome.NOT_RUN)

    def _answer_suspect_queries(self) -> None:
        now = self._reactor.seconds()
        for question in self._suspect_turns.take_due(self._suspect_state, now=now):
            question.asker.send(SuspectAnswer(query=question.query))

    def _suspect_state(self, fingerprint: Fingerprint) -> SuspectState:
        if any(
            attempt.state is AttemptState.RUNNING or not attempt.message.isolated
            for attempt in self._attempts.values()
            if attempt.message.fingerprint == fingerprint
        ):
            return SuspectState.RUNNING
        is_suspect = self._deaths.standing(fingerprint) is PromptStanding.SUSPECT
        deaths = self._deaths.crashes(fingerprint)
        if is_suspect and any(
            death.startswith(self._own_deaths_prefix) for death in deaths
        ):
            return SuspectState.CRASHED_HERE
        return SuspectState.FREE

    async def _run(self, attempt: PromptAttempt, work: PromptWork) -> None:
        message = attempt.message
        self._log.write(
            LogEvent.PROMPT_STARTED,
            request=message.request,
            prompt_tokens=message.prompt_tokens,
            delivered=message.delivered_tokens,
        )
        batcher = attempt.peer.batcher

        def on_tokens(first_index: int, texts: list[str]) -> None:
            if attempt.state is not AttemptState.RUNNING:
                return
            is_first = attempt.tokens_sent == 0
            attempt.tokens_sent += len(texts)
            attempt.tokens_sent_at = self._reactor.seconds()
            batcher.add(message.attempt, first_index, texts, is_urgent=is_first)
            if is_first:
                self._record_first_token(attempt)

        attempt.generation = Generation(
            on_tokens=on_tokens, on_held=lambda: self._prompt_held(attempt)
        )
        try:
            request = self._generate_request(attempt, work)
            attempt.parts.clear()
            end = await self._engine.generate(request, attempt.generation)
        except EngineError as error:
            self._log.write(
                LogEvent.PROMPT_FAILED, request=message.request, detail=str(error)
            )
            end = GenerationEnd.INTERRUPTED
        except Exception as error:
            self._log.write(
                LogEvent.INTERNAL_FAULT, request=message.request, detail=repr(error)
            )
            end = GenerationEnd.CANCELLED
        try:
            self._generation_ended(attempt, end)
        except Exception:
            self._end_after_fault(attempt)
            raise

    def _generate_request(
        self, attempt: PromptAttempt, work: PromptWork
    ) -> GenerateRequest:
        message = attempt.message
        return GenerateRequest(
            request=attempt.key,
            holder=self._watch.holder,
            prompt=attempt.prompt,
            max_tokens=message.max_tokens,
            generated=message.delivered_tokens,
            priority=work.engine_priority,
            version=message.version,
            adapter=message.adapter,
            holds=bool(message.hold),
            imported_tokens=attempt.imported_tokens,
            fence=self._watch.fence,
        )

    def _prompt_held(self, attempt: PromptAttempt) -> None:
        """Tell the lead of a span that this endpoint holds its part of the prompt."""
        if attempt.state is AttemptState.RUNNING:
            self._record_first_token(attempt)
            send_held(attempt)

    def _record_first_token(self, attempt: PromptAttempt) -> None:
        self._admission.record_first_token(attempt.key)
        tokens = attempt.message.prompt_tokens - attempt.imported_tokens
        seconds = self._reactor.seconds() - attempt.started_at
        is_alone = len(self._admission.running_keys) == 1
        if is_alone and tokens >= MIN_RATE_SAMPLE_TOKENS:
            self._admission.record_prefill_rate(tokens / seconds)
        self._dispatch()

    def _generation_ended(self, attempt: PromptAttempt, end: GenerationEnd) -> None:
        if attempt.state is AttemptState.ENDED:
            self._release_reservation(attempt, in_time=False)
            return
        message = attempt.message
        match end:
            case GenerationEnd.COMPLETED:
                send_finished(attempt)
                self._log.write(
                    LogEvent.PROMPT_FINISHED,
                    request=message.request,
                    tokens=attempt.generation.token_count,
                )
                self._close_attempt(attempt)
                self._release_reservation(attempt, in_time=True)
            case GenerationEnd.OUT_OF_MEMORY:
                self._refuse(attempt, ErrorCode.OUT_OF_MEMORY, outcome_of(attempt))
                self._release_reservation(attempt, in_time=False)
            case (
                GenerationEnd.INTERRUPTED
                | GenerationEnd.CANCELLED
                | GenerationEnd.MALFORMED
            ):
                if end is GenerationEnd.MALFORMED:
                    self._log.write(
                        LogEvent.PROMPT_FAILED,
                        request=message.request,
                        detail=f"engine_malformed: {attempt.generation.malformation}",
                    )
                if end is GenerationEnd.INTERRUPTED and attempt.was_accepted:
                    self._report_engine_death(attempt)
                self._refuse(attempt, ErrorCode.ENDPOINT_FAILED, outcome_of(attempt))
                self._release_reservation(attempt, in_time=False)
                self._watch.require_new_poll()

    def _end_after_fault(self, attempt: PromptAttempt) -> None:
        """Free what a prompt holds whose end could not be handled, and refuse it."""
        has_ended = attempt.state is AttemptState.ENDED
        self._close_attempt(attempt)
        self._release_reservation(attempt, in_time=False)
        if not has_ended:
            send_refused(attempt, ErrorCode.ENDPOINT_FAILED, outcome_of(attempt))

    def _end_early(self, attempt: PromptAttempt, code: ErrorCode) -> None:
        """End an attempt before the engine does, and cancel it there if it runs."""
        was_running = attempt.state is AttemptState.RUNNING
        self._admission.withdraw(attempt.key)
        outcome = outcome_of(attempt) if was_running else RunOutcome.NOT_RUN
        self._refuse(attempt, code, outcome)
        if was_running:
            start_task(self._cancel_in_engine(attempt), log=self._log)

    async def _cancel_in_engine(self, attempt: PromptAttempt) -> None:
        """Cancel a request in the engine.

        When that fails, the watch cancels the request after its next poll, as no
        attempt owns it any more.
        """
        self._log.write(LogEvent.PROMPT_CANCELLED, request=attempt.message.request)
        request = CancelRequest(request=attempt.key, fence=self._watch.fence)
        try:
            await self._engine.cancel(request)
        except EngineError:
            self._watch.require_new_poll()
        attempt.generation.abort()

    def _deadline_passed(self, attempt: PromptAttempt) -> None:
        self._end_early(attempt, ErrorCode.DEADLINE_PASSED)

    def _engine_restarted(self) -> None:
        """Reset admission to a cold start, and end what ran before the restart.

        The new incarnation is evidence of a crash, also when the polls show it before
        the streams of the answers break.
        """
        for attempt in self._attempts.values():
            if attempt.state is AttemptState.RUNNING and attempt.was_accepted:
                self._report_engine_death(attempt)
        self._admission.restart()
        self._fail_running()

    def _engine_lost(self) -> None:
        """Refuse all that the engine has or would have got."""
        self._refuse_waiting(ErrorCode.NO_ENDPOINT)
        self._fail_silent()

    def _fail_silent(self) -> None:
        """Refuse the running attempts, but not those whose tokens arrive.

        The engine may only refuse polls.
        """
        self._fail_running(since=self._reactor.seconds() - WRITING_SECONDS)

    def _refuse_waiting(self, code: ErrorCode) -> None:
        """Refuse the prompts that wait for the engine, as not run."""
        for attempt in tuple(self._attempts.values()):
            if attempt.state is AttemptState.QUEUED:
                self._end_early(attempt, code)

    def _report_engine_death(self, attempt: PromptAttempt) -> None:
        """Tell all processes that the engine broke off while the prompt ran.

        After enough of such reports the prompt is quarantined.
        """
        death = f"{self._own_deaths_prefix}{attempt.engine_incarnation}"
        self._log.write(
            LogEvent.PROMPT_SUSPECTED, request=attempt.message.request, death=death
        )
        fingerprints = [attempt.message.fingerprint]
        self._deaths.handle_death(
            EngineDeath(death=death, fingerprints=fingerprints), None
        )

    def _fail_running(self, *, since: float = math.inf) -> None:
        """Refuse the running attempts, so that entries retry on other endpoints.

        Those that sent tokens at or after `since` go on. The watch cancels what the
        engine still holds of the others.
        """
        for attempt in tuple(self._attempts.values()):
            is_writing = attempt.tokens_sent_at >= since
            if attempt.state is AttemptState.RUNNING and not is_writing:
                self._refuse(attempt, ErrorCode.ENDPOINT_FAILED, outcome_of(attempt))
                attempt.generation.abort()
        self._on_change()

    def _refuse(
        self,
        attempt: PromptAttempt,
        code: ErrorCode,
        outcome: RunOutcome,
        *,
        retry_after: float = 0.0,
    ) -> None:
        """End the attempt and tell the entry why it has no complete answer."""
        send_refused(attempt, code, outcome, retry_after=retry_after)
        self._log.write(
            LogEvent.PROMPT_REFUSED
            if outcome is RunOutcome.NOT_RUN
            else LogEvent.PROMPT_FAILED,
            request=attempt.message.request,
            code=code.value,
            outcome=outcome.value,
        )
        self._close_attempt(attempt)

    def _close_attempt(self, attempt: PromptAttempt) -> None:
        attempt.state = AttemptState.ENDED
        if attempt.span is not None:
            attempt.span.release()
        self._attempts.pop(attempt.key, None)
        if attempt.timer is not None and attempt.timer.active():
            attempt.timer.cancel()

    def _release_reservation(self, attempt: PromptAttempt, *, in_time: bool) -> None:
        """Free the memory reserved for a prompt that the engine has ended."""
        self._admission.finish(attempt.key, in_time=in_time)
        self._on_change()
        self._dispatch()

    def _owned_requests(self) -> frozenset[str]:
        return frozenset(
            attempt.key
            for attempt in self._attempts.values()
            if attempt.state is AttemptState.RUNNING
        )
