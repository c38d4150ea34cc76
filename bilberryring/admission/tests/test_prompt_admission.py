"""Tests of admission: order, fairness, memory, allowance, isolation, refusal."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bilberryring.admission import (
    EndpointLimits,
    FairQueue,
    PromptAdmission,
    PromptRefusal,
    PromptWork,
    Queued,
    WorkKey,
)
from bilberryring.core import ErrorCode

LIMITS = EndpointLimits(kv_tokens=400_000, concurrency=16, cold_allowance=16)


def work(name: str, tokens: int = 1_000, **changes) -> PromptWork:
    fields = {
        "key": WorkKey(name),
        "workspace": "w",
        "rank": 0,
        "share": 0.5,
        "prompt_tokens": tokens,
        "max_tokens": 100,
        "start_by": 1e9,
        "deadline": 1e9,
    }
    return PromptWork(**(fields | changes))


def test_short_prompts_start_beside_a_long_one_with_a_better_priority():
    admission = PromptAdmission(limits=LIMITS)
    admission.offer(work("long", 300_000), now=0.0)
    admission.offer(work("short"), now=0.0)
    starts = admission.take_starts(now=0.0)
    assert [item.key for item in starts] == ["short", "long"]
    assert starts[0].engine_priority < starts[1].engine_priority


def test_workspaces_are_served_by_their_shares():
    queue = FairQueue()
    for index in range(300):
        queue.push(work(f"a{index}", workspace="a", share=0.6))
        queue.push(work(f"b{index}", workspace="b", share=0.3))
        queue.push(work(f"c{index}", workspace="c", share=0.1))
    served = {"a": 0, "b": 0, "c": 0}
    for _ in range(200):
        item = queue.pop()
        served[item.workspace] += item.prompt_tokens + item.max_tokens
    total = sum(served.values())
    assert abs(served["a"] / total - 0.6) < 0.02
    assert abs(served["b"] / total - 0.3) < 0.02
    assert abs(served["c"] / total - 0.1) < 0.02


def test_later_ranks_are_refused_first_when_capacity_is_short():
    admission = PromptAdmission(limits=LIMITS)
    for index in range(40):
        admission.offer(work(f"q{index}", 4_000, rank=1), now=0.0)
    low = admission.offer(work("low", 4_000, rank=2, start_by=2.0), now=0.0)
    high = admission.offer(work("high", 4_000, rank=0, start_by=2.0), now=0.0)
    assert isinstance(low, PromptRefusal) and low.code is ErrorCode.TOO_LATE
    assert low.retry_after > 0
    assert high == Queued()


def test_a_suspect_runs_alone():
    admission = PromptAdmission(limits=LIMITS)
    admission.offer(work("other"), now=0.0)
    admission.take_starts(now=0.0)
    admission.offer(work("suspect", is_isolated=True), now=0.0)
    admission.offer(work("third"), now=0.0)
    assert admission.take_starts(now=0.1) == []
    admission.finish(WorkKey("other"), in_time=True)
    assert [item.key for item in admission.take_starts(now=0.2)] == ["suspect"]
    assert admission.take_starts(now=0.3) == []
    admission.finish(WorkKey("suspect"), in_time=True)
    assert [item.key for item in admission.take_starts(now=0.4)] == ["third"]


def test_a_long_prompt_is_not_starved_of_memory():
    admission = PromptAdmission(limits=LIMITS)
    admission.offer(work("first", 90_000), now=0.0)
    admission.take_starts(now=0.0)
    admission.offer(work("long", 350_000), now=0.0)
    assert admission.take_starts(now=0.1) == []
    admission.offer(work("second", 80_000), now=3.0)
    assert admission.take_starts(now=3.0) == []
    admission.finish(WorkKey("first"), in_time=True)
    assert [item.key for item in admission.take_starts(now=3.1)] == ["long"]


class AdmissionMachine(RuleBasedStateMachine):
    """Checks the limits on memory, concurrency and cold load in any order of events."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.count = 0
        self.running: list[PromptWork] = []
        self.completed = 0
        self.admission = PromptAdmission(
            limits=EndpointLimits(
                kv_tokens=50_000, concurrency=8, cold_allowance=2, cold_completions=3
            )
        )

    @rule(
        tokens=st.sampled_from([100, 5_000, 40_000, 60_000]),
        rank=st.integers(0, 2),
        patience=st.floats(0, 5),
        is_isolated=st.sampled_from([False] * 7 + [True]),
    )
    def offer(self, tokens, rank, patience, is_isolated):
        self.count += 1
        item = work(
            f"w{self.count}",
            tokens,
            rank=rank,
            start_by=self.now + patience,
            is_isolated=is_isolated,
        )
        self.admission.offer(item, now=self.now)

    @rule()
    def start(self):
        self.running += self.admission.take_starts(now=self.now)

    @rule(in_time=st.booleans())
    def finish(self, in_time):
        if self.running:
            item = self.running.pop(0)
            self.admission.record_first_token(item.key)
            self.admission.finish(item.key, in_time=in_time)
            self.completed += in_time

    @rule(seconds=st.floats(0, 3))
    def time_passes(self, seconds):
        self.now += seconds
        self.admission.expire(now=self.now)

    @rule()
    def engine_restarts(self):
        self.admission.restart()
        self.running = []
        self.completed = 0

    @invariant()
    def reserved_memory_is_that_of_running_prompts(self):
        reserved = sum(item.kv_tokens for item in self.running)
        assert reserved == 50_000 - self.admission.memory.free_tokens
        assert reserved <= 50_000

    @invariant()
    def running_prompts_stay_within_the_cold_allowance(self):
        allowance = 2 + max(0, self.completed - 3)
        assert len(self.running) <= min(8, allowance)

    @invariant()
    def an_isolated_prompt_runs_alone(self):
        if any(item.is_isolated for item in self.running):
            assert len(self.running) == 1


AdmissionMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
test_admission_machine = AdmissionMachine.TestCase
