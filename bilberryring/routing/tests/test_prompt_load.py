"""Simulated loads of prompts of mixed lengths, compared between placement policies."""

import math
from dataclasses import replace

import pytest

from bilberryring.routing import (
    Candidate,
    DecodeGroup,
    EndpointWork,
    PromptDemand,
    PromptPlan,
    needs_span,
    plan_prompt,
    plan_span,
)
from bilberryring.testing.prompt_load import FIGURES, PromptClass, PromptLoad

SECONDS = 20.0
ENGINES = 21
SEEDS = (7, 8)


def chats(per_second):
    return PromptClass(
        name="chat", per_second=per_second, median_tokens=3_500, sigma=0.8,
        max_prompt_tokens=23_800, events=33, first_ms=300, gap_ms=250, value=1.0,
    )  # fmt: skip


def manifests(per_second):
    return PromptClass(
        name="manifest", per_second=per_second, median_tokens=40_000, sigma=0.5,
        max_prompt_tokens=110_000, events=20, first_ms=1_500, gap_ms=600, value=3.0,
    )  # fmt: skip


def digests(per_second):
    return PromptClass(
        name="digest", per_second=per_second, median_tokens=130_000, sigma=0.5,
        max_prompt_tokens=280_000, events=16, first_ms=3_000, gap_ms=1_000, value=16.0,
    )  # fmt: skip


SHORT_LOAD = (chats(50.0), manifests(0.5), digests(0.1))
LONG_LOAD = (chats(7.0), manifests(1.4), digests(1.8))
OVERLOAD = (chats(8.0), manifests(3.0), digests(3.0))
MIXED_LOAD = (chats(10.0), manifests(2.5), digests(1.9))
FEW_SLOTS = replace(FIGURES, slots=5)
CHAT_BURST = (chats(48.0), manifests(0.4))
"""Short prompts that take two thirds of the slots of 32 engines with `FEW_SLOTS`."""
CHATS_ON_TIME = 0.90
TARGETS = {"chat": 0.90, "manifest": 0.95, "digest": 0.95}
"""Shares of on-time answers that the project's targets require under heavy load."""


def unsplit_on_fewest_requests(demand, figures, candidates):
    """Place the whole prompt on the engine with the fewest requests."""
    best = min(candidates, key=lambda item: item.work.requests)
    prefill_ms = figures.prefill_ms(demand.prompt_tokens)
    return PromptPlan(
        lead=best.endpoint,
        helpers=(),
        part_ms=prefill_ms,
        predicted_ms=prefill_ms,
        cost=0,
    )


def split_evenly(demand, figures, candidates):
    """Split every long prompt over as many engines as may help."""
    by_load = sorted(candidates, key=lambda item: item.work.prefill_ms)
    prefill_ms = figures.prefill_ms(demand.prompt_tokens)
    parts = min(17, max(1, math.ceil(prefill_ms / 40.0)))
    chosen = [item.endpoint for item in by_load[:parts]]
    part_ms = prefill_ms / parts
    return PromptPlan(
        lead=chosen[0], helpers=tuple(chosen[1:]), part_ms=part_ms,
        predicted_ms=part_ms, cost=0,
    )  # fmt: skip


def plan_without_due_times(demand, figures, candidates):
    """Plan as if no prompt in prefill had an objective for its first token."""
    changed = [
        replace(
            item,
            work=replace(
                item.work, prefill_streams=_without_due_times(item.work.prefill_streams)
            ),
        )
        for item in candidates
    ]
    return plan_prompt(demand, figures, changed)


def _without_due_times(prefill_streams):
    return tuple(replace(stream, due_ms=math.inf) for stream in prefill_streams)


def simulate(policy, classes, seed):
    load = PromptLoad(policy=policy, classes=classes, engines=ENGINES, seed=seed)
    return load.run(SECONDS)


def weighted_share(results, classes):
    value = {prompt.name: prompt.value for prompt in classes}
    earned = sum(value[name] * result.on_time for name, result in results.items())
    asked = sum(value[name] * result.sent for name, result in results.items())
    return earned / asked


@pytest.mark.parametrize("baseline", [unsplit_on_fewest_requests, split_evenly])
@pytest.mark.parametrize("classes", [SHORT_LOAD, LONG_LOAD], ids=["short", "long"])
def test_planned_placement_has_more_on_time_answers_than_baselines(classes, baseline):
    shares = {}
    for policy in (plan_prompt, baseline):
        shares[policy] = sum(
            weighted_share(simulate(policy, classes, seed), classes) for seed in SEEDS
        )
    assert shares[plan_prompt] > shares[baseline]


def test_parts_avoid_engines_with_prompts_due_soon_when_overloaded():
    """A part for another engine is prefilled before the engine's own prompt.

    If the plan ignored when that prompt is due, more of these would be late.
    """
    shares = {}
    for policy in (plan_prompt, plan_without_due_times):
        shares[policy] = sum(
            weighted_share(simulate(policy, OVERLOAD, seed), OVERLOAD) for seed in SEEDS
        )
    assert shares[plan_prompt] > shares[plan_without_due_times]


