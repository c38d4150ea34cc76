"""How an impatient caller of a soak reads a stream."""

import http.client

import pytest

from bilberryring.standins.gateway_site import request_headers
from bilberryring.standins.scripted_endpoint import (
    ScriptedEndpoint,
    chunk,
    event,
    reset,
    stream_head,
    whole_answer,
)
from bilberryring.testing.processes import pause
from bilberryring.testing.soak_callers import read_stream

PATIENCE_SECONDS = 0.5
FIRST = chunk(event(1))
END = chunk(b"")


def read(script):
    """Return the answer that an endpoint with a script gives, and if it was left."""
    endpoint = ScriptedEndpoint(script=script)
    try:
        connection = http.client.HTTPConnection(endpoint.address, timeout=5.0)
        connection.request("POST", "/chat/", b"x", request_headers())
        return read_stream(connection, patience=PATIENCE_SECONDS)
    finally:
        endpoint.close()


def send(request, connection, *pieces, interval=0.0):
    for piece in (stream_head(request.request_id), *pieces):
        connection.sendall(piece)
        pause(interval)


@pytest.mark.parametrize(
    "pieces, body", [((), b""), ((FIRST,), event(1))], ids=["no event", "one event"]
)
def test_a_caller_leaves_after_a_silence_with_what_it_got(pieces, body):
    def script(request, connection):
        send(request, connection, *pieces)
        pause(4 * PATIENCE_SECONDS)

    answer, has_given_up = read(script)
    assert has_given_up
    assert (answer.status, answer.body, answer.is_cut) == (200, body, True)


def test_a_caller_leaves_when_not_even_a_head_arrives():
    answer, has_given_up = read(lambda *_: pause(4 * PATIENCE_SECONDS))
    assert has_given_up and answer.status == 0


def test_a_caller_waits_for_events_that_come_in_time():
    pieces = (*(chunk(event(number)) for number in range(1, 6)), END)
    interval = 0.3 * PATIENCE_SECONDS
    answer, has_given_up = read(lambda *call: send(*call, *pieces, interval=interval))
    assert not has_given_up and not answer.is_cut
    assert answer.body == b"".join(event(number) for number in range(1, 6))


@pytest.mark.parametrize("end", [reset, lambda connection: connection.shutdown(2)])
def test_a_stream_that_its_sender_ends_early_is_cut_and_not_left(end):
    def script(request, connection):
        send(request, connection, FIRST, interval=0.1)
        end(connection)

    answer, has_given_up = read(script)
    assert (has_given_up, answer.is_cut, answer.body) == (False, True, event(1))


def test_a_refusal_of_a_stream_is_read_whole():
    def script(request, connection):
        status = "503 Service Unavailable"
        answer = whole_answer(request.request_id, b"full", status=status)
        connection.sendall(answer)

    answer, has_given_up = read(script)
    assert (answer.status, answer.body, answer.is_cut) == (503, b"full", False)
    assert not has_given_up
