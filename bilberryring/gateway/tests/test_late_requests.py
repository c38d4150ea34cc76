"""Admission during a planned stop, decided without network."""

import math
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bilberryring.admission import PlannedStop
from bilberryring.fleet import RequestKind
from bilberryring.gateway.late_requests import deadline_in_stop, predicted_seconds
from bilberryring.testing.prompt_load import FIGURES

STOP = PlannedStop(signalled_at=100.0, grace=8.0)
MOMENTS = st.floats(min_value=100.0, max_value=130.0)
KINDS = st.sampled_from(RequestKind)


def make_route(kind, *, may_repeat):
    return SimpleNamespace(kind=kind, may_repeat=may_repeat)


@given(
    deadline=MOMENTS,
    now=MOMENTS,
    predicted=st.floats(0.0, 20.0),
    kind=KINDS,
    may_repeat=st.booleans(),
)
def test_no_request_is_sent_with_a_deadline_after_the_stop(
    deadline, now, predicted, kind, may_repeat
):
    given_deadline = deadline_in_stop(
        STOP,
        deadline=deadline,
        route=make_route(kind, may_repeat=may_repeat),
        now=now,
        predicted_seconds=predicted,
    )
    if given_deadline is not None:
        assert given_deadline <= min(deadline, STOP.answers_by)
    if not may_repeat:
        assert given_deadline in (deadline, None)
    if deadline <= STOP.answers_by:
        assert given_deadline == deadline


@given(now=MOMENTS, predicted=st.floats(0.0, 20.0))
def test_a_lookup_is_sent_if_its_end_is_predicted_in_the_stop(now, predicted):
    deadline = deadline_in_stop(
        STOP,
        deadline=130.0,
        route=make_route(RequestKind.IDEMPOTENT, may_repeat=True),
        now=now,
        predicted_seconds=predicted,
    )
    assert (deadline is not None) == (now + predicted <= STOP.answers_by)


@pytest.mark.parametrize(("seconds", "is_sent"), [(2.4, True), (2.6, False)])
def test_a_stream_that_may_outlast_the_stop_is_sent_only_well_before_three_seconds(
    seconds, is_sent
):
    deadline = deadline_in_stop(
        STOP,
        deadline=130.0,
        route=make_route(RequestKind.STREAMING, may_repeat=True),
        now=STOP.signalled_at + seconds,
        predicted_seconds=0.5,
    )
    assert (deadline is not None) == is_sent


@given(now=MOMENTS, predicted=st.floats(0.0, 20.0))
def test_a_stream_that_has_begun_is_sent_on_if_its_next_event_is_in_time(
    now, predicted
):
    deadline = deadline_in_stop(
        STOP,
        deadline=130.0,
        route=make_route(RequestKind.STREAMING, may_repeat=True),
        now=now,
        predicted_seconds=predicted,
        has_begun=True,
    )
    assert (deadline is not None) == (now + predicted <= STOP.answers_by)


def predicted(kind, *, predicted_ms=0.0, max_tokens=0, engine=None, has_begun=False):
    return predicted_seconds(
        route=SimpleNamespace(kind=kind, first_answer_objective=0.3),
        service=SimpleNamespace(engine=engine),
        metadata=SimpleNamespace(prompt_tokens=1_000, max_tokens=max_tokens),
        choice=SimpleNamespace(predicted_ms=predicted_ms),
        has_begun=has_begun,
    )


@pytest.mark.parametrize(
    "kind", [RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT], ids=str
)
def test_a_response_is_expected_within_twice_the_objective(kind):
    assert predicted(kind) == pytest.approx(0.6)


def test_a_stream_ends_after_its_first_token_and_its_longest_answer():
    seconds = predicted(
        RequestKind.STREAMING, predicted_ms=500.0, max_tokens=2_000, engine=FIGURES
    )
    answer_ms = FIGURES.answer_ms(tokens=2_000, prompt_tokens=1_000)
    assert seconds == pytest.approx(0.5 + answer_ms / 1_000)


def test_a_stream_of_unknown_length_has_no_predicted_end():
    assert predicted(RequestKind.STREAMING, engine=FIGURES) == math.inf
    assert predicted(RequestKind.STREAMING, max_tokens=80) == math.inf


def test_a_stream_that_has_begun_goes_on_if_its_next_event_is_in_time():
    seconds = predicted(RequestKind.STREAMING, predicted_ms=700.0, has_begun=True)
    assert seconds == pytest.approx(0.7)
