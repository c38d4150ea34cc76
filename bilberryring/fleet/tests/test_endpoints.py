"""The endpoint list with announcements that are late, lapse or are withdrawn."""

from bilberryring.fleet import AnnouncedEndpoint, EndpointList, EndpointState

SHORTEST_DRAIN_SECONDS = 2.0
HOUSEKEEPING_SECONDS = 0.25


def make_endpoint(name="a", **changes):
    fields = {
        "id": name,
        "service": "model",
        "address": "127.0.0.1:1",
        "failure_domain": "north",
        "slots": 8,
        "state": EndpointState.READY,
    }
    return AnnouncedEndpoint(**(fields | changes))


def usable_ids(endpoints):
    return [endpoint.id for endpoint in endpoints.usable("model")]


def test_a_removed_endpoint_gets_no_new_requests():
    endpoints = EndpointList()
    endpoints.announce(make_endpoint())
    endpoints.withdraw("a", now=0.0)
    assert usable_ids(endpoints) == []


def test_a_leaving_endpoint_gets_no_new_requests():
    endpoints = EndpointList()
    endpoints.announce(make_endpoint())
    endpoints.announce(make_endpoint(state=EndpointState.LEAVING))
    assert usable_ids(endpoints) == []


def test_an_endpoint_that_lapsed_in_an_outage_stays_usable_when_announced_again():
    endpoints = EndpointList()
    endpoints.announce(make_endpoint())
    endpoints.withdraw("a", now=10.0, is_lapse=True)
    assert usable_ids(endpoints) == ["a"]
    endpoints.announce(make_endpoint())
    endpoints.expire_lapsed(now=60.0)
    assert usable_ids(endpoints) == ["a"]


def test_a_removal_taken_for_a_lapse_takes_effect_before_the_drain_ends():
    """A VM that lost the store may see a planned removal just after the outage.

    It then takes the removal for a lapse, but must not use the endpoint for longer
    than the endpoint drains.
    """
    endpoints = EndpointList()
    endpoints.announce(make_endpoint())
    endpoints.withdraw("a", now=10.0, is_lapse=True)
    endpoints.expire_lapsed(now=10.0 + SHORTEST_DRAIN_SECONDS - HOUSEKEEPING_SECONDS)
    assert usable_ids(endpoints) == []


def test_a_failure_domain_taken_out_gets_no_requests_until_it_is_back():
    endpoints = EndpointList()
    endpoints.announce(make_endpoint("a"))
    endpoints.announce(make_endpoint("b", failure_domain="south"))
    endpoints.set_domains_out({"north"})
    assert usable_ids(endpoints) == ["b"]
    endpoints.set_domains_out(())
    assert sorted(usable_ids(endpoints)) == ["a", "b"]
