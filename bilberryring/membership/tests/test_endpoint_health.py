"""Tests of endpoints whose connections break, that recover or fail intermittently."""

from bilberryring.membership import EndpointHealth
from bilberryring.membership.endpoint_health import MAX_AVOID_SECONDS


def test_only_one_trial_request_goes_to_an_endpoint_after_a_break():
    health = EndpointHealth()
    health.record_broken_attempt("a", now=0.0)
    assert not health.is_avoided("a", now=0.6)
    health.record_start("a", now=0.6)
    assert health.is_avoided("a", now=1.0)
    health.record_success("a")
    assert not health.is_avoided("a", now=1.0)


def test_consecutive_breaks_lengthen_the_time_of_avoidance():
    health = EndpointHealth()
    for _ in range(3):
        health.record_broken_attempt("a", now=0.0)
    assert health.is_avoided("a", now=1.9)
    assert not health.is_avoided("a", now=2.1)


def test_intermittent_failures_show_in_the_failure_share():
    health = EndpointHealth()
    for number in range(40):
        if number % 2:
            health.record_failure("a")
        else:
            health.record_success("a")
    assert 0.3 < health.failure_share("a") < 0.7


def test_a_silent_endpoint_is_avoided_until_it_goes_on_and_has_not_failed():
    health = EndpointHealth()
    health.record_silence("a", now=0.0)
    assert health.is_avoided("a", now=1.5)
    health.end_silence("a")
    assert not health.is_avoided("a", now=1.5)
    assert health.failure_share("a") == 0.0


def test_an_endpoint_that_stays_silent_is_tried_again():
    health = EndpointHealth()
    health.record_silence("a", now=0.0)
    assert not health.is_avoided("a", now=MAX_AVOID_SECONDS)
