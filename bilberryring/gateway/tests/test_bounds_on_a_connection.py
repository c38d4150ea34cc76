"""What one connection makes a gateway hold is bounded, whatever its client sends.

The bytes, the points at which they are split and the order of what happens are drawn;
nothing uses a network. `BILBERRYRING_EXAMPLES` sets the number of examples of a run by
hand.
"""

import math
import os

import h11
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from bilberryring.core import ErrorCode
from bilberryring.fleet import CallerLimits
from bilberryring.gateway.caller_site import CallerSite
from bilberryring.http.answers import Problem
from bilberryring.testing.misbehaving_requests import (
    chunk_of,
)
from bilberryring.testing.played_connection import (
    BUFFER_BYTES,
    READ_BYTES,
    PlayedConnection,
)

EXAMPLES = int(os.environ.get("BILBERRYRING_EXAMPLES", "100"))
FUZZED = settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
LIMITS = CallerLimits(max_header_bytes=16_384, max_body_bytes=16_384)
ANSWER_BYTES = 100_000
MAX_FIELDS = 500
"""More fields than any request within the limits of the operators has."""
FIELD_BYTES = 512
"""An upper bound on the memory of a parsed field with a short name and value."""
MAX_HELD_BYTES = (
    2 * READ_BYTES
    + MAX_FIELDS * FIELD_BYTES
    + 4 * (LIMITS.max_header_bytes + LIMITS.max_body_bytes)
)
"""What arrives in two reads, the fields, and a few copies of one request."""
MAX_UNREAD_BYTES = BUFFER_BYTES + 2 * ANSWER_BYTES
"""The answer in progress and the one before it, beside what may always be unsent."""
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: h\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
NAMES = [b"%x" % number for number in range(4_000)]
REQUESTS = {
    "whole": GET + b"\r\n",
    "pipelined": (GET + b"\r\n") * 400,
    "with a body": POST + b"Content-Length: 9000\r\n\r\n" + b"x" * 9_000,
    "a byte short": POST + b"Content-Length: 16384\r\n\r\n" + b"x" * 16_383,
    "declared too large": POST + b"Content-Length: 99999\r\n\r\n" + b"x" * 99_999,
    "chunks of a byte": CHUNKED + chunk_of(1) * 3_000 + b"0\r\n\r\n",
    "one chunk": CHUNKED + chunk_of(16_000),
    "chunks without end": CHUNKED + chunk_of(1_000) * 100,
    "trailers": CHUNKED + b"0\r\n" + b"a:\r\n" * 15_000,
    "fields": GET + b"".join(b"%s:\r\n" % name for name in NAMES[:480]) + b"\r\n",
    "too many fields": GET + b"a:\r\n" * 2_200 + b"\r\n",
    "cookies": GET + b"Cookie: " + b"=;".join(NAMES[:2_500]) + b"\r\n\r\n",
    "query": b"GET /?" + b"=&".join(NAMES[:2_500]) + GET[6:] + b"\r\n",
    "long line": b"GET /" + b"x" * 70_000,
    "expected": POST + b"Expect: 100-continue\r\nContent-Length: 5\r\n\r\n",
    "not HTTP": b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
}
# A request that stops anywhere, or is continued by another one there; names keep the
# report of a failure short.
sent_parts = st.one_of(
    st.tuples(st.sampled_from(sorted(REQUESTS)), st.just(1.0)),
    st.tuples(st.sampled_from(sorted(REQUESTS)), st.floats(0.0, 1.0)),
    st.binary(max_size=40),
)
splits = st.lists(st.integers(1, 9_000), max_size=3)
events = st.one_of(
    st.tuples(st.just("send"), sent_parts, splits),
    st.tuples(st.just("send"), sent_parts, splits),
    st.tuples(st.just("answer"), st.sampled_from([0, 1_000, ANSWER_BYTES])),
    st.tuples(st.just("read"), st.sampled_from([1, 5_000, 1_000_000])),
    st.tuples(st.just("wait"), st.sampled_from([0.0, 0.5, 4.0, 70.0])),
    st.tuples(st.just("end")),
)


