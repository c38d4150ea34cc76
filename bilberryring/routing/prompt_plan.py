"""Which engines read a prompt, and which of them writes the answer.

Answers the load of prompts of very unlike lengths on shared engines. A long
prompt that one engine reads alone misses its own objective and stops the
streams beside it for as long as it is read. Split into parts it is read sooner,
but each part lengthens one pass of its engine. The plan weighs, for several
numbers of parts, the request's own lateness against the streams that it would
make late, and takes the cheapest.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from bilberryring.routing.endpoint_work import EndpointWork
from bilberryring.routing.engine_figures import EngineFigures
from bilberryring.routing.read_cost import (
    BACKLOG_COST,
    Candidate,
    PromptDemand,
    ScoredCandidate,
    crowding_cost,
    lateness,
    lateness_cost,
    pass_ms,
    score,
)

MAX_HELPERS = 16
"""Engines that may help another one. Source: the engines' protocol."""
PART_COUNTS = (1, 2, 3, 4, 6, 8, 10, 13, 17)
SPLIT_MS = 60.0
"""Reading time in milliseconds up to which a prompt is never split."""
FULL_PENALTY = 4.0
"""Cost of a request that must wait for a place, in short requests."""
PACKING_GAIN = 0.02
"""Gain from putting a stream beside others with a similar objective."""
PACKED_WRITERS = 5
"""Streams on one engine up to which there is such a gain."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptPlan:
    """The choice: who leads, who helps, and what was predicted.

    `backlog_ms` is the part of the prediction that others' prompts cause.
    `holders` are the helpers that keep `holder_tokens` of memory each.
    """

    lead: str
    helpers: tuple[str, ...]
    part_ms: float
    predicted_ms: float
    cost: float
    backlog_ms: float = 0.0
    holders: tuple[str, ...] = ()
    holder_tokens: int = 0


def plan_prompt(
    prompt: PromptDemand, figures: EngineFigures, candidates: Sequence[Candidate]
) -> PromptPlan | None:
    """Return the cheapest plan, or `None` when no engine can lead."""
    read_ms = figures.read_ms(prompt.prompt_tokens)
    plans = [
        plan
        for parts in part_counts(read_ms, len(candidates))
        if (plan := _plan_parts(prompt, figures, candidates, read_ms / parts, parts))
    ]
    return min(plans, key=lambda plan: plan.cost, default=None)


def part_counts(read_ms: float, available: int) -> tuple[int, ...]:
    """Return the numbers of parts that are worth weighing."""
    most = min(available, MAX_HELPERS + 1, max(1, math.ceil(read_ms / SPLIT_MS * 2)))
    if read_ms <= SPLIT_MS:
        most = min(most, 1)
    counts = tuple(count for count in PART_COUNTS if count < most)
    return (*counts, most) if most else ()


def _plan_parts(
    prompt: PromptDemand,
    figures: EngineFigures,
    candidates: Sequence[Candidate],
    part_ms: float,
    parts: int,
) -> PromptPlan | None:
    scored = [score(candidate, figures, part_ms) for candidate in candidates]
    leads = [
        item for item in scored if _fits(prompt, figures, item.candidate.work)
    ] or [item for item in scored if prompt.kv_tokens <= figures.kv_tokens]
    if not leads:
        return None
    lead = min(leads, key=lambda item: _lead_cost(prompt, figures, item))
    rest = sorted(
        (item for item in scored if item is not lead),
        key=lambda item: item.helper_cost,
    )
    helpers = rest[: parts - 1]
    backlog = backlog_ms(lead, helpers)
    predicted = backlog + part_ms + first_pass_ms(figures, lead)
    cost = sum(item.helper_cost for item in helpers)
    cost += _lead_cost(prompt, figures, lead)
    cost += lateness_cost(prompt, predicted)
    cost += crowding_cost(figures, candidates, parts=parts, part_ms=part_ms)
    return PromptPlan(
        lead=lead.candidate.endpoint,
        helpers=tuple(item.candidate.endpoint for item in helpers),
        part_ms=part_ms,
        predicted_ms=predicted,
        cost=cost,
        backlog_ms=backlog,
    )


def backlog_ms(lead: ScoredCandidate, helpers: Sequence[ScoredCandidate]) -> float:
    """Return the time until the last engine begins to read its part."""
    return max(item.wait_ms for item in (lead, *helpers))


def first_pass_ms(figures: EngineFigures, lead: ScoredCandidate) -> float:
    """Return the time from the last part to the first token at the caller."""
    return pass_ms(figures, lead.candidate.work) + lead.candidate.delay_ms


def _lead_cost(
    prompt: PromptDemand, figures: EngineFigures, item: ScoredCandidate
) -> float:
    work = item.candidate.work
    cost = item.harm + item.wait_ms * BACKLOG_COST
    cost += prompt.value * item.candidate.failure_share
    if work.requests >= figures.slots:
        cost += FULL_PENALTY * (1 + work.requests - figures.slots)
    if work.kv_tokens + prompt.kv_tokens > figures.kv_tokens:
        cost += FULL_PENALTY * prompt.value
    wait = item.wait_ms + pass_ms(figures, work) + item.candidate.delay_ms
    cost += lateness(wait, prompt.first_ms)
    alike = 0 if prompt.gap_ms is None else work.streams_alike(int(prompt.gap_ms))
    if alike < PACKED_WRITERS:
        cost -= PACKING_GAIN * alike
    return cost + PACKING_GAIN * work.requests / 4.0


def _fits(prompt: PromptDemand, figures: EngineFigures, work: EndpointWork) -> bool:
    return (
        work.requests < figures.slots
        and work.kv_tokens + prompt.kv_tokens <= figures.kv_tokens
    )
