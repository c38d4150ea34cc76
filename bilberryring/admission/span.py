"""Spans: one long prompt in the memory of several engines of a failure domain.

A span reserves memory at its members in the order of their names, and keeps what it
has while it waits for the next. As all spans use the same order, two of them cannot
deadlock. The last member is the lead, which decodes.
"""

from collections.abc import Sequence
from dataclasses import dataclass

SPAN_SHARE = 0.85
"""Share of an engine's memory that a span may take."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SpanCandidate:
    """An endpoint that can be a member; memory and backlog are in tokens."""

    endpoint: str
    failure_domain: str
    kv_tokens: int
    backlog_tokens: int

    @property
    def span_tokens(self) -> int:
        """The memory that a span may take on this endpoint, in tokens."""
        return int(self.kv_tokens * SPAN_SHARE)


@dataclass(frozen=True, slots=True, kw_only=True)
class Span:
    """The member endpoints in the order of reservation; the last one is the lead."""

    members: tuple[str, ...]

    @property
    def lead(self) -> str:
        """The endpoint that decodes."""
        return self.members[-1]

    @property
    def helpers(self) -> tuple[str, ...]:
        """The other endpoints, which hold parts of the prompt."""
        return self.members[:-1]


def choose_span(kv_tokens: int, candidates: Sequence[SpanCandidate]) -> Span | None:
    """Return the span with the smallest backlog, or `None` if memory is lacking.

    All members are in one failure domain and together have `kv_tokens` for the span.

    >>> candidates = [
    ...     SpanCandidate(endpoint=f"e{i}", failure_domain="d", kv_tokens=100,
    ...                   backlog_tokens=i) for i in range(4)]
    >>> choose_span(200, candidates).members
    ('e0', 'e1', 'e2')
    >>> choose_span(400, candidates) is None
    True
    """
    best: tuple[int, Span] | None = None
    for domain in sorted({item.failure_domain for item in candidates}):
        members = _choose_members(
            [c for c in candidates if c.failure_domain == domain], kv_tokens
        )
        if members is None:
            continue
        backlog = sum(item.backlog_tokens for item in members)
        names = tuple(sorted(item.endpoint for item in members))
        if best is None or backlog < best[0]:
            best = (backlog, Span(members=names))
    return best[1] if best else None


def span_shares(prompt_tokens: int, helper_kv_tokens: Sequence[int]) -> list[int]:
    """Return how many prompt tokens each helper holds; the lead holds the rest.

    `helper_kv_tokens` are the whole memories of the helpers.

    >>> span_shares(250, [100, 100])
    [85, 85]
    """
    unassigned = prompt_tokens
    shares = []
    for kv_tokens in helper_kv_tokens:
        share = min(unassigned, int(kv_tokens * SPAN_SHARE))
        shares.append(share)
        unassigned -= share
    return shares


def _choose_members(
    candidates: list[SpanCandidate], kv_tokens: int
) -> list[SpanCandidate] | None:
    """Return the candidates with the smallest backlogs that together have the memory.

    Return `None` when all of them have too little.
    """
    chosen: list[SpanCandidate] = []
    capacity = 0
    for candidate in sorted(candidates, key=lambda item: item.backlog_tokens):
        chosen.append(candidate)
        capacity += candidate.span_tokens
        if capacity >= kv_tokens:
            return chosen
    return None
