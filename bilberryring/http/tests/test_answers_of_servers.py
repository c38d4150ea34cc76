"""What the client of endpoints and the platform takes for an answer."""

import select
import socket
import struct

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.epollreactor import EPollReactor

from bilberryring.http import HttpClient, HttpResponse, UnmarkedAnswerError

STEP_SECONDS = 0.01
MAX_STEPS = 500
UNMARKED_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"


class Exchange:
    """A request with a body, whose server a test plays."""

    def __init__(self, *, body):
        self.reactor = EPollReactor()
        self.listener = socket.create_server(("127.0.0.1", 0))
        host, port = self.listener.getsockname()
        client = HttpClient(reactor=self.reactor, base_url=f"http://{host}:{port}")
        self.results = []
        answering = Deferred.fromCoroutine(client.request("POST", "/", body=body))
        answering.addBoth(self.results.append)
        self.run(5)
        self.peer, _ = self.listener.accept()
        self.run(5)

    def run(self, steps):
        for _ in range(steps):
            self.reactor.runUntilCurrent()
            self.reactor.doPoll(STEP_SECONDS)

    def result(self):
        for _ in range(MAX_STEPS):
            if self.results:
                return getattr(self.results[0], "value", self.results[0])
            self.run(1)
        raise AssertionError("there is no result in time")

    def send_part(self):
        self.peer.sendall(UNMARKED_HEAD + b"part")
        self.run(5)

    def reset(self):
        self.peer.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self.peer.close()


@pytest.fixture
def make_exchange():
    exchanges = []

    def make(*, body):
        exchanges.append(Exchange(body=body))
        return exchanges[-1]

    yield make
    for exchange in exchanges:
        exchange.peer.close()
        exchange.listener.close()


@pytest.mark.parametrize("error", [select.EPOLLERR, select.EPOLLERR | select.EPOLLHUP])
def test_an_error_without_input_is_no_end_in_order(make_exchange, error):
    # Guards against the same part of an answer at entries and sidecars.
    exchange = make_exchange(body=b"u" * 8_000_000)
    exchange.send_part()
    exchange.reset()
    (transport,) = exchange.reactor.getWriters()
    exchange.reactor._doReadOrWrite(transport, transport.fileno(), error)
    assert not isinstance(exchange.result(), UnmarkedAnswerError)


def test_an_end_after_the_whole_request_is_in_order(make_exchange):
    exchange = make_exchange(body=b"short")
    exchange.peer.recv(1 << 16)
    exchange.send_part()
    exchange.peer.close()
    result = exchange.result()
    assert isinstance(result, UnmarkedAnswerError)
    assert result.answer.body == b"part"


def test_a_reset_after_an_end_in_order_is_no_end_in_order(make_exchange):
    # Guards against an end that precedes the reset by a moment.
    exchange = make_exchange(body=b"u" * 8_000_000)
    exchange.send_part()
    exchange.peer.shutdown(socket.SHUT_WR)
    exchange.run(5)
    exchange.reset()
    assert not isinstance(exchange.result(), UnmarkedAnswerError)


@pytest.mark.parametrize("status", [0, 20, 99, 600, 999, 2000])
def test_a_status_that_is_none_of_http_is_no_answer(make_exchange, status):
    # Guards against callers who get the answer of a service in trouble.
    exchange = make_exchange(body=b"short")
    exchange.peer.sendall(b"HTTP/1.1 %03d X\r\nContent-Length: 0\r\n\r\n" % status)
    assert not isinstance(exchange.result(), HttpResponse)
