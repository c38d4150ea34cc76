"""Responses of endpoints: complete, cut short, duplicated, misrouted or invalid."""

import threading

import pytest

from bilberryring.standins.gateway_site import MODEL_SERVICE
from bilberryring.standins.scripted_endpoint import (
    NOT_EXECUTED_HEADER,
    STAMP_HEADER,
    answer_all,
    chunk,
    event,
    reset,
    stream_head,
    whole_answer,
)
from bilberryring.testing.processes import pause, wait_until


def start_with(site, script, **changes):
    endpoint = site.add_endpoint("a", script, **changes)
    site.start_gateway()
    return endpoint


def test_a_response_and_its_headers_arrive_unchanged(site):
    endpoint = start_with(site, answer_all)
    response = site.call("/look/7?x=1", body=b"hello")
    assert (response.status, response.body) == (200, b"ok hello")
    assert response.headers["bilberryring-response-stamp"] == "s-1"
    seen = endpoint.requests[0]
    assert (seen.target, seen.headers["bilberryring-tenant"]) == ("/look/7?x=1", "bars")
    assert seen.headers["bilberryring-target-instance"] == "a"
    assert "authorization" not in seen.headers
    assert 3_000 < int(seen.headers["bilberryring-deadline-ms"]) <= 4_000


def test_a_workspace_that_the_caller_names_is_replaced(site):
    endpoint = start_with(site, answer_all)
    site.call("/look/", Bilberryring_Tenant="another")
    assert endpoint.requests[0].headers["bilberryring-tenant"] == "bars"


def cut_in_the_middle(request, connection):
    connection.sendall(whole_answer(request.request_id, b"x" * 800)[:-300])
    reset(connection)


def not_http(request, connection):
    connection.sendall(b"\x00\x01 nonsense\r\n\r\n")
    reset(connection)


def without_stamp(request, connection):
    connection.sendall(whole_answer(request.request_id, b"x", extra=""))


def encoded(request, connection):
    extra = f"{STAMP_HEADER}\r\nContent-Encoding: gzip"
    connection.sendall(whole_answer(request.request_id, b"x", extra=extra))


INVALID_RESPONSES = [cut_in_the_middle, not_http, without_stamp, encoded]


@pytest.mark.parametrize("script", INVALID_RESPONSES)
def test_an_invalid_response_on_an_idempotent_route_is_retried(site, script):
    faulty = site.add_endpoint("a", script)
    healthy = site.add_endpoint("b", answer_all, zone="south")
    site.start_gateway()
    responses = [site.call("/look/", body=b"q") for _ in range(4)]
    assert {response.body for response in responses} == {b"ok q"}
    assert faulty.requests
    assert len(healthy.requests) == 4


@pytest.mark.parametrize("script", INVALID_RESPONSES)
def test_an_invalid_response_on_a_non_idempotent_route_is_an_unknown_outcome(
    site, script
):
    faulty = site.add_endpoint("a", script)
    healthy = site.add_endpoint("b", answer_all, zone="south")
    site.start_gateway()
    response = site.call("/charge/")
    assert response.status == 502
    assert b"outcome_unknown" in response.body
    assert len(faulty.requests) == 1
    assert not healthy.requests


def test_a_refusal_by_the_endpoint_is_reported_as_not_run(site):
    def refuse(request, connection):
        connection.sendall(
            whole_answer(
                request.request_id,
                b"",
                status="503 Service Unavailable",
                extra=NOT_EXECUTED_HEADER,
            )
        )

    start_with(site, refuse)
    response = site.call("/charge/")
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0
    assert b"not_run" in response.body


def test_a_response_to_an_earlier_request_never_reaches_another_caller(site):
    """A response to an earlier request is skipped, since its request id differs."""

    def twice(request, connection):
        response = whole_answer(request.request_id, b"mine " + request.body)
        connection.sendall(whole_answer("0000", b"theirs") + response)

    start_with(site, twice)
    connection = site.connect()
    for number in range(3):
        body = b"%d" % number
        response = site.call("/look/", body=body, connection=connection)
        assert response.body == b"mine " + body


def test_bytes_after_a_response_are_not_taken_for_the_next_response(site):
    def trailing(request, connection):
        response = whole_answer(request.request_id, b"mine")
        connection.sendall(response + whole_answer(request.request_id, b"again"))

    endpoint = start_with(site, trailing)
    assert [site.call("/look/").body for _ in range(3)] == [b"mine"] * 3
    assert len(endpoint.requests) == 3


def test_a_response_without_a_length_is_complete_after_a_clean_close(site):
    def unframed(request, connection):
        head = f"HTTP/1.1 200 OK\r\nBilberryring-Request-Id: {request.request_id}\r\n"
        connection.sendall(f"{head}{STAMP_HEADER}\r\n\r\nall of it".encode())
        connection.shutdown(1)

    start_with(site, unframed)
    assert site.call("/look/").body == b"all of it"


def test_a_response_without_a_length_is_incomplete_after_a_reset(site):
    def unframed(request, connection):
        head = f"HTTP/1.1 200 OK\r\nBilberryring-Request-Id: {request.request_id}\r\n"
        connection.sendall(f"{head}{STAMP_HEADER}\r\n\r\npart of it".encode())
        pause(0.05)
        reset(connection)

    start_with(site, unframed)
    assert site.call("/charge/").status == 502


