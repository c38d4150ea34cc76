"""The task of one prompt, which makes attempts until the answer is complete.

An attempt whose endpoint is silent goes on, as the endpoint may be sound, and another
one may start beside it. The first of them that delivers something ends the others.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from twisted.internet.defer import CancelledError, Deferred, DeferredQueue
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from bilberryring.core import (
    AttemptId,
    ErrorCode,
    RunOutcome,
    ServingError,
    to_micros,
)
from bilberryring.entry.answer_sinks import AnswerSink
from bilberryring.entry.attempt_channel import (
    AttemptChannel,
    CallerDisconnected,
    CallerTooSlow,
    DeadlinePassed,
    EndpointSilent,
    LinkLost,
    deadline_timer,
)
from bilberryring.entry.caller_prompt import AnswerTimes, CallerPrompt
from bilberryring.entry.prompt_placement import PlacedPrompt, PromptPlacement
from bilberryring.entry.refusals import error_from_refusal
from bilberryring.entry.sidecar_links import SidecarLinks
from bilberryring.execution import (
    AnswerAssembly,
    MissingTokensError,
    RetryBudget,
    SilenceDecision,
)
from bilberryring.objects import ObjectSet
from bilberryring.quarantine import PromptStanding
from bilberryring.telemetry import EventLog, LogEvent
from bilberryring.wire import (
    Cancel,
    Finished,
    PromptPart,
    Refused,
    RunPrompt,
    Tokens,
)

PROMPT_PART_BYTES = 64 * 1024
MAX_UNBUDGETED_RETRIES = 3
MAX_ATTEMPTS = 6
NO_ENDPOINT_RETRY_SECONDS = 1.0

SILENT = "silent"
"""The reason of a silent attempt that ended because another one was faster."""
SUPERSEDED = "superseded"
"""The reason of any other attempt that ended because another one was faster."""

UNBUDGETED_RETRY_CODES = frozenset(
    {
        ErrorCode.LEAVING,
        ErrorCode.DOMAIN_OUT,
        ErrorCode.COLD,
        ErrorCode.VERSION_NOT_HELD,
        ErrorCode.NO_SET,
        ErrorCode.SUSPECT,
    }
)
"""Refusals that mean "try another endpoint"; that retry costs no retry budget."""


@dataclass(slots=True, kw_only=True)
class _Progress:
    """What the attempts so far have led to.

    `excluded` names the endpoints at which an attempt failed. `may_have_run` is
    set once an attempt ran or its outcome is not known.
    """

    excluded: set[str] = field(default_factory=set)
    unbudgeted_retries: int = 0
    attempts: int = 0
    may_have_run: bool = False
    last_failure: ServingError | None = None


@dataclass(slots=True, kw_only=True, eq=False)
class _RunningAttempt:
    """An attempt that has not ended.

    `silence` is what last followed from the silence of its endpoint, or `None` while
    the endpoint is not silent.
    """

    channel: AttemptChannel
    silence: SilenceDecision | None = None

    @property
    def endpoint(self) -> str:
        """The name of the endpoint."""
        return self.channel.record.endpoint.name


class PromptRequest:
    """Handles one prompt from its admission by the entry to its single answer.

    Sidecars, links and timers put their messages into the mailbox, and `run`
    reads them one at a time.
    """

    def __init__(
        self,
        *,
        reactor,
        prompt: CallerPrompt,
        sink: AnswerSink,
        links: SidecarLinks,
        placement: PromptPlacement,
        budget: RetryBudget,
        objects: Callable[[], ObjectSet],
        log: EventLog,
        on_token_gap: Callable[[float], None],
    ):
        self._reactor = reactor
        self._prompt = prompt
        self._sink = sink
        self._links = links
        self._placement = placement
        self._budget = budget
        self._objects = objects
        self._log = log
        self._on_token_gap = on_token_gap
        self._mailbox = DeferredQueue()
        self._assembly = AnswerAssembly()
        self._progress = _Progress()
        self._running: dict[AttemptId, _RunningAttempt] = {}
        self._first_token_at: float | None = None
        self._last_token_at = 0.0
        self._turn: Deferred[None] | None = None

    def caller_disconnected(self) -> None:
        """Record that the caller closed its connection."""
        self._sink.abandon()
        self._mailbox.put(CallerDisconnected())

    def caller_too_slow(self) -> None:
        """Record that the caller reads its stream too slowly."""
        self._mailbox.put(CallerTooSlow())

    async def run(self) -> AnswerTimes:
        """Answer the caller and return the times of the answer.

        Raises `ServingError` when the answer cannot be completed.
        """
        self._budget.record_request()
        with deadline_timer(
            self._reactor,
            self._mailbox,
            at=self._prompt.deadline,
            is_receiving=self._is_receiving,
        ):
            try:
                await self._start_attempt()
                while not await self._handle_message(await self._mailbox.get()):
                    pass
            except CancelledError:
                # The process exits; only the end message may be missing.
                if not self._is_answer_complete():
                    raise
            finally:
                self._end_turn()
                self._cancel_all()
        self._links.deaths.clear(self._prompt.fingerprint)
        self._sink.finish(self._assembly.text, self._assembly.token_count)
        return AnswerTimes(
            first_token_at=self._first_token_at,
            ended_at=self._reactor.seconds(),
            token_count=self._assembly.token_count,
        )

    def _is_receiving(self) -> bool:
        return any(
            attempt.channel.link.is_receiving for attempt in self._running.values()
        )

    async def _handle_message(self, message: object) -> bool:
        """Handle one message and return whether the answer is complete.

        Raises `ServingError` when no other attempt may follow.
        """
        match message:
            case Tokens() | Finished() | Refused():
                attempt = self._running.get(message.attempt)
                if attempt is not None:
                    return await self._handle_answer(attempt, message)
            case LinkLost():
                return await self._handle_lost_links()
            case EndpointSilent():
                return await self._handle_silence()
            case DeadlinePassed():
                if self._is_answer_complete():
                    return True
                self._progress.may_have_run |= bool(self._running)
                raise self._error(ErrorCode.DEADLINE_PASSED)
            case CallerDisconnected():
                raise self._error(ErrorCode.CANCELLED)
            case CallerTooSlow():
                self._progress.may_have_run = True
                raise self._error(ErrorCode.CALLER_TOO_SLOW)
        return False

    async def _start_attempt(self, *, is_retry: bool = False) -> None:
        """Start an attempt, or raise `ServingError` when there is none to make.

        For a retry it needs an endpoint first, and then pays for it.
        """
        self._check_attempts_left()
        is_isolated = await self._must_isolate()
        placed = self._choose(is_isolated)
        if placed is None:
            raise self._last_error() or self._error(
                ErrorCode.NO_ENDPOINT, retry_after=NO_ENDPOINT_RETRY_SECONDS
            )
        if is_retry and not self._try_pay():
            raise self._last_error()
        await self._start_at(placed, is_isolated)

    def _check_attempts_left(self) -> None:
        if self._reactor.seconds() >= self._prompt.deadline:
            raise self._error(ErrorCode.DEADLINE_PASSED)
        if self._progress.attempts >= MAX_ATTEMPTS:
            raise self._last_error()

    async def _must_isolate(self) -> bool:
        """Return whether the prompt is suspected of crashing engines.

        Raises `ServingError` when it is quarantined.
        """
        standing = await self._wait_for_turn()
        if standing is PromptStanding.QUARANTINED:
            self._log.write(
                LogEvent.PROMPT_QUARANTINED, request=self._prompt.request_id
            )
            raise self._error(ErrorCode.QUARANTINED)
        return standing is PromptStanding.SUSPECT

    async def _wait_for_turn(self) -> PromptStanding:
        """Return the prompt's standing; a suspected one first waits for its turn.

        So reports of engines that it crashes elsewhere arrive before it is sent again.
        No attempt runs; the deadline and a caller that leaves end the wait.
        """
        standing = self._prompt_standing()
        if standing is not PromptStanding.SUSPECT:
            return standing
        # A turn that was asked for earlier may have come before the last report.
        self._end_turn()
        while not self._is_its_turn():
            await self._handle_message(await self._mailbox.get())
        return self._prompt_standing()

    def _prompt_standing(self) -> PromptStanding:
        return self._links.deaths.standing(self._prompt.fingerprint)

    def _is_answer_complete(self) -> bool:
        """Return whether all tokens were delivered.

        A link that closes after the last token loses only the end message, and so does
        a deadline or the end of a stop that comes between them.
        """
        return self._assembly.token_count >= self._prompt.shape.max_tokens

    def _choose(self, is_isolated: bool) -> PlacedPrompt | None:
        running = {attempt.endpoint for attempt in self._running.values()}
        return self._placement.choose(
            self._prompt,
            self._objects(),
            excluded=frozenset(self._progress.excluded | running),
            is_isolated=is_isolated,
        )

    def _try_pay(self) -> bool:
        """Return whether the retry budget allows another attempt, and spend it.

        The first `MAX_UNBUDGETED_RETRIES` refusals with one of
        `UNBUDGETED_RETRY_CODES` cost nothing.
        """
        progress = self._progress
        failure = progress.last_failure
        is_unbudgeted = (
            failure.code in UNBUDGETED_RETRY_CODES
            and failure.outcome is RunOutcome.NOT_RUN
        )
        if is_unbudgeted and progress.unbudgeted_retries < MAX_UNBUDGETED_RETRIES:
            progress.unbudgeted_retries += 1
            return True
        return self._budget.try_spend()

    async def _start_at(self, placed: PlacedPrompt, is_isolated: bool) -> None:
        channel = self._links.open_attempt(
            placed.endpoint, self._mailbox, shape=self._prompt.shape
        )
        if channel is None:
            raise self._last_error() or self._error(
                ErrorCode.NO_ENDPOINT, retry_after=NO_ENDPOINT_RETRY_SECONDS
            )
        self._running[channel.attempt] = _RunningAttempt(channel=channel)
        self._progress.attempts += 1
        self._log.write(
            LogEvent.ATTEMPT_STARTED,
            request=self._prompt.request_id,
            attempt=channel.attempt,
            endpoint=placed.endpoint,
        )
        await self._send_prompt(channel, placed.helpers, is_isolated)

    async def _send_prompt(
        self, channel: AttemptChannel, helpers: tuple[str, ...], is_isolated: bool
    ) -> None:
        """Send the prompt in parts of `PROMPT_PART_BYTES`.

        The reactor runs other work between the parts, so that a long prompt
        does not delay other streams.
        """
        prompt = self._prompt
        text = prompt.text
        starts = range(0, max(len(text), 1), PROMPT_PART_BYTES)
        channel.send(
            RunPrompt(
                attempt=channel.attempt,
                request=prompt.request_id,
                workspace=prompt.workspace.name,
                model=prompt.model.name,
                version=prompt.model.default_version,
                adapter="",
                priority=prompt.priority.name,
                prompt_tokens=prompt.shape.prompt_tokens,
                max_tokens=prompt.shape.max_tokens,
                delivered_tokens=self._assembly.token_count,
                deadline=self._receiver_micros(channel, prompt.deadline),
                queue_deadline=self._receiver_micros(channel, prompt.queue_deadline),
                fingerprint=prompt.fingerprint,
                prompt_parts=len(starts),
                isolated=is_isolated,
                span_members=list(helpers),
            )
        )
        for index, start in enumerate(starts):
            part = text[start : start + PROMPT_PART_BYTES]
            channel.send(PromptPart(attempt=channel.attempt, index=index, text=part))
            if index + 1 < len(starts):
                await deferLater(self._reactor, 0)

    def _receiver_micros(self, channel: AttemptChannel, own_time: float) -> int:
        return to_micros(channel.record.receiver_time(own_time))

    async def _handle_answer(
        self, attempt: _RunningAttempt, message: Tokens | Finished | Refused
    ) -> bool:
        """Handle a message of an attempt; return whether the answer is complete."""
        self._end_silence(attempt)
        self._assembly.begin_attempt(attempt.channel.attempt)
        match message:
            case Refused():
                return await self._fail_attempt(attempt, error_from_refusal(message))
            case Tokens():
                try:
                    self._handle_tokens(attempt, message)
                except MissingTokensError as error:
                    return await self._handle_missing_tokens(attempt, str(error))
                return False
            case Finished():
                is_whole = self._assembly.is_complete(
                    message.attempt, token_count=message.token_count
                )
                if is_whole:
                    self._remove(attempt)
                    self._end_others(attempt)
                    return True
                return await self._handle_missing_tokens(
                    attempt, "the answer ended before all its tokens arrived"
                )

    def _handle_tokens(self, attempt: _RunningAttempt, message: Tokens) -> None:
        new_texts = self._assembly.add(
            message.attempt, first_index=message.first_index, texts=message.texts
        )
        if not new_texts:
            return
        self._end_others(attempt)
        self._progress.may_have_run = True
        now = self._reactor.seconds()
        if self._first_token_at is None:
            self._first_token_at = now
        else:
            self._on_token_gap(now - self._last_token_at)
        self._last_token_at = now
        self._sink.write_tokens(new_texts)

    async def _handle_missing_tokens(
        self, attempt: _RunningAttempt, detail: str
    ) -> bool:
        attempt.channel.send(Cancel(attempt=attempt.channel.attempt))
        error = _unknown_outcome_error(ErrorCode.ENDPOINT_FAILED, detail)
        return await self._fail_attempt(attempt, error)

    async def _handle_lost_links(self) -> bool:
        for attempt in tuple(self._running.values()):
            if attempt.channel.link.is_open:
                continue
            error = _unknown_outcome_error(ErrorCode.ENDPOINT_FAILED, "the link closed")
            if await self._fail_attempt(attempt, error):
                return True
        return False

    async def _fail_attempt(
        self, attempt: _RunningAttempt, error: ServingError
    ) -> bool:
        """Go on after an attempt failed; return whether the answer is complete.

        Another attempt starts unless one runs. Raises `ServingError` if there is none.
        """
        progress = self._progress
        self._remove(attempt)
        progress.excluded.add(attempt.endpoint)
        progress.last_failure = error
        if error.outcome is not RunOutcome.NOT_RUN:
            progress.may_have_run = True
        self._log.write(
            LogEvent.ATTEMPT_FAILED,
            request=self._prompt.request_id,
            attempt=attempt.channel.attempt,
            endpoint=attempt.endpoint,
            code=error.code.value,
        )
        if self._is_answer_complete():
            return True
        if not self._running:
            await self._start_attempt(is_retry=True)
        return False

    async def _handle_silence(self) -> bool:
        """Start another attempt beside silent ones; they go on in either case.

        Returns whether the answer is complete, so that only its end is missing.
        """
        if self._is_answer_complete():
            return True
        silent = []
        for attempt in self._running.values():
            if self._links.is_silent(attempt.channel.record):
                silent.append(attempt)
            else:
                self._end_silence(attempt)
        if not silent or len(silent) < len(self._running):
            return False
        decision = await self._start_successor()
        for attempt in silent:
            if attempt.silence is not decision:
                attempt.silence = decision
                self._log_silence(attempt, decision)
        return False

    async def _start_successor(self) -> SilenceDecision:
        """Start another attempt beside silent ones if that is possible."""
        if self._progress.attempts >= MAX_ATTEMPTS:
            return SilenceDecision.NOT_ALLOWED
        if self._reactor.seconds() >= self._prompt.deadline:
            return SilenceDecision.NOT_ALLOWED
        if self._choose(is_isolated=False) is None:
            return SilenceDecision.NO_ENDPOINT
        if self._budget.balance < 1.0:
            return SilenceDecision.NO_BUDGET
        standing = self._prompt_standing()
        if standing is PromptStanding.QUARANTINED:
            return SilenceDecision.QUARANTINED
        is_isolated = standing is PromptStanding.SUSPECT
        if is_isolated and not self._is_its_turn():
            return SilenceDecision.NOT_ALLOWED
        placed = self._choose(is_isolated)
        if placed is None:
            return SilenceDecision.NO_ENDPOINT
        if not self._budget.try_spend():
            return SilenceDecision.NO_BUDGET
        await self._start_at(placed, is_isolated)
        return SilenceDecision.SUCCESSOR

    def _is_its_turn(self) -> bool:
        """Whether a suspected prompt may run now; if not, it is asked for.

        The mailbox is read meanwhile: the silent endpoint may go on.
        """
        if self._turn is None:
            self._turn = Deferred.fromCoroutine(
                self._links.suspects.wait_for_turn(
                    self._prompt.fingerprint, self._prompt.request_id
                )
            )
            self._turn.addErrback(self._log_failed_turn)
            self._turn.addCallback(lambda _: self._mailbox.put(EndpointSilent()))
        if not self._turn.called:
            return False
        self._turn = None
        return True

    def _end_turn(self) -> None:
        if self._turn is not None:
            self._turn.addErrback(lambda failure: failure.trap(CancelledError))
            self._turn.cancel()
            self._turn = None

    def _log_failed_turn(self, failure: Failure) -> Failure | None:
        if failure.check(CancelledError):
            return failure
        failure.trap(Exception)
        self._log.write(
            LogEvent.INTERNAL_FAULT,
            request=self._prompt.request_id,
            detail=repr(failure.value),
        )
        return None

    def _log_silence(self, attempt: _RunningAttempt, decision: SilenceDecision) -> None:
        left = self._prompt.deadline - self._reactor.seconds()
        self._log.write(
            LogEvent.ATTEMPT_SILENT,
            request=self._prompt.request_id,
            attempt=attempt.channel.attempt,
            endpoint=attempt.endpoint,
            left_ms=round(left * 1_000),
            decision=decision.value,
        )

    def _end_silence(self, attempt: _RunningAttempt) -> None:
        if attempt.silence is not None:
            attempt.silence = None
            self._log.write(
                LogEvent.SILENCE_ENDED,
                request=self._prompt.request_id,
                attempt=attempt.channel.attempt,
                endpoint=attempt.endpoint,
            )

    def _end_others(self, attempt: _RunningAttempt) -> None:
        """Cancel all other attempts, as this one has delivered something."""
        for other in tuple(self._running.values()):
            if other is attempt:
                continue
            self._progress.may_have_run = True
            self._cancel(other)
            self._log.write(
                LogEvent.ATTEMPT_FAILED,
                request=self._prompt.request_id,
                attempt=other.channel.attempt,
                endpoint=other.endpoint,
                reason=SUPERSEDED if other.silence is None else SILENT,
            )

    def _cancel_all(self) -> None:
        for attempt in tuple(self._running.values()):
            self._cancel(attempt)

    def _cancel(self, attempt: _RunningAttempt) -> None:
        attempt.channel.send(Cancel(attempt=attempt.channel.attempt))
        self._remove(attempt)

    def _remove(self, attempt: _RunningAttempt) -> None:
        attempt.channel.close()
        self._running.pop(attempt.channel.attempt, None)

    def _last_error(self) -> ServingError | None:
        """Return the error of the last failed attempt, or `None` before the first."""
        failure = self._progress.last_failure
        if failure is None:
            return None
        return self._error(
            failure.code, detail=failure.detail, retry_after=failure.retry_after
        )

    def _error(
        self,
        code: ErrorCode,
        *,
        detail: str = "",
        retry_after: float | None = None,
    ) -> ServingError:
        """Return an error whose outcome covers all attempts of the request."""
        outcome = RunOutcome.NOT_RUN
        if self._assembly.token_count:
            outcome = RunOutcome.RAN
        elif self._progress.may_have_run:
            outcome = RunOutcome.UNKNOWN
        return ServingError(
            code=code, outcome=outcome, detail=detail, retry_after=retry_after
        )


def _unknown_outcome_error(code: ErrorCode, detail: str) -> ServingError:
    return ServingError(code=code, outcome=RunOutcome.UNKNOWN, detail=detail)
