"""Memory of several engines for one prompt that needs more than one has.

Answers the load of prompts near or above one engine's memory. Each holder keeps
an even part of the prompt's memory under a reservation; the lead keeps the rest
and the answer. How many engines read is weighed as for other prompts: all of them
read such a prompt in time, and stop most streams meanwhile.
"""

import math
from collections.abc import Sequence

from bilberryring.routing.engine_figures import EngineFigures
from bilberryring.routing.prompt_plan import (
    PromptPlan,
    backlog_ms,
    first_pass_ms,
    part_counts,
)
from bilberryring.routing.read_cost import (
    Candidate,
    PromptDemand,
    ScoredCandidate,
    crowding_cost,
    lateness_cost,
    score,
)

PART_TOKENS = 80_000
"""Tokens of memory that one holder keeps, where enough engines read."""
MEMORY_SHARE = 0.95
"""Share of an engine's memory that one prompt may need without a span."""


def needs_span(prompt: PromptDemand, figures: EngineFigures) -> bool:
    """Whether no engine alone has the memory for a prompt."""
    return prompt.kv_tokens > figures.kv_tokens * MEMORY_SHARE


def plan_span(
    prompt: PromptDemand, figures: EngineFigures, candidates: Sequence[Candidate]
) -> PromptPlan | None:
    """Return the cheapest plan, or `None` when the engines lack the memory."""
    read_ms = figures.read_ms(prompt.prompt_tokens)
    plans = [
        plan
        for parts in part_counts(read_ms, len(candidates))
        if (plan := _plan_parts(prompt, figures, candidates, read_ms / parts, parts))
    ]
    return min(plans, key=lambda plan: plan.cost, default=None)


def _plan_parts(
    prompt: PromptDemand,
    figures: EngineFigures,
    candidates: Sequence[Candidate],
    part_ms: float,
    parts: int,
) -> PromptPlan | None:
    by_cost = sorted(
        (score(candidate, figures, part_ms) for candidate in candidates),
        key=lambda item: item.helper_cost,
    )
    readers = by_cost[:parts]
    split = _split_memory(prompt, figures, readers)
    if split is None:
        return None
    lead, holders, tokens = split
    helpers = [item for item in readers if item is not lead and item not in holders]
    others = [*holders, *helpers]
    backlog = backlog_ms(lead, others)
    predicted = backlog + part_ms + first_pass_ms(figures, lead)
    cost = sum(item.helper_cost for item in readers)
    cost += lateness_cost(prompt, predicted)
    cost += crowding_cost(figures, candidates, parts=parts, part_ms=part_ms)
    return PromptPlan(
        lead=lead.candidate.endpoint,
        helpers=tuple(item.candidate.endpoint for item in others),
        part_ms=part_ms,
        predicted_ms=predicted,
        cost=cost,
        backlog_ms=backlog,
        holders=tuple(item.candidate.endpoint for item in holders),
        holder_tokens=tokens,
    )


def _split_memory(
    prompt: PromptDemand, figures: EngineFigures, readers: Sequence[ScoredCandidate]
) -> tuple[ScoredCandidate, list[ScoredCandidate], int] | None:
    """Return the lead, the holders and the tokens of each, if they have room."""
    by_room = sorted(readers, key=lambda item: item.candidate.work.kv_tokens)
    most = min(len(by_room) - 1, math.ceil(prompt.kv_tokens / PART_TOKENS))
    for count in range(most, 0, -1):
        tokens = math.ceil(prompt.prompt_tokens / (count + 1))
        lead, holders = by_room[0], by_room[1 : count + 1]
        rest = prompt.kv_tokens - tokens * count
        is_room = all(_free(figures, item) >= tokens for item in holders)
        if is_room and rest <= _free(figures, lead):
            return lead, holders, tokens
    return None


def _free(figures: EngineFigures, item: ScoredCandidate) -> int:
    return figures.kv_tokens - item.candidate.work.kv_tokens
