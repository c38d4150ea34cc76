"""Admission control at one endpoint: which prompts wait, start or are refused.

Each length class has its own queue. The engine prefills shorter classes first, in
chunks, so a short prompt waits for at most one chunk of a long one. Only a few
prompts are in prefill at a time, so that the order is decided here and not in the
engine. Long prompts get a share of the prefill even under a constant load of short
ones.
"""

from dataclasses import dataclass
from enum import Enum

from bilberryring.admission.allowance import ColdAllowance
from bilberryring.admission.fair_queue import FairQueue
from bilberryring.admission.length_class import (
    LENGTH_CLASSES,
    LengthClass,
)
from bilberryring.admission.memory import KvMemory
from bilberryring.admission.work import PromptWork, WorkKey
from bilberryring.core import ErrorCode

MAX_QUEUED_PROMPTS = 2_000
INITIAL_PREFILL_RATE = 40_000.0
"""Prompt tokens per second that are assumed until the rate is measured."""
RATE_SMOOTHING = 0.1
"""Weight of the latest measurement in the moving average of the prefill rate."""
VERY_LONG_PREFILL_SHARE = 0.15
"""Share of the prefill rate that is left to an overdue very long prompt."""
OVERDUE_FACTOR = 8.0
"""A very long prompt in prefill is overdue after this many times the duration of
its prefill on an idle engine, plus `OVERDUE_SECONDS`."""
OVERDUE_SECONDS = 10.0
MIN_RETRY_AFTER_SECONDS = 0.25
MEMORY_HOLD_SECONDS = 2.0
"""Seconds that a very long prompt waits for memory before medium and long prompts
are held back."""

STARTED_TOKENS_LIMIT = {
    LengthClass.SHORT: 32_768,
    LengthClass.MEDIUM: 65_536,
    LengthClass.LONG: 1,
    LengthClass.VERY_LONG: 1,
}
"""Prompt tokens in prefill from which no further prompt of the class may start."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointLimits:
    """The limits of an endpoint, from its published object.

    `concurrency` is the number of requests that may run at once. A cold endpoint
    runs `cold_allowance`, until it has completed `cold_completions` on time.
    """

    kv_tokens: int
    concurrency: int
    cold_allowance: int
    cold_completions: int = 0


@dataclass(frozen=True, slots=True)
class Queued:
    """The prompt waits; later it starts or expires."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptRefusal:
    """The prompt was not accepted; `retry_after` is in seconds."""

    code: ErrorCode
    retry_after: float


class _Stage(Enum):
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(slots=True, kw_only=True)
class _Running:
    work: PromptWork
    started_at: float
    stage: _Stage = _Stage.PREFILL


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionLoad:
    """The load that a sidecar reports to entries.

    `backlog_tokens` are the prompt tokens waiting or in prefill, by length class, and
    `prefill_rate` is in tokens per second.
    """

    backlog_tokens: tuple[int, ...]
    running: int
    queued: int
    free_kv_tokens: int
    allowance: int
    prefill_rate: float
    is_cold: bool


