"""What a connection to an endpoint skips before the answer to its request."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from bilberryring.core import RequestId
from bilberryring.gateway.endpoint_connection import (
    MAX_HEAD_BYTES,
    MAX_SKIPPED_HEADS,
    EndpointConnection,
)
from bilberryring.gateway.messages import FailureReason

INTERIM = b"HTTP/1.1 103 Hints\r\n\r\n"
OTHER = b"HTTP/1.1 503 Busy\r\nX-Other: 1\r\nContent-Length: 0\r\n\r\n"
OWN = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Sent:
    """A connection with a request under way, and the heads that were looked at."""

    def __init__(self):
        self.idle = []
        self.n_heads = 0
        self.connection = EndpointConnection(
            reactor=Clock(),
            address="127.0.0.1:1",
            on_idle=self.idle.append,
            on_closed=lambda connection: None,
        )
        transport = StringTransport()
        transport.abortConnection = transport.loseConnection
        self.connection.transport = transport
        self.connection._is_open = True
        self._response = self.connection.send(
            method=b"POST",
            target=b"/",
            headers=((b"Host", b"h"),),
            body=b"x",
            is_expected=self._is_expected,
            request_id=RequestId("r"),
        )

    def failure(self):
        """Return why the request has no answer, if it has failed."""
        result = []
        receiving = Deferred.fromCoroutine(self._response.receive(timeout=0.0))
        receiving.addBoth(result.append)
        return getattr(getattr(result[0], "value", None), "reason", None)

    def _is_expected(self, head):
        self.n_heads += 1
        return (b"X-Other", b"1") not in head.headers


@pytest.mark.parametrize(
    "status",
    ["000", "099", "0", "20", "0200", "2000", "-20", "+20", "2x0", "1e2", "", "101"]
    + ["600", "700", "999"],
)
def test_an_answer_whose_status_is_none_of_http_is_no_answer(status):
    # Guards against callers who get the answer of an endpoint in trouble.
    sent = Sent()
    answer = b"HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\n" % status.encode()
    sent.connection.dataReceived(answer)
    assert not sent.connection.is_open
    assert sent.failure() is FailureReason.MALFORMED


@pytest.mark.parametrize("status", [200, 204, 299, 404, 418, 500, 599])
def test_an_answer_with_a_status_of_http_is_one_whatever_it_means(status):
    sent = Sent()
    answer = b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status
    sent.connection.dataReceived(answer)
    assert sent.failure() is None


@pytest.mark.parametrize("head", [INTERIM, OTHER])
def test_few_heads_before_an_answer_are_skipped(head):
    sent = Sent()
    sent.connection.dataReceived(head * MAX_SKIPPED_HEADS + OWN)
    assert sent.idle == [sent.connection]


@pytest.mark.parametrize("head", [INTERIM, OTHER])
def test_many_heads_before_an_answer_end_the_connection_early(head):
    sent = Sent()
    sent.connection.dataReceived(head * 2_000 + OWN)
    assert not sent.connection.is_open
    assert sent.n_heads <= MAX_SKIPPED_HEADS + 1


@pytest.mark.parametrize(
    ("begin", "block"),
    [
        (b"HTTP/1.1 200 OK\r\n", b"X-Filler: some text\r\n" * 100),
        (b"HTTP/1.1 200 OK\r\nX-Filler: ", b"x" * 2_000),
        (b"", b"x" * 2_000),
        (OWN[:15] + b"\r\nTransfer-Encoding: chunked\r\n\r\n1;", b"x" * 2_000),
    ],
    ids=["headers", "header line", "no head", "chunk extension"],
)
def test_a_head_or_a_line_has_a_bound(begin, block):
    sent = Sent()
    sent.connection.dataReceived(begin)
    n_sent = 0
    while sent.connection.is_open and n_sent < 2 * MAX_HEAD_BYTES:
        sent.connection.dataReceived(block)
        n_sent += len(block)
    assert not sent.connection.is_open
    assert n_sent <= MAX_HEAD_BYTES + len(block)


@pytest.mark.parametrize("n_bytes", [1_000, MAX_HEAD_BYTES - 2_000])
def test_a_head_within_the_bound_is_an_answer(n_bytes):
    sent = Sent()
    line = b"X-Filler: " + b"x" * 990 + b"\r\n"
    head = OWN[:17] + line * (n_bytes // len(line)) + OWN[17:]
    for start in range(0, len(head), 1_460):
        sent.connection.dataReceived(head[start : start + 1_460])
    assert sent.idle == [sent.connection]
