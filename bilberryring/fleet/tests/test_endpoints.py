"""Announcements that are late, lapse or contradict each other."""

from bilberryring.fleet import AnnouncedEndpoint, EndpointList, EndpointState

SHORTEST_DRAIN_SECONDS = 2.0
HOUSEKEEPING_SECONDS = 0.25


def an_endpoint(name="a", **changes):
    fields = {
        "id": name,
        "service": "model",
        "address": "127.0.0.1:1",
        "failure_domain": "north",
        "slots": 8,
        "state": EndpointState.READY,
    }
    return AnnouncedEndpoint(**(fields | changes))


def names_of(endpoints):
    return [endpoint.id for endpoint in endpoints.usable("model")]


def test_a_removed_endpoint_gets_no_more_work():
    endpoints = EndpointList()
    endpoints.announce(an_endpoint())
    endpoints.withdraw("a", now=0.0)
    assert names_of(endpoints) == []


def test_a_leaving_endpoint_gets_no_more_work():
    endpoints = EndpointList()
    endpoints.announce(an_endpoint())
    endpoints.announce(an_endpoint(state=EndpointState.LEAVING))
    assert names_of(endpoints) == []


def test_endpoints_that_lapsed_with_the_store_are_used_until_they_return():
    endpoints = EndpointList()
    endpoints.announce(an_endpoint())
    endpoints.withdraw("a", now=10.0, is_lapse=True)
    assert names_of(endpoints) == ["a"]
    endpoints.announce(an_endpoint())
    endpoints.expire_lapsed(now=60.0)
    assert names_of(endpoints) == ["a"]


def test_a_removal_that_looks_like_a_lapse_is_in_force_before_the_drain_ends():
    """A VM that was cut off saw a planned removal right after its return."""
    endpoints = EndpointList()
    endpoints.announce(an_endpoint())
    endpoints.withdraw("a", now=10.0, is_lapse=True)
    endpoints.expire_lapsed(now=10.0 + SHORTEST_DRAIN_SECONDS - HOUSEKEEPING_SECONDS)
    assert names_of(endpoints) == []


def test_a_failure_domain_that_was_taken_out_gets_no_work_until_it_is_back():
    endpoints = EndpointList()
    endpoints.announce(an_endpoint("a"))
    endpoints.announce(an_endpoint("b", failure_domain="south"))
    endpoints.take_out({"north"})
    assert names_of(endpoints) == ["b"]
    endpoints.take_out(())
    assert sorted(names_of(endpoints)) == ["a", "b"]
