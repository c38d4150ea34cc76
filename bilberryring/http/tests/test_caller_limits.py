"""Callers whose body never ends in time, and what is still sent when one is refused."""

import pytest
from twisted.internet.task import Clock
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from bilberryring.entry.caller_channel import CALLER_LIMITS, EntryChannel
from bilberryring.gateway.caller_site import CallerSite
from bilberryring.http import make_site
from bilberryring.http.caller_channel import MAX_BODY_SECONDS
from bilberryring.platform.tests.test_bytes_from_outside import ClosingTransport

SIZE = 100
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
BLOCK = b"x" * 65_536


class RecordingResource(Resource):
    """Records the requests that were received."""

    isLeaf = True

    def __init__(self, served):
        super().__init__()
        self._served = served

    def render(self, request):
        self._served.append(request)
        return NOT_DONE_YET


def entry_site(clock, served):
    return make_site(
        RecordingResource(served),
        channel=EntryChannel,
        limits=CALLER_LIMITS,
        reactor=clock,
    )


def gateway_site(clock, served):
    return CallerSite(reactor=clock, on_request=served.append)


class Connection:
    """A caller's connection to a site on a paused clock."""

    def __init__(self, make):
        self.clock = Clock()
        self.served = []
        self.channel = make(self.clock, self.served).buildProtocol(None)
        self.transport = ClosingTransport()
        self.transport.protocol = self.channel
        self.channel.makeConnection(self.transport)

    @property
    def answer(self) -> bytes:
        return self.transport.value()

    def send(self, data: bytes) -> None:
        if not self.transport.is_closed:
            self.channel.dataReceived(data)

    def wait(self, seconds: float) -> None:
        """Let time pass, with the turn in which a limit takes effect."""
        self.clock.advance(seconds)
        self.clock.advance(0)


@pytest.fixture(params=[entry_site, gateway_site])
def connection(request):
    return Connection(request.param)


def test_a_body_that_comes_too_slowly_is_refused_in_time(connection):
    connection.send(HEAD % SIZE)
    for _ in range(int(MAX_BODY_SECONDS) - 1):
        connection.wait(1.0)
        connection.send(b"x")
    assert not connection.answer
    connection.wait(1.0)
    assert connection.answer.startswith(b"HTTP/1.1 408 ")
    assert b'"not_run"' in connection.answer
    assert not connection.served


def test_a_body_that_ends_just_in_time_is_served(connection):
    connection.send(HEAD % SIZE + b"x" * (SIZE - 1))
    connection.wait(MAX_BODY_SECONDS - 0.1)
    connection.send(b"x")
    assert len(connection.served) == 1
    connection.wait(1.0)
    assert not connection.answer


def test_the_rest_of_a_refused_body_is_dropped_and_bounded(connection):
    connection.send(HEAD % 10**10)
    assert connection.answer.startswith(b"HTTP/1.1 413 ")
    answer = connection.answer
    n_blocks = connection.channel.linger_bytes // len(BLOCK)
    for _ in range(n_blocks):
        connection.send(BLOCK)
    assert not connection.transport.is_closed
    connection.send(BLOCK)
    assert connection.transport.is_closed
    assert connection.answer == answer
    assert not connection.served


def test_a_refused_body_is_awaited_for_a_bounded_time(connection):
    connection.send(HEAD % 10**10)
    connection.wait(connection.channel.linger_seconds - 0.1)
    assert not connection.transport.is_closed
    connection.wait(0.1)
    assert connection.transport.is_closed


def test_a_request_in_what_is_dropped_is_not_served(connection):
    connection.send(HEAD % 10**10)
    connection.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    connection.wait(1.0)
    assert not connection.served
    assert connection.answer.count(b"HTTP/1.1 ") == 1
