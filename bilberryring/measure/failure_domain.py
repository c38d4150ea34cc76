"""Service while a failure domain leaves at short notice and returns cold.

Endpoints stand in three failure domains. One is taken out, works on what it
has, and returns with every engine cold. A cold engine bears a few requests, and
one more for each that it completed; under more it falls over and loses all.
"""

import heapq
import itertools
import math
from dataclasses import dataclass, field
from enum import Enum

import msgspec
from twisted.internet.task import Clock

from bilberryring.admission import LengthClass, PromptWork, WorkKey, length_class_of
from bilberryring.measure.fake_endpoint import (
    CONCURRENCY,
    PREFILL_RATE,
    EndpointCallbacks,
    EndpointOptions,
    FakeEndpoint,
)
from bilberryring.measure.statistics import percentile
from bilberryring.measure.workload import Arrival, arrivals, mean_length
from bilberryring.routing import LengthAware, Placement, PromptShape

DOMAINS = 3
ENDPOINTS_PER_DOMAIN = 6
ENTRIES = 4
COLD_BEARS = 2
OUT_AT = 100.0
BACK_AT = 200.0
END_AT = 320.0
NOTICE_SECONDS = 1.0
"""How long until every entry and sidecar has the set that takes a domain out."""
FIRST_TOKEN_SECONDS = 10.0
PATIENCE_PER_TOKEN = 2.0 / PREFILL_RATE
TOTAL_SECONDS = 300.0
MAX_MOVES = 3
FULL_SHARE = 0.9


class Ramp(Enum):
    """How a returned domain is loaded."""

    COMPLETED_WORK = "completed work"
    PROPORTIONAL_10 = "proportional 10 s"
    PROPORTIONAL_60 = "proportional 60 s"

    @property
    def seconds(self) -> float | None:
        """The length of a ramp by time alone."""
        match self:
            case Ramp.COMPLETED_WORK:
                return None
            case Ramp.PROPORTIONAL_10:
                return 10.0
            case Ramp.PROPORTIONAL_60:
                return 60.0


class FailureDomainResult(msgspec.Struct, frozen=True, kw_only=True):
    """One run; times are in seconds, refusals by rank while the domain is out.

    `high_99` is the 99th percentile of rank 0's time to first token for short
    prompts, before, while the domain is out, and after its return.
    """

    ramp: str
    load: float
    seed: int
    sent: int
    new_work_after_notice: int
    falls: int
    cut: int
    refused: tuple[int, ...]
    high_99_before: float
    high_99_out: float
    high_99_back: float
    high_ratio_out: float
    high_all_99_before: float
    high_all_99_out: float
    over_allowance: int
    full_service_after: float | None


@dataclass(slots=True)
class _Seen:
    first_tokens: dict[tuple[str, int, LengthClass], list[float]] = field(
        default_factory=dict
    )
    refused: dict[int, int] = field(default_factory=dict)
    sent: int = 0
    cut: int = 0
    falls: int = 0
    new_work_after_notice: int = 0
    over_allowance: int = 0


@dataclass(slots=True)
class _ColdEngine:
    """What a cold engine bears: a few requests, and one more for each completed."""

    is_cold: bool = False
    completed: int = 0
    running: int = 0

    def go_cold(self) -> None:
        """Bear only a few requests from now on."""
        self.is_cold = True
        self.completed = 0
        self.running = 0

    @property
    def bears(self) -> float:
        """The requests under which the engine does not fall over."""
        return COLD_BEARS + self.completed if self.is_cold else math.inf


