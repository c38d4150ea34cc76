"""Requests whose endpoints are silent until the end of a planned stop."""

import pytest

from bilberryring.standins.gateway_site import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    make_configuration,
    make_route,
    read_answer,
    request_headers,
)
from bilberryring.testing.processes import pause


@pytest.mark.parametrize("path", ["/look/", "/chat/", "/charge/"])
@pytest.mark.parametrize("delay", [0.0, 2.5])
def test_a_request_that_hangs_until_the_end_of_a_stop_gets_an_answer(site, path, delay):
    """Its endpoint is silent; the grace ends before the deadline."""
    service = MODEL_SERVICE if path == "/chat/" else PLAIN_SERVICE
    routes = [
        make_route("/look/", "idempotent", PLAIN_SERVICE, timeout_ms=10_000),
        make_route("/charge/", "non_idempotent", PLAIN_SERVICE, timeout_ms=10_000),
        make_route("/chat/", "streaming", MODEL_SERVICE, timeout_ms=10_000),
    ]
    site.publish(make_configuration(2, routes=routes))
    endpoint = site.add_endpoint("a", lambda *request: None, service=service)
    site.start_gateway()
    connection = site.connect()
    site.process("gateway-1").terminate()
    pause(delay)
    headers = request_headers() | {"Bilberryring-Deadline-Ms": "10000"}
    connection.request("POST", path, b"x", headers)
    answer = read_answer(connection)
    assert answer.status >= 500
    assert (answer.status == 503) == (not endpoint.requests)
