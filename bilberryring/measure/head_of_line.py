"""Head-of-line blocking of short prompts behind long ones, by policy."""

import math
from dataclasses import dataclass, field

import msgspec
from twisted.internet.task import Clock

from bilberryring.acceptance import rendezvous_weight
from bilberryring.admission import LengthClass, PromptWork, WorkKey, length_class_of
from bilberryring.measure.fake_endpoint import (
    PREFILL_RATE,
    EndpointCallbacks,
    EndpointOptions,
    EngineOrder,
    FakeEndpoint,
)
from bilberryring.measure.statistics import percentile
from bilberryring.measure.workload import Arrival, arrivals, mean_length
from bilberryring.routing import (
    EndpointLoad,
    FewestOutstanding,
    FewestTokens,
    LengthAware,
    Placement,
    Policy,
    PromptShape,
    RoundRobin,
    TwoChoices,
    drained_backlog,
)

PATIENCE_SECONDS = 1e9
"""No refusals here: the measure is about waiting."""
WARM_UP_SHARE = 0.15
REPORT_SECONDS = 2.0
DRAIN_FACTOR = 1.5
ENTRIES = 4
ENTRIES_PER_ENDPOINT = 0.25


class PolicyCase(msgspec.Struct, frozen=True, kw_only=True):
    """A policy with the engine order that it is measured with.

    `tracked` is how many endpoints each entry knows; 0 stands for all.
    """

    name: str
    policy: Policy
    options: EndpointOptions
    tracked: int = 0


POLICY_CASES = (
    PolicyCase(
        name="round robin",
        policy=RoundRobin(),
        options=EndpointOptions(order=EngineOrder.FIRST_COME, uses_admission=False),
    ),
    PolicyCase(
        name="fewest outstanding",
        policy=FewestOutstanding(),
        options=EndpointOptions(order=EngineOrder.FIRST_COME, uses_admission=False),
    ),
    PolicyCase(
        name="two choices",
        policy=TwoChoices(),
        options=EndpointOptions(order=EngineOrder.FIRST_COME, uses_admission=False),
    ),
    PolicyCase(
        name="fewest tokens",
        policy=FewestTokens(),
        options=EndpointOptions(order=EngineOrder.FIRST_COME, uses_admission=False),
    ),
    PolicyCase(name="length aware", policy=LengthAware(), options=EndpointOptions()),
)

SUBSET_CASES = tuple(
    PolicyCase(
        name=f"length aware, {tracked} known",
        policy=LengthAware(),
        options=EndpointOptions(),
        tracked=tracked,
    )
    for tracked in (4, 6, 8, 12, 24)
)


class HeadOfLineResult(msgspec.Struct, frozen=True, kw_only=True):
    """One run; times are in seconds, `alone` is without the long prompts.

    `short_ratio_95` and `_99` compare the short prompts' time to first token
    with the same fleet without the long ones.
    """

    policy: str
    endpoints: int
    load: float
    seed: int
    short_95: float
    short_99: float
    alone_95: float
    alone_99: float
    short_ratio_95: float
    short_ratio_99: float
    long_mean: float
    long_worst: float
    long_unfinished: int


@dataclass(slots=True)
class _Timings:
    first_tokens: dict[LengthClass, list[float]] = field(default_factory=dict)
    ends: dict[LengthClass, list[float]] = field(default_factory=dict)
    arrived: dict[WorkKey, Arrival] = field(default_factory=dict)


class HeadOfLineRun:
    """Drives one fleet of fake endpoints with one policy."""

    def __init__(
        self,
        *,
        case: PolicyCase,
        endpoints: int,
        seed: int,
        entries: int = ENTRIES,
        with_long: bool = True,
    ):
        self._clock = Clock()
        self._with_long = with_long
        self._timings = _Timings()
        callbacks = EndpointCallbacks(
            on_first_token=self._first_token,
            on_end=self._ended,
            on_refused=self._refused,
        )
        self._endpoints = {
            f"endpoint-{index}": FakeEndpoint(
                name=f"endpoint-{index}",
                clock=self._clock,
                options=case.options,
                callbacks=callbacks,
            )
            for index in range(endpoints)
        }
        self._views = [
            _EntryView(
                placement=Placement(policy=case.policy, seed=seed + index),
                endpoints=self._tracked(index, case.tracked),
                clock=self._clock,
                offset=REPORT_SECONDS * index / entries,
            )
            for index in range(entries)
        ]
        self._warm_up = 0.0
        self._arrivals = enumerate(iter(()))

    def _tracked(self, entry: int, count: int) -> dict[str, FakeEndpoint]:
        """Return the endpoints that an entry knows."""
        if count == 0:
            return self._endpoints
        ranked = sorted(
            self._endpoints,
            key=lambda name: rendezvous_weight(name, f"entry-{entry}"),
        )
        return {name: self._endpoints[name] for name in ranked[:count]}

    @property
    def timings(self) -> _Timings:
        """What was seen."""
        return self._timings

    def run(self, *, rate: float, seconds: float, seed: int) -> None:
        """Send the arrivals and advance the clock until all is quiet."""
        self._warm_up = seconds * WARM_UP_SHARE
        self._arrivals = enumerate(arrivals(seed=seed, rate=rate, seconds=seconds))
        self._plan_arrival()
        drain_until = seconds * DRAIN_FACTOR
        while self._clock.calls and self._clock.seconds() < drain_until:
            next_time = self._clock.calls[0].getTime()
            self._clock.advance(max(0.0, next_time - self._clock.seconds()))

    def _plan_arrival(self) -> None:
        """Plan the next arrival; the clock holds one of them at a time."""
        for index, arrival in self._arrivals:
            is_long = length_class_of(arrival.prompt_tokens) is LengthClass.VERY_LONG
            if self._with_long or not is_long:
                wait = arrival.at - self._clock.seconds()
                self._clock.callLater(wait, self._arrive, index, arrival)
                return

    def _arrive(self, index: int, arrival: Arrival) -> None:
        self._plan_arrival()
        key = WorkKey(f"w/{index}")
        if arrival.at >= self._warm_up:
            self._timings.arrived[key] = arrival
        work = PromptWork(
            key=key,
            workspace=arrival.workspace,
            rank=0,
            share=0.1,
            prompt_tokens=arrival.prompt_tokens,
            max_tokens=arrival.max_tokens,
            start_by=PATIENCE_SECONDS,
            deadline=PATIENCE_SECONDS,
        )
        view = self._views[index % len(self._views)]
        view.send(work)

    def _first_token(self, key: WorkKey) -> None:
        arrival = self._timings.arrived.get(key)
        if arrival is not None:
            length = length_class_of(arrival.prompt_tokens)
            waited = self._clock.seconds() - arrival.at
            self._timings.first_tokens.setdefault(length, []).append(waited)

    def _ended(self, key: WorkKey) -> None:
        arrival = self._timings.arrived.pop(key, None)
        if arrival is not None:
            length = length_class_of(arrival.prompt_tokens)
            waited = self._clock.seconds() - arrival.at
            self._timings.ends.setdefault(length, []).append(waited)

    def _refused(self, key: WorkKey, refusal) -> None:
        raise AssertionError(f"{key} refused: {refusal}")


