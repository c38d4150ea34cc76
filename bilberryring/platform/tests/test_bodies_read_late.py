"""Endpoints that read a long body late: they are sound, and lose no request to it."""

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

ROUTE_MS = 20_000
PAUSE_SECONDS = 1.6
LONG_BODY = b"x" * 3_500_000


class LateReader:
    """An endpoint whose script is called before the body of a request is read."""

    def __init__(self, *, script):
        self._script = script
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.failures = []
        self.seen = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while line := stream.readline():
                headers = {}
                while (header := stream.readline().decode().strip()) != "":
                    name, _, value = header.partition(":")
                    headers[name.lower()] = value.strip()
                request_id = headers["bilberryring-request-id"]
                length = int(headers.get("content-length", "0"))
                self.seen.append(line)
                self._script(request_id, length, stream, connection)
        except OSError as error:
            self.failures.append(error)


@pytest.fixture
def late_site(site):
    routes = [
        make_route("/look/", "idempotent", PLAIN_SERVICE, timeout_ms=ROUTE_MS),
        make_route("/charge/", "non_idempotent", PLAIN_SERVICE, timeout_ms=ROUTE_MS),
    ]
    site.publish(make_configuration(2, routes=routes))
    return site


def start(site, script):
    endpoint = LateReader(script=script)
    site.announce("a", endpoint.address)
    site.start_gateway()
    return endpoint


@pytest.mark.parametrize("path", ["/charge/", "/look/"])
def test_an_endpoint_that_pauses_before_a_long_body_gets_all_of_it(late_site, path):
    def read_late(request_id, length, stream, connection):
        pause(PAUSE_SECONDS)
        n_read = len(stream.read(length))
        connection.sendall(whole_answer(request_id, b"%d" % n_read))

    endpoint = start(late_site, read_late)
    answer = late_site.call(
        path, body=LONG_BODY, Bilberryring_Deadline_Ms=str(ROUTE_MS)
    )
    assert (answer.status, answer.body, endpoint.failures) == (
        200,
        b"%d" % len(LONG_BODY),
        [],
    )


@pytest.mark.parametrize("path", ["/charge/", "/look/"])
def test_no_request_waits_behind_the_body_of_one_that_is_answered(late_site, path):
    """The endpoint answers before it has read the body, and reads it 3 s later."""

    def answer_first(request_id, length, stream, connection):
        connection.sendall(whole_answer(request_id, b"early"))
        if length > 1_000:
            pause(3.0)
        stream.read(length)

    endpoint = start(late_site, answer_first)
    assert late_site.call(path, body=LONG_BODY).status == 200
    answer = late_site.call(path, body=b"x", Bilberryring_Deadline_Ms="1500")
    assert (answer.status, answer.body) == (200, b"early")
    assert len(endpoint.seen) == 2
