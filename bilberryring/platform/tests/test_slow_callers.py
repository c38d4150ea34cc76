"""Callers that read slowly, and the endpoints' connections that they hold back."""

import pytest

from bilberryring.gateway.endpoint_slices import SETTLE_SECONDS
from bilberryring.standins.gateway_site import (
    MODEL_SERVICE,
    make_configuration,
    make_route,
    read_answer,
    request_headers,
)
from bilberryring.standins.scripted_endpoint import (
    answer_all,
    chunk,
    event,
    stream_head,
)
from bilberryring.testing.processes import pause

BLOCK = b"id: 1\ndata: " + b"x" * 700_000 + b"\n\n"
N_BLOCKS = 8


def stream_or_answer(request, connection):
    """Send a long stream whose last event ends with the stream, or a short answer."""
    if request.target != "/chat/":
        answer_all(request, connection)
        return
    connection.sendall(stream_head(request.request_id))
    for _ in range(N_BLOCKS - 1):
        connection.sendall(chunk(BLOCK))
    connection.sendall(chunk(BLOCK) + chunk(b""))


@pytest.mark.parametrize("path", ["/look/", "/charge/"])
def test_a_connection_that_a_slow_caller_held_back_serves_the_next_request(site, path):
    routes = [
        make_route("/look/", "idempotent", MODEL_SERVICE, attempts=1),
        make_route("/charge/", "non_idempotent", MODEL_SERVICE),
        make_route("/chat/", "streaming", MODEL_SERVICE),
    ]
    site.publish(make_configuration(2, routes=routes))
    endpoint = site.add_endpoint("a", stream_or_answer, service=MODEL_SERVICE)
    site.start_gateway()
    # Before that a gateway starts few requests on each endpoint.
    pause(SETTLE_SECONDS)
    for _ in range(4):
        connection = site.connect()
        connection.request("POST", "/chat/", b"x", request_headers())
        pause(0.3)
        assert read_answer(connection).body == BLOCK * N_BLOCKS
        assert site.call(path).status == 200
    assert len(endpoint.requests) == 8


def test_a_stream_after_one_that_a_slow_caller_held_back_is_whole(site):
    def script(request, connection):
        if len(endpoint.requests) % 2:
            stream_or_answer(request, connection)
            return
        connection.sendall(stream_head(request.request_id))
        connection.sendall(chunk(event(1)) + chunk(b""))

    endpoint = site.add_endpoint("a", script, service=MODEL_SERVICE)
    site.start_gateway()
    # Before that a gateway starts few requests on each endpoint.
    pause(SETTLE_SECONDS)
    for _ in range(4):
        connection = site.connect()
        connection.request("POST", "/chat/", b"x", request_headers())
        pause(0.3)
        assert read_answer(connection).body == BLOCK * N_BLOCKS
        assert site.call("/chat/").body == event(1)
