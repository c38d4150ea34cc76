"""A sound endpoint that is silent for a while and goes on: no answer ends sooner."""

import contextlib
import threading
from concurrent.futures import ThreadPoolExecutor
from functools import partial

import pytest

from bilberryring.gateway.endpoint_slices import SETTLE_SECONDS
from bilberryring.standins.gateway_site import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    GatewaySite,
    make_configuration,
    make_route,
    read_answer,
    request_headers,
)
from bilberryring.standins.scripted_endpoint import (
    NOT_EXECUTED_HEADER,
    STAMP_HEADER,
    answer_all,
    chunk,
    event,
    stream_head,
    whole_answer,
)
from bilberryring.testing.processes import pause, wait_until

N_EVENTS = 4
N_CALLERS = 30
SILENCES_SECONDS = (1.2, 1.6, 2.2)
"""All shorter than the 4 s for which callers wait."""
WHOLE_STREAM = b"".join(event(number) for number in range(1, N_EVENTS + 1))


def send_stream(request, connection, *, silent_before, silence):
    """Send the events after the last one that the caller has, silent before one.

    0 stands for a silence before the head.
    """
    if silent_before == 0:
        pause(silence)
    connection.sendall(stream_head(request.request_id))
    first = int(request.headers.get("last-event-id") or 0) + 1
    for number in range(first, N_EVENTS + 1):
        if number == silent_before:
            pause(silence)
        connection.sendall(chunk(event(number)))
        pause(0.02)
    connection.sendall(chunk(b""))


def answer_late(request, connection, *, silence):
    pause(silence)
    answer_all(request, connection)


def rest(request, connection):
    """Refuse a request and ask for none for a while."""
    extra = f"{NOT_EXECUTED_HEADER}\r\nRetry-After: 30"
    connection.sendall(
        whole_answer(request.request_id, b"", status="429 Busy", extra=extra)
    )


@pytest.fixture
def frugal_site():
    """A store with a configuration, for gateways that have no retries to spend."""
    site = GatewaySite(gateways=2, retry_slack=0).start()
    site.publish(make_configuration())
    yield site
    site.stop()


def last_records(site, number=1):
    """Return the events that say how a request ended, by the request's id."""
    records = {}
    for name in ("request_finished", "request_failed", "caller_left"):
        for line in site.log_events(number, name):
            records.setdefault(line["request"], []).append(name)
    return records


@pytest.mark.parametrize("silence", SILENCES_SECONDS)
@pytest.mark.parametrize("silent_before", [0, 1, 3])
def test_a_stream_of_the_only_endpoint_is_whole_after_a_silence(
    site, silence, silent_before
):
    script = partial(send_stream, silent_before=silent_before, silence=silence)
    site.add_endpoint("a", script, service=MODEL_SERVICE)
    site.start_gateway()
    answer = site.call("/chat/")
    assert (answer.status, answer.body) == (200, WHOLE_STREAM)
    assert not answer.is_cut


@pytest.mark.parametrize("silence", SILENCES_SECONDS)
def test_a_lookup_at_the_only_endpoint_is_answered_after_a_silence(site, silence):
    site.add_endpoint("a", partial(answer_late, silence=silence))
    site.start_gateway()
    assert site.call("/look/").status == 200


@pytest.mark.parametrize("silence", SILENCES_SECONDS)
@pytest.mark.parametrize("silent_before", [0, 3])
def test_streams_of_endpoints_that_fall_silent_together_are_whole(
    frugal_site, silence, silent_before
):
    script = partial(send_stream, silent_before=silent_before, silence=silence)
    for name in "abc":
        frugal_site.add_endpoint(name, script, service=MODEL_SERVICE)
    frugal_site.start_gateway()
    # Before that a gateway starts few requests on each endpoint.
    pause(SETTLE_SECONDS)
    with ThreadPoolExecutor(N_CALLERS) as pool:
        futures = []
        for _ in range(N_CALLERS):
            futures.append(pool.submit(frugal_site.call, "/chat/"))
            pause(0.02)
        answers = [future.result() for future in futures]
    assert [answer.body for answer in answers] == [WHOLE_STREAM] * N_CALLERS
    assert all(len(names) == 1 for names in last_records(frugal_site).values())


