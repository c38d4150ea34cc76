"""Admission of prompts at one endpoint: what waits, what starts, what is refused.

Each length class has a queue of its own. The engine prefills shorter classes
first, chunk by chunk, so a short prompt waits for at most one chunk of a long
one; only little is handed to the engine at a time, so that the order stays
here. Long prompts get a share of the prefill even when short ones never end.
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

MAX_QUEUED_WORKS = 2_000
INITIAL_PREFILL_RATE = 40_000.0
"""Prompt tokens a second, until the engine was seen to prefill."""
RATE_SMOOTHING = 0.1
PROGRESS_SHARE = 0.15
"""The part of the prefill that an overdue very long prompt is given."""
OVERDUE_FACTOR = 8.0
OVERDUE_SECONDS = 10.0
MIN_RETRY_AFTER_SECONDS = 0.25
MEMORY_HOLD_SECONDS = 2.0

STARTED_TOKENS_LIMIT = {
    LengthClass.SHORT: 32_768,
    LengthClass.MEDIUM: 65_536,
    LengthClass.LONG: 1,
    LengthClass.VERY_LONG: 1,
}
"""Prompt tokens of a class handed to the engine before more may start."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointLimits:
    """The limits of an endpoint, from its published object."""

    kv_tokens: int
    concurrency: int
    cold_allowance: int
    cold_completions: int = 0


