"""Connections to hosts that do not answer, and what is no fault of the gateway."""

import socket
from concurrent.futures import ThreadPoolExecutor

import pytest

from bilberryring.standins.gateway_site import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    request_headers,
)
from bilberryring.standins.scripted_endpoint import chunk, event, stream_head
from bilberryring.testing.processes import pause, wait_until

WHOLE_STREAM = event(1) + event(2)


def pause_inside(request, connection, *, seconds):
    """Send two events, silent for a while between them."""
    connection.sendall(stream_head(request.request_id) + chunk(event(1)))
    pause(seconds)
    connection.sendall(chunk(event(2)) + chunk(b""))


class FullHost:
    """Listens, but lets no connection open, as a host that does not answer."""

    def __init__(self):
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self._waiting = []
        for _ in range(4):
            waiting = socket.socket()
            waiting.setblocking(False)
            waiting.connect_ex(self._listener.getsockname())
            self._waiting.append(waiting)

    @property
    def address(self):
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def close(self):
        for item in (*self._waiting, self._listener):
            item.close()


@pytest.fixture
def full_host():
    host = FullHost()
    yield host
    host.close()


@pytest.mark.parametrize("path", ["/look/", "/chat/", "/charge/"])
def test_a_caller_that_leaves_while_a_connection_opens_is_no_internal_fault(
    site, full_host, path
):
    service = MODEL_SERVICE if path == "/chat/" else PLAIN_SERVICE
    site.announce("a", full_host.address, service=service)
    site.start_gateway()
    connection = site.connect()
    connection.request("POST", path, b"x", request_headers())
    pause(0.2)
    connection.close()
    wait_until(
        lambda: site.log_events(1, "caller_left"), 1.0, "the record of the caller"
    )
    pause(0.7)
    assert not site.log_events(1, "internal_fault")
    assert not site.log_events(1, "request_failed")


def test_an_endpoint_that_goes_on_while_a_second_connection_opens_is_no_fault(
    site, full_host
):
    def script(request, connection):
        pause_inside(request, connection, seconds=1.25)

    first = site.add_endpoint("a", script, service=MODEL_SERVICE)
    site.start_gateway()
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(site.call, "/chat/")
        wait_until(lambda: first.requests, 2.0, "the request")
        site.announce("b", full_host.address, service=MODEL_SERVICE)
        answer = answer.result()
    assert answer.body == WHOLE_STREAM
    assert site.log_events(1, "attempt_silent")
    pause(0.7)
    assert not site.log_events(1, "internal_fault")
