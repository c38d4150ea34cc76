"""Faults of the grown sites: none of them costs the answers that others can give.

Health checks that say the wrong thing, endpoints that flap, many processes killed at
once, links that carry one direction only, idle connections that are dropped unseen.
"""

import socket
import threading
from contextlib import contextmanager, suppress

import pytest

from bilberryring.standins.gateway_site import GatewaySite, make_configuration
from bilberryring.standins.scripted_endpoint import answer_all, reset, whole_answer
from bilberryring.testing.processes import pause, wait_until
from bilberryring.testing.relay import RouteMode
from bilberryring.testing.soak_fleet import SoakRelay

HEALTH_PATH = "/v1/health"
N_CALLS = 12
FLAP_SECONDS = 0.15
IN_FORCE_SECONDS = 2.0
LINK = "link"


def with_health(status, script):
    """Answer health checks with a status, and other requests as a script does."""

    def serve(request, connection):
        if request.target == HEALTH_PATH:
            answer = whole_answer(request.request_id, b"", status=status)
            connection.sendall(answer)
        else:
            script(request, connection)

    return serve


def reset_connection(request, connection):
    reset(connection)


def crash(endpoint):
    """Close all connections as the kernel does for a killed process."""
    for connection in endpoint.connections:
        with suppress(OSError):
            connection.shutdown(socket.SHUT_RDWR)
    endpoint.close()


def statuses(site, path="/look/", count=N_CALLS, number=1):
    return [site.call(path, number=number).status for _ in range(count)]


def work_of(endpoint):
    return [item for item in endpoint.requests if item.target != HEALTH_PATH]


@pytest.fixture
def relayed(site):
    """A relay to one endpoint, which is announced with the relay's address."""
    process = site.start_process("relay", ["bilberryring.testing.main"])
    relay = SoakRelay(address=f"127.0.0.1:{process.listening_port()}")
    endpoint = site.add_endpoint("a", answer_all)
    site.announce("a", relay.add(LINK, endpoint.address), sequence=2)
    return relay, endpoint


def test_an_endpoint_that_calls_itself_unwell_and_serves_gets_its_share(site):
    endpoint = site.add_endpoint(
        "a", with_health("503 Service Unavailable", answer_all)
    )
    site.start_gateway()
    assert set(statuses(site)) == {200}
    assert len(work_of(endpoint)) == N_CALLS


def test_an_endpoint_that_calls_itself_well_and_fails_costs_no_answer(site):
    site.add_endpoint("a", with_health("200 OK", reset_connection))
    well = site.add_endpoint("b", with_health("200 OK", answer_all))
    site.start_gateway()
    assert set(statuses(site)) == {200}
    assert len(work_of(well)) == N_CALLS


@contextmanager
def repeated(work):
    """Do some work again and again beside the test."""
    is_over = threading.Event()

    def run():
        while not is_over.wait(FLAP_SECONDS):
            work()

    thread = threading.Thread(target=run)
    thread.start()
    try:
        yield
    finally:
        is_over.set()
        thread.join()


def test_an_endpoint_that_flaps_between_serving_and_failing_costs_no_answer(site):
    flapping = site.add_endpoint("a", answer_all)
    site.add_endpoint("b", answer_all)
    site.start_gateway()
    scripts = [answer_all, reset_connection]

    def flap():
        scripts.reverse()
        flapping.set_script(scripts[0])

    with repeated(flap):
        for _ in range(3 * N_CALLS):
            assert site.call("/look/").status == 200
            pause(FLAP_SECONDS / 3)


def test_an_endpoint_whose_announcement_flaps_costs_no_answer(site):
    endpoint = site.add_endpoint("a", answer_all)
    site.add_endpoint("b", answer_all)
    site.start_gateway()
    states = ["ready", "draining"]

    def flap():
        states.reverse()
        site.announce("a", endpoint.address, state=states[0])

    with repeated(flap):
        for _ in range(3 * N_CALLS):
            assert site.call("/charge/").status == 200
            pause(FLAP_SECONDS / 3)
    site.announce("a", endpoint.address, state="draining")
    pause(IN_FORCE_SECONDS)
    before = len(endpoint.requests)
    assert set(statuses(site)) == {200}
    assert len(endpoint.requests) == before


def test_gateways_and_endpoints_killed_together_leave_the_others_serving():
    site = GatewaySite(gateways=3).start()
    try:
        site.publish(make_configuration())
        endpoints = [site.add_endpoint(f"e{n}", answer_all) for n in range(6)]
        for number in (1, 2, 3):
            site.start_gateway(number)
        assert set(statuses(site, number=3)) == {200}
        for number in (1, 2):
            site.process(f"gateway-{number}").kill()
        for endpoint in endpoints[:4]:
            crash(endpoint)
        assert set(statuses(site, number=3)) == {200}
        site.publish(make_configuration(2, tenants=[]))
        wait_until(
            lambda: site.call("/look/", number=3).status == 401,
            IN_FORCE_SECONDS,
            "the change at the gateway that is left",
        )
        site.publish(make_configuration(3))
        for number in (1, 2):
            site.start_gateway(number)
            assert set(statuses(site, number=number)) == {200}
    finally:
        site.stop()


@pytest.mark.parametrize("direction", ["hold_to_target", "hold_to_caller"])
@pytest.mark.parametrize("path", ["/look/", "/charge/"])
def test_a_link_that_carries_one_direction_costs_no_answer_elsewhere(
    site, relayed, direction, path
):
    relay, endpoint = relayed
    site.add_endpoint("b", answer_all)
    site.start_gateway()
    assert set(statuses(site)) == {200}
    relay.set_mode(RouteMode(name=LINK, **{direction: True}))
    begun = len(endpoint.requests)
    answers = statuses(site, path)
    assert answers.count(200) >= N_CALLS - 2
    if path == "/look/":
        assert set(answers) == {200}
    ids = [item.request_id for item in endpoint.requests[begun:]]
    assert len(ids) == len(set(ids))
    relay.set_mode(RouteMode(name=LINK))


def test_a_lookup_on_an_idle_connection_that_was_dropped_unseen_is_answered(
    site, relayed
):
    relay, _ = relayed
    site.add_endpoint("b", answer_all)
    site.start_gateway()
    assert set(statuses(site, count=2)) == {200}
    relay.set_mode(RouteMode(name=LINK, silence_open=True))
    assert set(statuses(site)) == {200}


def test_a_charge_on_an_idle_connection_that_was_dropped_unseen_runs_once(
    site, relayed
):
    relay, endpoint = relayed
    site.start_gateway()
    assert set(statuses(site, count=2)) == {200}
    relay.set_mode(RouteMode(name=LINK, silence_open=True))
    answers = statuses(site, "/charge/", count=4)
    assert answers[1:] == [200] * 3
    ids = [item.request_id for item in endpoint.requests]
    assert len(ids) == len(set(ids))
