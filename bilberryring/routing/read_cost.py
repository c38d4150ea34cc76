"""What it costs the other streams, and the prompt itself, to read it in parts.

All costs are in short requests: one that is made late costs 1.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from bilberryring.routing.endpoint_work import NO_WORK, EndpointWork
from bilberryring.routing.engine_figures import EngineFigures

VALUE_TOKENS = 10_000
"""Prompt tokens whose caller weighs as much as one more short request."""
GAP_MARGIN_MS = 35.0
"""Milliseconds of a gap's objective that the network and the pass's own
variation may take. Source: the sites' delays between failure domains."""
SAFE_SHARE = 0.55
"""Share of the objective up to which a predicted first token counts as on time."""
LATE_SHARE = 1.1
"""Share of the objective from which it counts as late."""
LATE_COST = 0.75
"""Share of an answer's value that is lost when it is late."""
DEADLINE_SHARE = 0.7
"""Share of the deadline from which an answer may not be whole in time."""
DELAY_COST = 0.1
"""Cost of a delay beyond the objective that uses up the whole deadline, as a share
of an answer's value: of two late answers the sooner one is better."""
BACKLOG_COST = 1 / 400.0
"""Cost of a millisecond of reading ahead."""
COMFORTABLE_SHARE = 0.75
"""Share of an engine's slots that streams take before they are moved closer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptDemand:
    """A prompt to place; times in milliseconds, lengths in tokens."""

    prompt_tokens: int
    max_tokens: int
    first_ms: float
    gap_ms: float | None
    deadline_ms: float = 60_000.0

    @property
    def kv_tokens(self) -> int:
        """The memory that the prompt can come to need."""
        return self.prompt_tokens + self.max_tokens

    @property
    def value(self) -> float:
        """What an answer in time weighs."""
        return 1.0 + self.prompt_tokens / VALUE_TOKENS


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An engine that may get the prompt or a part of it."""

    endpoint: str
    work: EndpointWork
    delay_ms: float = 0.0
    failure_share: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ScoredCandidate:
    """A candidate with the streams that a part makes late, and its backlog.

    `helper_harm` are the streams that a part for another engine makes late besides:
    an engine reads such a part ahead of its own prompts.
    """

    candidate: Candidate
    harm: float
    wait_ms: float
    helper_harm: float = 0.0

    @property
    def helper_cost(self) -> float:
        """The cost of a part on this engine."""
        return self.harm + self.helper_harm + self.wait_ms * BACKLOG_COST


def score(
    candidate: Candidate, figures: EngineFigures, part_ms: float
) -> ScoredCandidate:
    """Weigh the streams that a part makes late beside those late already.

    A stream that writes stops for all that is read; one that is being read itself
    stops for what is read after it.
    """
    work = candidate.work
    bare = pass_ms(figures, work) + GAP_MARGIN_MS
    plain = bare + work.remaining_ms
    harm = work.writers_lost(pass_ms=plain + part_ms)
    harm -= work.writers_lost(pass_ms=plain)
    harm += work.starters_lost(pass_ms=bare + part_ms)
    harm -= work.starters_lost(pass_ms=bare)
    overdue = work.starters_overdue(first_ms=plain + part_ms)
    overdue -= work.starters_overdue(first_ms=plain)
    return ScoredCandidate(
        candidate=candidate,
        harm=LATE_COST * harm + candidate.failure_share,
        helper_harm=LATE_COST * overdue,
        wait_ms=work.remaining_ms,
    )


def crowding_cost(
    figures: EngineFigures,
    candidates: Sequence[Candidate],
    *,
    parts: int,
    part_ms: float,
) -> float:
    """Return how many streams to come find no engine that is not being read on.

    The streams of now tell how many there will be: as many begin in the time in
    which one lasts.
    """
    total = total_work(candidates)
    streams = total.streams_broken(pass_ms=part_ms + GAP_MARGIN_MS)
    room = (len(candidates) - parts) * figures.slots * COMFORTABLE_SHARE
    if streams <= room:
        return 0.0
    begun = streams * part_ms / figures.stream_ms
    return begun * (1.0 - room / streams)


def lateness_cost(demand: PromptDemand, predicted_ms: float) -> float:
    """Return what the prompt's own answer loses when it comes so late."""
    overdue = max(0.0, predicted_ms - demand.first_ms)
    delay = DELAY_COST * overdue / demand.deadline_ms
    if predicted_ms > DEADLINE_SHARE * demand.deadline_ms:
        return demand.value * (1.0 + delay)
    late = LATE_COST * lateness(predicted_ms, demand.first_ms)
    return demand.value * (late + delay)


def lateness(predicted_ms: float, objective_ms: float) -> float:
    """Return the likelihood, from 0 to 1, that an answer comes too late."""
    safe = SAFE_SHARE * objective_ms
    late = LATE_SHARE * objective_ms
    return min(1.0, max(0.0, (predicted_ms - safe) / (late - safe)))


def pass_ms(figures: EngineFigures, work: EndpointWork) -> float:
    """Return the time of a pass of an engine with that work."""
    return figures.pass_ms(writers=work.requests, context_tokens=work.kv_tokens)


def total_work(candidates: Iterable[Candidate]) -> EndpointWork:
    """Return the work of all engines together."""
    total = NO_WORK
    for candidate in candidates:
        total = total + candidate.work
    return total