@pytest.mark.parametrize("silence", SILENCES_SECONDS)
@pytest.mark.parametrize("silent_before", [0, 3])
def test_a_stream_is_whole_although_the_other_endpoint_refuses(
    site, silence, silent_before
):
    script = partial(send_stream, silent_before=silent_before, silence=silence)
    site.add_endpoint("a", script, service=MODEL_SERVICE)
    site.start_gateway()
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(site.call, "/chat/")
        wait_until(lambda: site.log_events(1, "attempt_started"), 2.0, "the request")
        site.add_endpoint("b", rest, service=MODEL_SERVICE)
        answer = answer.result()
    assert (answer.status, answer.body) == (200, WHOLE_STREAM)


def leave(site, address):
    site.announce("a", address, service=MODEL_SERVICE, state="draining")


def remove(site, address):
    site.remove("servers/a")


def move_route(site, address):
    routes = [make_route("/chat/", "streaming", PLAIN_SERVICE)]
    site.publish(make_configuration(2, routes=routes))


def drop_route(site, address):
    routes = [make_route("/look/", "idempotent", PLAIN_SERVICE)]
    site.publish(make_configuration(2, routes=routes))


def drop_key(site, address):
    tenants = [{"name": "others", "api_keys": ["key-2"], "priority": 1}]
    site.publish(make_configuration(2, tenants=tenants))


def drop_service(site, address):
    routes = [make_route("/look/", "idempotent", PLAIN_SERVICE)]
    services = [{"name": PLAIN_SERVICE, "max_connections": 100}]
    site.publish(make_configuration(2, routes=routes, services=services))


def stop(site, address):
    site.process("gateway-1").terminate()


CHANGES = (leave, remove, move_route, drop_route, drop_key, drop_service, stop)


@pytest.mark.parametrize("silence", SILENCES_SECONDS)
@pytest.mark.parametrize("silent_before", [0, 3])
@pytest.mark.parametrize("change", CHANGES)
def test_a_stream_is_whole_after_a_silence_beside_a_change(
    site, silence, silent_before, change
):
    script = partial(send_stream, silent_before=silent_before, silence=silence)
    endpoint = site.add_endpoint("a", script, service=MODEL_SERVICE)
    site.start_gateway()
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(site.call, "/chat/")
        wait_until(lambda: endpoint.requests, 2.0, "the request")
        pause(0.3)
        change(site, endpoint.address)
        answer = answer.result()
    assert (answer.status, answer.body) == (200, WHOLE_STREAM)


def call_beside_a_change(site, path, change):
    """Return the answer to a call and the number of runs."""
    endpoint = site.add_endpoint("a", partial(answer_late, silence=1.6))
    site.start_gateway()
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(site.call, path)
        wait_until(lambda: endpoint.requests, 2.0, "the request")
        change(site, endpoint.address)
        return answer.result(), len(endpoint.requests)


@pytest.mark.parametrize("change", CHANGES)
def test_a_lookup_is_answered_after_a_silence_beside_a_change(site, change):
    answer, _ = call_beside_a_change(site, "/look/", change)
    assert answer.status == 200


@pytest.mark.parametrize("change", CHANGES)
def test_a_charge_is_answered_after_a_silence_beside_a_change(site, change):
    answer, n_runs = call_beside_a_change(site, "/charge/", change)
    assert (answer.status, n_runs) == (200, 1)


@pytest.mark.parametrize("silence", SILENCES_SECONDS)
@pytest.mark.parametrize("silent_before", [0, 1, 3])
def test_a_stream_that_a_second_endpoint_takes_over_is_whole(
    site, silence, silent_before
):
    silent = partial(send_stream, silent_before=silent_before, silence=silence)
    prompt = partial(send_stream, silent_before=-1, silence=0.0)
    first = site.add_endpoint("a", silent, service=MODEL_SERVICE)
    site.start_gateway()
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(site.call, "/chat/")
        wait_until(lambda: first.requests, 2.0, "the request")
        second = site.add_endpoint("b", prompt, service=MODEL_SERVICE)
        answer = answer.result()
    assert (answer.status, answer.body) == (200, WHOLE_STREAM)
    assert len(first.requests) + len(second.requests) <= 2
    assert STAMP_HEADER.partition(": ")[2] in answer.headers.values()


def wait_until_closed(connection, *, within):
    """Wait until the other side has closed a connection."""
    connection.settimeout(within)
    try:
        assert connection.recv(1) == b""
    except ConnectionResetError:
        pass


