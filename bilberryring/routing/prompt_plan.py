"""Plans which engines prefill a prompt, and which of them decodes the answer.

This is for prompts of very different lengths on shared engines. When one engine
prefills a long prompt alone, the prompt misses its own objective, and the other
streams on that engine stop until the prefill is over. Split into parts, the prompt
is prefilled sooner, but each part lengthens one pass of its engine. For several
numbers of parts, the expected lateness of the request is added to the value of the
streams that it would make late, and the plan of the lowest cost is taken.

The engine that decodes is the lead; the others that prefill a part are its helpers.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from bilberryring.routing.endpoint_work import EndpointWork
from bilberryring.routing.engine_figures import EngineFigures
from bilberryring.routing.read_cost import (
    BACKLOG_COST_PER_MS,
    Candidate,
    PreparedCandidates,
    PromptDemand,
    ScoredCandidate,
    arrival_cost,
    late_probability,
    lateness_cost,
    prepare_candidates,
    score_candidate,
)

MAX_HELPERS = 16
"""Most helpers that one lead may have. Source: the engines' protocol."""
PART_COUNTS = (1, 2, 3, 4, 6, 8, 10, 13, 17)
"""Numbers of parts that are compared, besides the largest possible one."""
MAX_UNSPLIT_MS = 60.0
"""Prefill time in milliseconds up to which a prompt is never split."""
COMPARED_LEADS = 2
"""Number of leads of close cost of which the better one is taken."""
OVERLOAD_PENALTY = 4.0
"""Cost, in short requests, of a request beyond the engine's slots or memory, which
has to wait for them."""
PACKING_GAIN = 0.02
"""Cost saved, in short requests, for each stream on the lead that has the same
objective for token gaps: streams of one objective are kept together."""
MAX_PACKED_SHARE = 0.6
"""Largest share of an engine's slots with such streams up to which more is saved: other
gateways may place streams there that are not known yet."""
NEARLY_FULL_COST = 0.2
"""Cost, in short requests, of the last free slot of an engine. Another gateway may have
taken it, and the request then waits until a stream ends."""
SLOW_COST = 0.1
"""Cost, in short requests, of a lead that is slower by its whole usual time: the stream
lasts as much longer and keeps its slot. With 0.25, sound engines that are nearly full
get too many, and with 0 a slower engine gets them before others are half full."""
MAX_SLOW_COST = 1.5
"""Largest such cost, below that of a full engine, on which the prompt waits."""
OVER_LIMIT_COST = 0.5
"""Cost of each request beyond the number up to which an engine keeps its speed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptPlan:
    """The chosen engines for one prompt, with the predicted times and the cost.

    The lead and each helper prefill a part, which takes `part_ms`. `predicted_ms` is
    the time to the first token and `backlog_ms` the part of it spent waiting for
    other prompts. `holders` are the helpers that keep `holder_tokens` of KV memory
    each. `cost` is in short requests. `stopped` are the engines on which a part lets
    callers wait until they leave, and `leaving_callers` is the number of these.
    """

    lead: str
    helpers: tuple[str, ...]
    part_ms: float
    predicted_ms: float
    cost: float
    backlog_ms: float = 0.0
    holders: tuple[str, ...] = ()
    holder_tokens: int = 0
    stopped: tuple[str, ...] = ()
    leaving_callers: int = 0


def plan_prompt(
    prompt: PromptDemand,
    figures: EngineFigures,
    candidates: Sequence[Candidate],
    *,
    packed_share: float = MAX_PACKED_SHARE,
    close_cost: float = 0.0,
) -> PromptPlan | None:
    """Return the cheapest plan, or `None` when no engine has the memory to lead.

    Streams of one objective are kept together on an engine up to `packed_share` of its
    slots. Of the leads that cost at most `close_cost` more than the cheapest one, the
    better one of the first two candidates is taken, whose order should be random.
    """
    prefill_ms = figures.prefill_ms(prompt.prompt_tokens)
    prepared = prepare_candidates(candidates, figures)
    plans = [
        plan
        for parts in part_counts(prefill_ms, len(candidates))
        if (
            plan := _plan_parts(
                prompt,
                figures,
                prepared,
                prefill_ms / parts,
                parts,
                packed_share,
                close_cost,
            )
        )
    ]
    return min(plans, key=lambda plan: plan.cost, default=None)


def part_counts(prefill_ms: float, available: int) -> tuple[int, ...]:
    """Return the numbers of parts to compare; none when no engine is available."""
    limit = min(
        available, MAX_HELPERS + 1, max(1, math.ceil(prefill_ms / MAX_UNSPLIT_MS * 2))
    )
    if prefill_ms <= MAX_UNSPLIT_MS:
        limit = min(limit, 1)
    counts = tuple(count for count in PART_COUNTS if count < limit)
    return (*counts, limit) if limit else ()


def _plan_parts(
    prompt: PromptDemand,
    figures: EngineFigures,
    candidates: PreparedCandidates,
    part_ms: float,
    parts: int,
    packed_share: float,
    close_cost: float,
) -> PromptPlan | None:
    scored = [score_candidate(item, part_ms) for item in candidates.items]
    leads = [
        item for item in scored if _fits(prompt, figures, item.candidate.work)
    ] or [item for item in scored if prompt.kv_tokens <= figures.kv_tokens]
    if not leads:
        return None
    costs = [_lead_cost(prompt, figures, item, packed_share) for item in leads]
    limit = min(costs) + close_cost
    close = [index for index, cost in enumerate(costs) if cost <= limit]
    lead = leads[min(close[:COMPARED_LEADS], key=costs.__getitem__)]
    rest = sorted(
        (item for item in scored if item is not lead),
        key=lambda item: item.helper_cost,
    )
    helpers = rest[: parts - 1]
    expected = expected_ms(lead, helpers)
    cost = sum(item.helper_cost for item in helpers)
    cost += _lead_cost(prompt, figures, lead, packed_share)
    cost += lateness_cost(prompt, expected)
    cost += arrival_cost(figures, candidates, parts=parts, part_ms=part_ms)
    return PromptPlan(
        lead=lead.candidate.endpoint,
        helpers=tuple(item.candidate.endpoint for item in helpers),
        part_ms=part_ms,
        cost=cost,
        **predicted_times((lead, *helpers), part_ms=part_ms),
        **stopped_streams((lead, *helpers)),
    )


def stopped_streams(engines: Sequence[ScoredCandidate]) -> dict:
    """Return the fields of a plan that say which callers leave because of it."""
    stopping = [item for item in engines if item.leaving.count]
    return {
        "stopped": tuple(item.candidate.endpoint for item in stopping),
        "leaving_callers": sum(item.leaving.count for item in stopping),
    }


def expected_ms(lead: ScoredCandidate, helpers: Sequence[ScoredCandidate]) -> float:
    """Return the time to the first token at the engines' learned speeds."""
    prefilled = max(item.wait_ms + item.part_ms for item in (lead, *helpers))
    return prefilled + (lead.pass_ms + lead.candidate.delay_ms)


