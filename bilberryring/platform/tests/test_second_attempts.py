"""A second attempt beside a silent one: floods, hosts that do not answer, stops."""

import contextlib
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from bilberryring.standins.endless_answers import MAX_SENT_BYTES, Endless
from bilberryring.standins.gateway_site import (
    MODEL_SERVICE,
    make_configuration,
    make_route,
    request_headers,
)
from bilberryring.standins.scripted_endpoint import (
    answer_all,
    chunk,
    event,
    reset,
    stream_head,
    whole_answer,
)
from bilberryring.testing.processes import pause, wait_until

WHOLE_STREAM = event(1) + event(2)
LONG_SECONDS = 14
"""Seconds within which what a test waits for happens on a busy machine, too."""
COMMENTS = b": wait\n\n" * 4_096


def pause_inside(request, connection, *, seconds):
    """Send two events, silent for a while between them."""
    connection.sendall(stream_head(request.request_id) + chunk(event(1)))
    pause(seconds)
    connection.sendall(chunk(event(2)) + chunk(b""))


def memory_bytes(process):
    """Return the resident memory of a process."""
    with open(f"/proc/{process.process_id}/statm") as figures:
        return int(figures.read().split()[1]) * 4_096


def test_endless_comments_of_a_second_endpoint_are_cut_off(site):
    """The first endpoint goes on some time after the second has begun."""
    has_begun = threading.Event()

    def begin(request):
        has_begun.set()
        return stream_head(request.request_id)

    def script(request, connection):
        connection.sendall(stream_head(request.request_id) + chunk(event(1)))
        has_begun.wait(LONG_SECONDS)
        pause(2.0)
        connection.sendall(chunk(event(2)) + chunk(b""))

    route = make_route(
        "/chat/", "streaming", MODEL_SERVICE, timeout_ms=1_000 * LONG_SECONDS
    )
    site.publish(make_configuration(2, routes=[route]))
    endless = Endless(begin, chunk(COMMENTS))
    first = site.add_endpoint("a", script, service=MODEL_SERVICE)
    site.start_gateway()
    before = memory_bytes(site.process("gateway-1"))
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(
            site.call,
            "/chat/",
            Bilberryring_Deadline_Ms=str(1_000 * LONG_SECONDS),
        )
        wait_until(lambda: first.requests, LONG_SECONDS, "the request")
        site.add_endpoint("b", endless, service=MODEL_SERVICE)
        answer = answer.result()
    assert answer.body == WHOLE_STREAM
    assert endless.sent
    assert endless.sent < MAX_SENT_BYTES
    assert memory_bytes(site.process("gateway-1")) - before < MAX_SENT_BYTES / 4


def test_the_gateway_answers_others_while_a_second_endpoint_sends_comments(site):
    def script(request, connection):
        pause_inside(request, connection, seconds=2.6)

    endless = Endless(lambda request: stream_head(request.request_id), chunk(COMMENTS))
    first = site.add_endpoint("a", script, service=MODEL_SERVICE)
    site.add_endpoint("c", answer_all)
    site.start_gateway()
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(site.call, "/chat/")
        wait_until(lambda: first.requests, 2.0, "the request")
        site.add_endpoint("b", endless, service=MODEL_SERVICE)
        wait_until(lambda: endless.sent, 2.5, "the second attempt")
        pause(0.5)
        others = [site.call("/look/", Bilberryring_Deadline_Ms="500") for _ in range(8)]
        answer.result()
    assert [other.status for other in others] == [200] * 8


def test_a_refusal_by_the_second_endpoint_is_not_the_answer_when_the_first_breaks(site):
    """A promise that nothing ran would be wrong: the first endpoint had the request."""

    def break_late(request, connection):
        pause(2.0)
        reset(connection)

    def refuse(request, connection):
        extra = "Bilberryring-Not-Executed: 1"
        connection.sendall(
            whole_answer(request.request_id, b"", status="503 Busy", extra=extra)
        )

    first = site.add_endpoint("a", break_late)
    site.start_gateway()
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(site.call, "/look/")
        wait_until(lambda: first.requests, 2.0, "the request")
        second = site.add_endpoint("b", refuse)
        answer = answer.result()
    assert len(second.requests) == 1
    assert answer.status == 502


@pytest.mark.parametrize("kind", ["silent", "starting"])
def test_a_caller_that_leaves_a_stream_ends_all_its_runs_at_once(site, kind):
    closed = []

    def hang(request, connection):
        if kind == "starting":
            connection.sendall(stream_head(request.request_id) + chunk(b": wait\n\n"))
        connection.settimeout(3.0)
        with contextlib.suppress(ConnectionResetError):
            assert connection.recv(1) == b""
        closed.append(request)

    first = site.add_endpoint("a", hang, service=MODEL_SERVICE)
    site.start_gateway()
    connection = site.connect()
    connection.request("POST", "/chat/", b"x", request_headers())
    wait_until(lambda: first.requests, 2.0, "the request")
    second = site.add_endpoint("b", hang, service=MODEL_SERVICE)
    wait_until(lambda: second.requests, 2.5, "the second attempt")
    pause(0.1)
    connection.close()
    wait_until(lambda: len(closed) == 2, 0.5, "the end of both runs")
    pause(0.6)
    assert len(first.requests) + len(second.requests) == 2
