"""Answers to bookings that nobody awaits any more."""

import pytest

from bilberryring.platform.tests.test_second_attempts import memory_bytes
from bilberryring.standins.endless_answers import (
    MAX_SENT_BYTES,
    Endless,
    unending_body,
)
from bilberryring.standins.gateway_site import request_headers
from bilberryring.standins.scripted_endpoint import answer_all, whole_answer
from bilberryring.testing.processes import pause, wait_until

DEADLINE_MS = "300"
LATE_SECONDS = 0.8


def unstamped_body(request):
    head = f"HTTP/1.1 200 OK\r\nBilberryring-Request-Id: {request.request_id}\r\n\r\n"
    return head.encode()


def late_body(request):
    pause(LATE_SECONDS)
    return unending_body(request)


def book_and_leave(site, endpoint):
    connection = site.connect()
    connection.request("POST", "/charge/", b"x", request_headers())
    wait_until(lambda: endpoint.requests, 2.0, "the request")
    connection.close()


def book_until_deadline(site, endpoint):
    answer = site.call("/charge/", Bilberryring_Deadline_Ms=DEADLINE_MS)
    assert answer.status == 504


def book(site, endpoint):
    assert site.call("/charge/").status == 502


@pytest.mark.parametrize(
    ("prefix", "act"),
    [
        (late_body, book_and_leave),
        (late_body, book_until_deadline),
        (unstamped_body, book),
    ],
    ids=["caller left", "deadline", "unstamped"],
)
def test_an_answer_without_end_that_nobody_awaits_is_not_kept(site, prefix, act):
    endless = Endless(prefix)
    endpoint = site.add_endpoint("a", endless)
    site.start_gateway()
    before = memory_bytes(site.process("gateway-1"))
    act(site, endpoint)
    assert endless.is_closed.wait(10.0)
    assert endless.sent < MAX_SENT_BYTES
    assert memory_bytes(site.process("gateway-1")) - before < MAX_SENT_BYTES / 4


def test_a_connection_whose_answer_nobody_awaited_is_used_again(site):
    def answer_late(request, connection):
        pause(LATE_SECONDS)
        connection.sendall(whole_answer(request.request_id, b"late"))

    endpoint = site.add_endpoint("a", answer_late)
    site.start_gateway()
    book_until_deadline(site, endpoint)
    endpoint.set_script(answer_all)
    pause(LATE_SECONDS + 0.1)
    answer = site.call("/look/")
    assert (answer.status, answer.body) == (200, b"ok x")
    assert len(endpoint.connections) == 1
