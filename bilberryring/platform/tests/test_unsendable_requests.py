"""Requests that HTTP does not allow to be passed on to an endpoint."""

import pytest

from bilberryring.standins.gateway_site import request_headers
from bilberryring.standins.scripted_endpoint import answer_all

N_CALLS = 12
UNSENDABLE = {
    "value_with_vertical_tab": ("/look/", "X-Other: a\x0bb"),
    "value_with_form_feed": ("/charge/", "X-Other: a\x0cb"),
    "event_id_with_vertical_tab": ("/look/", "Last-Event-Id: a\x0bb"),
    "two_hosts": ("/look/", "Host: site.example"),
    "target_with_delete": ("/look/\x7f", "X-Other: a"),
}


def send_raw(site, path, header):
    """Send a request with one more header; return the status of its answer."""
    lines = [f"POST {path} HTTP/1.1", header, "Content-Length: 1"]
    lines += [f"{name}: {value}" for name, value in request_headers().items()]
    with site.caller_socket() as caller:
        caller.sendall("\r\n".join([*lines, "", "x"]).encode("latin-1"))
        return int(caller.recv(4_096).split()[1])


@pytest.mark.parametrize("case", UNSENDABLE)
def test_a_request_that_cannot_be_passed_on_keeps_no_connection(site, case):
    endpoint = site.add_endpoint("a", answer_all)
    site.start_gateway()
    assert [send_raw(site, *UNSENDABLE[case]) for _ in range(N_CALLS)] == [
        400
    ] * N_CALLS
    assert len(endpoint.connections) <= 1
    assert not endpoint.requests
    assert not site.log_events(event="internal_fault")
    codes = [line["code"] for line in site.log_events(event="request_failed")]
    assert codes == ["request_malformed"] * N_CALLS


def test_a_host_that_concerns_one_connection_is_passed_on(site):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    assert send_raw(site, "/look/", "Connection: host, x-other") == 200
