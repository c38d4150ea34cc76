"""Calls of services whose method or path is unusual."""

import http.client
import json
import socket

import pytest

from bilberryring.testing.plan import SERVICE, workspace_key

CALLS_PATH = f"/v1/services/{SERVICE}/calls"


@pytest.fixture(scope="module")
def fleet(small_fleet):
    return small_fleet


def address(fleet):
    host, port = fleet.caller_address("entry-1").rsplit(":", 1)
    return host, int(port)


def headers(**more):
    return {"Authorization": f"Bearer {workspace_key('bars')}"} | more


@pytest.mark.parametrize("path", ["a%20b", "a%0D%0AX-Y:%20z", "caf%C3%A9", "a%3Fb"])
def test_a_booking_runs_whatever_characters_its_path_has(fleet, path):
    ticket = fleet.caller("entry-1", "bars").request_ticket(SERVICE).body["ticket"]
    connection = http.client.HTTPConnection(*address(fleet), timeout=10.0)
    body = json.dumps({"reference": path})
    connection.request(
        "POST", f"{CALLS_PATH}/{path}", body, headers(**{"Idempotency-Key": ticket})
    )
    assert connection.getresponse().status == 201
    assert fleet.effects()[path] == 1


@pytest.mark.parametrize(
    "line",
    [f"GET {CALLS_PATH}/%ff", f"G\xe9T {CALLS_PATH}/look", f"G@T {CALLS_PATH}/x"],
)
def test_a_method_or_path_that_is_no_text_is_refused_as_not_run(fleet, line):
    fields = "\r\n".join(f"{name}: {text}" for name, text in headers().items())
    with socket.create_connection(address(fleet), timeout=10.0) as caller:
        caller.sendall(
            f"{line} HTTP/1.1\r\nHost: e\r\n{fields}\r\n\r\n".encode("latin-1")
        )
        answer = caller.recv(65_536)
    assert answer.startswith(b"HTTP/1.1 4")
    assert b"not_run" in answer
    assert not [
        line
        for line in fleet.log_events("entry-1")
        if line["event"] == "internal_fault"
    ]
