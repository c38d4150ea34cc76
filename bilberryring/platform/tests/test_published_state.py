"""Changes of configurations and announcements while requests arrive."""

import contextlib
import json

from bilberryring.standins.gateway_site import (
    HOST_NAME,
    make_configuration,
    make_route,
)
from bilberryring.standins.scripted_endpoint import answer_all
from bilberryring.testing.processes import pause, wait_until

START_SECONDS = 30.0
IN_FORCE_SECONDS = 2.0
IN_FORCE_AFTER_SILENCE_SECONDS = 3.0


def configuration_without_key(version):
    tenants = [{"name": "bars", "api_keys": ["another"], "priority": 1}]
    return make_configuration(version, tenants=tenants)


def status_of(site, number=1, path="/look/"):
    return site.call(path, number=number).status


def wait_for_status(site, status, seconds, number=1, path="/look/"):
    wait_until(
        lambda: status_of(site, number, path) == status, seconds, f"status {status}"
    )


def accepts_connections(site):
    with contextlib.suppress(ConnectionRefusedError), site.caller_socket():
        return True
    return False


def test_a_process_without_a_configuration_refuses_requests(empty_site):
    empty_site.start_gateway(is_awaited=False)
    wait_until(
        lambda: accepts_connections(empty_site), START_SECONDS, "the gateway to listen"
    )
    pause(2.0)
    assert not empty_site.is_ready()
    response = empty_site.call("/look/")
    assert response.status == 503
    assert "retry-after" in response.headers


def test_a_revoked_key_is_refused_within_the_bound(site):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    assert status_of(site) == 200
    site.publish(configuration_without_key(2))
    wait_for_status(site, 401, IN_FORCE_SECONDS)


def test_an_older_version_never_replaces_a_newer_one(site):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    site.publish(configuration_without_key(5))
    wait_for_status(site, 401, IN_FORCE_SECONDS)
    site.publish(make_configuration(4))
    pause(0.5)
    assert status_of(site) == 401


def test_an_unreadable_configuration_leaves_the_previous_one_in_force(site):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    site.put("op/config", b'{"version": 9, "routes": 7}')
    pause(0.3)
    assert status_of(site) == 200
    assert site.log_events(event="set_refused")


def test_unknown_fields_and_malformed_announcements_are_ignored(site):
    site.publish(make_configuration(2, surprise={"a": [1]}))
    site.add_endpoint("a", answer_all, surprise=[1])
    for number, broken in enumerate(
        (
            b"\xff\xfe",
            b"{}",
            b"[1]",
            json.dumps({"service": 4, "address": "127.0.0.1:1"}).encode(),
        )
    ):
        site.put(f"servers/broken-{number}", broken)
    site.announce("odd", "127.0.0.1:1", state="dreaming")
    site.start_gateway()
    assert [status_of(site) for _ in range(5)] == [200] * 5


def test_the_longest_prefix_of_the_host_selects_the_route(site):
    routes = [
        make_route("/a/", "idempotent", "orders"),
        make_route("/a/b/", "idempotent", "nowhere"),
        make_route("/", "idempotent", "orders", host="other.example"),
    ]
    site.publish(make_configuration(2, routes=routes))
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    assert status_of(site, path="/a/c") == 200
    assert status_of(site, path="/a/b/c") == 503
    assert status_of(site, path="/z/") == 404
    assert HOST_NAME != "other.example"


def test_changes_take_effect_after_the_store_lost_its_history(site):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    site.drop_history()
    site.publish(configuration_without_key(2))
    wait_for_status(site, 401, IN_FORCE_SECONDS)


def test_a_list_of_many_pages_is_read_to_its_end(empty_site):
    empty_site.set_store_mode(page_items=2)
    empty_site.publish(make_configuration())
    for number in range(7):
        empty_site.add_endpoint(f"e{number}", answer_all)
    empty_site.start_gateway()
    listed = empty_site.log_events(event="items_listed")
    assert max(line["items"] for line in listed) == 7


def test_the_last_state_is_kept_while_the_store_refuses(site):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    site.set_store_mode(refusing=True)
    pause(3.0)
    assert status_of(site) == 200


def test_an_unknown_path_gets_503_instead_of_404_while_the_view_is_stale(site):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    site.set_store_mode(refusing=True)
    wait_until(
        lambda: status_of(site, path="/new/") == 503, 10, "the view to count as old"
    )
    site.set_store_mode()
    wait_for_status(site, 404, 3.0, path="/new/")


def test_a_store_that_stops_responding_is_noticed_and_read_again(site):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    site.set_store_mode(silent=True)
    site.publish(configuration_without_key(2))
    pause(1.0)
    site.set_store_mode()
    wait_for_status(site, 401, IN_FORCE_AFTER_SILENCE_SECONDS)


def test_a_process_that_cannot_read_the_store_copies_from_a_peer(site):
    """The store refuses the second VM after the first one has read it."""
    site.add_endpoint("a", answer_all)
    site.start_gateway(1)
    site.set_store_mode(refusing=True)
    site.start_gateway(2)
    assert status_of(site, number=2) == 200
    assert site.log_events(2, "copy_taken")


def test_a_process_that_starts_after_a_removal_does_not_copy_repeatedly(site):
    """A new process must not copy the items of its peer again and again.

    The peer's latest change is a removal, which no list shows, so the revision that
    the new process learns from its list items alone stays behind that of the peer.
    """
    site.add_endpoint("a", answer_all)
    site.add_endpoint("b", answer_all)
    site.start_gateway(1)
    site.remove("servers/b")
    wait_until(
        lambda: (
            site.log_events(1, "endpoint_standing_changed")[-1]["standing"] == "gone"
        ),
        3.0,
        "the removal to be known",
    )
    site.start_gateway(2)
    pause(1.5)
    assert len(site.log_events(2, "copy_taken")) <= 2


def test_a_failure_domain_that_is_taken_out_gets_no_requests(site):
    north = site.add_endpoint("a", answer_all, zone="north")
    south = site.add_endpoint("b", answer_all, zone="south")
    site.start_gateway()
    site.put("op/evacuate/north", b"{}")
    site.wait_for_domains_out("north")
    before = len(north.requests)
    assert [status_of(site) for _ in range(6)] == [200] * 6
    assert len(north.requests) == before
    assert len(south.requests) == 6
    site.remove("op/evacuate/north")
    site.wait_for_domains_out()
    assert [status_of(site) for _ in range(6)] == [200] * 6
    assert len(north.requests) > before


def test_a_draining_endpoint_gets_no_requests(site):
    draining = site.add_endpoint("a", answer_all)
    staying = site.add_endpoint("b", answer_all, zone="south")
    site.start_gateway()
    site.announce("a", draining.address, state="draining")
    site.wait_for_standing("a", "leaving")
    assert [status_of(site) for _ in range(4)] == [200] * 4
    assert not draining.requests
    assert len(staying.requests) == 4