def test_only_one_of_two_endpoints_that_go_on_is_relayed_and_the_other_is_closed(site):
    is_resumed = threading.Event()
    closed = []

    def pause_then_go_on(request, connection):
        connection.sendall(stream_head(request.request_id) + chunk(event(1)))
        is_resumed.wait(3.0)
        pause(0.3)
        with contextlib.suppress(OSError):
            connection.sendall(chunk(event(2)) + chunk(event(3)) + chunk(event(4)))
        wait_until_closed(connection, within=0.5)
        closed.append("first")

    def go_on(request, connection):
        connection.sendall(stream_head(request.request_id) + chunk(event(2)))
        is_resumed.set()
        pause(0.6)
        connection.sendall(chunk(event(3)) + chunk(event(4)) + chunk(b""))

    first = site.add_endpoint("a", pause_then_go_on, service=MODEL_SERVICE)
    site.start_gateway()
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(site.call, "/chat/")
        wait_until(lambda: first.requests, 2.0, "the request")
        second = site.add_endpoint("b", go_on, service=MODEL_SERVICE)
        answer = answer.result()
    assert (answer.body, answer.is_cut) == (WHOLE_STREAM, False)
    assert [len(first.requests), len(second.requests)] == [1, 1]
    wait_until(lambda: closed, 1.0, "the end of the silent attempt")


ERRORS = [
    ("/look/", "500 Sorry"),
    ("/look/", "429 Busy"),
    ("/chat/", "404 Not Found"),
    ("/chat/", "500 Sorry"),
]


@pytest.mark.parametrize(("path", "status"), ERRORS)
def test_an_endpoint_that_refuses_a_second_attempt_does_not_end_the_first(
    site, path, status
):
    def refuse(request, connection):
        connection.sendall(whole_answer(request.request_id, b"", status=status))

    script = partial(answer_late, silence=2.0)
    if path == "/chat/":
        script = partial(send_stream, silent_before=2, silence=2.0)
    service = MODEL_SERVICE if path == "/chat/" else PLAIN_SERVICE
    first = site.add_endpoint("a", script, service=service)
    site.start_gateway()
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(site.call, path)
        wait_until(lambda: first.requests, 2.0, "the request")
        second = site.add_endpoint("b", refuse, service=service)
        answer = answer.result()
    assert (answer.status, answer.is_cut) == (200, False)
    assert len(second.requests) == 1


def test_a_caller_that_leaves_ends_both_attempts(site):
    closed = []

    def be_silent(request, connection):
        wait_until_closed(connection, within=3.0)
        closed.append(request)

    first = site.add_endpoint("a", be_silent)
    site.start_gateway()
    connection = site.connect()
    connection.request("POST", "/look/", b"x", request_headers())
    wait_until(lambda: first.requests, 2.0, "the request")
    second = site.add_endpoint("b", be_silent)
    wait_until(lambda: second.requests, 2.5, "the second attempt")
    connection.close()
    wait_until(lambda: len(closed) == 2, 0.5, "the end of both attempts")


def test_a_caller_that_reads_slowly_does_not_make_its_endpoint_silent(site):
    block = b"id: 1\ndata: " + b"x" * 500_000 + b"\n\n"

    def send_much(request, connection):
        connection.sendall(stream_head(request.request_id))
        for _ in range(16):
            connection.sendall(chunk(block))
        connection.sendall(chunk(b""))

    endpoints = [
        site.add_endpoint(name, send_much, service=MODEL_SERVICE) for name in "ab"
    ]
    site.start_gateway()
    connection = site.connect()
    connection.request("POST", "/chat/", b"x", request_headers())
    pause(2.5)
    answer = read_answer(connection)
    assert answer.body == block * 16
    assert sum(len(endpoint.requests) for endpoint in endpoints) == 1


def test_a_second_endpoint_that_finds_a_fault_in_the_request_answers_it(site):
    def be_silent(request, connection):
        wait_until_closed(connection, within=3.0)

    def refuse(request, connection):
        connection.sendall(
            whole_answer(request.request_id, b"gone", status="404 Not Found")
        )

    first = site.add_endpoint("a", be_silent)
    site.start_gateway()
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(site.call, "/look/")
        wait_until(lambda: first.requests, 2.0, "the request")
        site.add_endpoint("b", refuse)
        answer = answer.result(2.5)
    assert (answer.status, answer.body) == (404, b"gone")
