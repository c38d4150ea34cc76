"""The store comes back from an older copy, and its revisions are given out again."""

import pytest

from bilberryring.standins.gateway_site import make_configuration, make_route
from bilberryring.standins.scripted_endpoint import answer_all
from bilberryring.testing.processes import pause, wait_until

IN_FORCE_SECONDS = 2.0
AWAY_SECONDS = 0.3
"""Seconds for which the store is away; more of them pass on a busy machine."""
LONG_SECONDS = 0.9
"""Time away after which a gateway that missed the store between two returns does not
know whether a key is new, and answers 503."""
RETURN_SECONDS = 2.0
"""Seconds after its return within which live endpoints are in the store again."""


def without_key(version):
    tenants = [{"name": "bars", "api_keys": ["another"], "priority": 1}]
    return make_configuration(version, tenants=tenants)


def with_route(version, prefix="/new/"):
    routes = [
        *make_configuration()["routes"],
        make_route(prefix, "idempotent", "orders"),
    ]
    return make_configuration(version, routes=routes)


def status_of(site, number=1, path="/look/"):
    return site.call(path, number=number).status


def wait_for_status(site, status, path="/look/", number=1):
    wait_until(
        lambda: status_of(site, number, path) == status,
        IN_FORCE_SECONDS,
        f"status {status}",
    )


def statuses_until_read(site):
    """Return the statuses, but 503, until a gateway has read the store again."""
    statuses = []

    def has_read():
        statuses.append(status_of(site))
        return statuses[-1] != 503

    wait_until(has_read, IN_FORCE_SECONDS, "the store to be read again")
    return set(statuses) - {503}


def write_something(site, count=9):
    """Raise the store's revision by writes that mean nothing to a gateway."""
    for number in range(count):
        site.put("op/other", b"%d" % number)


def restore(site, *, is_late=False, away_seconds=AWAY_SECONDS):
    """Return to the copy; the store is away for a moment.

    With `is_late` its revisions pass the old ones before a gateway reads it.
    """
    site.set_store_mode(refusing=True)
    pause(away_seconds)
    site.restore_store()
    if is_late:
        write_something(site, 40)
    site.set_store_mode()


@pytest.fixture(params=[False, True], ids=["read at once", "read late"])
def is_late(request):
    return request.param


def start(site, gateways=1):
    endpoint = site.add_endpoint("a", answer_all)
    for number in range(1, gateways + 1):
        site.start_gateway(number)
    return endpoint


def test_changes_after_the_return_are_in_force_though_their_revisions_are_lower(
    site, is_late
):
    start(site, gateways=2)
    site.save_store()
    for version in range(2, 12):
        site.publish(make_configuration(version))
    pause(0.5)
    restore(site, is_late=is_late)
    for version in (20, 22):
        site.publish(with_route(version))
        wait_for_status(site, 200, path="/new/")
        wait_for_status(site, 200, path="/new/", number=2)
        site.publish(make_configuration(version + 1))
        wait_for_status(site, 404, path="/new/")
        wait_for_status(site, 404, path="/new/", number=2)


def test_a_revoked_key_and_the_configuration_stay_in_force_after_the_return(
    site, is_late
):
    start(site, gateways=2)
    site.save_store()
    site.publish(without_key(5))
    wait_for_status(site, 401)
    write_something(site)
    pause(0.5)
    restore(site, is_late=is_late)
    for _ in range(12):
        assert status_of(site) == status_of(site, 2) == 401
        pause(0.2)


def test_a_gateway_that_starts_after_the_return_gets_the_lost_writes_from_a_peer(site):
    north = start(site)
    site.add_endpoint("b", answer_all, zone="south")
    site.save_store()
    site.publish(without_key(5))
    site.put("op/evacuate/north", b"{}")
    wait_for_status(site, 401)
    site.wait_for_domains_out("north")
    pause(0.5)
    restore(site)
    pause(0.7)
    site.start_gateway(2)
    assert status_of(site, 2) == 401
    site.publish(make_configuration(6))
    wait_for_status(site, 200, number=2)
    before = len(north.requests)
    assert {status_of(site, 2) for _ in range(6)} == {200}
    assert len(north.requests) == before


