"""Memory of several engines for one prompt that needs more than one has.

Answers the load of prompts near or above one engine's memory. Each holder keeps
an even part of the prompt's memory under a reservation; the lead keeps the rest
and the answer. Small parts are preferred: the steps of a holder's own streams
cost its part of the context.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from bilberryring.routing.engine_figures import EngineFigures
from bilberryring.routing.prompt_plan import MAX_HELPERS, Candidate, PromptDemand

PART_TOKENS = 80_000
"""Tokens of memory that one holder keeps, where enough engines have it free."""
MEMORY_SHARE = 0.95
"""Share of an engine's memory that one prompt may need without a span."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SpanPlan:
    """The lead, the holders with the tokens of each, and the plain helpers."""

    lead: str
    holders: tuple[str, ...]
    holder_tokens: int
    helpers: tuple[str, ...]
    part_ms: float


def needs_span(prompt: PromptDemand, figures: EngineFigures) -> bool:
    """Whether no engine alone has the memory for a prompt."""
    return prompt.kv_tokens > figures.kv_tokens * MEMORY_SHARE


def plan_span(
    prompt: PromptDemand, figures: EngineFigures, candidates: Sequence[Candidate]
) -> SpanPlan | None:
    """Return a plan, or `None` when the engines together lack the memory."""
    by_room = sorted(
        candidates,
        key=lambda item: (item.work.kv_tokens // PART_TOKENS, item.work.reading_ms),
    )
    if not by_room:
        return None
    lead, others = by_room[0], by_room[1:]
    holders = _holders(prompt, figures, lead, others)
    if holders is None:
        return None
    count, tokens = holders
    chosen = others[:count]
    rest = sorted(others[count:], key=lambda item: item.work.reading_ms)
    helpers = rest[: MAX_HELPERS - count]
    parts = 1 + count + len(helpers)
    return SpanPlan(
        lead=lead.endpoint,
        holders=tuple(item.endpoint for item in chosen),
        holder_tokens=tokens,
        helpers=tuple(item.endpoint for item in helpers),
        part_ms=figures.read_ms(prompt.prompt_tokens) / parts,
    )


def _holders(
    prompt: PromptDemand,
    figures: EngineFigures,
    lead: Candidate,
    others: Sequence[Candidate],
) -> tuple[int, int] | None:
    """Return how many holders there are and the tokens that each keeps."""
    least = max(1, math.ceil(prompt.kv_tokens / PART_TOKENS) - 1)
    for count in range(min(least, len(others), MAX_HELPERS), 0, -1):
        tokens = math.ceil(prompt.prompt_tokens / (count + 1))
        rest = prompt.kv_tokens - tokens * count
        is_room = all(_free(figures, item) >= tokens for item in others[:count])
        if is_room and rest <= _free(figures, lead):
            return count, tokens
    return None


def _free(figures: EngineFigures, candidate: Candidate) -> int:
    return figures.kv_tokens - candidate.work.kv_tokens