class _EntryView:
    """What one entry sees: reports of a second ago, and what it sent since."""

    def __init__(
        self,
        *,
        placement: Placement,
        endpoints: dict[str, FakeEndpoint],
        clock: Clock,
        offset: float,
    ):
        self._placement = placement
        self._endpoints = endpoints
        self._clock = clock
        self._reports: dict[str, EndpointLoad] = {}
        self._reported_at = offset - 2 * REPORT_SECONDS
        self._sent: dict[str, list[int]] = {}
        self._sent_count: dict[str, int] = {}

    def send(self, work: PromptWork) -> None:
        """Choose an endpoint by what is known and send the prompt there."""
        self._refresh()
        shape = PromptShape(
            prompt_tokens=work.prompt_tokens, max_tokens=work.max_tokens
        )
        loads = [self._load(name) for name in self._endpoints]
        chosen = self._placement.choose(shape, loads).endpoint
        sent = self._sent.setdefault(chosen, [0, 0, 0, 0])
        sent[shape.length_class.value] += work.prompt_tokens
        self._sent_count[chosen] = self._sent_count.get(chosen, 0) + 1
        self._endpoints[chosen].submit(work)

    def _refresh(self) -> None:
        now = self._clock.seconds()
        if now - self._reported_at < REPORT_SECONDS:
            return
        self._reported_at = now
        self._reports = {name: item.load() for name, item in self._endpoints.items()}
        self._sent.clear()
        self._sent_count.clear()

    def _load(self, name: str) -> EndpointLoad:
        report = self._reports[name]
        age = self._clock.seconds() - self._reported_at
        drained = drained_backlog(report.backlog_tokens, PREFILL_RATE * age)
        return EndpointLoad(
            endpoint=name,
            backlog_tokens=drained,
            sent_tokens=tuple(self._sent.get(name, (0, 0, 0, 0))),
            outstanding=report.outstanding + self._sent_count.get(name, 0),
            kv_tokens=report.kv_tokens,
            prefill_rate=report.prefill_rate,
        )


def measure_case(
    case: PolicyCase, *, endpoints: int, load: float, seed: int, seconds: float
) -> HeadOfLineResult:
    """Return the result of one policy at one load."""
    rate = load * endpoints * PREFILL_RATE / mean_length()
    timings = _run(case, endpoints, rate, seed, seconds, with_long=True)
    alone = _run(case, endpoints, rate, seed, seconds, with_long=False)
    short = timings.first_tokens[LengthClass.SHORT]
    short_alone = alone.first_tokens[LengthClass.SHORT]
    long_ends = timings.ends.get(LengthClass.VERY_LONG, [math.inf])
    unfinished = sum(
        1
        for arrival in timings.arrived.values()
        if length_class_of(arrival.prompt_tokens) is LengthClass.VERY_LONG
    )
    short_95, short_99 = percentile(short, 0.95), percentile(short, 0.99)
    alone_95, alone_99 = percentile(short_alone, 0.95), percentile(short_alone, 0.99)
    return HeadOfLineResult(
        policy=case.name,
        endpoints=endpoints,
        load=load,
        seed=seed,
        short_95=short_95,
        short_99=short_99,
        alone_95=alone_95,
        alone_99=alone_99,
        short_ratio_95=short_95 / alone_95,
        short_ratio_99=short_99 / alone_99,
        long_mean=sum(long_ends) / len(long_ends),
        long_worst=max(long_ends),
        long_unfinished=unfinished,
    )


def _run(
    case: PolicyCase,
    endpoints: int,
    rate: float,
    seed: int,
    seconds: float,
    *,
    with_long: bool,
) -> _Timings:
    entries = max(ENTRIES, int(endpoints * ENTRIES_PER_ENDPOINT))
    run = HeadOfLineRun(
        case=case, endpoints=endpoints, seed=seed, entries=entries, with_long=with_long
    )
    run.run(rate=rate, seconds=seconds, seed=seed)
    return run.timings
