"""Estimates of several gateways, and the relation of endpoints to each other."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bilberryring.capacity import EndpointSpeeds, Interval, ReportedSpeed
from bilberryring.capacity.endpoint_speeds import MAX_REPORTED, PROBE_SECONDS
from bilberryring.capacity.records import PEER_EXPIRY_SECONDS

NAMES = tuple("abcdef")
RUNS = tuple((name, f"{name}/1") for name in NAMES)


def sample(ratio):
    return Interval(low=ratio, high=ratio)


def teach(speeds, ratios, *, now=0.0, count=6, requests=0):
    """Let each endpoint take the named multiple of its time for a second."""
    for number in range(count):
        at = now + number / count
        for name, ratio in ratios.items():
            speeds.observe_step(
                name, f"{name}/1", sample(ratio), now=at, requests=requests
            )
    return now + 1.0


def steps(speeds, *, now, runs=RUNS):
    table = speeds.table("s", runs, now=now)
    return {name: table[name].step if name in table else 1.0 for name, _ in runs}


@pytest.fixture
def speeds():
    return EndpointSpeeds(seed=1)


def test_slow_endpoint_is_told_from_the_others(speeds):
    """Guards against equal shares for servers of unlike speed."""
    now = teach(speeds, dict.fromkeys(NAMES, 1.0) | {"a": 3.0})
    found = steps(speeds, now=now)
    assert 2.5 < found["a"] < 3.2
    assert set(found.values()) - {found["a"]} == {1.0}


def test_errors_of_the_prediction_change_no_choice(speeds):
    """Guards against choices that differ between equal endpoints."""
    ratios = dict(zip(NAMES, (0.9, 1.0, 1.1, 1.2, 0.85, 1.05), strict=True))
    now = teach(speeds, ratios)
    assert speeds.table("s", RUNS, now=now) == {}


def test_overload_of_the_whole_service_prefers_no_endpoint(speeds):
    """Guards against a choice that is unbalanced while all endpoints are slow."""
    now = teach(speeds, dict.fromkeys(NAMES, 4.0))
    assert set(steps(speeds, now=now).values()) == {1.0}


def test_estimate_ends_with_the_run(speeds):
    """Guards against a verdict on a process that no longer exists."""
    now = teach(speeds, {"a": 8.0})
    runs = (("a", "a/2"), *RUNS[1:])
    assert steps(speeds, now=now)["a"] > 4.0
    assert steps(speeds, now=now + 0.2, runs=runs)["a"] == 1.0
    assert speeds.slowdown("a", now=now + 0.2) == 1.0


def test_report_of_an_earlier_run_is_dropped(speeds):
    """Guards against a late report that makes a new run count as slow."""
    late = ReportedSpeed(endpoint="a", run_tag=1, slowdown=8.0)
    speeds.observe_step("a", "a/2", sample(1.0), now=0.0)
    speeds.record_peer("h", late, now=0.1)
    assert speeds.slowdown("a", now=0.1) == 1.0
    speeds.record_peer("h", ReportedSpeed(endpoint="b", run_tag=1, slowdown=8.0), now=0)
    runs = (("a", "a/2"), ("b", "b/2"), ("c", "c/1"))
    assert steps(speeds, now=0.2, runs=runs)["b"] == 1.0


def test_slow_endpoint_gets_a_request_now_and_then(speeds):
    """Guards against an endpoint that is starved, so that no recovery is noticed."""
    now = teach(speeds, dict.fromkeys(NAMES, 1.0) | {"a": 8.0})
    assert steps(speeds, now=now)["a"] > 4.0
    now += 1.5 * PROBE_SECONDS
    assert steps(speeds, now=now)["a"] == 1.0
    speeds.record_start("a", now=now)
    assert steps(speeds, now=now)["a"] > 2.0


def test_gateways_with_opposite_samples_meet_in_between(speeds):
    """Guards against one gateway whose wrong samples decide for all."""
    wrong = ReportedSpeed(endpoint="a", run_tag=1, slowdown=50.0)
    teach(speeds, {"a": 1.0})
    speeds.record_peer("h", wrong, now=0.9)
    assert speeds.slowdown("a", now=0.9) <= 8.0 ** (1 / 3) + 0.01


@given(st.lists(st.floats(-10.0, 1e9), min_size=1, max_size=50))
def test_one_neighbour_has_a_bounded_effect(reported):
    """Guards against reports of any figures, and any number of them by one gateway."""
    speeds = EndpointSpeeds(seed=1)
    teach(speeds, {"a": 1.0})
    for value in reported:
        news = ReportedSpeed(endpoint="a", run_tag=1, slowdown=value)
        speeds.record_peer("h", news, now=0.9)
    assert 0.49 <= speeds.slowdown("a", now=0.9) <= 2.01


def test_neighbours_estimate_expires(speeds):
    """Guards against the word of a gateway that no longer reports."""
    news = ReportedSpeed(endpoint="a", run_tag=1, slowdown=8.0)
    speeds.record_peer("h", news, now=0.0)
    assert speeds.slowdown("a", now=0.5) == pytest.approx(8.0)
    speeds.expire(now=PEER_EXPIRY_SECONDS + 0.1)
    assert speeds.slowdown("a", now=PEER_EXPIRY_SECONDS + 0.1) == 1.0
    assert not speeds.notable


def test_reports_tell_only_what_matters(speeds):
    """Guards against control traffic for endpoints that are like the others."""
    now = teach(speeds, dict.fromkeys(NAMES, 1.0) | {"a": 3.0})
    told = speeds.reports((), now=now, is_complete=True)
    assert set(told) == {"a"} and 2.5 < told["a"].slowdown < 3.2
    assert speeds.reports((), now=now, is_complete=False) == {}
    now = teach(speeds, {"a": 1.0}, now=now, count=14)
    ended = speeds.reports((), now=now, is_complete=False)
    assert ended["a"].slowdown < 1.35


def test_reports_are_bounded(speeds):
    """Guards against a report that grows with the number of slow endpoints."""
    teach(speeds, {f"e{number}": 3.0 for number in range(100)})
    assert len(speeds.reports((), now=1.0, is_complete=True)) == MAX_REPORTED


def test_estimate_of_others_is_not_reported_as_own(speeds):
    """Guards against one gateway's samples that count again by way of another."""
    news = ReportedSpeed(endpoint="a", run_tag=1, slowdown=8.0)
    speeds.record_peer("h", news, now=0.0)
    assert speeds.reports(("a",), now=0.1, is_complete=True) == {}


