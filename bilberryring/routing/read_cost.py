"""Costs of a prompt's prefill, to the other streams and to the prompt itself.

All costs are in short requests: 1 is the loss of the answer to a short prompt.
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from bilberryring.routing.endpoint_work import (
    NO_CALLERS,
    EndpointWork,
    LeavingCallers,
)
from bilberryring.routing.engine_figures import EngineFigures
from bilberryring.routing.patience import MIN_PATIENCE_MS

TOKENS_PER_VALUE_UNIT = 10_000
"""Prompt tokens that raise the value of an on-time answer by one short request."""
GAP_MARGIN_MS = 35.0
"""Milliseconds kept free in each objective for token gaps, for delays in the network
and variation in the duration of a pass. Source: the delays between the sites'
failure domains."""
ON_TIME_SHARE = 0.55
"""Share of the objective up to which a predicted first token counts as on time."""
LATE_SHARE = 1.1
"""Share of the objective from which a predicted first token counts as late."""
LATE_COST = 0.75
"""Share of an answer's value that is lost when it is late."""
LEAVING_COST = 8.0
"""Cost of a stream whose caller leaves, as a multiple of the answer's value, besides
that of a late one: the work is lost, and the caller comes again with its prompt."""
DEADLINE_SHARE = 0.7
"""Share of the deadline from which a predicted first token costs the whole value,
since the rest of the answer may miss the deadline."""
DELAY_COST = 0.1
"""Cost of a first token that exceeds its objective by the whole deadline, as a share
of the answer's value. Shorter delays cost less in proportion, so that of two late
answers the sooner one is preferred."""
BACKLOG_COST_PER_MS = 1 / 400.0
"""Cost of each millisecond of other prompts' prefill that is still to come."""
PREFERRED_SLOT_SHARE = 0.75
"""Share of its slots up to which an engine is assumed to take further streams, when
the room for streams that arrive during a prefill is estimated."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptDemand:
    """A prompt to place, with its objectives.

    `first_ms` is the objective for the time to the first token and `gap_ms` the one
    for token gaps, `None` without one. Times are in milliseconds.
    """

    prompt_tokens: int
    max_tokens: int
    first_ms: float
    gap_ms: float | None
    deadline_ms: float = 60_000.0

    @property
    def kv_tokens(self) -> int:
        """The most KV memory that prompt and answer can take, in tokens."""
        return self.prompt_tokens + self.max_tokens

    @property
    def value(self) -> float:
        """Weight of an on-time answer, in short requests."""
        return 1.0 + self.prompt_tokens / TOKENS_PER_VALUE_UNIT


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An engine that may get the prompt or a part of it.

    `delay_ms` is the extra network delay to the engine, and `failure_share` the
    share of failures among its recent attempts. It is slower than other engines by the
    factor `slowdown` in token steps and by `prefill_slowdown` in prefill, and keeps its
    speed up to `max_requests` requests.
    """

    endpoint: str
    work: EndpointWork
    delay_ms: float = 0.0
    failure_share: float = 0.0
    slowdown: float = 1.0
    prefill_slowdown: float = 1.0
    max_requests: float = math.inf


@dataclass(frozen=True, slots=True, kw_only=True)
class PreparedCandidate:
    """A candidate with what does not depend on the length of a part.

    `pass_ms` is the duration of a pass without prefill, `remaining_ms` the time until
    the engine has prefilled its present prompts, both at the engine's learned speed.
    """

    candidate: Candidate
    pass_ms: float
    remaining_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PreparedCandidates:
    """All candidates of one prompt; `streams_by_gap` counts their streams."""

    items: tuple[PreparedCandidate, ...]
    streams_by_gap: tuple[tuple[int, int], ...]

    def count_late_streams(self, *, pass_ms: float) -> int:
        """Return how many streams miss their gap objective in a pass of `pass_ms`."""
        return sum(count for gap, count in self.streams_by_gap if gap < pass_ms)


