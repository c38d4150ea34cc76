"""Endpoints that break off, come back, or fail now and then."""

from bilberryring.membership import EndpointHealth


def test_one_request_alone_tries_an_endpoint_that_broke_off():
    health = EndpointHealth()
    health.record_break("a", now=0.0)
    assert not health.is_avoided("a", now=0.6)
    health.record_start("a", now=0.6)
    assert health.is_avoided("a", now=1.0)
    health.record_success("a")
    assert not health.is_avoided("a", now=1.0)


def test_each_break_in_a_row_is_avoided_for_longer():
    health = EndpointHealth()
    for _ in range(3):
        health.record_break("a", now=0.0)
    assert health.is_avoided("a", now=1.9)
    assert not health.is_avoided("a", now=2.1)


def test_an_endpoint_that_fails_now_and_then_is_known_by_its_share():
    health = EndpointHealth()
    for number in range(40):
        if number % 2:
            health.record_failure("a")
        else:
            health.record_success("a")
    assert 0.3 < health.failure_share("a") < 0.7
