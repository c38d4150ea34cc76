"""A gateway that does not run for a while: what waits unread is no silence."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from bilberryring.gateway.endpoint_slices import SETTLE_SECONDS
from bilberryring.standins.gateway_site import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    make_configuration,
    make_route,
)
from bilberryring.standins.scripted_endpoint import (
    TimedScript,
    answer_all,
    chunk,
    event,
    stream_head,
)
from bilberryring.testing.processes import pause, wait_until

N_EVENTS = 40
N_CALLERS = 12
EVENT_SECONDS = 0.06
N_EXTRA_ROUTES = 1_640
N_VERSIONS = 8
LATE_SECONDS = 0.9
"""Seconds without anything from an endpoint, by its own record, from which a gateway
may count it as silent: its limits for these routes are 1.0 and 1.1 s."""
WHOLE_STREAM = b"".join(event(number) for number in range(1, N_EVENTS + 1))


def send_steadily(request, connection):
    connection.sendall(stream_head(request.request_id))
    first = int(request.headers.get("last-event-id") or 0) + 1
    for number in range(first, N_EVENTS + 1):
        connection.sendall(chunk(event(number)))
        pause(EVENT_SECONDS)
    connection.sendall(chunk(b""))


def send_at_once(request, connection):
    pause(0.2)
    connection.sendall(stream_head(request.request_id) + chunk(event(1)) + chunk(b""))


def n_requests(endpoints):
    return sum(len(endpoint.requests) for endpoint in endpoints)


def call_beside(site, endpoints, disturb, *, n_callers):
    """Return the answers to calls that are under way while something happens."""
    n_before = n_requests(endpoints)
    with ThreadPoolExecutor(n_callers) as pool:
        answers = [pool.submit(site.call, "/chat/") for _ in range(n_callers)]
        wait_until(
            lambda: n_requests(endpoints) == n_before + n_callers,
            3.0,
            "the requests",
        )
        pause(0.3)
        disturb()
        return [answer.result() for answer in answers]


def suspend_gateway(site, seconds):
    site.process("gateway-1").suspend()
    pause(seconds)
    site.process("gateway-1").resume()


def start(site, names):
    endpoints = [
        site.add_endpoint(name, send_steadily, service=MODEL_SERVICE) for name in names
    ]
    site.start_gateway()
    # Before that a gateway starts few requests on each endpoint.
    pause(SETTLE_SECONDS)
    return endpoints


@pytest.mark.parametrize("seconds", [1.2, 1.8])
@pytest.mark.parametrize("names", ["a", "abc"])
def test_streams_are_whole_after_the_gateway_itself_was_suspended(site, names, seconds):
    endpoints = start(site, names)
    answers = call_beside(
        site, endpoints, lambda: suspend_gateway(site, seconds), n_callers=4
    )
    assert [answer.body for answer in answers] == [WHOLE_STREAM] * 4


def test_no_stream_is_sent_twice_because_the_gateway_itself_was_suspended(site):
    endpoints = start(site, "abc")
    for endpoint in endpoints:
        endpoint.set_script(send_at_once)
    # Connections that are open let a second attempt start at once.
    call_beside(site, endpoints, lambda: None, n_callers=2 * N_CALLERS)
    for endpoint in endpoints:
        endpoint.set_script(send_steadily)
    call_beside(
        site, endpoints, lambda: suspend_gateway(site, 1.2), n_callers=N_CALLERS
    )
    assert n_requests(endpoints) == 3 * N_CALLERS


def test_no_endpoint_counts_as_silent_because_the_gateway_itself_was_suspended(site):
    endpoints = start(site, "abc")
    scripts = {name: TimedScript(send_steadily) for name in "abc"}
    for endpoint, script in zip(endpoints, scripts.values(), strict=True):
        endpoint.set_script(script)
    call_beside(
        site, endpoints, lambda: suspend_gateway(site, 1.2), n_callers=N_CALLERS
    )
    not_late = [
        line
        for line in site.log_events(1, "attempt_silent")
        if scripts[line["endpoint"]].silence_seconds(line) <= LATE_SECONDS
    ]
    assert not_late == []


def publish_large_configurations(site):
    extra = [
        make_route(f"/extra-{number}/", "idempotent", PLAIN_SERVICE)
        for number in range(N_EXTRA_ROUTES)
    ]
    configuration = make_configuration()
    for version in range(2, 2 + N_VERSIONS):
        routes = [*configuration["routes"], *extra]
        site.publish(configuration | {"version": version, "routes": routes})
        pause(0.1)


def test_no_endpoint_counts_as_silent_beside_large_configurations(site):
    endpoints = start(site, "a")
    answers = call_beside(
        site, endpoints, lambda: publish_large_configurations(site), n_callers=4
    )
    assert [answer.body for answer in answers] == [WHOLE_STREAM] * 4
    assert not site.log_events(1, "attempt_silent")
    assert not site.log_events(1, "attempt_failed")
    assert site.call("/chat/").body == WHOLE_STREAM
    latest = site.log_events(1, "request_finished")[-1]
    assert latest["configuration"] == 1 + N_VERSIONS


@pytest.mark.parametrize("seconds", [1.8, 4.0, 8.0])
def test_requests_that_arrive_while_the_gateway_is_suspended_are_answered(
    site, seconds
):
    """What it has heard of endpoints and peers does not lapse while it does not run."""
    endpoint = site.add_endpoint("a", answer_all)
    site.start_gateway(1)
    site.start_gateway(2)
    pause(SETTLE_SECONDS)
    site.process("gateway-1").suspend()
    with ThreadPoolExecutor(N_CALLERS) as pool:
        pause(seconds - 0.3)
        answers = [pool.submit(site.call, "/look/") for _ in range(N_CALLERS)]
        pause(0.3)
        site.process("gateway-1").resume()
        statuses = [answer.result().status for answer in answers]
    assert statuses == [200] * N_CALLERS
    assert len(endpoint.requests) == N_CALLERS
