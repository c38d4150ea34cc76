"""Spans: one long prompt in the memory of several engines of a failure domain.

Every span takes its members in the order of their names and holds what it has
while it waits for the next, so two spans cannot wait for each other in a circle.
The last member leads: it decodes.
"""

from collections.abc import Sequence
from dataclasses import dataclass

SPAN_SHARE = 0.85
"""The part of an engine's memory that a span may take."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SpanCandidate:
    """An endpoint that could be a member; memory and backlog are in tokens."""

    endpoint: str
    failure_domain: str
    kv_tokens: int
    backlog_tokens: int

    @property
    def span_tokens(self) -> int:
        """The memory that a span may take here."""
        return int(self.kv_tokens * SPAN_SHARE)


@dataclass(frozen=True, slots=True, kw_only=True)
class Span:
    """The members in the order in which they are taken; the last one leads."""

    members: tuple[str, ...]

    @property
    def lead(self) -> str:
        """The endpoint that decodes."""
        return self.members[-1]

    @property
    def helpers(self) -> tuple[str, ...]:
        """The endpoints that hold a part of the prompt."""
        return self.members[:-1]


def choose_span(kv_tokens: int, candidates: Sequence[SpanCandidate]) -> Span | None:
    """Return the span with the least work before it, or `None`.

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
        members = _fill(
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
    """Return how many tokens each helper holds; the lead holds the rest.

    >>> span_shares(250, [100, 100])
    [85, 85]
    """
    left = prompt_tokens
    shares = []
    for kv_tokens in helper_kv_tokens:
        share = min(left, int(kv_tokens * SPAN_SHARE))
        shares.append(share)
        left -= share
    return shares


def _fill(
    candidates: list[SpanCandidate], kv_tokens: int
) -> list[SpanCandidate] | None:
    """Return the least laden candidates that hold so much together."""
    chosen: list[SpanCandidate] = []
    held = 0
    for candidate in sorted(candidates, key=lambda item: item.backlog_tokens):
        chosen.append(candidate)
        held += candidate.span_tokens
        if held >= kv_tokens:
            return chosen
    return None