class Play:
    """A channel of the callers' site, and the requests that wait for an answer.

    With `answers_at_once` each request gets the largest answer as soon as it comes.
    """

    def __init__(self, *, answers_at_once: bool):
        self._clock = Clock()
        self._answers_at_once = answers_at_once
        self._waiting: list = []
        site = CallerSite(
            reactor=self._clock, on_request=self._accept, limits=lambda: LIMITS
        )
        self.connection = PlayedConnection(
            channel=site.buildProtocol(None), clock=self._clock
        )

    def run(self, event) -> None:
        match event:
            case ("send", part, splits):
                data = part if isinstance(part, bytes) else _cut(*part)
                for size in (*splits, len(data)):
                    self.connection.send(data[:size])
                    data = data[size:]
            case ("answer", size):
                if self._waiting:
                    _answer(self._waiting.pop(0), size)
            case ("read", size):
                self.connection.read(size)
            case ("wait", seconds):
                self._clock.advance(seconds)
            case ("end",):
                self.connection.end_sending()
        self._clock.advance(0)

    def finish(self) -> None:
        """Answer and read all that is left, until the connection ends by itself."""
        for _ in range(100):
            self.run(("answer", 0))
            self.run(("read", 10_000_000))
            self.run(("wait", 2.0))

    def _accept(self, exchange) -> None:
        if self._answers_at_once:
            _answer(exchange, ANSWER_BYTES)
        else:
            self._waiting.append(exchange)


def _cut(name: str, share: float) -> bytes:
    return REQUESTS[name][: int(share * len(REQUESTS[name]))]


def _answer(exchange, size):
    if exchange.is_closed:
        return
    exchange.start(200, b"OK", ((b"Content-Length", b"%d" % size),))
    exchange.write(bytes(size))
    exchange.end()


def answers_in(output: bytes):
    """Return the status, headers and body of each complete answer."""
    answers = []
    while output:
        client = h11.Connection(h11.CLIENT)
        client.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
        client.send(h11.EndOfMessage())
        client.receive_data(output)
        body = b""
        while type(item := client.next_event()) not in (
            h11.EndOfMessage,
            h11.NEED_DATA,
        ):
            match item:
                case h11.Response():
                    head = item
                case h11.Data():
                    body += bytes(item.data)
        if item is h11.NEED_DATA:
            break
        answers.append((head.status_code, dict(head.headers), body))
        output = client.trailing_data[0]
    return answers


@pytest.mark.parametrize("answers_at_once", [True, False])
def test_a_connection_holds_a_bounded_amount_of_requests(answers_at_once):
    """Trailers and pipelined requests were held without a bound on their fields."""

    @FUZZED
    @given(st.lists(events, max_size=12))
    def check(drawn):
        play = Play(answers_at_once=answers_at_once)
        for event in drawn:
            play.run(event)
            assert play.connection.held_bytes() <= MAX_HELD_BYTES

    check()


@pytest.mark.parametrize("answers_at_once", [True, False])
def test_the_unread_answers_of_a_connection_are_bounded(answers_at_once):
    """Pipelined requests were answered although no answer was read."""

    @FUZZED
    @given(st.lists(events, max_size=12))
    def check(drawn):
        play = Play(answers_at_once=answers_at_once)
        for event in drawn:
            play.run(event)
            assert play.connection.n_unread <= MAX_UNREAD_BYTES

    check()


@pytest.mark.parametrize("answers_at_once", [True, False])
def test_refusals_are_well_formed_and_the_connection_ends(answers_at_once):
    """Guards against refusals inside another answer, and against held connections."""

    @FUZZED
    @given(st.lists(events, max_size=12))
    def check(drawn):
        play = Play(answers_at_once=answers_at_once)
        for event in drawn:
            play.run(event)
        play.finish()
        assert play.connection.is_lost
        for status, headers, body in answers_in(play.connection.output):
            if status != 200:
                check_refusal(status, headers, body)

    check()


def check_refusal(status, headers, body):
    problem = msgspec.json.decode(body, type=Problem)
    assert status == problem.status == ErrorCode(problem.code).status
    assert 400 <= status < 500 or status == 503
    assert problem.outcome == "not_run"
    assert headers[b"content-type"] == b"application/problem+json"
    if (seconds := headers.get(b"retry-after")) is not None:
        assert 0.0 <= float(seconds) < math.inf
