"""When an engine that sends nothing counts as silent, by the work it is known to have.

An engine sends nothing while it prefills. A stream in decode gets one event with each
pass, and the prompts of others that are prefilled in the pass lengthen it. A stream in
prefill gets its first event after the prompts that are prefilled before it, and before
that it waits for a slot and memory if the engine is full.
"""

import math
from enum import Enum

from bilberryring.routing.endpoint_work import EndpointWork
from bilberryring.routing.engine_figures import EngineFigures

BUSY_SHARE = 0.5
"""Largest share of the time left to the caller for which known work excuses a silence.
The rest is for another endpoint."""
EXPLAINED_SHARE = 0.5
"""Smallest share of a silence that a known work must last to count as its cause."""
MILLISECONDS_PER_SECOND = 1_000.0


class SilenceCause(Enum):
    """Why an engine sent a stream nothing, as far as a gateway knows."""

    OWN_PROMPT = "own_prompt"
    OTHER_PROMPT = "other_prompt"
    HELPER_PART = "helper_part"
    SLOT_WAIT = "slot_wait"
    UNKNOWN = "unknown"


def cause_of_silence(
    work: EndpointWork,
    *,
    silent_seconds: float,
    own_prefill_ms: float = 0.0,
    slot_wait: float = 0.0,
) -> SilenceCause:
    """Return the longest work that explains a silence, by what is known at its end.

    `own_prefill_ms` is the part of `work` that the stream's own prompt takes, 0 if it
    is prefilled, and `slot_wait` the time in seconds for which the prompt waits for a
    slot. If the engine leads no other prompt, what it prefills is for other engines.

    >>> work = EndpointWork(requests=1, prefill_ms=2_000.0)
    >>> cause_of_silence(work, silent_seconds=2.1)
    <SilenceCause.HELPER_PART: 'helper_part'>
    >>> cause_of_silence(work, silent_seconds=2.1, own_prefill_ms=1_900.0)
    <SilenceCause.OWN_PROMPT: 'own_prompt'>
    >>> cause_of_silence(work, silent_seconds=9.0)
    <SilenceCause.UNKNOWN: 'unknown'>
    """
    others = len(work.prefill_streams) - (own_prefill_ms > 0.0)
    of_others = SilenceCause.OTHER_PROMPT if others > 0 else SilenceCause.HELPER_PART
    known = {
        SilenceCause.OWN_PROMPT: own_prefill_ms,
        of_others: work.prefill_ms - own_prefill_ms,
        SilenceCause.SLOT_WAIT: slot_wait * MILLISECONDS_PER_SECOND,
    }
    cause = max(known, key=known.get)
    explained = known[cause] / MILLISECONDS_PER_SECOND
    if explained < EXPLAINED_SHARE * silent_seconds:
        return SilenceCause.UNKNOWN
    return cause


def busy_seconds(
    work: EndpointWork, figures: EngineFigures, *, is_in_prefill: bool
) -> float:
    """Return for how long a sound engine with this work may send a stream nothing.

    >>> figures = EngineFigures(slots=8, kv_tokens=315_000, stride=51,
    ...     step_ms=0.85, sequence_ms=0.0085, context_ms=0.00285,
    ...     prefill_tokens_per_ms=177.0, million_pairs_ms=0.184, chunk_tokens=2048)
    >>> work = EndpointWork(requests=2, kv_tokens=10_000, prefill_ms=1_500.0)
    >>> round(busy_seconds(work, figures, is_in_prefill=False), 3)
    1.546
    """
    prefill_ms = work.prefill_ms
    if not is_in_prefill:
        prefill_ms = min(prefill_ms, figures.pass_prefill_ms)
    pass_ms = figures.pass_ms(streams=work.requests, context_tokens=work.kv_tokens)
    return (prefill_ms + pass_ms) / MILLISECONDS_PER_SECOND


def slot_wait_seconds(work: EndpointWork, figures: EngineFigures) -> float:
    """Return for how long a sound engine with this work may not begin a prompt.

    The prompt is part of the work. It begins at once unless the engine has too few
    slots or too little memory for all of the work. Otherwise the requests that run end
    first, in the time of a typical answer, and as many others begin.

    >>> figures = EngineFigures(slots=8, kv_tokens=315_000, stride=51,
    ...     step_ms=0.85, sequence_ms=0.0085, context_ms=0.00285,
    ...     prefill_tokens_per_ms=177.0, million_pairs_ms=0.184, chunk_tokens=2048)
    >>> slot_wait_seconds(EndpointWork(requests=8, kv_tokens=40_000), figures)
    0.0
    >>> work = EndpointWork(requests=9, kv_tokens=45_000)
    >>> round(slot_wait_seconds(work, figures), 3)
    1.674
    """
    waiting = work.requests - figures.slots
    if waiting <= 0 and work.kv_tokens <= figures.kv_tokens:
        return 0.0
    rounds = max(1, math.ceil(waiting / figures.slots))
    pass_ms = figures.pass_ms(
        streams=min(work.requests, figures.slots),
        context_tokens=min(work.kv_tokens, figures.kv_tokens),
    )
    passes = figures.usual_answer_tokens / figures.stride
    return rounds * passes * pass_ms / MILLISECONDS_PER_SECOND


def silent_from(
    *, since: float, limit: float, busy: float, margin: float, deadline: float
) -> float:
    """Return the time from which an engine that sends nothing counts as silent.

    It has sent nothing since `since`. `limit` is the silence that the objectives allow,
    `busy` the one that its known work explains and `margin` the tolerance of the
    latter, all in seconds.

    >>> silent_from(since=5.0, limit=1.0, busy=0.3, margin=0.25, deadline=15.0)
    6.0
    >>> silent_from(since=5.0, limit=1.0, busy=1.5, margin=0.25, deadline=15.0)
    6.75
    >>> silent_from(since=5.0, limit=1.0, busy=30.0, margin=0.25, deadline=15.0)
    10.0
    """
    excused = min(busy + margin, BUSY_SHARE * (deadline - since))
    return since + max(limit, excused)