class PromptAdmission:
    """Owns the queues, the memory reservations and the allowance of one endpoint."""

    def __init__(self, *, limits: EndpointLimits):
        self._limits = limits
        self._memory = KvMemory(total_tokens=limits.kv_tokens)
        self._allowance = ColdAllowance(
            initial_limit=limits.cold_allowance,
            full_limit=limits.concurrency,
            completions_needed=limits.cold_completions,
        )
        self._queues = {length: FairQueue() for length in LENGTH_CLASSES}
        self._isolated = FairQueue()
        self._running: dict[WorkKey, _Running] = {}
        self._prefill_tokens = dict.fromkeys(LENGTH_CLASSES, 0)
        self._rate = INITIAL_PREFILL_RATE
        self._paced_until = 0.0
        self._blocked_since: float | None = None

    @property
    def memory(self) -> KvMemory:
        """The memory reservations."""
        return self._memory

    @property
    def allowance(self) -> ColdAllowance:
        """The limit on requests in progress, which is lower while cold."""
        return self._allowance

    @property
    def running_keys(self) -> frozenset[WorkKey]:
        """The prompts that were handed to the engine and have not finished."""
        return frozenset(self._running)

    @property
    def queued_count(self) -> int:
        """The number of prompts that wait."""
        return sum(len(queue) for queue in self._all_queues())

    def load(self) -> AdmissionLoad:
        """Return the present load, to report to entries."""
        return AdmissionLoad(
            backlog_tokens=tuple(
                self._queues[length].tokens + self._prefill_tokens[length]
                for length in LENGTH_CLASSES
            ),
            running=len(self._running),
            queued=self.queued_count,
            free_kv_tokens=self._memory.free_tokens,
            allowance=self._allowance.limit,
            prefill_rate=self._rate,
            is_cold=self._allowance.is_cold,
        )

    def first_token_wait(self, work: PromptWork) -> float:
        """Return the estimated seconds until the first token of a new prompt.

        A prompt of a later rank has a longer backlog before it, so that under
        overload it is the first to be refused as too late.
        """
        ahead = sum(
            self._tokens_before(length, work)
            for length in LENGTH_CLASSES
            if length.goes_before(work.length_class)
        )
        return (ahead + work.prompt_tokens) / self._rate

    def offer(self, work: PromptWork, *, now: float) -> Queued | PromptRefusal:
        """Put a new prompt into a queue, or refuse it."""
        wait = self.first_token_wait(work)
        if not self._memory.can_ever_hold(work):
            return PromptRefusal(code=ErrorCode.OUT_OF_MEMORY, retry_after=wait)
        if self.queued_count >= MAX_QUEUED_PROMPTS:
            return PromptRefusal(code=ErrorCode.QUEUE_FULL, retry_after=wait)
        accepted_count = len(self._running) + self.queued_count
        can_accept = self._allowance.can_accept(
            prompt_tokens=work.prompt_tokens, accepted_count=accepted_count
        )
        if not can_accept:
            return PromptRefusal(
                code=ErrorCode.COLD, retry_after=max(wait, MIN_RETRY_AFTER_SECONDS)
            )
        if now + wait > work.start_by:
            late_seconds = now + wait - work.start_by
            return PromptRefusal(
                code=ErrorCode.TOO_LATE,
                retry_after=max(late_seconds, MIN_RETRY_AFTER_SECONDS),
            )
        queue = self._isolated if work.is_isolated else self._queues[work.length_class]
        queue.push(work)
        return Queued()

    def take_starts(self, *, now: float) -> list[PromptWork]:
        """Reserve memory for the prompts that may start now, and return them.

        The caller hands them to the engine in this order.
        """
        if self._must_isolate():
            return self._take_isolated(now)
        starts: list[PromptWork] = []
        for length in LENGTH_CLASSES:
            queue = self._queues[length]
            while (work := queue.peek()) is not None:
                if not self._may_start(work, now):
                    break
                queue.pop()
                self._start_prefill(work, now)
                starts.append(work)
        return starts

    def record_first_token(self, key: WorkKey) -> None:
        """Record the first token of a prompt, which ends its prefill."""
        running = self._running.get(key)
        if running is not None and running.stage is _Stage.PREFILL:
            self._end_prefill(running)

    def record_prefill_rate(self, tokens_per_second: float) -> None:
        """Add a measurement to the moving average of the prefill rate."""
        if tokens_per_second > 0:
            self._rate += RATE_SMOOTHING * (tokens_per_second - self._rate)

    def finish(self, key: WorkKey, *, in_time: bool) -> None:
        """Release slot and memory of a prompt that the engine has finished."""
        running = self._running.pop(key, None)
        if running is None:
            return
        if running.stage is _Stage.PREFILL:
            self._end_prefill(running)
        self._memory.release(key)
        self._allowance.record_completion(in_time=in_time)

    def withdraw(self, key: WorkKey) -> bool:
        """Remove a waiting prompt, and return whether it was waiting."""
        return any(queue.remove(key) for queue in self._all_queues())

    def expire(self, *, now: float) -> list[PromptWork]:
        """Remove and return the waiting prompts whose `start_by` has passed."""
        expired = [
            work
            for queue in self._all_queues()
            for work in queue
            if now > work.start_by
        ]
        for work in expired:
            self.withdraw(work.key)
        return expired

    def restart(self) -> list[WorkKey]:
        """Release and return the running prompts, which an engine restart has ended.

        The endpoint is cold afterwards.
        """
        lost = list(self._running)
        for key in lost:
            self.finish(key, in_time=False)
        self._allowance.reset()
        return lost

    def _all_queues(self) -> tuple[FairQueue, ...]:
        return (*self._queues.values(), self._isolated)

    def _must_isolate(self) -> bool:
        """Whether an isolated prompt runs or waits, so that no other may start."""
        is_running = any(item.work.is_isolated for item in self._running.values())
        return is_running or len(self._isolated) > 0

    def _take_isolated(self, now: float) -> list[PromptWork]:
        """Start the next isolated prompt once no other one runs."""
        work = self._isolated.peek()
        if work is None or self._running or not self._memory.has_room(work):
            return []
        self._isolated.pop()
        self._start_prefill(work, now)
        return [work]

    def _tokens_before(self, length: LengthClass, work: PromptWork) -> int:
        queue = self._queues[length]
        is_same = length.prefill_rank == work.length_class.prefill_rank
        waiting = queue.tokens_before(work.rank) if is_same else queue.tokens
        return waiting + self._prefill_tokens[length]

    def _start_prefill(self, work: PromptWork, now: float) -> None:
        self._memory.reserve(work.key, tokens=work.kv_tokens)
        self._running[work.key] = _Running(work=work, started_at=now)
        self._prefill_tokens[work.length_class] += work.prompt_tokens
        if work.length_class is not LengthClass.VERY_LONG:
            # Paces the other classes at the rate that very long prompts leave them.
            self._paced_until = max(self._paced_until, now) + (
                work.prompt_tokens / (self._rate * (1 - VERY_LONG_PREFILL_SHARE))
            )

    def _end_prefill(self, running: _Running) -> None:
        running.stage = _Stage.DECODE
        work = running.work
        self._prefill_tokens[work.length_class] -= work.prompt_tokens

    def _may_start(self, work: PromptWork, now: float) -> bool:
        return (
            self._has_slot(work)
            and self._is_class_below_limit(work)
            and self._has_memory(work, now)
            and not self._must_wait_for_overdue(work, now)
        )

    def _has_slot(self, work: PromptWork) -> bool:
        return self._allowance.admits(
            running=len(self._running),
            prefill_tokens=sum(self._prefill_tokens.values()),
            new_tokens=work.prompt_tokens,
        )

    def _is_class_below_limit(self, work: PromptWork) -> bool:
        started = self._prefill_tokens[work.length_class]
        return started < STARTED_TOKENS_LIMIT[work.length_class]

    def _has_memory(self, work: PromptWork, now: float) -> bool:
        """Whether the prompt may take memory now.

        This also records since when a very long prompt has been waiting for memory.
        """
        is_very_long = work.length_class is LengthClass.VERY_LONG
        if self._memory.has_room(work):
            if is_very_long:
                self._blocked_since = None
            return self._respects_memory_hold(work, now)
        if is_very_long and self._blocked_since is None:
            self._blocked_since = now
        return False

    def _respects_memory_hold(self, work: PromptWork, now: float) -> bool:
        """Whether the prompt takes no memory for which a very long one has waited.

        Short prompts may always take it.
        """
        blocked = self._queues[LengthClass.VERY_LONG].peek()
        is_held = (
            blocked is not None
            and self._blocked_since is not None
            and now - self._blocked_since > MEMORY_HOLD_SECONDS
            and work.length_class in (LengthClass.MEDIUM, LengthClass.LONG)
        )
        return not is_held

    def _must_wait_for_overdue(self, work: PromptWork, now: float) -> bool:
        """Whether the prompt must wait, so that an overdue very long one progresses.

        That is so while the prompts started earlier use up more than the rest of the
        prefill rate.
        """
        if work.length_class is LengthClass.VERY_LONG or self._paced_until <= now:
            return False
        for running in self._running.values():
            if running.stage is _Stage.PREFILL and self._is_overdue(running, now):
                return True
        return False

    def _is_overdue(self, running: _Running, now: float) -> bool:
        if running.work.length_class is not LengthClass.VERY_LONG:
            return False
        alone_seconds = running.work.prompt_tokens / self._rate
        age = now - running.started_at
        return age > OVERDUE_FACTOR * alone_seconds + OVERDUE_SECONDS
