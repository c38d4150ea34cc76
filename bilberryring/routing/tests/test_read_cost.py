"""What a part of a prompt costs the streams on its engine."""

from bilberryring.routing import (
    NO_WORK,
    Candidate,
    EndpointWork,
    PromptDemand,
    Starter,
    WriterGroup,
    plan_prompt,
)
from bilberryring.routing.read_cost import lateness_cost, score
from bilberryring.testing.prompt_load import FIGURES

PART_MS = 700.0
MANIFEST = WriterGroup(gap_ms=600, count=1, value=5.5)
STARTING = Starter(gap_ms=600, value=5.5, due_ms=1_400.0)
CHATS = WriterGroup(gap_ms=250, count=2, value=3.0)


def a_digest(tokens=150_000, deadline_ms=15_000.0):
    return PromptDemand(
        prompt_tokens=tokens,
        max_tokens=800,
        first_ms=3_000.0,
        gap_ms=1_000.0,
        deadline_ms=deadline_ms,
    )


def harm(work):
    candidate = Candidate(endpoint="e", work=work)
    return score(candidate, FIGURES, PART_MS).harm


def test_a_stream_that_is_being_read_stops_for_what_is_read_after_it():
    """Its own prompt does not make it late, so another one is not free of harm."""
    work = EndpointWork(requests=1, reading_ms=800.0, starters=(STARTING,))
    assert harm(work) > 0.0


def test_a_part_for_another_engine_delays_what_an_engine_reads_itself():
    """It is read first; a prompt of the engine's own would wait its turn."""
    soon = Starter(gap_ms=1_000, value=16.0, due_ms=1_200.0)
    later = Starter(gap_ms=1_000, value=16.0, due_ms=2_500.0)
    costs = [
        score(
            Candidate(
                endpoint="e",
                work=EndpointWork(requests=1, reading_ms=800.0, starters=(starter,)),
            ),
            FIGURES,
            PART_MS,
        )
        for starter in (soon, later)
    ]
    assert costs[0].helper_cost > costs[1].helper_cost
    assert costs[0].harm == costs[1].harm


def test_a_stream_that_writes_is_lost_only_once():
    stopped = EndpointWork(requests=2, reading_ms=900.0, writers=(CHATS,))
    assert harm(stopped) == 0.0
    assert harm(EndpointWork(requests=2, writers=(CHATS,))) > 0.0


def test_a_manifest_weighs_more_than_a_short_prompt():
    chat = WriterGroup(gap_ms=250, count=1, value=1.5)
    manifest = EndpointWork(requests=1, writers=(MANIFEST,))
    assert harm(manifest) > harm(EndpointWork(requests=1, writers=(chat,)))


def test_a_digest_is_not_read_where_a_manifest_is_while_engines_are_idle():
    reading = EndpointWork(requests=1, reading_ms=800.0, starters=(STARTING,))
    candidates = [Candidate(endpoint="busy", work=reading)]
    candidates += [Candidate(endpoint=f"idle{n}", work=NO_WORK) for n in range(4)]
    plan = plan_prompt(a_digest(), FIGURES, candidates)
    assert "busy" not in (plan.lead, *plan.helpers)


def test_what_is_read_already_delays_no_prompt():
    """Engines that are nearly done read the next prompt in time, in parts."""
    begun = EndpointWork(requests=1, reading_ms=1_400.0, reading_for_ms=1_300.0)
    fresh = EndpointWork(requests=1, reading_ms=1_400.0)
    predicted = [
        plan_prompt(
            a_digest(220_000),
            FIGURES,
            [Candidate(endpoint=f"e{n}", work=work) for n in range(12)],
        ).predicted_ms
        for work in (begun, fresh)
    ]
    assert predicted[0] < predicted[1] - 1_000.0


def test_of_two_late_answers_the_sooner_one_costs_less():
    demand = a_digest(deadline_ms=15_000.0)
    assert lateness_cost(demand, 5_000.0) < lateness_cost(demand, 8_000.0)
    assert lateness_cost(demand, 11_000.0) < lateness_cost(demand, 14_000.0)
