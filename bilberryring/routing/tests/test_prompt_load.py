"""Loads of prompts of unlike lengths, played under several ways of placing them."""

import math
from dataclasses import replace

import pytest

from bilberryring.routing import (
    Candidate,
    EndpointWork,
    PromptDemand,
    PromptPlan,
    WriterGroup,
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
        name="chat", per_second=per_second, mean_tokens=3_500, spread=0.8,
        most_tokens=23_800, events=33, first_ms=300, gap_ms=250, value=1.0,
    )  # fmt: skip


def manifests(per_second):
    return PromptClass(
        name="manifest", per_second=per_second, mean_tokens=40_000, spread=0.5,
        most_tokens=110_000, events=20, first_ms=1_500, gap_ms=600, value=3.0,
    )  # fmt: skip


def digests(per_second):
    return PromptClass(
        name="digest", per_second=per_second, mean_tokens=130_000, spread=0.5,
        most_tokens=280_000, events=16, first_ms=3_000, gap_ms=1_000, value=16.0,
    )  # fmt: skip


SHORT_LOAD = (chats(50.0), manifests(0.5), digests(0.1))
LONG_LOAD = (chats(7.0), manifests(1.4), digests(1.8))
CROWDED_LOAD = (chats(8.0), manifests(3.0), digests(3.0))
UNLIKE_LOAD = (chats(10.0), manifests(2.5), digests(1.9))
TARGETS = {"chat": 0.90, "manifest": 0.95, "digest": 0.95}
"""Shares in time, as the project's targets state them for days of heavy load."""


def whole_on_fewest(demand, figures, candidates):
    """Place the whole prompt on the engine with the fewest requests."""
    best = min(candidates, key=lambda item: item.work.requests)
    read_ms = figures.read_ms(demand.prompt_tokens)
    return PromptPlan(
        lead=best.endpoint, helpers=(), part_ms=read_ms, predicted_ms=read_ms, cost=0
    )


def even_parts(demand, figures, candidates):
    """Split every long prompt over as many engines as can help."""
    by_load = sorted(candidates, key=lambda item: item.work.reading_ms)
    read_ms = figures.read_ms(demand.prompt_tokens)
    parts = min(17, max(1, math.ceil(read_ms / 40.0)))
    chosen = [item.endpoint for item in by_load[:parts]]
    part_ms = read_ms / parts
    return PromptPlan(
        lead=chosen[0], helpers=tuple(chosen[1:]), part_ms=part_ms,
        predicted_ms=part_ms, cost=0,
    )  # fmt: skip


def plan_without_dues(demand, figures, candidates):
    """Plan as if no prompt that is being read were due at any time."""
    blind = [
        replace(item, work=replace(item.work, starters=_undue(item.work.starters)))
        for item in candidates
    ]
    return plan_prompt(demand, figures, blind)


def _undue(starters):
    return tuple(replace(starter, due_ms=math.inf) for starter in starters)


def played(policy, classes, seed):
    load = PromptLoad(policy=policy, classes=classes, engines=ENGINES, seed=seed)
    return load.play(SECONDS)


def weighted_share(results, classes):
    value = {prompt.name: prompt.value for prompt in classes}
    earned = sum(value[name] * result.on_time for name, result in results.items())
    asked = sum(value[name] * result.asked for name, result in results.items())
    return earned / asked


@pytest.mark.parametrize("baseline", [whole_on_fewest, even_parts])
@pytest.mark.parametrize("classes", [SHORT_LOAD, LONG_LOAD], ids=["short", "long"])
def test_the_plan_answers_more_in_time_than_the_baselines(classes, baseline):
    shares = {}
    for policy in (plan_prompt, baseline):
        shares[policy] = sum(
            weighted_share(played(policy, classes, seed), classes) for seed in SEEDS
        )
    assert shares[plan_prompt] > shares[baseline]


def test_parts_spare_the_prompts_that_are_due_when_the_load_is_too_much():
    """An engine reads a part for another one ahead of its own prompt."""
    shares = {}
    for policy in (plan_prompt, plan_without_dues):
        shares[policy] = sum(
            weighted_share(played(policy, CROWDED_LOAD, seed), CROWDED_LOAD)
            for seed in SEEDS
        )
    assert shares[plan_prompt] > shares[plan_without_dues]


def test_all_lengths_meet_their_targets_beside_each_other():
    """Manifests and digests are read on the same engines, one after the other."""
    asked, on_time = dict.fromkeys(TARGETS, 0), dict.fromkeys(TARGETS, 0)
    for seed in SEEDS:
        for name, result in played(plan_prompt, UNLIKE_LOAD, seed).items():
            asked[name] += result.asked
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


def test_a_short_prompt_is_read_by_one_engine():
    plan = plan_prompt(a_prompt(4_000, first_ms=300.0), FIGURES, engines(21))
    assert plan.helpers == ()


def test_a_long_prompt_is_split_so_that_it_can_be_on_time():
    plan = plan_prompt(a_prompt(200_000), FIGURES, engines(21))
    assert plan.predicted_ms < 3_000.0


def test_parts_go_to_engines_without_streams_that_they_would_stop():
    busy = engines(
        10,
        requests=4,
        writers=(WriterGroup(gap_ms=250, count=4, value=6.0),),
        kv_tokens=20_000,
    )
    free = [Candidate(endpoint=f"f{n}", work=EndpointWork()) for n in range(11)]
    plan = plan_prompt(a_prompt(100_000), FIGURES, busy + free)
    assert all(name.startswith("f") for name in (plan.lead, *plan.helpers))


def test_a_very_long_prompt_leaves_engines_to_the_streams_of_a_heavy_load():
    crowded = engines(
        21,
        requests=5,
        writers=(WriterGroup(gap_ms=250, count=5, value=7.5),),
        kv_tokens=25_000,
    )
    demand = a_prompt(250_000, deadline_ms=15_000.0)
    in_a_crowd = plan_prompt(demand, FIGURES, crowded)
    alone = plan_prompt(demand, FIGURES, engines(21))
    assert len(in_a_crowd.helpers) < len(alone.helpers)


def test_a_prompt_beyond_one_engines_memory_is_kept_on_several():
    demand = a_prompt(700_000)
    assert needs_span(demand, FIGURES)
    plan = plan_span(demand, FIGURES, engines(21))
    kept = plan.holder_tokens * len(plan.holders)
    assert plan.lead not in plan.holders
    assert demand.kv_tokens - kept <= FIGURES.kv_tokens
    assert plan.holder_tokens <= FIGURES.kv_tokens


def test_no_span_is_planned_without_the_memory_for_it():
    full = engines(21, kv_tokens=300_000)
    assert plan_span(a_prompt(700_000), FIGURES, full) is None
