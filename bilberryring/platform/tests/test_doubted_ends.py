"""Streams that end with their connection and are not whole, or may not be.

An end in order is not believed if something speaks against it. No caller may take a
part of a stream for the whole.
"""

import contextlib
import socket
import time

import pytest

from bilberryring.standins.gateway_site import MODEL_SERVICE
from bilberryring.standins.scripted_endpoint import (
    chunk,
    event,
    reset,
    stream_head,
    unmarked_stream_head,
)
from bilberryring.testing.processes import pause
from bilberryring.testing.unmarked_streams import (
    EVENTS,
    GRACE_SECONDS,
    WHOLE,
    add_endpoints,
    call,
    last_record,
    send_half_unmarked,
    send_unmarked,
)

DEADLINE_HEADER = "bilberryring-deadline-ms"
MS_PER_SECOND = 1_000


def send_until_the_deadline(request, connection):
    """Send events without end until the deadline that came, and close in order."""
    seconds = int(request.headers[DEADLINE_HEADER]) / MS_PER_SECOND
    ends_at = time.monotonic() + seconds
    number = int(request.headers.get("last-event-id") or 0)
    connection.sendall(unmarked_stream_head(request.request_id))
    while (seconds_left := ends_at - time.monotonic()) > 0.0:
        number += 1
        connection.sendall(event(number))
        pause(min(0.1, seconds_left))
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_WR)


@pytest.mark.parametrize("names", ["a", "ab"])
def test_a_stream_that_its_endpoint_ends_at_its_deadline_has_no_end_mark(
    make_stream_site, names
):
    site = make_stream_site()
    add_endpoints(site, send_until_the_deadline, send_until_the_deadline, names)
    site.start_gateway()
    answer = site.call("/chat/", Bilberryring_Deadline_Ms="1500")
    assert answer.is_cut, last_record(site)


@pytest.mark.parametrize("path", ["/once/", "/look/"])
def test_an_answer_that_its_endpoint_ends_at_its_deadline_is_not_passed_off_as_whole(
    make_stream_site, path
):
    site = make_stream_site()
    add_endpoints(site, send_until_the_deadline, send_until_the_deadline, "a")
    site.start_gateway()
    answer = site.call(path, Bilberryring_Deadline_Ms="1500")
    assert answer.is_cut or answer.status >= 500, last_record(site)


def test_a_stream_that_its_endpoint_ends_at_the_deadline_of_a_stop_has_no_end_mark(
    make_stream_site,
):
    """What is sent during a stop is sent with a deadline before its end."""
    site = make_stream_site()
    add_endpoints(site, send_until_the_deadline, send_until_the_deadline)
    site.start_gateway()
    process = site.process("gateway-1")
    process.terminate()
    pause(0.5)
    answer = site.call("/chat/", Bilberryring_Deadline_Ms="9900")
    assert process.wait(GRACE_SECONDS) == 0
    assert (answer.status, answer.is_cut) == (200, True), last_record(site)


def test_two_endpoints_that_end_at_their_deadline_do_not_complete_a_stream(
    make_stream_site,
):
    site = make_stream_site()

    def fall_silent(request, connection):
        connection.sendall(stream_head(request.request_id))
        connection.sendall(chunk(b"".join(EVENTS[:15])))
        pause(8.0)

    def send_nothing(request, connection):
        connection.sendall(unmarked_stream_head(request.request_id))
        pause(int(request.headers[DEADLINE_HEADER]) / MS_PER_SECOND)
        connection.shutdown(socket.SHUT_WR)

    script = add_endpoints(site, fall_silent, send_nothing, "abc")
    site.start_gateway()
    answer = site.call("/three/", Bilberryring_Deadline_Ms="6000")
    assert len(script.requests) == 3
    assert answer.is_cut, last_record(site)


def begin_an_event(request, connection):
    last = int(request.headers["last-event-id"])
    part = event(last + 1)[:-4]
    connection.sendall(unmarked_stream_head(request.request_id) + part)
    pause(4.0)


def begin_an_event_and_fail(request, connection):
    last = int(request.headers["last-event-id"])
    part = chunk(event(last + 1)[:-4])
    connection.sendall(stream_head(request.request_id) + part + b"zz\r\n")
    pause(0.5)