class FailureDomainRun:
    """Drives one fleet through the departure and the return of a domain."""

    def __init__(self, *, ramp: Ramp, load: float, seed: int):
        self._ramp = ramp
        self._load = load
        self._seed = seed
        self._clock = Clock()
        self._seen = _Seen()
        self._works: dict[WorkKey, tuple[Arrival, int, str]] = {}
        self._tried: dict[WorkKey, set[str]] = {}
        self._engines: dict[str, _ColdEngine] = {}
        self._endpoints: dict[str, FakeEndpoint] = {}
        for domain, index in itertools.product(
            range(DOMAINS), range(ENDPOINTS_PER_DOMAIN)
        ):
            self._add_endpoint(f"domain-{domain}/endpoint-{index}")
        self._placements = [
            Placement(policy=LengthAware(), seed=seed + index)
            for index in range(ENTRIES)
        ]
        self._out: set[str] = set()
        self._arrivals = iter(())
        self._returned_tokens: list[tuple[float, int]] = []
        self._counter = itertools.count()

    def run(self) -> FailureDomainResult:
        """Run to the end and return what was seen."""
        self._clock.callLater(OUT_AT + NOTICE_SECONDS, self._out.add, "domain-0")
        self._clock.callLater(BACK_AT, self._come_back)
        rate = self._load * len(self._endpoints) * PREFILL_RATE / mean_length()
        self._arrivals = arrivals(seed=self._seed, rate=rate, seconds=END_AT)
        self._plan_arrival()
        while self._clock.calls and self._clock.seconds() < END_AT + TOTAL_SECONDS:
            next_time = self._clock.calls[0].getTime()
            self._clock.advance(max(0.0, next_time - self._clock.seconds()))
        return self._result()

    def _add_endpoint(self, name: str) -> None:
        """Add an endpoint; its callbacks know its name."""
        self._engines[name] = _ColdEngine()
        self._endpoints[name] = FakeEndpoint(
            name=name,
            clock=self._clock,
            options=EndpointOptions(),
            callbacks=EndpointCallbacks(
                on_first_token=self._first_token,
                on_end=lambda key: self._ended(name, key),
                on_refused=self._refused,
                on_start=lambda key: self._started(name, key),
            ),
        )

    def _plan_arrival(self) -> None:
        arrival = next(self._arrivals, None)
        if arrival is not None:
            wait = arrival.at - self._clock.seconds()
            self._clock.callLater(wait, self._arrive, arrival)

    def _arrive(self, arrival: Arrival) -> None:
        self._plan_arrival()
        key = WorkKey(f"w/{next(self._counter)}")
        self._seen.sent += 1
        self._works[key] = (arrival, 0, "")
        self._send(key)

    def _send(self, key: WorkKey) -> None:
        arrival, moves, _ = self._works[key]
        now = self._clock.seconds()
        tried = self._tried.setdefault(key, set())
        loads = [
            endpoint.load()
            for name, endpoint in self._endpoints.items()
            if name.split("/")[0] not in self._out and name not in tried
        ]
        shape = PromptShape(
            prompt_tokens=arrival.prompt_tokens, max_tokens=arrival.max_tokens
        )
        placement = self._placements[int(key[2:]) % ENTRIES]
        chosen = placement.choose(shape, loads)
        if chosen is None or moves >= MAX_MOVES:
            self._give_up(key)
            return
        tried.add(chosen.endpoint)
        self._works[key] = (arrival, moves + 1, chosen.endpoint)
        if "domain-0/" in chosen.endpoint and OUT_AT + 3.0 <= now < BACK_AT:
            self._seen.new_work_after_notice += 1
        patience = FIRST_TOKEN_SECONDS + PATIENCE_PER_TOKEN * arrival.prompt_tokens
        self._endpoints[chosen.endpoint].submit(
            PromptWork(
                key=key,
                workspace=arrival.workspace,
                rank=arrival.rank,
                share=0.1,
                prompt_tokens=arrival.prompt_tokens,
                max_tokens=arrival.max_tokens,
                start_by=arrival.at + patience,
                deadline=arrival.at + TOTAL_SECONDS,
            )
        )

    def _refused(self, key: WorkKey, refusal) -> None:
        self._send(key)

    def _give_up(self, key: WorkKey) -> None:
        arrival = self._works.pop(key)[0]
        if OUT_AT <= arrival.at < BACK_AT:
            self._seen.refused[arrival.rank] = (
                self._seen.refused.get(arrival.rank, 0) + 1
            )

    def _come_back(self) -> None:
        """Return the domain: every engine there is cold, every sidecar knows."""
        self._out.clear()
        for name, endpoint in self._endpoints.items():
            if not name.startswith("domain-0/"):
                continue
            self._engines[name].go_cold()
            endpoint.return_cold(initial=COLD_BEARS)
            if self._ramp.seconds is not None:
                self._grow_by_time(name, BACK_AT)

    def _grow_by_time(self, name: str, since: float) -> None:
        """Grow an allowance with time alone, as a plain ramp does."""
        share = (self._clock.seconds() - since) / self._ramp.seconds
        limit = int(COLD_BEARS + min(1.0, share) * (CONCURRENCY - COLD_BEARS))
        self._endpoints[name].raise_allowance(limit)
        if share < 1.0:
            self._clock.callLater(0.25, self._grow_by_time, name, since)

    def _started(self, name: str, key: WorkKey) -> None:
        engine = self._engines[name]
        if not engine.is_cold:
            return
        engine.running += 1
        if engine.running > engine.bears:
            self._seen.over_allowance += 1
            self._fall_over(name)

    def _fall_over(self, name: str) -> None:
        self._seen.falls += 1
        lost = self._endpoints[name].lose_all()
        self._engines[name].go_cold()
        self._seen.cut += len(lost)
        for key in lost:
            self._works.pop(key, None)

    def _first_token(self, key: WorkKey) -> None:
        if key not in self._works:
            return
        arrival = self._works[key][0]
        phase = _phase_of(arrival.at)
        length = length_class_of(arrival.prompt_tokens)
        waited = self._clock.seconds() - arrival.at
        self._seen.first_tokens.setdefault((phase, arrival.rank, length), []).append(
            waited
        )
        if self._clock.seconds() >= BACK_AT and "domain-0/" in self._works[key][2]:
            self._returned_tokens.append((self._clock.seconds(), arrival.prompt_tokens))

    def _ended(self, name: str, key: WorkKey) -> None:
        engine = self._engines[name]
        if engine.is_cold:
            engine.running -= 1
            engine.completed += 1
        self._works.pop(key, None)

    def _result(self) -> FailureDomainResult:
        seen = self._seen
        before, out, back = (
            percentile(self._of(phase, (LengthClass.SHORT,)), 0.99)
            for phase in ("before", "out", "back")
        )
        return FailureDomainResult(
            ramp=self._ramp.value,
            load=self._load,
            seed=self._seed,
            sent=seen.sent,
            new_work_after_notice=seen.new_work_after_notice,
            falls=seen.falls,
            cut=seen.cut,
            refused=tuple(seen.refused.get(rank, 0) for rank in range(3)),
            high_99_before=before,
            high_99_out=out,
            high_99_back=back,
            high_ratio_out=out / before,
            high_all_99_before=percentile(self._of("before", tuple(LengthClass)), 0.99),
            high_all_99_out=percentile(self._of("out", tuple(LengthClass)), 0.99),
            over_allowance=seen.over_allowance,
            full_service_after=self._full_service_after(),
        )

    def _of(self, phase: str, lengths: tuple[LengthClass, ...]) -> list[float]:
        """Return rank 0's times to first token in a phase."""
        return [
            value
            for length in lengths
            for value in self._seen.first_tokens.get((phase, 0, length), [])
        ]

    def _full_service_after(self) -> float | None:
        """Return when the domain served its share again, over 10 s."""
        steady = self._load * ENDPOINTS_PER_DOMAIN * PREFILL_RATE
        window = 10.0
        queue: list[tuple[float, int]] = []
        total = 0
        for at, tokens in self._returned_tokens:
            heapq.heappush(queue, (at, tokens))
            total += tokens
            while queue and queue[0][0] < at - window:
                total -= heapq.heappop(queue)[1]
            if total / window >= FULL_SHARE * steady:
                return at - BACK_AT
        return None


def _phase_of(at: float) -> str:
    if at < OUT_AT:
        return "before"
    return "out" if at < BACK_AT else "back"
