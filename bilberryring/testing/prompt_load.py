"""A simulation of prompts of different lengths on a fleet of simulated engines.

Each prompt is placed by the planning code that a gateway uses, by one of several
gateways that know of the others' prompts late. Since the engines run on a simulated
clock, a minute of heavy load takes about a second.
"""

import random
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from twisted.internet.task import Clock

from bilberryring.routing import (
    Candidate,
    EndpointWork,
    EngineFigures,
    PlacedRequest,
    PromptDemand,
    PromptPlan,
    PromptPlanner,
    WorkTracker,
    patience_ms,
)
from bilberryring.standins.pass_engine import PassEngine, ReadPart, SimulatedStream

MILLISECONDS = 1_000.0
STEP_SECONDS = 0.001
URGENT_PREFILL_MS = 100.0
"""Prefill time of a part from which a gateway reports it at once."""
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
    """The number of prompts of one kind that were sent, and answered on time.

    `stopped` counts those that got no event for longer than their callers wait.
    """

    sent: int = 0
    on_time: int = 0
    stopped: int = 0

    @property
    def share(self) -> float:
        """The share of prompts whose events were all on time; 1.0 without prompts."""
        return self.on_time / self.sent if self.sent else 1.0


@dataclass(slots=True, kw_only=True, eq=False)
class _RunningPrompt:
    """One prompt from its placement to the end of its answer; times in seconds."""

    prompt: PromptClass
    placed: PlacedRequest
    tracker: WorkTracker
    sent_at: float
    parts_left: int
    last_event_at: float | None = None
    is_late: bool = False
    is_stopped: bool = False
    stream: SimulatedStream | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class _ReportedWork:
    """What a gateway reported of its work on an engine at the time `at`."""

    work: EndpointWork
    at: float