def test_all_lengths_meet_their_targets_on_the_same_engines():
    """Manifests and digests are prefilled on the same engines, one after the other."""
    asked, on_time = dict.fromkeys(TARGETS, 0), dict.fromkeys(TARGETS, 0)
    for seed in SEEDS:
        for name, result in simulate(plan_prompt, MIXED_LOAD, seed).items():
            asked[name] += result.sent
            on_time[name] += result.on_time
    shares = {name: on_time[name] / asked[name] for name in TARGETS}
    assert all(shares[name] >= target for name, target in TARGETS.items()), shares


def engines(count, **work):
    return [
        Candidate(endpoint=f"e{number}", work=EndpointWork(**work))
        for number in range(count)
    ]


def a_prompt(tokens, **changes):
    fields = {"max_tokens": 800, "first_ms": 3_000.0, "gap_ms": 1_000.0}
    return PromptDemand(prompt_tokens=tokens, **(fields | changes))


def test_a_short_prompt_is_prefilled_by_one_engine():
    plan = plan_prompt(a_prompt(4_000, first_ms=300.0), FIGURES, engines(21))
    assert plan.helpers == ()


def test_a_long_prompt_is_split_so_that_it_can_be_on_time():
    plan = plan_prompt(a_prompt(200_000), FIGURES, engines(21))
    assert plan.predicted_ms < 3_000.0


def test_parts_go_to_engines_without_streams_to_interrupt():
    busy = engines(
        10,
        requests=4,
        decode_groups=(DecodeGroup(gap_ms=250, count=4, value=6.0),),
        kv_tokens=20_000,
    )
    free = [Candidate(endpoint=f"f{n}", work=EndpointWork()) for n in range(11)]
    plan = plan_prompt(a_prompt(100_000), FIGURES, busy + free)
    assert all(name.startswith("f") for name in (plan.lead, *plan.helpers))


def test_a_very_long_prompt_uses_fewer_engines_under_heavy_load():
    crowded = engines(
        21,
        requests=5,
        decode_groups=(DecodeGroup(gap_ms=250, count=5, value=7.5),),
        kv_tokens=25_000,
    )
    demand = a_prompt(250_000, deadline_ms=15_000.0)
    under_load = plan_prompt(demand, FIGURES, crowded)
    alone = plan_prompt(demand, FIGURES, engines(21))
    assert len(under_load.helpers) < len(alone.helpers)


def test_a_prompt_larger_than_one_engines_memory_is_kept_on_several():
    demand = a_prompt(700_000)
    assert needs_span(demand, FIGURES)
    plan = plan_span(demand, FIGURES, engines(21))
    kept = plan.holder_tokens * len(plan.holders)
    assert plan.lead not in plan.holders
    assert demand.kv_tokens - kept <= FIGURES.kv_tokens
    assert plan.holder_tokens <= FIGURES.kv_tokens


def test_no_span_is_planned_without_enough_free_memory():
    full = engines(21, kv_tokens=300_000)
    assert plan_span(a_prompt(700_000), FIGURES, full) is None


def test_gateways_that_know_of_each_other_late_do_not_fill_the_same_engines():
    """Thirteen gateways place a burst of short prompts on engines with few slots.

    A gateway that keeps streams together until the slots are full takes the last slot
    of an engine together with others. The prompts that come too late wait for seconds.
    """
    asked = on_time = 0
    for seed in SEEDS:
        load = PromptLoad(
            policy=None,
            classes=CHAT_BURST,
            engines=32,
            seed=seed,
            gateways=13,
            report_seconds=0.25,
            figures=FEW_SLOTS,
        )
        chat = load.run(8.0)["chat"]
        asked, on_time = asked + chat.sent, on_time + chat.on_time
    assert on_time / asked >= CHATS_ON_TIME


def test_many_gateways_do_not_place_chats_on_the_same_engine_at_the_same_moment():
    """Chats beside long prompts are kept together, on the engine that all prefer."""
    classes = (chats(85.0), manifests(1.7), digests(1.0))
    load = PromptLoad(
        policy=None,
        classes=classes,
        engines=69,
        seed=1,
        gateways=25,
        figures=replace(FIGURES, slots=12),
        urgent_seconds=0.01,
        callers_leave=True,
    )
    chat = load.run(8.0)["chat"]
    assert chat.stopped == 0
    assert chat.on_time / chat.sent >= CHATS_ON_TIME


def test_a_gateway_alone_takes_the_cheapest_lead():
    group = DecodeGroup(gap_ms=250, count=1, value=1.5)
    packed = EndpointWork(requests=1, decode_groups=(group,))
    candidates = [
        *engines(2),
        Candidate(endpoint="packed", work=packed),
    ]
    demand = a_prompt(4_000, first_ms=300.0, gap_ms=250.0)
    assert plan_prompt(demand, FIGURES, candidates).lead == "packed"
    plan = plan_prompt(demand, FIGURES, candidates, close_cost=0.1)
    assert plan.lead == "e0"
