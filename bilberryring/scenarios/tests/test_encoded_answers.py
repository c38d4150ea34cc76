"""Answers that a service encodes although the sidecar did not offer to accept that."""

import gzip
import http.client

import pytest

from bilberryring.scenarios.tests.test_lost_answers import READ_SECONDS, Scripted
from bilberryring.standins.scripted_endpoint import chunk
from bilberryring.testing.plan import SERVICE, workspace_key

BODY = b'{"reference": "one"}' * 500
ENCODED = gzip.compress(BODY)
HEAD = b"HTTP/1.1 201 Created\r\nContent-Type: application/json\r\n"
FRAMINGS = {
    "length": HEAD + b"%s" + b"Content-Length: %d\r\n\r\n" % len(ENCODED) + ENCODED,
    "chunks": HEAD
    + b"%s"
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + chunk(ENCODED)
    + chunk(b""),
}
ENCODINGS = {
    "one line": (b"Content-Encoding: gzip\r\n", "gzip"),
    "two lines": (
        b"Content-Encoding: identity\r\nContent-Encoding: gzip\r\n",
        "identity, gzip",
    ),
    "none": (b"", None),
}
PATH = f"/v1/services/{SERVICE}/calls/bookings"


@pytest.fixture(scope="module")
def scripted():
    scripted = Scripted()
    try:
        yield scripted.start()
    finally:
        scripted.stop()


def ask(scripted, *, ticket=""):
    """Look up, or with a ticket book; return the response and its body."""
    address = scripted.fleet.caller_address("entry-1")
    connection = http.client.HTTPConnection(address, timeout=READ_SECONDS)
    headers = {"Authorization": f"Bearer {workspace_key('bars')}"}
    if ticket:
        headers["Idempotency-Key"] = ticket
    connection.request("POST" if ticket else "GET", PATH, headers=headers)
    response = connection.getresponse()
    return response, response.read()


def take_ticket(scripted):
    caller = scripted.fleet.caller("entry-1", "bars")
    return caller.request_ticket(SERVICE).body["ticket"]


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("encoding", ENCODINGS)
@pytest.mark.parametrize("is_booking", [False, True], ids=["look-up", "booking"])
def test_an_encoded_answer_is_named_as_such(scripted, framing, encoding, is_booking):
    line, expected = ENCODINGS[encoding]
    answer = FRAMINGS[framing].replace(b"%s", line, 1)
    scripted.service.set_script(lambda request, connection: connection.sendall(answer))
    ticket = take_ticket(scripted) if is_booking else ""
    for is_replayed in (False, True)[: 1 + is_booking]:
        response, body = ask(scripted, ticket=ticket)
        assert (response.status, body) == (201, ENCODED)
        assert response.getheader("content-encoding") == expected
        assert (response.getheader("x-bilberryring-replayed") == "true") == is_replayed
    assert "accept-encoding" not in scripted.service.requests[-1].headers
