"""A request is not sent on an idle connection that its endpoint has closed."""

import pytest

from bilberryring.standins.gateway_site import read_answer, request_headers
from bilberryring.standins.scripted_endpoint import whole_answer
from bilberryring.testing.processes import pause


@pytest.mark.parametrize("path", ["/charge/", "/look/"])
@pytest.mark.parametrize("is_request_first", [True, False])
def test_an_idle_connection_that_closed_while_the_gateway_was_suspended_is_not_used(
    site, path, is_request_first
):
    def answer(request, connection):
        connection.sendall(whole_answer(request.request_id, b"ok"))

    endpoint = site.add_endpoint("a", answer)
    site.start_gateway()
    callers = [site.connect() for _ in range(2)]
    for caller in callers:
        assert site.call("/look/", connection=caller).status == 200
    n_seen = len(endpoint.requests)
    process = site.process("gateway-1")
    process.suspend()

    def send():
        callers[0].request("POST", path, b"x", request_headers())
        pause(0.05)

    if is_request_first:
        send()
    for connection in endpoint.connections:
        connection.shutdown(2)
    pause(0.05)
    if not is_request_first:
        send()
    process.resume()
    answer = read_answer(callers[0])
    assert (answer.status, len(endpoint.requests) - n_seen) == (200, 1)