def prepare_candidates(
    candidates: Iterable[Candidate], figures: EngineFigures
) -> PreparedCandidates:
    """Return the candidates with what all plans for one prompt need."""
    items, streams_by_gap = [], Counter()
    for candidate in candidates:
        work = candidate.work
        items.append(
            PreparedCandidate(
                candidate=candidate,
                pass_ms=candidate.slowdown
                * figures.pass_ms(streams=work.requests, context_tokens=work.kv_tokens),
                remaining_ms=work.remaining_ms_at(candidate.prefill_slowdown),
            )
        )
        for group in work.decode_groups:
            streams_by_gap[group.gap_ms] += group.count
        for stream in work.prefill_streams:
            streams_by_gap[stream.gap_ms] += 1
    return PreparedCandidates(
        items=tuple(items), streams_by_gap=tuple(streams_by_gap.items())
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class ScoredCandidate:
    """A candidate with the costs of prefilling a part there.

    `pass_ms` is the duration of a pass without prefill. `stream_cost` is the cost to
    the streams that the part makes late, plus the engine's share of failures.
    `helper_stream_cost` comes on top when the engine is a helper: it prefills a part
    for another engine before its own prompts, so their first tokens can be late.
    `wait_ms` is the time until the engine has prefilled its present prompts, and
    `leaving` are the callers that the part lets wait until they leave. The part itself
    takes `part_ms` at the engine's learned speed.
    """

    candidate: Candidate
    pass_ms: float
    stream_cost: float
    wait_ms: float
    part_ms: float = 0.0
    helper_stream_cost: float = 0.0
    leaving: LeavingCallers = NO_CALLERS

    @property
    def helper_cost(self) -> float:
        """Cost of a part on this engine when another one leads."""
        cost = (
            self.stream_cost
            + self.helper_stream_cost
            + self.wait_ms * BACKLOG_COST_PER_MS
        )
        slowdown = self.candidate.prefill_slowdown
        if slowdown != 1.0:
            cost += self.part_ms * (1.0 - 1.0 / slowdown) * BACKLOG_COST_PER_MS
        return cost


def score_candidate(prepared: PreparedCandidate, part_ms: float) -> ScoredCandidate:
    """Return the candidate with the costs of a part that takes `part_ms` to prefill.

    Only streams that would be on time without the part count as late. Streams that are
    late already still count if their callers leave because of the part. A stream in
    decode is interrupted by all prefill on its engine; a stream whose own prompt is in
    prefill is interrupted only by the prompts that come after it.
    """
    candidate = prepared.candidate
    work = candidate.work
    part_ms *= candidate.prefill_slowdown
    bare_pass = prepared.pass_ms + GAP_MARGIN_MS
    present_pass = bare_pass + prepared.remaining_ms
    late = overdue = 0.0
    leaving = NO_CALLERS
    if work.prefill_streams or present_pass + part_ms >= MIN_PATIENCE_MS:
        leaving = work.leaving(bare_pass_ms=bare_pass, part_ms=part_ms)
    if work.decode_groups:
        late += work.late_decode_value(pass_ms=present_pass + part_ms)
        late -= work.late_decode_value(pass_ms=present_pass)
    if work.prefill_streams:
        late += work.late_prefill_value(pass_ms=bare_pass + part_ms)
        late -= work.late_prefill_value(pass_ms=bare_pass)
        overdue += work.overdue_prefill_value(first_token_ms=present_pass + part_ms)
        overdue -= work.overdue_prefill_value(first_token_ms=present_pass)
    return ScoredCandidate(
        candidate=candidate,
        pass_ms=prepared.pass_ms,
        stream_cost=(
            LATE_COST * late + LEAVING_COST * leaving.value + candidate.failure_share
        ),
        helper_stream_cost=LATE_COST * overdue,
        wait_ms=prepared.remaining_ms,
        part_ms=part_ms,
        leaving=leaving,
    )


def arrival_cost(
    figures: EngineFigures,
    candidates: PreparedCandidates,
    *,
    parts: int,
    part_ms: float,
) -> float:
    """Return how many streams will probably arrive and find no engine free of prefill.

    Streams that arrive while the parts are in prefill need an engine without a part.
    Their rate is estimated from the present streams: in the time that one stream
    lasts, as many begin as are now in progress.
    """
    streams = candidates.count_late_streams(pass_ms=part_ms + GAP_MARGIN_MS)
    free_slots = (len(candidates.items) - parts) * figures.slots * PREFERRED_SLOT_SHARE
    if streams <= free_slots:
        return 0.0
    arrivals = streams * part_ms / figures.usual_answer_ms
    return arrivals * (1.0 - free_slots / streams)


def lateness_cost(demand: PromptDemand, predicted_ms: float) -> float:
    """Return the value that the prompt's answer loses by its predicted lateness.

    `predicted_ms` is the predicted time to the first token.
    """
    overdue = max(0.0, predicted_ms - demand.first_ms)
    delay = DELAY_COST * overdue / demand.deadline_ms
    if predicted_ms > DEADLINE_SHARE * demand.deadline_ms:
        return demand.value * (1.0 + delay)
    late = LATE_COST * late_probability(predicted_ms, demand.first_ms)
    return demand.value * (late + delay)


def late_probability(predicted_ms: float, objective_ms: float) -> float:
    """Return the likelihood, from 0 to 1, that the first token is too late."""
    on_time_ms = ON_TIME_SHARE * objective_ms
    late_ms = LATE_SHARE * objective_ms
    return min(1.0, max(0.0, (predicted_ms - on_time_ms) / (late_ms - on_time_ms)))