def test_an_evacuation_holds_after_the_return_until_it_is_taken_back(site, is_late):
    north = start(site)
    south = site.add_endpoint("b", answer_all, zone="south")
    site.save_store()
    site.put("op/evacuate/north", b"{}")
    site.wait_for_domains_out("north")
    write_something(site)
    pause(0.5)
    restore(site, is_late=is_late)
    for _ in range(12):
        assert status_of(site) == 200
        pause(0.2)
    assert not north.requests
    assert len(south.requests) == 12
    site.put("op/evacuate/north", b"{}")
    pause(0.3)
    site.remove("op/evacuate/north")
    site.wait_for_domains_out()
    assert {status_of(site) for _ in range(6)} == {200}
    assert north.requests


def test_an_evacuation_that_was_taken_back_does_not_return(site, is_late):
    north = start(site)
    site.put("op/evacuate/north", b"{}")
    site.wait_for_domains_out("north")
    site.save_store()
    site.remove("op/evacuate/north")
    site.wait_for_domains_out()
    write_something(site)
    pause(0.5)
    restore(site, is_late=is_late)
    pause(0.5)
    assert status_of(site) == 200
    assert north.requests


def test_endpoints_that_the_copy_lacks_serve_until_they_are_back(site, is_late):
    site.start_gateway(is_awaited=False)
    site.save_store()
    site.publish(make_configuration(2))
    endpoint = site.add_endpoint("a", answer_all)
    wait_until(site.is_ready, 5.0, "the gateway to be ready")
    site.wait_for_standing("a", "ready")
    restore(site, is_late=is_late)
    for _ in range(9):
        assert status_of(site) == 200
        pause(0.2)
    site.announce("a", endpoint.address)
    pause(1.5)
    assert status_of(site) == 200


def test_an_endpoint_that_is_not_back_in_time_gets_no_more_requests(site, is_late):
    site.start_gateway(is_awaited=False)
    site.save_store()
    site.publish(make_configuration(2))
    site.add_endpoint("a", answer_all)
    wait_until(site.is_ready, 5.0, "the gateway to be ready")
    site.wait_for_standing("a", "ready")
    restore(site, is_late=is_late)
    pause(RETURN_SECONDS + 2.5)
    assert status_of(site) == 503


def test_an_endpoint_that_left_before_the_return_gets_no_requests(site, is_late):
    gone = start(site)
    staying = site.add_endpoint("b", answer_all, zone="south")
    site.save_store()
    site.announce("a", gone.address, state="draining")
    site.wait_for_standing("a", "leaving")
    site.remove("servers/a")
    site.wait_for_standing("a", "gone", "lapsed")
    write_something(site)
    pause(0.5)
    restore(site, is_late=is_late)
    for _ in range(10):
        assert status_of(site) == 200
        pause(0.2)
    assert not gone.requests
    assert len(staying.requests) == 10


def test_an_endpoint_that_was_leaving_gets_no_requests_after_the_return(site, is_late):
    leaving = start(site)
    site.add_endpoint("b", answer_all, zone="south")
    site.save_store()
    site.announce("a", leaving.address, state="draining")
    site.wait_for_standing("a", "leaving")
    write_something(site)
    pause(0.5)
    restore(site, is_late=is_late)
    for _ in range(10):
        assert status_of(site) == 200
        pause(0.2)
    assert not leaving.requests


@pytest.mark.parametrize("away_seconds", [AWAY_SECONDS, LONG_SECONDS])
def test_a_second_return_in_a_row_loses_nothing(site, is_late, away_seconds):
    start(site)
    site.save_store()
    site.publish(without_key(5))
    wait_for_status(site, 401)
    restore(site, is_late=is_late, away_seconds=away_seconds)
    pause(0.5)
    restore(site, is_late=is_late, away_seconds=away_seconds)
    assert statuses_until_read(site) == {401}
    for _ in range(6):
        assert status_of(site) == 401
        pause(0.2)
    site.publish(make_configuration(6))
    wait_for_status(site, 200)
    site.publish(without_key(7))
    wait_for_status(site, 401)