@pytest.mark.parametrize(
    "later",
    [begin_an_event, begin_an_event_and_fail],
    ids=lambda script: script.__name__,
)
def test_a_stream_of_which_another_endpoint_has_begun_more_has_no_end_mark(
    make_stream_site, later
):
    site = make_stream_site()
    add_endpoints(site, send_half_unmarked, later)
    site.start_gateway()
    answer = site.call("/chat/", Bilberryring_Deadline_Ms="3000")
    assert answer.is_cut, last_record(site)


@pytest.mark.parametrize("seconds", [0.0, 0.05])
def test_a_stream_whose_leaving_endpoint_exits_around_its_end_has_no_end_mark(
    make_stream_site, seconds
):
    """Its listener may be closed some time after its streams."""
    site = make_stream_site()
    endpoints = []

    def leave(request, connection):
        connection.sendall(unmarked_stream_head(request.request_id) + EVENTS[0])
        site.announce(
            "a",
            endpoints[0].address,
            service=MODEL_SERVICE,
            state="draining",
            sequence=2,
        )
        site.wait_for_standing("a", "leaving")
        connection.shutdown(socket.SHUT_WR)
        pause(seconds)
        endpoints[0].stop_listening()

    endpoints.append(site.add_endpoint("a", leave, service=MODEL_SERVICE))
    site.start_gateway()
    answer = call(site)
    assert answer.is_cut, last_record(site)


def test_a_whole_stream_of_a_leaving_endpoint_that_serves_on_has_its_end_mark(
    make_stream_site,
):
    """There is no other endpoint, as beside a replacement of all of them."""
    site = make_stream_site()
    endpoints = []

    def leave(request, connection):
        site.announce(
            "a",
            endpoints[0].address,
            service=MODEL_SERVICE,
            state="draining",
            sequence=2,
        )
        site.wait_for_standing("a", "leaving")
        send_unmarked(request, connection)

    endpoints.append(site.add_endpoint("a", leave, service=MODEL_SERVICE))
    site.start_gateway()
    answer = call(site)
    assert (answer.body, answer.is_cut) == (WHOLE, False), last_record(site)


@pytest.mark.parametrize("path", ["/chat/", "/once/"])
@pytest.mark.parametrize("tail", [b": bye\n", b"\n"], ids=["comment", "blank line"])
def test_the_bytes_after_the_last_event_of_a_stream_reach_its_caller(
    make_stream_site, tail, path
):
    site = make_stream_site()

    def send_with_tail(request, connection):
        connection.sendall(unmarked_stream_head(request.request_id) + WHOLE + tail)
        connection.shutdown(socket.SHUT_WR)

    add_endpoints(site, send_with_tail, send_with_tail, "a")
    site.start_gateway()
    answer = call(site, path)
    assert (answer.body, answer.is_cut) == (WHOLE + tail, False)


@pytest.mark.parametrize("path", ["/chat/", "/three/"])
def test_a_whole_stream_after_an_endpoint_that_sent_nothing_has_its_end_mark(
    make_stream_site, path
):
    site = make_stream_site()

    def break_off_after_the_head(request, connection):
        connection.sendall(unmarked_stream_head(request.request_id))
        pause(0.2)
        reset(connection)

    add_endpoints(site, break_off_after_the_head, send_unmarked)
    site.start_gateway()
    answer = call(site, path)
    assert (answer.body, answer.is_cut) == (WHOLE, False), last_record(site)


def test_a_whole_stream_that_ends_shortly_before_its_deadline_has_its_end_mark(
    make_stream_site,
):
    site = make_stream_site()
    seconds = 1.5

    def answer(request, connection):
        send_unmarked(request, connection, seconds=seconds - 0.2)

    add_endpoints(site, answer, send_unmarked)
    site.start_gateway()
    deadline_ms = str(int(seconds * MS_PER_SECOND))
    answer = site.call("/chat/", Bilberryring_Deadline_Ms=deadline_ms)
    assert (answer.body, answer.is_cut) == (WHOLE, False), last_record(site)
