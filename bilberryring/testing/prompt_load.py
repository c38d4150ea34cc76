"""A load of prompts of unlike lengths, played against simulated engines.

The same decisions as in a gateway place each prompt; the engines are simulated,
so a minute of heavy load takes about a second.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from twisted.internet.task import Clock

from bilberryring.routing import (
    Candidate,
    EngineFigures,
    PlacedRequest,
    PromptDemand,
    PromptPlan,
    WorkBook,
)
from bilberryring.standins.pass_engine import PassEngine, ReadPart, SimulatedStream

MILLISECONDS = 1_000.0
STEP_SECONDS = 0.001
FIGURES = EngineFigures(
    slots=8,
    kv_tokens=315_000,
    stride=51,
    step_ms=0.85,
    sequence_ms=0.0085,
    context_ms=0.00285,
    read_tokens_per_ms=177.0,
    pairs_ms=0.184,
    chunk_tokens=2_048,
)
Policy = Callable[[PromptDemand, EngineFigures, Sequence[Candidate]], PromptPlan | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptClass:
    """Prompts of one kind; `per_second` is their rate."""

    name: str
    per_second: float
    mean_tokens: int
    spread: float
    most_tokens: int
    events: int
    first_ms: float
    gap_ms: float
    value: float


@dataclass(slots=True, kw_only=True)
class ClassResult:
    """What became of the prompts of one kind."""

    asked: int = 0
    on_time: int = 0

    @property
    def share(self) -> float:
        """The share of prompts answered on time, without a long gap."""
        return self.on_time / self.asked if self.asked else 1.0


@dataclass(slots=True, kw_only=True, eq=False)
class _Run:
    prompt: PromptClass
    placed: PlacedRequest
    sent_at: float
    parts_left: int
    last_event_at: float | None = None
    is_late: bool = False


@dataclass(slots=True, kw_only=True)
class PromptLoad:
    """One play of a load under one policy."""

    policy: Policy
    classes: Sequence[PromptClass]
    engines: int
    seed: int
    _clock: Clock = field(default_factory=Clock)
    _book: WorkBook = field(default_factory=WorkBook)
    _results: dict[str, ClassResult] = field(default_factory=dict)
    _fleet: dict[str, PassEngine] = field(default_factory=dict)

    def play(self, seconds: float) -> dict[str, ClassResult]:
        """Play so long and return the results by kind."""
        draw = random.Random(self.seed)
        self._fleet = {
            f"e{number}": PassEngine(clock=self._clock, figures=FIGURES)
            for number in range(self.engines)
        }
        arrivals = sorted(
            (at, index)
            for index, prompt in enumerate(self.classes)
            for at in _arrivals(draw, prompt.per_second, seconds)
        )
        for at, index in arrivals:
            self._advance_to(at)
            self._send(self.classes[index], draw)
        self._advance_to(seconds + 10.0)
        return self._results

    def _advance_to(self, at: float) -> None:
        while self._clock.seconds() < at:
            self._clock.advance(min(STEP_SECONDS, at - self._clock.seconds()))

    def _send(self, prompt: PromptClass, draw: random.Random) -> None:
        result = self._results.setdefault(prompt.name, ClassResult())
        result.asked += 1
        drawn = draw.lognormvariate(0.0, prompt.spread) * prompt.mean_tokens
        demand = PromptDemand(
            prompt_tokens=int(min(drawn, prompt.most_tokens)),
            max_tokens=prompt.events * FIGURES.stride,
            first_ms=prompt.first_ms,
            gap_ms=prompt.gap_ms,
            deadline_ms=10_000.0,
        )
        plan = self.policy(demand, FIGURES, self._candidates(draw))
        if plan is not None:
            self._start(prompt, demand, plan)

    def _candidates(self, draw: random.Random) -> list[Candidate]:
        now = self._clock.seconds()
        candidates = [
            Candidate(endpoint=name, work=self._book.work(name, now=now))
            for name in self._fleet
        ]
        draw.shuffle(candidates)
        return candidates

    def _start(
        self, prompt: PromptClass, demand: PromptDemand, plan: PromptPlan
    ) -> None:
        placed = PlacedRequest(
            lead=plan.lead,
            helpers=plan.helpers,
            part_ms=plan.part_ms,
            kv_tokens=demand.kv_tokens,
            gap_ms=int(prompt.gap_ms),
            value=demand.value,
            due_at=self._clock.seconds() + prompt.first_ms / MILLISECONDS,
        )
        self._book.place(placed, now=self._clock.seconds())
        readers = (plan.lead, *plan.helpers)
        run = _Run(
            prompt=prompt,
            placed=placed,
            sent_at=self._clock.seconds(),
            parts_left=len(readers),
        )
        tokens = demand.prompt_tokens / len(readers)
        for name in readers:
            self._fleet[name].read(
                ReadPart(
                    tokens_left=tokens,
                    ms_per_token=plan.part_ms / tokens,
                    is_for_other=name != plan.lead,
                    on_read=lambda: self._part_read(run, demand),
                )
            )

    def _part_read(self, run: _Run, demand: PromptDemand) -> None:
        run.parts_left -= 1
        if run.parts_left:
            return
        self._fleet[run.placed.lead].write(
            SimulatedStream(
                context_tokens=demand.prompt_tokens,
                events_left=run.prompt.events,
                on_event=lambda: self._event(run),
                on_end=lambda: self._end(run),
            )
        )

    def _event(self, run: _Run) -> None:
        now = self._clock.seconds()
        self._book.mark_read(run.placed, now=now)
        if run.last_event_at is None:
            run.is_late = (now - run.sent_at) * MILLISECONDS > run.prompt.first_ms
        elif (now - run.last_event_at) * MILLISECONDS > run.prompt.gap_ms:
            run.is_late = True
        run.last_event_at = now

    def _end(self, run: _Run) -> None:
        self._book.remove(run.placed, now=self._clock.seconds())
        self._results[run.prompt.name].on_time += not run.is_late


def _arrivals(draw: random.Random, per_second: float, seconds: float) -> list[float]:
    times, at = [], draw.expovariate(per_second)
    while at < seconds:
        times.append(at)
        at += draw.expovariate(per_second)
    return times
