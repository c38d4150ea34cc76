"""Which of the callers' connections are closed at a stop, and who closed one."""

import socket
import time

import pytest
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import ConnectionAborted, ConnectionDone, ConnectionLost
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from bilberryring.core import ClosedBy, has_unread
from bilberryring.fleet import CallerLimits
from bilberryring.gateway.caller_site import CallerSite
from bilberryring.http import MIN_IDLE_SECONDS, CallerChannel

IDLE_SECONDS = 0.2
UNREAD_BYTES = 32 * 1024 * 1024
MAX_EAGER_BYTES = 16 * 1024
HEAD = b"POST /look/ HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def site(clock):
    return CallerSite(reactor=clock, on_request=lambda exchange: None)


def connect(site):
    channel = site.buildProtocol(None)
    transport = StringTransport()
    channel.makeConnection(transport)
    return channel, transport


def test_a_connection_that_was_opened_just_now_is_not_closed(site, clock):
    connect(site)
    assert site.close_idle() == 0
    clock.advance(MIN_IDLE_SECONDS)
    assert site.close_idle() == 1


@pytest.mark.parametrize("sent", [b"P", HEAD, HEAD + b"x"])
def test_a_connection_whose_request_is_half_read_is_not_closed(site, clock, sent):
    channel, _ = connect(site)
    clock.advance(10.0)
    channel.dataReceived(sent)
    assert site.close_idle() == 0


def test_a_connection_is_idle_from_its_last_answer_on(site, clock):
    exchanges = []
    site = CallerSite(reactor=clock, on_request=exchanges.append)
    channel, _ = connect(site)
    channel.dataReceived(HEAD + b"xy")
    clock.advance(10.0)
    exchanges[0].start(200, b"", ((b"Content-Length", b"0"),))
    exchanges[0].end()
    assert site.close_idle() == 0
    clock.advance(MIN_IDLE_SECONDS)
    assert site.close_idle() == 1


@pytest.mark.parametrize(
    ("reason", "is_closing", "closed_by"),
    [
        (ConnectionDone(), False, ClosedBy.CALLER),
        (ConnectionLost(), False, ClosedBy.CALLER),
        (ConnectionDone(), True, ClosedBy.SERVER),
        (ConnectionAborted(), False, ClosedBy.SERVER),
    ],
)
def test_an_exchange_knows_who_closed_its_connection(
    clock, reason, is_closing, closed_by
):
    exchanges = []
    site = CallerSite(reactor=clock, on_request=exchanges.append)
    channel, transport = connect(site)
    channel.dataReceived(HEAD + b"xy")
    exchanges[0].notifyFinish().addErrback(lambda _: None)
    assert exchanges[0].closed_by is None
    transport.disconnecting = is_closing
    channel.connectionLost(Failure(reason))
    assert exchanges[0].closed_by is closed_by


class AdvancedReactor(EPollReactor):
    """A reactor whose clock the test can advance by `seconds_ahead`."""

    seconds_ahead = 0.0

    def seconds(self):
        return super().seconds() + self.seconds_ahead


class BusySite:
    """A site on a reactor whose turns the test makes, and a caller's open connection.

    A reactor runs its timers before it reads what has arrived meanwhile.
    """

    def __init__(self, *, idle_timeout=IDLE_SECONDS, header_timeout=3.0):
        self.exchanges = []
        self.reactor = AdvancedReactor()
        limits = CallerLimits(idle_timeout=idle_timeout, header_timeout=header_timeout)
        self.site = CallerSite(
            reactor=self.reactor,
            on_request=self.exchanges.append,
            limits=lambda: limits,
        )
        port = self.reactor.listenTCP(0, self.site, interface="127.0.0.1")
        self.caller = socket.create_connection(("127.0.0.1", port.getHost().port))
        self.caller.settimeout(1.0)
        self.turn()

    def turn(self, times=1):
        for _ in range(times):
            self.reactor.runUntilCurrent()
            self.reactor.doIteration(0)


@pytest.fixture
def busy():
    busy = BusySite()
    yield busy
    busy.caller.close()


