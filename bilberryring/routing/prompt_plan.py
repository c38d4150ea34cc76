"""Which endpoints read a prompt, and which of them writes the answer.

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

VALUE_TOKENS = 10_000
"""Prompt tokens whose caller weighs as much as one more short request."""
MAX_HELPERS = 16
"""Engines that may help another one. Source: the engines' protocol."""
PART_COUNTS = (1, 2, 3, 4, 6, 8, 10, 13, 17)
SPLIT_MS = 60.0
"""Reading time in milliseconds up to which a prompt is never split."""
GAP_MARGIN_MS = 35.0
"""Milliseconds of a gap's objective that the network and the pass's own
variation may take. Source: the sites' delays between failure domains."""
SAFE_SHARE = 0.55
"""Share of the objective up to which a predicted first token counts as on time."""
LATE_SHARE = 1.1
"""Share of the objective from which it counts as late."""
FULL_PENALTY = 4.0
"""Cost of a request that must wait for a place, in short requests."""
BACKLOG_COST = 1 / 400.0
"""Cost of a millisecond of reading ahead, in short requests."""
PACKING_GAIN = 0.02
"""Gain from putting a stream beside others with a similar objective."""
PACKED_WRITERS = 5
"""Streams on one engine up to which there is such a gain."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptDemand:
    """A prompt to place; objectives in milliseconds, lengths in tokens."""

    prompt_tokens: int
    max_tokens: int
    first_ms: float
    gap_ms: float | None

    @property
    def kv_tokens(self) -> int:
        """The memory that the prompt can come to need."""
        return self.prompt_tokens + self.max_tokens

    @property
    def value(self) -> float:
        """What an answer in time weighs, in short requests."""
        return 1.0 + self.prompt_tokens / VALUE_TOKENS


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An engine that may get the prompt or a part of it."""

    endpoint: str
    work: EndpointWork
    delay_ms: float = 0.0
    failure_share: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptPlan:
    """The choice: who leads, who helps, and what was predicted."""

    lead: str
    helpers: tuple[str, ...]
    part_ms: float
    predicted_ms: float
    cost: float


@dataclass(frozen=True, slots=True, kw_only=True)
class _Scored:
    candidate: Candidate
    harm: float
    wait_ms: float


def plan_prompt(
    prompt: PromptDemand, figures: EngineFigures, candidates: Sequence[Candidate]
) -> PromptPlan | None:
    """Return the cheapest plan, or `None` when no engine can lead."""
    read_ms = figures.read_ms(prompt.prompt_tokens)
    best: PromptPlan | None = None
    for parts in _part_counts(read_ms, len(candidates)):
        plan = _plan_parts(prompt, figures, candidates, read_ms / parts, parts)
        if plan is not None and (best is None or plan.cost < best.cost):
            best = plan
    return best


def _part_counts(read_ms: float, available: int) -> tuple[int, ...]:
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
    scored = [_score(candidate, figures, part_ms) for candidate in candidates]
    leads = [
        item for item in scored if _fits(prompt, figures, item.candidate.work)
    ] or [item for item in scored if prompt.kv_tokens <= figures.kv_tokens]
    if not leads:
        return None
    lead = min(leads, key=lambda item: _lead_cost(prompt, figures, item))
    rest = sorted(
        (item for item in scored if item is not lead),
        key=lambda item: item.harm + item.wait_ms * BACKLOG_COST,
    )
    helpers = rest[: parts - 1]
    slowest = max(item.wait_ms for item in (lead, *helpers))
    predicted = slowest + part_ms + _pass_ms(figures, lead.candidate.work)
    predicted += lead.candidate.delay_ms
    cost = sum(item.harm + item.wait_ms * BACKLOG_COST for item in helpers)
    cost += _lead_cost(prompt, figures, lead)
    cost += prompt.value * _lateness(predicted, prompt.first_ms)
    return PromptPlan(
        lead=lead.candidate.endpoint,
        helpers=tuple(item.candidate.endpoint for item in helpers),
        part_ms=part_ms,
        predicted_ms=predicted,
        cost=cost,
    )


def _score(candidate: Candidate, figures: EngineFigures, part_ms: float) -> _Scored:
    """Weigh the streams that a part makes late beside those late already."""
    work = candidate.work
    plain = _pass_ms(figures, work) + work.reading_ms + GAP_MARGIN_MS
    before = work.writers_broken(pass_ms=plain)
    after = work.writers_broken(pass_ms=plain + part_ms)
    return _Scored(
        candidate=candidate,
        harm=float(after - before) + candidate.failure_share,
        wait_ms=work.reading_ms,
    )


def _lead_cost(prompt: PromptDemand, figures: EngineFigures, item: _Scored) -> float:
    work = item.candidate.work
    cost = item.harm + item.wait_ms * BACKLOG_COST
    cost += prompt.value * item.candidate.failure_share
    if work.requests >= figures.slots:
        cost += FULL_PENALTY * (1 + work.requests - figures.slots)
    if work.kv_tokens + prompt.kv_tokens > figures.kv_tokens:
        cost += FULL_PENALTY * prompt.value
    cost += _lateness(
        item.wait_ms + _pass_ms(figures, work) + item.candidate.delay_ms,
        prompt.first_ms,
    )
    alike = sum(
        group.count
        for group in work.writers
        if prompt.gap_ms is not None and group.gap_ms == int(prompt.gap_ms)
    )
    if alike < PACKED_WRITERS:
        cost -= PACKING_GAIN * alike
    return cost + PACKING_GAIN * work.requests / 4.0


def _fits(prompt: PromptDemand, figures: EngineFigures, work: EndpointWork) -> bool:
    return (
        work.requests < figures.slots
        and work.kv_tokens + prompt.kv_tokens <= figures.kv_tokens
    )


def _pass_ms(figures: EngineFigures, work: EndpointWork) -> float:
    return figures.pass_ms(writers=work.requests, context_tokens=work.kv_tokens)


def _lateness(predicted_ms: float, objective_ms: float) -> float:
    """Return the likelihood, from 0 to 1, that an answer comes too late."""
    safe = SAFE_SHARE * objective_ms
    late = LATE_SHARE * objective_ms
    return min(1.0, max(0.0, (predicted_ms - safe) / (late - safe)))
