"""Engines that count as silent while they prefill, or never although they are gone."""

from dataclasses import replace

import pytest

from bilberryring.routing import (
    NO_WORK,
    EndpointWork,
    busy_seconds,
    silent_from,
    slot_wait_seconds,
)
from bilberryring.testing.prompt_load import FIGURES

GAP_LIMIT = 1.0
MARGIN = 0.25


def silence(work, *, is_in_prefill=False, seconds_left=10.0, figures=FIGURES):
    """Return after how many seconds an engine with this work counts as silent."""
    return silent_from(
        since=0.0,
        limit=GAP_LIMIT,
        busy=busy_seconds(work, figures, is_in_prefill=is_in_prefill),
        margin=MARGIN,
        deadline=seconds_left,
    )


@pytest.mark.parametrize("is_in_prefill", [False, True])
def test_an_engine_without_work_is_silent_from_the_limit_of_the_objective(
    is_in_prefill,
):
    assert silence(NO_WORK, is_in_prefill=is_in_prefill) == GAP_LIMIT


@pytest.mark.parametrize("is_in_prefill", [False, True])
def test_short_prompts_excuse_no_silence_beyond_the_limit(is_in_prefill):
    work = EndpointWork(requests=8, kv_tokens=40_000, prefill_ms=400.0)
    assert silence(work, is_in_prefill=is_in_prefill) == GAP_LIMIT


@pytest.mark.parametrize("tokens", [100_000, 130_000, 154_000])
def test_an_engine_is_not_silent_while_it_prefills_a_long_prompt(tokens):
    prefill_ms = FIGURES.prefill_ms(tokens)
    work = EndpointWork(requests=3, kv_tokens=tokens, prefill_ms=prefill_ms)
    assert silence(work, seconds_left=30.0) > prefill_ms / 1_000


def test_the_time_that_has_passed_in_a_prefill_does_not_shorten_the_limit():
    """The whole prefill can lie between two events of a stream."""
    work = EndpointWork(requests=1, prefill_ms=1_500.0)
    assert silence(work.advanced_by(1_200.0)) == silence(work)


def test_a_stream_in_decode_gets_an_event_after_the_prefill_of_one_pass():
    """An engine with short passes prefills a long prompt in many of them."""
    figures = replace(FIGURES, stride=1)
    work = EndpointWork(requests=1, prefill_ms=3_000.0)
    assert silence(work, figures=figures) == GAP_LIMIT
    assert silence(work, figures=figures, is_in_prefill=True) > 3.0


def test_a_pass_prefills_no_more_than_the_memory_holds():
    figures = replace(FIGURES, kv_tokens=10_000)
    assert figures.pass_prefill_ms == figures.prefill_ms(10_000)


@pytest.mark.parametrize("prefill_ms", [5_000.0, 50_000.0, 1e12])
def test_half_of_the_time_is_left_for_another_engine_whatever_this_one_prefills(
    prefill_ms,
):
    work = EndpointWork(requests=1, prefill_ms=prefill_ms)
    assert silence(work, is_in_prefill=True, seconds_left=8.0) == 4.0


def test_a_deadline_that_is_near_does_not_shorten_the_limit():
    work = EndpointWork(requests=1, prefill_ms=1_500.0)
    assert silence(work, seconds_left=1.5) == GAP_LIMIT
    assert silence(work, seconds_left=-1.0) == GAP_LIMIT


def answer_seconds(work):
    """Return the time of a typical answer in an engine that runs all of this work."""
    passes = FIGURES.usual_answer_tokens / FIGURES.stride
    pass_ms = FIGURES.pass_ms(streams=FIGURES.slots, context_tokens=work.kv_tokens)
    return passes * pass_ms / 1_000


@pytest.mark.parametrize("requests", [0, 1, FIGURES.slots])
def test_a_prompt_waits_for_no_slot_while_there_is_one_for_all(requests):
    work = EndpointWork(requests=requests, kv_tokens=FIGURES.kv_tokens)
    assert slot_wait_seconds(work, FIGURES) == 0.0


@pytest.mark.parametrize(("behind", "rounds"), [(1, 1), (8, 1), (9, 2), (17, 3)])
def test_a_prompt_may_wait_until_the_answers_before_it_have_ended(behind, rounds):
    work = EndpointWork(requests=FIGURES.slots + behind, kv_tokens=50_000)
    expected = rounds * answer_seconds(work)
    assert slot_wait_seconds(work, FIGURES) == pytest.approx(expected)


def test_a_prompt_may_wait_for_memory_although_a_slot_is_free():
    work = EndpointWork(requests=2, kv_tokens=FIGURES.kv_tokens + 1)
    assert slot_wait_seconds(work, FIGURES) > 1.0


def test_half_of_the_time_is_left_for_another_engine_however_many_prompts_wait():
    work = EndpointWork(requests=1_000, kv_tokens=5_000_000)
    wait = slot_wait_seconds(work, FIGURES)
    at = silent_from(
        since=2.0, limit=GAP_LIMIT, busy=wait, margin=MARGIN, deadline=10.0
    )
    assert at == 6.0