def test_changes_are_told_once_for_each_step(speeds):
    """Guards against a log line for each sample."""
    now = teach(speeds, {"a": 3.0})
    (change,) = speeds.take_changes(now=now, most=8)
    assert (change.endpoint, change.was_step, change.step) == ("a", 0, 2)
    assert speeds.take_changes(now=now, most=8) == ()
    now = teach(speeds, {"a": 1.0}, now=now, count=20)
    (change,) = speeds.take_changes(now=now, most=8)
    assert change.step == 0
    assert speeds.take_changes(now=now, most=8) == ()


def test_learned_limit_is_in_the_table(speeds):
    """Guards against a limit that is learned and not used."""
    for _ in range(3):
        for requests, ratio in ((3, 1.0), (6, 2.5), (4, 1.0)):
            speeds.observe_step("a", "a/1", sample(ratio), now=1.0, requests=requests)
    assert speeds.table("s", RUNS, now=1.0)["a"].limit == 5
    assert math.isinf(speeds.limit("b", now=1.0))


def test_nothing_is_taken_from_reports_when_switched_off():
    """Guards against a switch that turns off only a part."""
    speeds = EndpointSpeeds(is_on=False)
    news = ReportedSpeed(endpoint="a", run_tag=1, slowdown=8.0)
    speeds.record_peer("h", news, now=0.0)
    assert speeds.slowdown("a", now=0.1) == 1.0
