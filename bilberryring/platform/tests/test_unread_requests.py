"""Endpoints that pause before they have read a request, and hosts that are stopped."""

import contextlib
import os
import socket
import threading

import pytest

from bilberryring.standins.gateway_site import (
    PLAIN_SERVICE,
    make_configuration,
    make_route,
)
from bilberryring.standins.scripted_endpoint import whole_answer
from bilberryring.testing.processes import pause

BODY_BYTES = 12 * 1024 * 1024


class LateReader:
    """Reads the head of a request, pauses, and reads the body then."""

    def __init__(self, *, seconds):
        self._seconds = seconds
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(8)
        self.n_read = 0
        self.n_requests = 0
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def _accept(self):
        while True:
            connection, _ = self._listener.accept()
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with contextlib.suppress(OSError), connection:
            stream = connection.makefile("rb")
            headers = {}
            while line := stream.readline().decode("latin-1").strip():
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            self.n_requests += 1
            pause(self._seconds)
            self.n_read = len(stream.read(int(headers["content-length"])))
            request_id = headers["bilberryring-request-id"]
            connection.sendall(whole_answer(request_id, b"ok"))


@pytest.mark.parametrize("path", ["/look/", "/charge/"])
@pytest.mark.parametrize("seconds", [1.2, 2.2, 3.5])
def test_a_large_body_is_read_by_an_endpoint_that_pauses_before_it(site, path, seconds):
    routes = [
        make_route("/look/", "idempotent", PLAIN_SERVICE, timeout_ms=9_000),
        make_route("/charge/", "non_idempotent", PLAIN_SERVICE, timeout_ms=9_000),
    ]
    limits = {"max_body_bytes": 16 * 1024 * 1024}
    site.publish(make_configuration(2, routes=routes, limits=limits))
    endpoint = LateReader(seconds=seconds)
    site.announce("a", endpoint.address)
    site.start_gateway()
    answer = site.call(
        path, body=os.urandom(BODY_BYTES), Bilberryring_Deadline_Ms="9000"
    )
    assert answer.status == 200
    assert endpoint.n_read == BODY_BYTES
    assert endpoint.n_requests == 1
