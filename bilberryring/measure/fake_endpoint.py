"""A small fake endpoint on a test clock, around the sidecar's own admission.

The engine is one server of prefill that works chunk by chunk, in the order of
the orders' priorities or first come first served. Decoding takes a time of its
own beside the prefill. There is no network model.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

from twisted.internet.task import Clock

from bilberryring.admission import (
    EndpointLimits,
    PromptAdmission,
    PromptRefusal,
    PromptWork,
    WorkKey,
)
from bilberryring.routing import EndpointLoad

PREFILL_RATE = 40_000.0
"""Prompt tokens a second."""
CHUNK_TOKENS = 1_024
TOKEN_SECONDS = 0.02
"""Seconds between decoded tokens."""
KV_TOKENS = 2_500_000
CONCURRENCY = 256


class EngineOrder(Enum):
    """In which order the engine prefills."""

    FIRST_COME = "first_come"
    PRIORITY = "priority"


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointOptions:
    """How a fake endpoint behaves."""

    order: EngineOrder = EngineOrder.PRIORITY
    uses_admission: bool = True
    cold_allowance: int = CONCURRENCY
    concurrency: int = CONCURRENCY
    kv_tokens: int = KV_TOKENS


@dataclass(slots=True, kw_only=True)
class _Prefill:
    work: PromptWork
    tokens_left: int


def _ignore(key: WorkKey) -> None:
    """Do nothing at the start of a prompt."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointCallbacks:
    """What the driver is told of a prompt."""

    on_first_token: Callable[[WorkKey], None]
    on_end: Callable[[WorkKey], None]
    on_refused: Callable[[WorkKey, PromptRefusal], None]
    on_start: Callable[[WorkKey], None] = _ignore


class FakeEndpoint:
    """Takes prompts and tells when their first token and their end come."""

    def __init__(
        self,
        *,
        name: str,
        clock: Clock,
        options: EndpointOptions,
        callbacks: EndpointCallbacks,
    ):
        self._name = name
        self._clock = clock
        self._options = options
        self._callbacks = callbacks
        self._new_admission()
        self._lost: set[WorkKey] = set()
        self._waiting: list[tuple[int, int, _Prefill]] = []
        self._sequence = itertools.count()
        self._is_busy = False
        self._prefilled = 0
        self._outstanding = 0
        self._unprefilled_tokens = 0

    @property
    def name(self) -> str:
        """The endpoint's name."""
        return self._name

    @property
    def admission(self) -> PromptAdmission:
        """The admission that decides here."""
        return self._admission

    @property
    def prefilled_tokens(self) -> int:
        """The tokens prefilled so far."""
        return self._prefilled

    @property
    def outstanding(self) -> int:
        """The prompts taken and not ended."""
        return self._outstanding

    def load(self) -> EndpointLoad:
        """Return the load as a fresh report would tell it."""
        load = self._admission.load()
        if not self._options.uses_admission:
            return EndpointLoad(
                endpoint=self._name,
                backlog_tokens=(self._unprefilled_tokens, 0, 0, 0),
                outstanding=self._outstanding,
                prefill_rate=PREFILL_RATE,
            )
        return EndpointLoad(
            endpoint=self._name,
            backlog_tokens=load.backlog_tokens,
            outstanding=self._outstanding,
            allowance=load.allowance,
            free_kv_tokens=load.free_kv_tokens,
            kv_tokens=self._options.kv_tokens,
            prefill_rate=load.prefill_rate,
            is_cold=load.is_cold,
        )

    def submit(self, work: PromptWork) -> None:
        """Take a prompt; refusals come back by the callback."""
        if not self._options.uses_admission:
            self._outstanding += 1
            self._unprefilled_tokens += work.prompt_tokens
            self._enqueue(work)
            return
        answer = self._admission.offer(work, now=self._clock.seconds())
        if isinstance(answer, PromptRefusal):
            self._callbacks.on_refused(work.key, answer)
            return
        self._outstanding += 1
        self._pump()

    def return_cold(self, *, initial: int) -> None:
        """Begin again with a small allowance; what runs here goes on."""
        self._options = replace(self._options, cold_allowance=initial)
        self._new_admission()

    def raise_allowance(self, limit: int) -> None:
        """Raise the allowance without regard to work completed."""
        while self._admission.allowance.limit < limit:
            self._admission.allowance.record_completion(in_time=True)
        self._pump()

    def lose_all(self) -> list[WorkKey]:
        """Lose every prompt, as an engine does that falls over."""
        lost = list(self._admission.running_keys)
        self._lost.update(lost)
        self._waiting.clear()
        self._outstanding -= len(lost)
        self._admission.restart()
        return lost

    def _new_admission(self) -> None:
        options = self._options
        self._admission = PromptAdmission(
            limits=EndpointLimits(
                kv_tokens=options.kv_tokens,
                concurrency=options.concurrency,
                cold_allowance=options.cold_allowance,
            )
        )

    def _pump(self) -> None:
        for work in self._admission.take_starts(now=self._clock.seconds()):
            self._enqueue(work)
            self._callbacks.on_start(work.key)

    def _enqueue(self, work: PromptWork) -> None:
        is_priority = self._options.order is EngineOrder.PRIORITY
        priority = work.engine_priority if is_priority else 0
        prefill = _Prefill(work=work, tokens_left=work.prompt_tokens)
        heapq.heappush(self._waiting, (priority, next(self._sequence), prefill))
        self._work_on()

    def _work_on(self) -> None:
        """Prefill the next chunk, or several when no one could overtake."""
        if self._is_busy or not self._waiting:
            return
        self._is_busy = True
        prefill = self._waiting[0][2]
        tokens = min(CHUNK_TOKENS, prefill.tokens_left)
        self._clock.callLater(tokens / PREFILL_RATE, self._chunk_done, prefill, tokens)

    def _chunk_done(self, prefill: _Prefill, tokens: int) -> None:
        self._is_busy = False
        self._prefilled += tokens
        self._unprefilled_tokens -= tokens
        prefill.tokens_left -= tokens
        is_lost = prefill.work.key in self._lost
        if prefill.tokens_left == 0 and not is_lost:
            self._waiting = [item for item in self._waiting if item[2] is not prefill]
            heapq.heapify(self._waiting)
            self._first_token(prefill.work)
        self._work_on()

    def _first_token(self, work: PromptWork) -> None:
        if self._options.uses_admission:
            self._admission.record_first_token(work.key)
            self._pump()
        self._callbacks.on_first_token(work.key)
        self._clock.callLater(work.max_tokens * TOKEN_SECONDS, self._end, work)

    def _end(self, work: PromptWork) -> None:
        if work.key in self._lost:
            return
        self._outstanding -= 1
        if self._options.uses_admission:
            self._admission.finish(work.key, in_time=True)
            self._pump()
        self._callbacks.on_end(work.key)
