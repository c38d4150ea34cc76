"""Ends of answers, as the HTTP client of sidecars and of the platform sees them."""

import pytest
from twisted.internet.defer import Deferred

from bilberryring.execution import AnswerEnd, Close, Framing, Place, Proof, proof_of_end
from bilberryring.http import UnmarkedAnswerError, client
from bilberryring.testing.memory_endpoint import MemoryEndpoint

ENDS = [
    AnswerEnd(framing=framing, close=close, place=Place.IN_BODY)
    for framing in Framing
    for close in Close
    if (framing, close) != (Framing.CONNECTION, Close.AT_END)
]


@pytest.fixture
def endpoint():
    return MemoryEndpoint()


@pytest.mark.parametrize("end", ENDS, ids=str)
def test_a_body_is_returned_only_if_it_is_known_to_be_complete(endpoint, end):
    request = Deferred.fromCoroutine(endpoint.client.request("GET", "/"))
    answers, failures = [], []
    request.addCallbacks(answers.append, failures.append)
    endpoint.answer(b"body", framing=end.framing, close=end.close)
    is_complete = proof_of_end(end) is Proof.COMPLETE
    assert [answer.body for answer in answers] == [b"body"] * is_complete
    assert len(failures) == (not is_complete)


@pytest.mark.parametrize("end", ENDS, ids=str)
def test_a_line_stream_tells_whether_its_body_is_known_to_be_complete(endpoint, end):
    lines, ends = [], []

    async def read():
        stream = await endpoint.client.open_line_stream(
            "/", body=b"{}", on_lines=lines.extend
        )
        ends.append(await stream.done)

    Deferred.fromCoroutine(read())
    endpoint.answer(b"one\ntwo", framing=end.framing, close=end.close)
    assert lines == [b"one"]
    assert ends == [proof_of_end(end) is Proof.COMPLETE]


UNMARKED_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"


def request_failure(endpoint, act):
    """Return why a request failed, or `None`, once `act` was called."""
    failures = []
    request = Deferred.fromCoroutine(endpoint.client.request("GET", "/"))
    request.addErrback(failures.append)
    act()
    return failures[0] if failures else None


@pytest.mark.parametrize("close", [Close.CLEAN, Close.RESET], ids=str)
def test_a_reset_is_not_taken_for_the_end_of_an_unmarked_body(endpoint, close):
    """The HTTP client of Twisted reports both as `PotentialDataLoss`."""
    failure = request_failure(
        endpoint,
        lambda: endpoint.answer(b"a part", framing=Framing.CONNECTION, close=close),
    )
    is_unmarked = failure.check(UnmarkedAnswerError) is not None
    assert is_unmarked == (close is Close.CLEAN)
    if is_unmarked:
        assert failure.value.answer.body == b"a part"
        assert "a part" not in repr(failure.value)
    assert endpoint.client.held_bytes == 0


def test_an_unmarked_body_that_this_side_gave_up_is_not_taken_for_whole(
    endpoint, monkeypatch
):
    """Twisted closes the connection in order for a body that is given up."""
    monkeypatch.setattr(client, "MAX_HELD_BYTES", 8)

    def send_too_much():
        endpoint.open()
        endpoint.send(UNMARKED_HEAD + b"0123456789")

    failure = request_failure(endpoint, send_too_much)
    assert endpoint.is_closed
    assert failure.check(UnmarkedAnswerError) is None


def test_a_kept_connection_does_not_prove_the_end_of_a_later_unmarked_body():
    endpoint = MemoryEndpoint(persistent=True)
    first = Deferred.fromCoroutine(endpoint.client.request("GET", "/"))
    endpoint.answer(b"body", framing=Framing.LENGTH, close=Close.AT_END)
    assert first.result.body == b"body"

    def answer_unmarked():
        endpoint.send(UNMARKED_HEAD + b"body")
        endpoint.end(Close.CLEAN)

    failure = request_failure(endpoint, answer_unmarked)
    assert endpoint.connections == 1
    assert failure.check(UnmarkedAnswerError) is None