@pytest.mark.parametrize("cut_off", [b"id: 3\nda", None])
def test_a_stream_without_a_length_that_ends_inside_an_event_is_resumed(site, cut_off):
    """The second endpoint sends the rest; `None` stands for an end before any event."""

    def unframed(request, connection):
        first = int(request.headers.get("last-event-id") or 0) + 1
        is_cut = len(endpoint.requests) == 1 and first == 1
        head = f"HTTP/1.1 200 OK\r\nBilberryring-Request-Id: {request.request_id}\r\n"
        connection.sendall(f"{head}{STAMP_HEADER}\r\n\r\n".encode())
        if not is_cut:
            connection.sendall(b"".join(event(number) for number in range(first, 5)))
        elif cut_off is not None:
            connection.sendall(event(1) + event(2) + cut_off)
        pause(0.1)
        connection.shutdown(2)

    endpoint = start_with(site, unframed, service=MODEL_SERVICE)
    site.announce("b", endpoint.address, service=MODEL_SERVICE, zone="south")
    pause(0.3)
    response = site.call("/chat/")
    assert response.body == b"".join(event(number) for number in range(1, 5))
    assert len(endpoint.requests) == 2


def test_an_early_response_does_not_cut_a_long_request_body(site):
    """The whole body is sent, so the next request starts with its request line."""
    endpoint = start_with(site, answer_all)
    for size in (200_000, 3, 100_000):
        assert site.call("/look/", body=b"b" * size).status == 200
    assert [len(seen.body) for seen in endpoint.requests] == [200_000, 3, 100_000]


def stream_of(numbers, *, is_complete=True, partial=b""):
    def script(request, connection):
        connection.sendall(stream_head(request.request_id))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in numbers:
            if number >= first:
                connection.sendall(chunk(event(number)))
                pause(0.01)
        if partial:
            connection.sendall(chunk(partial))
            pause(0.05)
        if is_complete:
            connection.sendall(chunk(b""))
        else:
            reset(connection)

    return script


def test_a_stream_resumes_at_another_endpoint_after_the_last_complete_event(site):
    """The endpoint that breaks is the only one until it has the request."""
    has_request, may_break = threading.Event(), threading.Event()
    start = stream_of(range(1, 4), is_complete=False, partial=b"id: 4\nda")

    def broken(request, connection):
        has_request.set()
        may_break.wait(5.0)
        start(request, connection)

    site.add_endpoint("a", broken, service=MODEL_SERVICE)
    site.start_gateway()
    answers = []
    caller = threading.Thread(target=lambda: answers.append(site.call("/chat/")))
    caller.start()
    assert has_request.wait(5.0)
    other = site.add_endpoint("b", stream_of(range(1, 8)), service=MODEL_SERVICE)
    wait_until(
        lambda: any(
            line["endpoint"] == "b"
            for line in site.log_events(event="endpoint_standing_changed")
        ),
        3.0,
        "the other endpoint to be known",
    )
    may_break.set()
    caller.join()
    (answer,) = answers
    assert not answer.is_cut
    assert answer.body == b"".join(event(number) for number in range(1, 8))
    assert [seen.headers.get("last-event-id") for seen in other.requests] == ["3"]


def test_the_head_of_a_stream_that_broke_before_its_first_event_is_dropped(site):
    """The caller gets one response head, from the endpoint whose events follow."""

    def head_only(request, connection):
        connection.sendall(stream_head(request.request_id))
        pause(0.05)
        reset(connection)

    site.add_endpoint("a", head_only, service=MODEL_SERVICE)
    site.add_endpoint("b", stream_of(range(1, 3)), service=MODEL_SERVICE)
    site.start_gateway()
    for _ in range(3):
        response = site.call("/chat/")
        assert response.body == event(1) + event(2)
        assert response.headers["bilberryring-response-stamp"] == "s-1"


def test_a_cut_stream_never_looks_complete(site):
    broken = stream_of(range(1, 4), is_complete=False)
    start_with(site, broken, service=MODEL_SERVICE)
    response = site.call("/chat/")
    assert response.is_cut


def test_a_stream_is_cancelled_when_its_caller_disconnects(site):
    ended = threading.Event()

    def endless(request, connection):
        connection.sendall(stream_head(request.request_id))
        try:
            for number in range(1, 2_000):
                connection.sendall(chunk(event(number)))
                pause(0.01)
        except OSError:
            ended.set()

    start_with(site, endless, service=MODEL_SERVICE)
    caller = site.caller_socket()
    caller.sendall(
        b"POST /chat/ HTTP/1.1\r\nHost: site.example\r\nContent-Length: 1\r\n"
        b"Authorization: Bearer key-1\r\nBilberryring-Request-Id: r1\r\n"
        b"Bilberryring-Deadline-Ms: 4000\r\n\r\nx"
    )
    assert caller.recv(100)
    caller.close()
    assert ended.wait(0.5)


def test_a_stream_with_events_that_have_no_id_is_not_repeated(site):
    """Another attempt would begin again, and the caller would get events twice."""

    def without_ids(request, connection):
        connection.sendall(stream_head(request.request_id))
        connection.sendall(chunk(event(1)) + chunk(b"data: piece 2\n\n"))
        pause(0.05)
        reset(connection)

    endpoint = start_with(site, without_ids, service=MODEL_SERVICE)
    site.announce("b", endpoint.address, service=MODEL_SERVICE, zone="south")
    pause(0.3)
    response = site.call("/chat/")
    assert response.is_cut
    assert len(endpoint.requests) == 1
