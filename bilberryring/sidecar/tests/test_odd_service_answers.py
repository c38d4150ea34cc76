"""Answers of any bytes from a plain service: each call gets one answer."""

import os

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from bilberryring.execution import Close
from bilberryring.sidecar.tests.test_service_runner import TICKET, CallHarness
from bilberryring.wire import Refused, ServiceAnswer, decode_message, encode_message

EXAMPLES = int(os.environ.get("BILBERRYRING_EXAMPLES", "200"))
PIECES = [
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.0 200\r\n",
    b"HTTP/1.1 103 Hints\r\n\r\n",
    b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
    b"HTTP/1.1 204 No Content\r\n\r\n",
    b"HTTP/1.1 999 \xff\r\n",
    b"HTTP/1.1 " + b"9" * 20 + b" OK\r\n",
    b"HTTP/1.1 -1 OK\r\n",
    b"Content-Type: \xff\x00\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: -3\r\n",
    b"Content-Length: " + b"9" * 5_000 + b"\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Connection: close\r\n",
    b"\r\n",
    b"abc",
    b"0\r\n\r\n",
    b"4\r\ndata\r\n",
    b"9" * 5_000 + b"\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
]
UNMARKED = b"HTTP/1.1 200 OK\r\n\r\nabc"
LARGE_STATUS = b"HTTP/1.1 99999999999 OK\r\nContent-Length: 2\r\n\r\nok"


@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
@given(
    st.lists(st.one_of(st.sampled_from(PIECES), st.binary(max_size=8)), max_size=10),
    st.sampled_from([TICKET, ""]),
    st.sampled_from([Close.CLEAN, Close.RESET]),
    st.booleans(),
)
@example([LARGE_STATUS], TICKET, Close.CLEAN, True)
@example([LARGE_STATUS], "", Close.CLEAN, True)
@example([UNMARKED], TICKET, Close.CLEAN, True)
@example([UNMARKED], "", Close.CLEAN, False)
def test_a_service_may_send_anything(pieces, ticket, close, has_crashed):
    harness = CallHarness()
    harness.call(1, ticket=ticket)
    harness.service.break_off(b"".join(pieces), close)
    if not harness.link.sent:
        # Only an end without a mark is answered later, after one new connection.
        assert close is Close.CLEAN
        assert harness.service.connections == 2
        harness.service.refuse() if has_crashed else harness.service.open()
    assert harness.runner.running == 0
    [answer] = harness.link.sent
    answer = decode_message(encode_message(answer))
    assert answer.attempt == 1
    match answer:
        case ServiceAnswer():
            assert 200 <= answer.status <= 599
        case Refused():
            assert answer.outcome == "unknown"


@pytest.mark.parametrize("status", [99, 199, 600, 999, 10**11])
def test_a_status_that_none_has_is_no_answer(status):
    harness = CallHarness()
    harness.call(1, ticket=TICKET)
    answer = b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\nok" % status
    harness.service.break_off(answer, Close.CLEAN)
    [refusal] = harness.link.sent
    assert (refusal.code, refusal.outcome) == ("outcome_unknown", "unknown")
