"""A simulation of prompts of different lengths on a fleet of simulated engines.

Each prompt is placed by the planning code that a gateway uses. Since the engines
run on a simulated clock, a minute of heavy load takes about a second.
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
    WorkTracker,
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
    prefill_tokens_per_ms=177.0,
    million_pairs_ms=0.184,
    chunk_tokens=2_048,
)
Policy = Callable[[PromptDemand, EngineFigures, Sequence[Candidate]], PromptPlan | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptClass:
    """Prompts of one kind, which arrive at random `per_second` times a second.

    Prompt lengths in tokens are log-normal with the median `median_tokens` and the
    standard deviation `sigma` of their logarithm, cut at `max_prompt_tokens`. An answer
    has `events` events; the first one is due after `first_ms` milliseconds and each
    other one `gap_ms` milliseconds after the one before. `value` is the weight of a
    prompt in a score over several kinds.
    """

    name: str
    per_second: float
    median_tokens: int
    sigma: float
    max_prompt_tokens: int
    events: int
    first_ms: float
    gap_ms: float
    value: float


@dataclass(slots=True, kw_only=True)
class ClassResult:
    """The number of prompts of one kind that were sent, and answered on time."""

    sent: int = 0
    on_time: int = 0

    @property
    def share(self) -> float:
        """The share of prompts whose events were all on time; 1.0 without prompts."""
        return self.on_time / self.sent if self.sent else 1.0


@dataclass(slots=True, kw_only=True, eq=False)
class _RunningPrompt:
    """One prompt from its placement to the end of its answer; times in seconds."""

    prompt: PromptClass
    placed: PlacedRequest
    sent_at: float
    parts_left: int
    last_event_at: float | None = None
    is_late: bool = False


@dataclass(slots=True, kw_only=True)
class PromptLoad:
    """One simulation of a load, with one policy that places the prompts.

    A policy returns the plan for a prompt, or `None` to refuse it. An instance is
    used for one run.
    """

    policy: Policy
    classes: Sequence[PromptClass]
    engines: int
    seed: int
    _clock: Clock = field(default_factory=Clock)
    _tracker: WorkTracker = field(default_factory=WorkTracker)
    _results: dict[str, ClassResult] = field(default_factory=dict)
    _engines_by_name: dict[str, PassEngine] = field(default_factory=dict)

    def run(self, seconds: float) -> dict[str, ClassResult]:
        """Simulate arrivals for `seconds` seconds and return the results by kind.

        The simulation goes on for 10 seconds after that, so that answers can end.
        """
        rng = random.Random(self.seed)
        self._engines_by_name = {
            f"e{number}": PassEngine(clock=self._clock, figures=FIGURES)
            for number in range(self.engines)
        }
        arrivals = sorted(
            (arrival_time, index)
            for index, prompt in enumerate(self.classes)
            for arrival_time in _sample_arrivals(rng, prompt.per_second, seconds)
        )
        for arrival_time, index in arrivals:
            self._advance_to(arrival_time)
            self._send(self.classes[index], rng)
        self._advance_to(seconds + 10.0)
        return self._results

    def _advance_to(self, target_time: float) -> None:
        while self._clock.seconds() < target_time:
            self._clock.advance(min(STEP_SECONDS, target_time - self._clock.seconds()))

    def _send(self, prompt: PromptClass, rng: random.Random) -> None:
        result = self._results.setdefault(prompt.name, ClassResult())
        result.sent += 1
        sampled_tokens = rng.lognormvariate(0.0, prompt.sigma) * prompt.median_tokens
        demand = PromptDemand(
            prompt_tokens=int(min(sampled_tokens, prompt.max_prompt_tokens)),
            max_tokens=prompt.events * FIGURES.stride,
            first_ms=prompt.first_ms,
            gap_ms=prompt.gap_ms,
            deadline_ms=10_000.0,
        )
        plan = self.policy(demand, FIGURES, self._candidates(rng))
        if plan is not None:
            self._start(prompt, demand, plan)

    def _candidates(self, rng: random.Random) -> list[Candidate]:
        now = self._clock.seconds()
        candidates = [
            Candidate(endpoint=name, work=self._tracker.work(name, now=now))
            for name in self._engines_by_name
        ]
        rng.shuffle(candidates)
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
        self._tracker.place(placed, now=self._clock.seconds())
        reading_engines = (plan.lead, *plan.helpers)
        run = _RunningPrompt(
            prompt=prompt,
            placed=placed,
            sent_at=self._clock.seconds(),
            parts_left=len(reading_engines),
        )
        tokens = demand.prompt_tokens / len(reading_engines)
        for name in reading_engines:
            self._engines_by_name[name].read(
                ReadPart(
                    tokens_left=tokens,
                    ms_per_token=plan.part_ms / tokens,
                    is_for_other=name != plan.lead,
                    on_read=lambda: self._finish_part(run, demand),
                )
            )

    def _finish_part(self, run: _RunningPrompt, demand: PromptDemand) -> None:
        run.parts_left -= 1
        if run.parts_left:
            return
        self._engines_by_name[run.placed.lead].write(
            SimulatedStream(
                context_tokens=demand.prompt_tokens,
                events_left=run.prompt.events,
                on_event=lambda: self._record_event(run),
                on_end=lambda: self._finish_prompt(run),
            )
        )

    def _record_event(self, run: _RunningPrompt) -> None:
        now = self._clock.seconds()
        self._tracker.mark_prefilled(run.placed, now=now)
        if run.last_event_at is None:
            run.is_late = (now - run.sent_at) * MILLISECONDS > run.prompt.first_ms
        elif (now - run.last_event_at) * MILLISECONDS > run.prompt.gap_ms:
            run.is_late = True
        run.last_event_at = now

    def _finish_prompt(self, run: _RunningPrompt) -> None:
        self._tracker.remove(run.placed, now=self._clock.seconds())
        self._results[run.prompt.name].on_time += not run.is_late


def _sample_arrivals(
    rng: random.Random, per_second: float, seconds: float
) -> list[float]:
    arrival_times, arrival_time = [], rng.expovariate(per_second)
    while arrival_time < seconds:
        arrival_times.append(arrival_time)
        arrival_time += rng.expovariate(per_second)
    return arrival_times
