"""Ends without a mark of sound endpoints that accept no connection for a moment."""

import socket
import threading

import pytest

from bilberryring.standins.gateway_site import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    make_configuration,
)
from bilberryring.standins.scripted_endpoint import STAMP_HEADER
from bilberryring.testing.processes import pause
from bilberryring.testing.unmarked_streams import (
    GRACE_SECONDS,
    WHOLE,
    FirstThenOthers,
    call,
    call_over_a_stop,
    last_record,
    send_half_unmarked,
    send_unmarked,
)

SHORT_SECONDS = 0.2
LONG_SECONDS = 2.0
"""A time that is longer than any check of an endpoint."""
BODY = b"whole"


def assert_whole(answer):
    assert (answer.status, answer.body, answer.is_cut) == (200, WHOLE, False)


def be_silent(request, connection):
    pause(GRACE_SECONDS + 2.0)


def send_body_unmarked(request, connection):
    head = f"HTTP/1.1 200 OK\r\nBilberryring-Request-Id: {request.request_id}\r\n"
    connection.sendall(f"{head}{STAMP_HEADER}\r\n\r\n".encode() + BODY)
    connection.shutdown(socket.SHUT_WR)


def add_busy_endpoints(site, first, later, *, seconds, service=MODEL_SERVICE):
    """Add two endpoints and return their script.

    The one that gets the first request accepts no connection while it answers and for
    some seconds.
    """
    endpoints = {}

    def answer(request, connection):
        endpoint = endpoints[request.headers["bilberryring-target-instance"]]
        endpoint.hold_connections()
        timer = threading.Timer(seconds, endpoint.resume_connections)
        timer.daemon = True
        timer.start()
        first(request, connection)

    script = FirstThenOthers(answer, later)
    for name in "ab":
        endpoints[name] = site.add_endpoint(name, script, service=service)
    return script


def test_a_stream_of_a_busy_endpoint_is_not_left_without_its_confirmed_end_mark(
    make_stream_site,
):
    site = make_stream_site()
    script = add_busy_endpoints(
        site, send_unmarked, send_unmarked, seconds=LONG_SECONDS
    )
    site.start_gateway()
    assert_whole(call(site))
    assert len(script.requests) == 2


def test_a_stream_of_a_busy_endpoint_is_not_cut_at_the_end_of_a_stop(make_stream_site):
    """The other endpoint, which is to confirm its end, is silent until then."""
    site = make_stream_site()
    script = add_busy_endpoints(site, send_unmarked, be_silent, seconds=SHORT_SECONDS)
    site.start_gateway()
    assert_whole(call_over_a_stop(site, script, sent_before=0.0))


def test_a_body_of_a_busy_endpoint_is_not_replaced_by_a_failure(make_stream_site):
    site = make_stream_site()
    site.publish(make_configuration(2))
    script = add_busy_endpoints(
        site,
        send_body_unmarked,
        be_silent,
        seconds=SHORT_SECONDS,
        service=PLAIN_SERVICE,
    )
    site.start_gateway()
    answer = site.call("/charge/")
    assert (answer.status, answer.body) == (200, BODY)
    assert len(script.requests) == 1


@pytest.mark.parametrize("first", [send_unmarked, send_half_unmarked])
def test_a_stream_of_an_endpoint_that_cannot_be_reached_has_no_unproven_end_mark(
    make_stream_site, first
):
    site = make_stream_site()
    add_busy_endpoints(site, first, send_unmarked, seconds=LONG_SECONDS)
    site.start_gateway()
    answer = call(site, "/alone/")
    assert answer.is_cut
    assert last_record(site)["delivered"] != "whole"