def test_a_request_that_waits_unread_at_the_idle_limit_is_answered(busy):
    """The process is busy, as with a new configuration, while the request arrives."""
    busy.caller.sendall(HEAD + b"xy")
    time.sleep(2 * IDLE_SECONDS)
    busy.turn(4)
    (exchange,) = busy.exchanges
    exchange.start(200, b"", ((b"Content-Length", b"0"),))
    exchange.end()
    busy.turn(2)
    assert busy.caller.recv(1_024).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("n_turns", range(4))
def test_a_request_that_arrives_while_a_connection_closes_is_answered_or_unread(
    busy, n_turns
):
    time.sleep(2 * IDLE_SECONDS)
    busy.turn(n_turns)
    busy.reactor.runUntilCurrent()
    busy.caller.sendall(HEAD + b"xy")
    busy.reactor.doIteration(0)
    busy.turn(4)
    assert not any(exchange.is_closed for exchange in busy.exchanges)


def is_closed(caller):
    """Return whether the end of the connection has arrived at the caller."""
    return has_unread(caller) and not caller.recv(1, socket.MSG_PEEK)


@pytest.mark.parametrize("is_before_timers", [False, True])
@pytest.mark.parametrize("n_turns", range(4))
def test_no_request_that_arrives_before_its_idle_connection_ends_is_reset(
    busy, n_turns, is_before_timers
):
    time.sleep(2 * IDLE_SECONDS)
    busy.turn(n_turns)
    if not is_before_timers:
        busy.reactor.runUntilCurrent()
    was_closed = is_closed(busy.caller)
    if not was_closed:
        busy.caller.sendall(HEAD + b"xy")
    busy.turn(4)
    assert len(busy.exchanges) == (not was_closed)


def test_a_stop_closes_no_connection_on_which_a_request_waits_unread():
    busy = BusySite(idle_timeout=60.0)
    busy.caller.sendall(HEAD + b"xy")
    time.sleep(MIN_IDLE_SECONDS)
    busy.reactor.callLater(0, busy.site.close_idle)
    busy.turn(4)
    (exchange,) = busy.exchanges
    assert not exchange.is_closed


def test_a_caller_that_never_reads_its_answer_is_disconnected(busy):
    """A connection that closes waits for what is written until it is reset."""
    busy.caller.sendall(HEAD + b"xy")
    busy.turn(2)
    (exchange,) = busy.exchanges
    exchange.start(200, b"", ((b"Content-Length", b"%d" % UNREAD_BYTES),))
    exchange.write(b"x" * UNREAD_BYTES)
    exchange.end()
    time.sleep(2 * IDLE_SECONDS)
    busy.turn(4)
    busy.reactor.seconds_ahead = 2 * CallerChannel.abortTimeout
    busy.turn(4)
    assert busy.site.open_connections == 0


def test_a_head_that_waits_unread_at_its_time_limit_is_not_refused():
    busy = BusySite(idle_timeout=60.0, header_timeout=IDLE_SECONDS)
    busy.caller.sendall(HEAD[:20])
    busy.turn(2)
    busy.caller.sendall(HEAD[20:] + b"xy")
    time.sleep(2 * IDLE_SECONDS)
    busy.turn(4)
    assert len(busy.exchanges) == 1


def test_an_idle_caller_that_reads_no_answer_and_sends_more_is_reset(busy, monkeypatch):
    monkeypatch.setattr(CallerChannel, "abortTimeout", IDLE_SECONDS)
    request = HEAD + b"xy"
    busy.caller.sendall(request)
    busy.turn(2)
    busy.caller.sendall(request * (MAX_EAGER_BYTES // len(request) + 1))
    busy.turn(4)
    n_bytes = UNREAD_BYTES
    for exchange in busy.exchanges:
        exchange.start(200, b"", ((b"Content-Length", b"%d" % n_bytes),))
        exchange.write(bytes(n_bytes))
        exchange.end()
        n_bytes = 0
    busy.caller.sendall(request)
    for _ in range(40):
        time.sleep(IDLE_SECONDS / 4)
        busy.turn(4)
    assert busy.site.open_connections == 0
