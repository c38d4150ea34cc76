"""Plans for a prompt that needs the memory of several engines: a span.

This is for prompts close to or above the KV memory of one engine. Each holder
reserves memory for an equal part of the prompt; the lead keeps the rest of the
prompt and the answer. The number of engines that prefill is chosen by cost, as for
other prompts: with all of them the prompt is on time, but most streams stop until
its prefill is over.
"""

import math
from collections.abc import Sequence

from bilberryring.routing.engine_figures import EngineFigures
from bilberryring.routing.prompt_plan import (
    PromptPlan,
    expected_ms,
    part_counts,
    predicted_times,
    stopped_streams,
)
from bilberryring.routing.read_cost import (
    Candidate,
    PreparedCandidates,
    PromptDemand,
    ScoredCandidate,
    arrival_cost,
    lateness_cost,
    prepare_candidates,
    score_candidate,
)

TARGET_HOLDER_TOKENS = 80_000
"""Tokens of memory that one holder should keep; with fewer engines it keeps more."""
SINGLE_ENGINE_SHARE = 0.95
"""Share of an engine's memory up to which a prompt is kept on one engine."""


def needs_span(prompt: PromptDemand, figures: EngineFigures) -> bool:
    """Whether the prompt takes too much memory to be kept on one engine."""
    return prompt.kv_tokens > figures.kv_tokens * SINGLE_ENGINE_SHARE


def plan_span(
    prompt: PromptDemand, figures: EngineFigures, candidates: Sequence[Candidate]
) -> PromptPlan | None:
    """Return the cheapest plan, or `None` when the engines lack the memory."""
    prefill_ms = figures.prefill_ms(prompt.prompt_tokens)
    prepared = prepare_candidates(candidates, figures)
    plans = [
        plan
        for parts in part_counts(prefill_ms, len(candidates))
        if (plan := _plan_parts(prompt, figures, prepared, prefill_ms / parts, parts))
    ]
    return min(plans, key=lambda plan: plan.cost, default=None)


def _plan_parts(
    prompt: PromptDemand,
    figures: EngineFigures,
    candidates: PreparedCandidates,
    part_ms: float,
    parts: int,
) -> PromptPlan | None:
    by_cost = sorted(
        (score_candidate(item, part_ms) for item in candidates.items),
        key=lambda item: item.helper_cost,
    )
    readers = by_cost[:parts]
    split = _split_memory(prompt, figures, readers)
    if split is None:
        return None
    lead, holders, tokens = split
    helpers = [item for item in readers if item is not lead and item not in holders]
    others = [*holders, *helpers]
    expected = expected_ms(lead, others)
    cost = sum(item.helper_cost for item in readers)
    cost += lateness_cost(prompt, expected)
    cost += arrival_cost(figures, candidates, parts=parts, part_ms=part_ms)
    return PromptPlan(
        lead=lead.candidate.endpoint,
        helpers=tuple(item.candidate.endpoint for item in others),
        part_ms=part_ms,
        cost=cost,
        **predicted_times((lead, *others), part_ms=part_ms),
        holders=tuple(item.candidate.endpoint for item in holders),
        holder_tokens=tokens,
        **stopped_streams(readers),
    )


def _split_memory(
    prompt: PromptDemand, figures: EngineFigures, readers: Sequence[ScoredCandidate]
) -> tuple[ScoredCandidate, list[ScoredCandidate], int] | None:
    """Return the lead, the holders and the tokens that each holder keeps.

    Return `None` when the readers lack the free memory.
    """
    by_free_memory = sorted(readers, key=lambda item: item.candidate.work.kv_tokens)
    most = min(
        len(by_free_memory) - 1, math.ceil(prompt.kv_tokens / TARGET_HOLDER_TOKENS)
    )
    for count in range(most, 0, -1):
        tokens = math.ceil(prompt.prompt_tokens / (count + 1))
        lead, holders = by_free_memory[0], by_free_memory[1 : count + 1]
        rest = prompt.kv_tokens - tokens * count
        has_memory = all(_free_kv_tokens(figures, item) >= tokens for item in holders)
        if has_memory and rest <= _free_kv_tokens(figures, lead):
            return lead, holders, tokens
    return None


def _free_kv_tokens(figures: EngineFigures, item: ScoredCandidate) -> int:
    return figures.kv_tokens - item.candidate.work.kv_tokens
