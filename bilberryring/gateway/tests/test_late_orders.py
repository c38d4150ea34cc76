"""Prompts whose engines answer orders of memory late; they may be sound and go on."""

import pytest

from bilberryring.execution import Close
from bilberryring.fleet import RequestKind
from bilberryring.gateway.reservations import (
    ORDER_TIMEOUT_SECONDS,
    REPEAT_DELAYS_SECONDS,
)
from bilberryring.testing.played_attempts import LAST_RECORDS, PlayedSite

EVENT_1 = b"id: 1\ndata: piece 1\n\n"
HOLDERS = {"e0": ("e1",), "e2": ("e3",), "e4": ("e5",), "e6": ("e7",)}
TIMEOUT_SECONDS = 6.0


def start(*, holders=HOLDERS, **options):
    return PlayedSite(holders=holders, endpoints=8, timeout=TIMEOUT_SECONDS, **options)


def advance(site, seconds):
    for _ in range(round(seconds / 0.05)):
        site.clock.advance(0.05)


def finish(site, run):
    run.send_head()
    run.send(EVENT_1)
    run.end(Close.AT_END)
    assert site.answer() == (200, EVENT_1, True)
    assert [line["event"] for line in site.events(*LAST_RECORDS)] == [
        "request_finished"
    ]


def assert_nothing_is_kept(site):
    site.orders.answers = True
    for engine in tuple(site.orders.waiting):
        site.orders.answer(engine)
    advance(site, REPEAT_DELAYS_SECONDS[-1] + 1.0)
    assert site.orders.held == {}
    assert not site.tracker.endpoints
    assert not site.events("internal_fault")
    assert site.forwarder.in_progress == 0


def orders_for_prompts(site):
    return [engine for engine, tokens in site.orders.sent if tokens]


@pytest.mark.parametrize("seconds", [0.6, 1.2, 1.6, 2.2])
@pytest.mark.parametrize("kind", [RequestKind.STREAMING, RequestKind.NON_IDEMPOTENT])
def test_an_order_that_is_answered_late_serves_its_prompt(seconds, kind):
    site = start(kind=kind)
    advance(site, seconds)
    assert not site.events("attempt_failed")
    site.orders.answers = True
    site.orders.answer("e1")
    assert [run.endpoint for run in site.runs] == ["e0"]
    if kind is RequestKind.STREAMING:
        finish(site, site.runs[0])
    else:
        site.runs[0].send_head()
        site.runs[0].end()
        assert site.answer()[0] == 200
    assert len(site.runs) == 1
    assert_nothing_is_kept(site)


def test_one_order_goes_beside_the_first_to_other_engines():
    site = start()
    advance(site, 3.0)
    assert orders_for_prompts(site) == ["e1", "e3"]
    assert not site.runs
    assert not site.events("attempt_failed")


def test_the_engine_that_answers_first_is_used_and_the_other_memory_is_released():
    site = start()
    advance(site, ORDER_TIMEOUT_SECONDS + 0.2)
    assert orders_for_prompts(site) == ["e1", "e3"]
    site.orders.answer("e3")
    assert [run.endpoint for run in site.runs] == ["e2"]
    assert ("e1", 0) in site.orders.sent
    assert site.n_retries_spent() == 0
    finish(site, site.runs[0])
    assert len(site.runs) == 1
    assert_nothing_is_kept(site)


def test_an_order_that_is_refused_beside_a_silent_one_makes_room_for_a_third():
    site = start()
    advance(site, ORDER_TIMEOUT_SECONDS + 0.2)
    site.orders.answer("e3", 409)
    advance(site, ORDER_TIMEOUT_SECONDS + 0.2)
    assert orders_for_prompts(site) == ["e1", "e3", "e5"]
    site.orders.answer("e1")
    assert [run.endpoint for run in site.runs] == ["e0"]
    finish(site, site.runs[0])
    assert_nothing_is_kept(site)


def test_engines_that_accept_no_connection_do_not_keep_a_prompt_from_the_others():
    site = start(unreachable_holders=("e1", "e3"))
    advance(site, 3.0)
    site.orders.answer("e5")
    assert [run.endpoint for run in site.runs] == ["e4"]
    finish(site, site.runs[0])
    assert_nothing_is_kept(site)


def test_orders_that_nobody_answers_end_at_the_deadline_as_not_run():
    site = start()
    advance(site, TIMEOUT_SECONDS - 0.6)
    assert not site.events(*LAST_RECORDS)
    advance(site, 0.8)
    (record,) = site.events(*LAST_RECORDS)
    assert record["event"] == "request_failed"
    assert record["outcome"] == "not_run"
    assert site.answer()[0] == 503
    assert not site.runs
    assert_nothing_is_kept(site)


def test_a_caller_that_leaves_while_two_orders_wait_leaves_no_memory():
    site = start()
    advance(site, ORDER_TIMEOUT_SECONDS + 0.2)
    site.leave()
    assert ("e1", 0) in site.orders.sent
    assert ("e3", 0) in site.orders.sent
    assert_nothing_is_kept(site)
    assert not site.runs


def test_a_refusal_of_one_engine_ends_the_wait_for_the_others():
    site = start(holders={"e0": ("e1", "e3"), "e2": ("e4", "e5")})
    site.orders.answer("e1", 409)
    advance(site, ORDER_TIMEOUT_SECONDS + 0.1)
    assert [line["reason"] for line in site.events("attempt_failed")] == ["no_memory"]
    assert orders_for_prompts(site) == ["e1", "e3", "e4", "e5"]


def test_an_attempt_that_needs_no_memory_ends_the_order_of_the_first_as_it_is_sent():
    site = start(holders={"e0": ("e1",), "e2": ()})
    advance(site, ORDER_TIMEOUT_SECONDS + 0.2)
    assert [run.endpoint for run in site.runs] == ["e2"]
    assert ("e1", 0) in site.orders.sent
    site.orders.answer("e1")
    finish(site, site.runs[0])
    assert len(site.runs) == 1
    assert_nothing_is_kept(site)


def test_an_engine_whose_order_waits_is_avoided_until_it_answers():
    site = start()
    advance(site, ORDER_TIMEOUT_SECONDS + 0.2)
    now = site.clock.seconds()
    assert site.health.is_avoided("e1", now=now)
    site.orders.answer("e1")
    assert not site.health.is_avoided("e1", now=now)
    assert not site.health.is_avoided("e0", now=now)
