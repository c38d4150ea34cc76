"""Tests of what a part of a prompt costs the streams on its engine."""

import pytest

from bilberryring.routing import (
    NO_WORK,
    Candidate,
    DecodeGroup,
    EndpointWork,
    PrefillStream,
    PromptDemand,
    plan_prompt,
    plan_span,
)
from bilberryring.routing.read_cost import (
    GAP_MARGIN_MS,
    lateness_cost,
    prepare_candidates,
    score_candidate,
)
from bilberryring.testing.prompt_load import FIGURES

PART_MS = 700.0
MANIFEST = DecodeGroup(gap_ms=600, count=1, value=5.5)
STARTING = PrefillStream(gap_ms=600, value=5.5, due_ms=1_400.0)
CHATS = DecodeGroup(gap_ms=250, count=2, value=3.0)


def a_digest(tokens=150_000, deadline_ms=15_000.0):
    return PromptDemand(
        prompt_tokens=tokens,
        max_tokens=800,
        first_ms=3_000.0,
        gap_ms=1_000.0,
        deadline_ms=deadline_ms,
    )


def score(work):
    candidates = (Candidate(endpoint="e", work=work),)
    (prepared,) = prepare_candidates(candidates, FIGURES).items
    return score_candidate(prepared, PART_MS)


def stream_cost(work):
    return score(work).stream_cost


def test_a_stream_in_prefill_is_interrupted_by_later_prompts():
    """The stream counts as on time although its own prefill exceeds its gap objective.

    If its own prefill counted against it, a part added there would appear free.
    """
    work = EndpointWork(requests=1, prefill_ms=800.0, prefill_streams=(STARTING,))
    assert stream_cost(work) > 0.0


def test_a_part_for_another_engine_delays_the_engines_own_prompts():
    """The part is prefilled first, so it costs more where a prompt is due soon.

    A prompt that the engine leads itself waits its turn and costs the same.
    """
    soon = PrefillStream(gap_ms=1_000, value=16.0, due_ms=1_200.0)
    later = PrefillStream(gap_ms=1_000, value=16.0, due_ms=2_500.0)
    costs = [
        score(EndpointWork(requests=1, prefill_ms=800.0, prefill_streams=(stream,)))
        for stream in (soon, later)
    ]
    assert costs[0].helper_cost > costs[1].helper_cost
    assert costs[0].stream_cost == costs[1].stream_cost


def test_streams_that_are_late_already_cost_nothing():
    late = EndpointWork(requests=2, prefill_ms=900.0, decode_groups=(CHATS,))
    assert stream_cost(late) == 0.0
    assert stream_cost(EndpointWork(requests=2, decode_groups=(CHATS,))) > 0.0


def test_making_a_manifest_late_costs_more_than_a_short_prompt():
    chat = DecodeGroup(gap_ms=250, count=1, value=1.5)
    manifest = EndpointWork(requests=1, decode_groups=(MANIFEST,))
    assert stream_cost(manifest) > stream_cost(
        EndpointWork(requests=1, decode_groups=(chat,))
    )


def test_a_digest_goes_to_idle_engines_rather_than_beside_a_manifest():
    in_prefill = EndpointWork(requests=1, prefill_ms=800.0, prefill_streams=(STARTING,))
    candidates = [Candidate(endpoint="busy", work=in_prefill)]
    candidates += [Candidate(endpoint=f"idle{n}", work=NO_WORK) for n in range(4)]
    plan = plan_prompt(a_digest(), FIGURES, candidates)
    assert "busy" not in (plan.lead, *plan.helpers)


def test_prefill_that_is_already_done_delays_no_further_prompt():
    """Only the remaining prefill of an engine counts as its backlog.

    Engines that are nearly done can prefill parts of the next prompt on time.
    """
    nearly_done = EndpointWork(
        requests=1, prefill_ms=1_400.0, prefill_elapsed_ms=1_300.0
    )
    just_begun = EndpointWork(requests=1, prefill_ms=1_400.0)
    predicted = [
        plan_prompt(
            a_digest(220_000),
            FIGURES,
            [Candidate(endpoint=f"e{n}", work=work) for n in range(12)],
        ).predicted_ms
        for work in (nearly_done, just_begun)
    ]
    assert predicted[0] < predicted[1] - 1_000.0


def test_of_two_late_answers_the_sooner_one_costs_less():
    demand = a_digest(deadline_ms=15_000.0)
    assert lateness_cost(demand, 5_000.0) < lateness_cost(demand, 8_000.0)
    assert lateness_cost(demand, 11_000.0) < lateness_cost(demand, 14_000.0)


def engines_with_chats(count, *, chats=2, **work):
    group = DecodeGroup(gap_ms=250, count=chats, value=1.5 * chats)
    busy = EndpointWork(requests=chats, decode_groups=(group,), **work)
    return [Candidate(endpoint=f"e{n}", work=busy) for n in range(count)]


@pytest.mark.parametrize("tokens", [180_000, 233_189, 266_509])
def test_no_part_stops_chats_for_as_long_as_their_callers_wait(tokens):
    plan = plan_prompt(a_digest(tokens), FIGURES, engines_with_chats(21))
    assert plan.part_ms + GAP_MARGIN_MS < 2_000.0
    assert plan.leaving_callers == 0
    assert plan.predicted_ms < 3_000.0


def test_a_second_part_is_not_put_behind_one_that_stops_the_same_chats():
    """A part was prefilled for 1.9 s of its 2.1 s when another gateway planned."""
    waiting = engines_with_chats(4, prefill_ms=2_107.0, prefill_elapsed_ms=1_900.0)
    plan = plan_prompt(a_digest(180_800), FIGURES, waiting)
    assert plan.leaving_callers == 0
    assert 2_107.0 - 1_900.0 + plan.part_ms + GAP_MARGIN_MS < 2_000.0


def test_callers_of_streams_that_are_late_already_still_leave():
    late = EndpointWork(requests=2, prefill_ms=1_300.0, decode_groups=(CHATS,))
    scored = score(late)
    assert scored.leaving.count == CHATS.count
    assert scored.stream_cost > 0.0


def test_a_prompt_before_its_first_token_is_not_delayed_until_its_caller_leaves():
    waiting = PrefillStream(gap_ms=250, value=1.5, due_ms=-1_000.0)
    work = EndpointWork(requests=1, prefill_ms=30.0, prefill_streams=(waiting,))
    assert score(work).leaving.count == 1


def test_a_plan_that_cannot_spare_the_streams_names_them():
    plan = plan_prompt(a_digest(180_000), FIGURES, engines_with_chats(1))
    assert plan.stopped == ("e0",)
    assert plan.leaving_callers == 2


def test_a_span_stops_no_chats_for_as_long_as_their_callers_wait():
    idle = [Candidate(endpoint=f"idle{n}", work=NO_WORK) for n in range(17)]
    plan = plan_span(a_digest(600_000), FIGURES, engines_with_chats(21) + idle)
    assert plan.leaving_callers == 0
    assert all(name.startswith("idle") for name in (plan.lead, *plan.helpers))
