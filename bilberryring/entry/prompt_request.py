"""The task of one prompt: it makes attempts until the answer is whole."""

from collections.abc import Callable
from dataclasses import dataclass, field

from twisted.internet.defer import DeferredQueue
from twisted.internet.task import deferLater

from bilberryring.core import (
    ErrorCode,
    RunOutcome,
    ServingError,
    from_micros,
    to_micros,
)
from bilberryring.entry.answer_sinks import AnswerSink
from bilberryring.entry.attempt_channel import (
    AttemptChannel,
    CallerGone,
    CallerTooSlow,
    DeadlinePassed,
    EndpointSilent,
    LinkLost,
    deadline_told,
)
from bilberryring.entry.caller_prompt import AnswerTimes, CallerPrompt
from bilberryring.entry.prompt_placement import PromptPlacement
from bilberryring.entry.sidecar_links import SidecarLinks
from bilberryring.execution import AnswerAssembly, AnswerGapError, RetryBudget
from bilberryring.membership import Standing
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

PART_BYTES = 64 * 1024
MAX_FREE_MOVES = 3
MAX_ATTEMPTS = 6
NO_ENDPOINT_RETRY_SECONDS = 1.0
SUSPECT_PAUSE_SECONDS = 0.3

FREE_MOVE_CODES = frozenset(
    {
        ErrorCode.LEAVING,
        ErrorCode.DOMAIN_OUT,
        ErrorCode.COLD,
        ErrorCode.VERSION_NOT_HELD,
        ErrorCode.NO_SET,
    }
)
"""Refusals that say "go elsewhere"; following them costs no retry budget."""


@dataclass(slots=True, kw_only=True)
class _Progress:
    excluded: set[str] = field(default_factory=set)
    free_moves: int = 0
    attempts: int = 0
    has_run: bool = False
    last_error: ServingError | None = None