def predicted_times(engines: Sequence[ScoredCandidate], *, part_ms: float) -> dict:
    """Return the predicted times of a plan by the published figures.

    The lead is the first of the engines. Limits on silences and refusals follow these
    times, as well as the samples of the engines' speed.
    """
    lead = engines[0].candidate
    backlog = max(item.candidate.work.remaining_ms for item in engines)
    pass_ms = engines[0].pass_ms / lead.slowdown
    predicted = backlog + part_ms + (pass_ms + lead.delay_ms)
    return {"predicted_ms": predicted, "backlog_ms": backlog}


def _lead_cost(
    prompt: PromptDemand,
    figures: EngineFigures,
    item: ScoredCandidate,
    packed_share: float,
) -> float:
    work = item.candidate.work
    cost = item.stream_cost + item.wait_ms * BACKLOG_COST_PER_MS
    cost += prompt.value * item.candidate.failure_share
    candidate = item.candidate
    if candidate.slowdown != 1.0:
        cost += min(MAX_SLOW_COST, SLOW_COST * (candidate.slowdown - 1.0))
    if work.requests >= candidate.max_requests:
        cost += OVER_LIMIT_COST * (1.0 + work.requests - candidate.max_requests)
    if work.requests >= figures.slots:
        cost += OVERLOAD_PENALTY * (1 + work.requests - figures.slots)
    elif work.requests + 1 == figures.slots:
        cost += NEARLY_FULL_COST
    if work.kv_tokens + prompt.kv_tokens > figures.kv_tokens:
        cost += OVERLOAD_PENALTY * prompt.value
    least_ms = item.wait_ms + item.pass_ms + item.candidate.delay_ms
    cost += late_probability(least_ms, prompt.first_ms)
    alike = (
        0 if prompt.gap_ms is None else work.count_streams_with_gap(int(prompt.gap_ms))
    )
    if alike < packed_share * figures.slots:
        cost -= PACKING_GAIN * alike
    return cost + PACKING_GAIN * work.requests / 4.0


def _fits(prompt: PromptDemand, figures: EngineFigures, work: EndpointWork) -> bool:
    return (
        work.requests < figures.slots
        and work.kv_tokens + prompt.kv_tokens <= figures.kv_tokens
    )
