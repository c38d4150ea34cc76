"""The task that runs prompts on the one engine beside it."""

from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from bilberryring.adapters import (
    CancelOrder,
    EngineClient,
    EngineError,
    GenerateOrder,
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
from bilberryring.process.death_spread import DeathSpread
from bilberryring.quarantine import PromptStanding
from bilberryring.sidecar.attempt import AttemptState, PromptAttempt
from bilberryring.sidecar.attempt_answers import (
    outcome_of,
    send_finished,
    send_held,
    send_refused,
    work_key,
)
from bilberryring.sidecar.engine_watch import EngineWatch
from bilberryring.sidecar.peer import PeerLink
from bilberryring.sidecar.span_lead import lead_of, start_gathering
from bilberryring.sidecar.tombstones import Tombstones
from bilberryring.telemetry import EventLog, LogEvent
from bilberryring.wire import (
    Cancel,
    EngineDeath,
    Hello,
    LinkProtocol,
    PromptPart,
    RunPrompt,
)

PUMP_SECONDS = 0.05
MIN_RATE_SAMPLE_TOKENS = 2_000


class PromptRunner:
    """Owns admission, the attempts and the orders to the engine."""

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
        refusal: Callable[[], ErrorCode | None],
        on_change: Callable[[], None],
        deaths: DeathSpread,
    ):
        self._reactor = reactor
        self._engine = engine
        self._log = log
        self._objects = objects
        self._refusal = refusal
        self._on_change = on_change
        self._deaths = deaths
        self._incarnation = incarnation
        self._hello = hello
        self._admission = PromptAdmission(limits=limits)
        self._attempts: dict[WorkKey, PromptAttempt] = {}
        self._tombstones = Tombstones()
        self._watch = EngineWatch(
            reactor=reactor,
            engine=engine,
            log=log,
            incarnation=incarnation,
            owned=self._owned_names,
            on_restart=self._engine_restarted,
            on_lost=self._fail_running,
            on_look=self._pump,
        )
        self._pump_loop = LoopingCall(self._pump)
        self._pump_loop.clock = reactor

    @property
    def watch(self) -> EngineWatch:
        """The watch over the engine."""
        return self._watch

    @property
    def attempt_count(self) -> int:
        """The attempts that have not ended."""
        return len(self._attempts)

    def load(self) -> AdmissionLoad:
        """Return the load to report."""
        return self._admission.load()

    def start(self) -> None:
        """Begin to watch the engine and to start queued prompts."""
        self._watch.start()
        self._pump_loop.start(PUMP_SECONDS, now=False)

    def stop(self) -> None:
        """Cease to start prompts."""
        self._watch.stop()
        if self._pump_loop.running:
            self._pump_loop.stop()

    def run_prompt(self, peer: PeerLink, message: RunPrompt) -> None:
        """Take a new attempt; its prompt follows in parts."""
        now = self._reactor.seconds()
        attempt = PromptAttempt(
            key=work_key(peer, message.attempt), peer=peer, message=message
        )
        refusal = self._refusal_now(attempt, now)
        if refusal is not None:
            self._refuse(attempt, refusal, RunOutcome.NOT_RUN)
            return
        self._attempts[attempt.key] = attempt
        attempt.timer = self._reactor.callLater(
            attempt.deadline - now, self._deadline_passed, attempt
        )

    def take_part(self, peer: PeerLink, part: PromptPart) -> None:
        """Take a part of a prompt; the last one hands it to admission."""
        attempt = self._attempts.get(work_key(peer, part.attempt))
        if attempt is None or not attempt.add_part(part):
            return
        if not attempt.is_complete:
            return
        if attempt.message.span_members:
            self._gather(attempt)
        else:
            self._offer(attempt)

    def cancel(self, peer: PeerLink, message: Cancel) -> None:
        """End an attempt, also one that has not arrived yet."""
        key = work_key(peer, message.attempt)
        attempt = self._attempts.get(key)
        if attempt is None:
            self._tombstones.add(key, now=self._reactor.seconds())
            return
        self._end_early(attempt, ErrorCode.CANCELLED)

    def drop_link(self, link: LinkProtocol) -> None:
        """End every attempt of an entry that can no longer be answered."""
        for attempt in tuple(self._attempts.values()):
            if attempt.peer.link is link:
                self._end_early(attempt, ErrorCode.CANCELLED)

    def _refusal_now(self, attempt: PromptAttempt, now: float) -> ErrorCode | None:
        if self._tombstones.holds(attempt.key, now=now):
            return ErrorCode.CANCELLED
        if now >= attempt.deadline:
            return ErrorCode.TOO_LATE
        standing = self._deaths.standing(Fingerprint(attempt.message.fingerprint))
        if standing is PromptStanding.QUARANTINED:
            return ErrorCode.QUARANTINED
        refusal = self._refusal()
        if refusal is None and self._watch.is_lost:
            return ErrorCode.NO_ENDPOINT
        return refusal

    def _gather(self, attempt: PromptAttempt) -> None:
        """Take the helpers of a span before this endpoint's own part."""
        attempt.span = lead_of(
            self._reactor, self._objects(), attempt.message, self._hello
        )
        attempt.state = AttemptState.GATHERING
        start_gathering(
            attempt.span,
            attempt.message,
            b"".join(attempt.parts),
            on_whole=lambda: self._gathered(attempt),
            on_lost=lambda: self._span_lost(attempt),
        )

    def _gathered(self, attempt: PromptAttempt) -> None:
        if attempt.state is AttemptState.GATHERING:
            self._offer(attempt)

    def _span_lost(self, attempt: PromptAttempt) -> None:
        """End the attempt, since a part of its memory is gone."""
        if attempt.state is not AttemptState.ENDED:
            self._end_early(attempt, ErrorCode.ENDPOINT_FAILED)

    def _offer(self, attempt: PromptAttempt) -> None:
        now = self._reactor.seconds()
        refusal = self._refusal_now(attempt, now)
        if refusal is not None:
            self._refuse(attempt, refusal, RunOutcome.NOT_RUN)
            return
        match self._admission.offer(attempt.work(self._objects()), now=now):
            case PromptRefusal(code=code, retry_after=retry_after):
                self._refuse(attempt, code, RunOutcome.NOT_RUN, retry_after=retry_after)
            case Queued():
                attempt.state = AttemptState.QUEUED
                self._log.write(LogEvent.PROMPT_QUEUED, request=attempt.message.request)
                self._pump()

    def _pump(self) -> None:
        """Start what may start, and refuse what waited too long."""
        now = self._reactor.seconds()
        for work in self._admission.expire(now=now):
            attempt = self._attempts[work.key]
            self._refuse(attempt, ErrorCode.TOO_LATE, RunOutcome.NOT_RUN)
        if not self._watch.may_order:
            return
        for work in self._admission.take_starts(now=now):
            attempt = self._attempts[work.key]
            attempt.state = AttemptState.RUNNING
            attempt.started_at = now
            Deferred.fromCoroutine(self._run(attempt, work))

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
            batcher.add(message.attempt, first_index, texts, is_urgent=is_first)
            if is_first:
                self._first_token(attempt)

        attempt.generation = Generation(
            on_tokens=on_tokens, on_held=lambda: self._held(attempt)
        )
        order = GenerateOrder(
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
        attempt.parts.clear()
        try:
            end = await self._engine.generate(order, attempt.generation)
        except EngineError as error:
            self._log.write(
                LogEvent.PROMPT_FAILED, request=message.request, detail=str(error)
            )
            end = GenerationEnd.BROKEN
        self._ended(attempt, end)

    def _held(self, attempt: PromptAttempt) -> None:
        """Tell the lead of a span that its part is held here."""
        if attempt.state is AttemptState.RUNNING:
            self._first_token(attempt)
            send_held(attempt)

    def _first_token(self, attempt: PromptAttempt) -> None:
        self._admission.record_first_token(attempt.key)
        tokens = attempt.message.prompt_tokens - attempt.imported_tokens
        seconds = self._reactor.seconds() - attempt.started_at
        is_alone = len(self._admission.running_keys) == 1
        if is_alone and tokens >= MIN_RATE_SAMPLE_TOKENS:
            self._admission.record_prefill_rate(tokens / seconds)
        self._pump()

    def _ended(self, attempt: PromptAttempt, end: GenerationEnd) -> None:
        if attempt.state is AttemptState.ENDED:
            self._release(attempt, in_time=False)
            return
        message = attempt.message
        match end:
            case GenerationEnd.WHOLE:
                send_finished(attempt)
                self._log.write(
                    LogEvent.PROMPT_FINISHED,
                    request=message.request,
                    tokens=attempt.generation.token_count,
                )
                self._close(attempt)
                self._release(attempt, in_time=True)
            case GenerationEnd.OUT_OF_MEMORY:
                self._refuse(attempt, ErrorCode.OUT_OF_MEMORY, outcome_of(attempt))
                self._release(attempt, in_time=False)
            case GenerationEnd.BROKEN | GenerationEnd.CANCELLED:
                if end is GenerationEnd.BROKEN and attempt.generation.was_accepted:
                    self._suspect(attempt)
                self._refuse(attempt, ErrorCode.ENDPOINT_FAILED, outcome_of(attempt))
                self._release(attempt, in_time=False)
                self._watch.look_again()

    def _end_early(self, attempt: PromptAttempt, code: ErrorCode) -> None:
        """End an attempt that the engine has not ended."""
        was_running = attempt.state is AttemptState.RUNNING
        self._admission.withdraw(attempt.key)
        outcome = outcome_of(attempt) if was_running else RunOutcome.NOT_RUN
        self._refuse(attempt, code, outcome)
        if was_running:
            Deferred.fromCoroutine(self._cancel_in_engine(attempt))

    async def _cancel_in_engine(self, attempt: PromptAttempt) -> None:
        """Free the engine's memory; what fails here the watch repeats."""
        self._log.write(LogEvent.PROMPT_CANCELLED, request=attempt.message.request)
        order = CancelOrder(request=attempt.key, fence=self._watch.fence)
        try:
            await self._engine.cancel(order)
        except EngineError:
            self._watch.look_again()
        attempt.generation.abort()

    def _deadline_passed(self, attempt: PromptAttempt) -> None:
        self._end_early(attempt, ErrorCode.DEADLINE_PASSED)

    def _engine_restarted(self) -> None:
        """Forget what the engine lost; it is cold now."""
        self._admission.restart()
        self._fail_running()

    def _suspect(self, attempt: PromptAttempt) -> None:
        """Tell everyone that the engine broke off while the prompt ran."""
        death = f"{self._incarnation}/{self._watch.engine_incarnation}"
        self._log.write(
            LogEvent.PROMPT_SUSPECTED, request=attempt.message.request, death=death
        )
        fingerprints = [attempt.message.fingerprint]
        self._deaths.take_death(
            EngineDeath(death=death, fingerprints=fingerprints), None
        )

    def _fail_running(self) -> None:
        """Let entries go elsewhere; what the engine still holds is audited."""
        for attempt in tuple(self._attempts.values()):
            if attempt.state is AttemptState.RUNNING:
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
        """Tell the entry that the attempt ended without a whole answer."""
        send_refused(attempt, code, outcome, retry_after=retry_after)
        self._log.write(
            LogEvent.PROMPT_REFUSED
            if outcome is RunOutcome.NOT_RUN
            else LogEvent.PROMPT_FAILED,
            request=attempt.message.request,
            code=code.value,
            outcome=outcome.value,
        )
        self._close(attempt)

    def _close(self, attempt: PromptAttempt) -> None:
        attempt.state = AttemptState.ENDED
        if attempt.span is not None:
            attempt.span.release()
        self._attempts.pop(attempt.key, None)
        if attempt.timer is not None and attempt.timer.active():
            attempt.timer.cancel()

    def _release(self, attempt: PromptAttempt, *, in_time: bool) -> None:
        """Free the reservation, now that the engine is done with the prompt."""
        self._admission.finish(attempt.key, in_time=in_time)
        self._on_change()
        self._pump()

    def _owned_names(self) -> frozenset[str]:
        return frozenset(
            attempt.key
            for attempt in self._attempts.values()
            if attempt.state is AttemptState.RUNNING
        )