class PromptRequest:
    """Owns one prompt from its admission by the entry to its one answer."""

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
        self._helpers: tuple[str, ...] = ()
        self._first_token_at: float | None = None
        self._last_token_at = 0.0

    def caller_gone(self) -> None:
        """Note that the caller closed its connection."""
        self._sink.abandon()
        self._mailbox.put(CallerGone())

    def caller_too_slow(self) -> None:
        """Note that the caller does not read."""
        self._mailbox.put(CallerTooSlow())

    async def run(self) -> AnswerTimes:
        """Answer the caller; `ServingError` when that is not possible."""
        self._budget.record_request()
        with deadline_told(self._reactor, self._mailbox, at=self._prompt.deadline):
            while not await self._attempt_once():
                pass
        self._links.deaths.clear(self._prompt.fingerprint)
        self._sink.finish(self._assembly.text, self._assembly.token_count)
        return AnswerTimes(
            first_token=self._first_token_at,
            end=self._reactor.seconds(),
            token_count=self._assembly.token_count,
        )

    async def _attempt_once(self) -> bool:
        """Make one attempt; whether the answer is whole now."""
        if self._is_answer_complete():
            return True
        is_isolated = await self._must_isolate()
        channel = self._open_channel(is_isolated)
        self._assembly.begin(channel.attempt)
        self._progress.attempts += 1
        self._log.write(
            LogEvent.ATTEMPT_STARTED,
            request=self._prompt.request_id,
            attempt=channel.attempt,
            endpoint=channel.record.endpoint.name,
        )
        try:
            await self._send_prompt(channel, is_isolated)
            return await self._follow(channel)
        except AnswerGapError as error:
            channel.send(Cancel(attempt=channel.attempt))
            self._fail_attempt(channel, _unknown(ErrorCode.ENDPOINT_FAILED, str(error)))
            return False
        finally:
            channel.close()

    async def _must_isolate(self) -> bool:
        """Whether the prompt is a suspect; `ServingError` when quarantined.

        A suspect waits a moment first, so that the deaths it may have caused
        elsewhere are known.
        """
        standing = self._standing()
        if standing is PromptStanding.SUSPECT:
            await deferLater(self._reactor, SUSPECT_PAUSE_SECONDS)
            standing = self._standing()
        if standing is PromptStanding.QUARANTINED:
            self._log.write(
                LogEvent.PROMPT_QUARANTINED, request=self._prompt.request_id
            )
            raise self._error(ErrorCode.QUARANTINED)
        return standing is PromptStanding.SUSPECT

    def _standing(self) -> PromptStanding:
        return self._links.deaths.standing(self._prompt.fingerprint)

    def _is_answer_complete(self) -> bool:
        """Whether all tokens were delivered and only the end was lost."""
        return self._assembly.token_count >= self._prompt.shape.max_tokens

    def _open_channel(self, is_isolated: bool) -> AttemptChannel:
        prompt, progress = self._prompt, self._progress
        if self._reactor.seconds() >= prompt.deadline:
            raise self._error(ErrorCode.DEADLINE_PASSED)
        if progress.attempts >= MAX_ATTEMPTS:
            raise progress.last_error
        chosen = self._placement.choose(
            prompt,
            self._objects(),
            excluded=frozenset(progress.excluded),
            is_isolated=is_isolated,
        )
        self._helpers = chosen.helpers if chosen else ()
        channel = None
        if chosen is not None:
            channel = self._links.open_attempt(
                chosen.endpoint, self._mailbox, shape=prompt.shape
            )
        if channel is None:
            raise progress.last_error or self._error(
                ErrorCode.NO_ENDPOINT, retry_after=NO_ENDPOINT_RETRY_SECONDS
            )
        return channel

    async def _send_prompt(self, channel: AttemptChannel, is_isolated: bool) -> None:
        """Send the prompt in parts, and let other streams go between them."""
        prompt = self._prompt
        text = prompt.text
        starts = range(0, max(len(text), 1), PART_BYTES)
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
                queue_deadline=self._receiver_micros(channel, prompt.start_by),
                fingerprint=prompt.fingerprint,
                prompt_parts=len(starts),
                isolated=is_isolated,
                span_members=list(self._helpers),
            )
        )
        for index, start in enumerate(starts):
            part = text[start : start + PART_BYTES]
            channel.send(PromptPart(attempt=channel.attempt, index=index, text=part))
            if index + 1 < len(starts):
                await deferLater(self._reactor, 0)

    def _receiver_micros(self, channel: AttemptChannel, own_time: float) -> int:
        return to_micros(channel.record.receiver_time(own_time))

    async def _follow(self, channel: AttemptChannel) -> bool:
        """Take the messages of an attempt to its end."""
        name = channel.record.endpoint.name
        while True:
            message = await self._mailbox.get()
            match message:
                case Tokens():
                    self._take_tokens(channel, message)
                case Finished():
                    if message.attempt == channel.attempt:
                        return self._take_end(channel, message)
                case Refused():
                    if message.attempt == channel.attempt:
                        self._take_refusal(channel, message)
                        return False
                case LinkLost():
                    if not channel.link.is_open:
                        error = _unknown(ErrorCode.ENDPOINT_FAILED, "the link closed")
                        self._progress.has_run = True
                        self._fail_attempt(channel, error)
                        return False
                case EndpointSilent():
                    if self._links.standing(name) is Standing.SILENT:
                        channel.send(Cancel(attempt=channel.attempt))
                        error = _unknown(ErrorCode.ENDPOINT_FAILED, "it fell silent")
                        self._progress.has_run = True
                        self._fail_attempt(channel, error)
                        return False
                case DeadlinePassed():
                    channel.send(Cancel(attempt=channel.attempt))
                    self._progress.has_run = True
                    raise self._error(ErrorCode.DEADLINE_PASSED)
                case CallerGone():
                    channel.send(Cancel(attempt=channel.attempt))
                    raise self._error(ErrorCode.CANCELLED)
                case CallerTooSlow():
                    channel.send(Cancel(attempt=channel.attempt))
                    self._progress.has_run = True
                    raise self._error(ErrorCode.CALLER_TOO_SLOW)

    def _take_tokens(self, channel: AttemptChannel, message: Tokens) -> None:
        new = self._assembly.add(
            message.attempt, first_index=message.first_index, texts=message.texts
        )
        if not new:
            return
        self._progress.has_run = True
        now = self._reactor.seconds()
        if self._first_token_at is None:
            self._first_token_at = now
        else:
            self._on_token_gap(now - self._last_token_at)
        self._last_token_at = now
        self._sink.tokens(new)

    def _take_end(self, channel: AttemptChannel, message: Finished) -> bool:
        is_whole = self._assembly.is_whole(
            message.attempt, token_count=message.token_count
        )
        if not is_whole:
            raise AnswerGapError("the end came before all tokens")
        return True

    def _take_refusal(self, channel: AttemptChannel, message: Refused) -> None:
        outcome = RunOutcome(message.outcome)
        if outcome is not RunOutcome.NOT_RUN:
            self._progress.has_run = True
        error = ServingError(
            code=ErrorCode(message.code),
            outcome=outcome,
            detail=message.detail,
            retry_after=from_micros(message.retry_after) or None,
        )
        self._fail_attempt(channel, error)

    def _fail_attempt(self, channel: AttemptChannel, error: ServingError) -> None:
        """Decide whether another attempt may follow; raise when not."""
        progress = self._progress
        name = channel.record.endpoint.name
        progress.excluded.add(name)
        progress.last_error = self._error(
            error.code, detail=error.detail, retry_after=error.retry_after
        )
        self._log.write(
            LogEvent.ATTEMPT_FAILED,
            request=self._prompt.request_id,
            attempt=channel.attempt,
            endpoint=name,
            code=error.code.value,
        )
        is_free = error.code in FREE_MOVE_CODES and error.outcome is RunOutcome.NOT_RUN
        if is_free and progress.free_moves < MAX_FREE_MOVES:
            progress.free_moves += 1
            return
        if not self._budget.try_spend():
            raise progress.last_error

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
        elif self._progress.has_run:
            outcome = RunOutcome.UNKNOWN
        return ServingError(
            code=code, outcome=outcome, detail=detail, retry_after=retry_after
        )


def _unknown(code: ErrorCode, detail: str) -> ServingError:
    return ServingError(code=code, outcome=RunOutcome.UNKNOWN, detail=detail)