@dataclass(frozen=True, slots=True)
class Queued:
    """The prompt waits and will be started or refused in time."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptRefusal:
    """The prompt was not run; `retry_after` is in seconds."""

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
    """What a sidecar reports; `backlog_tokens` is by length class."""

    backlog_tokens: tuple[int, ...]
    running: int
    queued: int
    free_kv_tokens: int
    allowance: int
    prefill_rate: float
    is_cold: bool


class PromptAdmission:
    """Owns the queues, the memory and the allowance of one endpoint."""

    def __init__(self, *, limits: EndpointLimits):
        self._limits = limits
        self._memory = KvMemory(total_tokens=limits.kv_tokens)
        self._allowance = ColdAllowance(
            initial=limits.cold_allowance,
            full=limits.concurrency,
            completions_needed=limits.cold_completions,
        )
        self._queues = {length: FairQueue() for length in LENGTH_CLASSES}
        self._isolated = FairQueue()
        self._running: dict[WorkKey, _Running] = {}
        self._prefill_tokens = dict.fromkeys(LENGTH_CLASSES, 0)
        self._rate = INITIAL_PREFILL_RATE
        self._pace_time = 0.0
        self._blocked_since: float | None = None

    @property
    def memory(self) -> KvMemory:
        """The reservations."""
        return self._memory

    @property
    def allowance(self) -> ColdAllowance:
        """The allowance of a cold endpoint."""
        return self._allowance

    @property
    def running_keys(self) -> frozenset[WorkKey]:
        """The prompts handed to the engine and not finished."""
        return frozenset(self._running)

    @property
    def queued_count(self) -> int:
        """The prompts that wait."""
        return sum(len(queue) for queue in self._all_queues())

    def load(self) -> AdmissionLoad:
        """Return what to report to entries."""
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
        """Return the estimated seconds until the first token of new work.

        Work of a later rank has more before it, so that when capacity is short
        it is the first to be refused as too late.
        """
        ahead = sum(
            self._tokens_before(length, work)
            for length in LENGTH_CLASSES
            if length.goes_before(work.length_class)
        )
        return (ahead + work.prompt_tokens) / self._rate

    def offer(self, work: PromptWork, *, now: float) -> Queued | PromptRefusal:
        """Take new work into a queue, or refuse it at once."""
        wait = self.first_token_wait(work)
        if not self._memory.can_ever_hold(work):
            return PromptRefusal(code=ErrorCode.OUT_OF_MEMORY, retry_after=wait)
        if self.queued_count >= MAX_QUEUED_WORKS:
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
            late = now + wait - work.start_by
            return PromptRefusal(
                code=ErrorCode.TOO_LATE,
                retry_after=max(late, MIN_RETRY_AFTER_SECONDS),
            )
        queue = self._isolated if work.is_isolated else self._queues[work.length_class]
        queue.push(work)
        return Queued()

    def take_starts(self, *, now: float) -> list[PromptWork]:
        """Return the work to hand to the engine now, with memory reserved."""
        if self._must_isolate():
            return self._take_isolated(now)
        starts: list[PromptWork] = []
        for length in LENGTH_CLASSES:
            queue = self._queues[length]
            while (work := queue.peek()) is not None:
                if not self._may_start(work, now):
                    break
                queue.pop()
                self._begin(work, now)
                starts.append(work)
        return starts

    def record_first_token(self, key: WorkKey) -> None:
        """Note that the engine finished the prefill of a prompt."""
        running = self._running.get(key)
        if running is not None and running.stage is _Stage.PREFILL:
            self._end_prefill(running)

    def record_prefill_rate(self, tokens_per_second: float) -> None:
        """Take one measurement of the engine's prefill."""
        if tokens_per_second > 0:
            self._rate += RATE_SMOOTHING * (tokens_per_second - self._rate)

    def finish(self, key: WorkKey, *, in_time: bool) -> None:
        """Free what a prompt held once the engine is done with it."""
        running = self._running.pop(key, None)
        if running is None:
            return
        if running.stage is _Stage.PREFILL:
            self._end_prefill(running)
        self._memory.release(key)
        self._allowance.record_completion(in_time=in_time)

    def withdraw(self, key: WorkKey) -> bool:
        """Remove a prompt that still waits; `False` when it does not."""
        return any(queue.remove(key) for queue in self._all_queues())

    def expire(self, *, now: float) -> list[PromptWork]:
        """Remove and return the prompts that waited past their time."""
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
        """Forget what ran when the engine restarted; the endpoint is cold."""
        lost = list(self._running)
        for key in lost:
            self.finish(key, in_time=False)
        self._allowance.reset()
        return lost

    def _all_queues(self) -> tuple[FairQueue, ...]:
        return (*self._queues.values(), self._isolated)

    def _must_isolate(self) -> bool:
        """Whether a suspect runs or waits, so that nothing else may start."""
        is_running = any(item.work.is_isolated for item in self._running.values())
        return is_running or len(self._isolated) > 0

    def _take_isolated(self, now: float) -> list[PromptWork]:
        """Start the next suspect once nothing else runs."""
        work = self._isolated.peek()
        if work is None or self._running or not self._memory.has_room(work):
            return []
        self._isolated.pop()
        self._begin(work, now)
        return [work]

    def _tokens_before(self, length: LengthClass, work: PromptWork) -> int:
        queue = self._queues[length]
        is_same = length.prefill_rank == work.length_class.prefill_rank
        waiting = queue.tokens_before(work.rank) if is_same else queue.tokens
        return waiting + self._prefill_tokens[length]

    def _begin(self, work: PromptWork, now: float) -> None:
        self._memory.reserve(work.key, tokens=work.kv_tokens)
        self._running[work.key] = _Running(work=work, started_at=now)
        self._prefill_tokens[work.length_class] += work.prompt_tokens
        if work.length_class is not LengthClass.VERY_LONG:
            self._pace_time = max(self._pace_time, now) + (
                work.prompt_tokens / (self._rate * (1 - PROGRESS_SHARE))
            )

    def _end_prefill(self, running: _Running) -> None:
        running.stage = _Stage.DECODE
        work = running.work
        self._prefill_tokens[work.length_class] -= work.prompt_tokens

    def _may_start(self, work: PromptWork, now: float) -> bool:
        return (
            self._has_slot(work)
            and self._is_class_open(work)
            and self._has_memory(work, now)
            and not self._must_yield(work, now)
        )

    def _has_slot(self, work: PromptWork) -> bool:
        return self._allowance.admits(
            running=len(self._running),
            prefill_tokens=sum(self._prefill_tokens.values()),
            new_tokens=work.prompt_tokens,
        )

    def _is_class_open(self, work: PromptWork) -> bool:
        started = self._prefill_tokens[work.length_class]
        return started < STARTED_TOKENS_LIMIT[work.length_class]

    def _has_memory(self, work: PromptWork, now: float) -> bool:
        """Whether memory is free; a long prompt blocked for long holds it back."""
        is_very_long = work.length_class is LengthClass.VERY_LONG
        if self._memory.has_room(work):
            if is_very_long:
                self._blocked_since = None
            return self._leaves_held_memory(work, now)
        if is_very_long and self._blocked_since is None:
            self._blocked_since = now
        return False

    def _leaves_held_memory(self, work: PromptWork, now: float) -> bool:
        blocked = self._queues[LengthClass.VERY_LONG].peek()
        is_held = (
            blocked is not None
            and self._blocked_since is not None
            and now - self._blocked_since > MEMORY_HOLD_SECONDS
            and work.length_class in (LengthClass.MEDIUM, LengthClass.LONG)
        )
        return not is_held

    def _must_yield(self, work: PromptWork, now: float) -> bool:
        """Whether an overdue very long prompt is owed its share first."""
        if work.length_class is LengthClass.VERY_LONG or self._pace_time <= now:
            return False
        for running in self._running.values():
            if running.stage is _Stage.PREFILL and self._is_overdue(running, now):
                return True
        return False

    def _is_overdue(self, running: _Running, now: float) -> bool:
        if running.work.length_class is not LengthClass.VERY_LONG:
            return False
        fair_time = running.work.prompt_tokens / self._rate
        age = now - running.started_at
        return age > OVERDUE_FACTOR * fair_time + OVERDUE_SECONDS
