"""Tests of endpoints whose connections break, that recover or fail intermittently."""

from bilberryring.membership import EndpointHealth


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
