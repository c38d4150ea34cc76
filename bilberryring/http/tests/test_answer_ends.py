"""Ends of answers, as the HTTP client of sidecars and of the platform sees them."""

import pytest
from twisted.internet.defer import Deferred

from bilberryring.execution import AnswerEnd, Close, Framing, Place, Proof, proof_of_end
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