@dataclass(slots=True, kw_only=True)
class PromptLoad:
    """One simulation of a load, with one policy that places the prompts.

    A policy returns the plan for a prompt, or `None` to refuse it; without a policy,
    each gateway plans with a `PromptPlanner`. Each prompt arrives at one of `gateways`,
    drawn at random, which knows of the prompts of the others what they last reported,
    every `report_seconds`, and of parts of `URGENT_PREFILL_MS` or more what was placed
    `urgent_seconds` ago, if that is set. An engine runs `figures.slots` prompts at
    once; others wait. With `callers_leave` a stream that got no event for longer than
    its caller waits ends with the next one.
    An instance is used for one run.
    """

    policy: Policy | None
    classes: Sequence[PromptClass]
    engines: int
    seed: int
    gateways: int = 1
    report_seconds: float = 0.2
    urgent_seconds: float | None = None
    callers_leave: bool = False
    figures: EngineFigures = FIGURES
    _clock: Clock = field(default_factory=Clock)
    _trackers: list[WorkTracker] = field(default_factory=list)
    _planners: list[PromptPlanner] = field(default_factory=list)
    _reported: dict[str, dict[int, _ReportedWork]] = field(default_factory=dict)
    _reported_at: float = 0.0
    _running: Counter[str] = field(default_factory=Counter)
    _waiting: dict[str, deque[Callable[[], None]]] = field(default_factory=dict)
    _results: dict[str, ClassResult] = field(default_factory=dict)
    _engines_by_name: dict[str, PassEngine] = field(default_factory=dict)

    def run(self, seconds: float) -> dict[str, ClassResult]:
        """Simulate arrivals for `seconds` seconds and return the results by kind.

        The simulation goes on for 10 seconds after that, so that answers can end.
        """
        rng = random.Random(self.seed)
        self._trackers = [WorkTracker() for _ in range(self.gateways)]
        self._planners = [PromptPlanner() for _ in range(self.gateways)]
        self._engines_by_name = {
            f"e{number}": PassEngine(clock=self._clock, figures=self.figures)
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
            max_tokens=prompt.events * self.figures.stride,
            first_ms=prompt.first_ms,
            gap_ms=prompt.gap_ms,
            deadline_ms=10_000.0,
        )
        gateway = rng.randrange(self.gateways) if self.gateways > 1 else 0
        candidates = self._candidates(rng, gateway)
        if self.policy is None:
            now = self._clock.seconds()
            planner = self._planners[gateway]
            plan = planner.plan(
                demand, self.figures, candidates, now=now, gateways=self.gateways
            )
        else:
            plan = self.policy(demand, self.figures, candidates)
        if plan is not None:
            self._place(prompt, demand, plan, self._trackers[gateway])
            if self.urgent_seconds is not None and plan.part_ms >= URGENT_PREFILL_MS:
                names = (plan.lead, *plan.helpers)
                self._clock.callLater(
                    self.urgent_seconds, self._report_urgently, gateway, names
                )

    def _candidates(self, rng: random.Random, gateway: int) -> list[Candidate]:
        now = self._clock.seconds()
        if now - self._reported_at >= self.report_seconds:
            self._report(now)
        candidates = []
        for name in self._engines_by_name:
            work = self._trackers[gateway].work(name, now=now)
            for other, reported in self._reported.get(name, {}).items():
                if other != gateway:
                    age_ms = (now - reported.at) * MILLISECONDS
                    work = work + reported.work.advanced_by(age_ms)
            candidates.append(Candidate(endpoint=name, work=work))
        rng.shuffle(candidates)
        return candidates

    def _report(self, now: float) -> None:
        self._reported_at = now
        self._reported = {}
        for gateway, tracker in enumerate(self._trackers):
            for name in tracker.endpoints:
                self._report_engine(gateway, name, now)

    def _report_engine(self, gateway: int, name: str, now: float) -> None:
        work = self._trackers[gateway].work(name, now=now)
        reported = _ReportedWork(work=work, at=now)
        self._reported.setdefault(name, {})[gateway] = reported

    def _report_urgently(self, gateway: int, names: tuple[str, ...]) -> None:
        for name in names:
            self._report_engine(gateway, name, self._clock.seconds())

    def _place(
        self,
        prompt: PromptClass,
        demand: PromptDemand,
        plan: PromptPlan,
        tracker: WorkTracker,
    ) -> None:
        """Let the tracker know the prompt, and start it when its lead has a slot."""
        now = self._clock.seconds()
        placed = PlacedRequest(
            lead=plan.lead,
            helpers=plan.helpers,
            part_ms=plan.part_ms,
            kv_tokens=demand.kv_tokens,
            gap_ms=int(prompt.gap_ms),
            value=demand.value,
            due_at=now + prompt.first_ms / MILLISECONDS,
        )
        tracker.place(placed, now=now)
        run = _RunningPrompt(
            prompt=prompt,
            placed=placed,
            tracker=tracker,
            sent_at=now,
            parts_left=1 + len(plan.helpers),
        )
        if self._running[plan.lead] < self.figures.slots:
            self._start(run, demand, plan)
            return
        waiting = self._waiting.setdefault(plan.lead, deque())
        waiting.append(lambda: self._start(run, demand, plan))

    def _start(
        self, run: _RunningPrompt, demand: PromptDemand, plan: PromptPlan
    ) -> None:
        self._running[plan.lead] += 1
        tokens = demand.prompt_tokens / run.parts_left
        for name in (plan.lead, *plan.helpers):
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
        run.stream = SimulatedStream(
            context_tokens=demand.prompt_tokens,
            events_left=run.prompt.events,
            on_event=lambda: self._record_event(run),
            on_end=lambda: self._finish_prompt(run),
        )
        self._engines_by_name[run.placed.lead].write(run.stream)

    def _record_event(self, run: _RunningPrompt) -> None:
        now = self._clock.seconds()
        run.tracker.mark_prefilled(run.placed, now=now)
        silent_since = run.sent_at if run.last_event_at is None else run.last_event_at
        patience = patience_ms(first_ms=run.prompt.first_ms, gap_ms=run.prompt.gap_ms)
        if (now - silent_since) * MILLISECONDS > patience:
            run.is_stopped = True
            if self.callers_leave:
                run.stream.events_left = 0
        if run.last_event_at is None:
            run.is_late = (now - run.sent_at) * MILLISECONDS > run.prompt.first_ms
        elif (now - run.last_event_at) * MILLISECONDS > run.prompt.gap_ms:
            run.is_late = True
        run.last_event_at = now

    def _finish_prompt(self, run: _RunningPrompt) -> None:
        lead = run.placed.lead
        run.tracker.remove(run.placed, now=self._clock.seconds())
        self._running[lead] -= 1
        if self._waiting.get(lead):
            self._waiting[lead].popleft()()
        self._results[run.prompt.name].on_time += not (run.is_late or run.is_stopped)
        self._results[run.prompt.name].stopped += run.is_stopped


def _sample_arrivals(
    rng: random.Random, per_second: float, seconds: float
) -> list[float]:
    arrival_times, arrival_time = [], rng.expovariate(per_second)
    while arrival_time < seconds:
        arrival_times.append(arrival_time)
        arrival_time += rng.expovariate(per_second)
    return arrival_times
