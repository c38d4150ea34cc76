"""When a gateway that stops closes its listener, and when it ends."""

import io
import socket
from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import deferLater
from twisted.internet.testing import MemoryReactorClock

from bilberryring.admission import PlannedStop
from bilberryring.execution import Close, Framing
from bilberryring.fleet import AnnouncedEndpoint, EndpointState
from bilberryring.gateway.daemon import DRAIN_CHECK_SECONDS, GatewayDaemon
from bilberryring.gateway.messages import (
    AttemptError,
    FailureReason,
    ResponseEnd,
    ResponseHead,
)
from bilberryring.gateway.reservations import (
    ORDER_TIMEOUT_SECONDS,
    REFUSED_CHECK_SECONDS,
    RESERVATION_SECONDS,
)
from bilberryring.platform.adapter import HttpHeaderCodec, PlatformAdapter
from bilberryring.platform.tests.test_bytes_from_outside import ClosingTransport
from bilberryring.telemetry import EventLog
from bilberryring.testing.peer_network import make_settings

HALF_SENT = b"POST /look/ HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx"
STEP_SECONDS = 0.05


class ListeningReactor(MemoryReactorClock):
    """Records by port when it stopped listening, in seconds."""

    def __init__(self):
        super().__init__()
        self.stopped_at: dict[int, float] = {}
        self._sockets = socket.socketpair()

    def listenTCP(self, port, factory, backlog=50, interface=""):
        listener = super().listenTCP(port, factory, backlog, interface)
        listener.stopListening = lambda: self.stopped_at.setdefault(
            port, self.seconds()
        )
        listener.stopReading = listener.startReading = lambda: None
        # No connection waits to be accepted.
        listener.socket = self._sockets[0]
        listener.fileno = listener.socket.fileno
        return listener

    def listenUDP(self, port, protocol, interface="", maxPacketSize=8192):
        return None


class SlowEngine:
    """A pool of connections to one engine, which releases memory when it answers.

    The engine leaves orders unanswered before `answers_from` on the reactor's clock,
    and answers later ones after `answer_seconds`.
    """

    def __init__(self, *, reactor, answers_from=0.0, answer_seconds=0.0):
        self.sent_at = []
        self.released_at = []
        self._reactor = reactor
        self._answers_from = answers_from
        self._answer_seconds = answer_seconds

    async def acquire(self, address, *, max_idle, timeout, request_id):
        return await succeed(SimpleNamespace(send=self._send))

    def _send(self, **request):
        self.sent_at.append(self._reactor.seconds())
        events = [
            ResponseHead(status=200, reason=b"", headers=()),
            ResponseEnd(framing=Framing.LENGTH, close=Close.AT_END),
        ]

        async def receive(*, timeout):
            if self._reactor.seconds() < self._answers_from:
                await deferLater(self._reactor, timeout)
                raise AttemptError(reason=FailureReason.SILENT, was_sent=True)
            if len(events) == 2:
                await deferLater(self._reactor, self._answer_seconds)
                self.released_at.append(self._reactor.seconds())
            return events.pop(0)

        return SimpleNamespace(receive=receive, abort=lambda: None)

    def close_expired(self):
        pass


class Drain:
    """A gateway that drains on a simulated clock, and when its drain ended."""

    def __init__(self, *, reactor):
        self.ended_at = None
        self._reactor = reactor
        settings = make_settings("10.0.0.1", ())
        self._daemon = GatewayDaemon(
            reactor=reactor,
            settings=settings,
            log=EventLog(process="p", role="gateway", stream=io.StringIO()),
            codec=HttpHeaderCodec(),
            adapter_class=PlatformAdapter,
        )
        self._daemon.start()
        self.grace = settings.bounds.drain_seconds
        self.port = int(settings.caller_address.rsplit(":", 1)[1])

    def send_half_a_request(self):
        factory = next(i[1] for i in self._reactor.tcpServers if i[0] == self.port)
        channel = factory.buildProtocol(None)
        transport = ClosingTransport()
        transport.protocol = channel
        channel.makeConnection(transport)
        channel.dataReceived(HALF_SENT)

    def release_memory(self, engine):
        """Begin to release a reservation on an engine, the pool `engine`."""
        self._daemon._reservations._pool = engine
        endpoint = AnnouncedEndpoint(
            id="a",
            service="s",
            address="127.0.0.1:1",
            failure_domain="north",
            slots=8,
            state=EndpointState.READY,
        )
        self._daemon._reservations.release(endpoint, "r", has_unanswered_order=False)

    def signal(self):
        stop = PlannedStop(signalled_at=self._reactor.seconds(), grace=self.grace)
        Deferred.fromCoroutine(self._daemon.drain()).addCallback(self._end)
        return stop

    def advance(self, *, until):
        """Advance the clock until the drain has ended, at most until `until`."""
        while self.ended_at is None and self._reactor.seconds() < until:
            self._reactor.advance(STEP_SECONDS)

    def _end(self, _):
        self.ended_at = self._reactor.seconds()


@pytest.fixture
def reactor():
    return ListeningReactor()


@pytest.fixture
def drain(reactor):
    return Drain(reactor=reactor)


def test_a_gateway_accepts_connections_until_just_before_a_stop_ends(reactor, drain):
    drain.send_half_a_request()
    stop = drain.signal()
    drain.advance(until=stop.exits_at + 1.0)
    assert drain.ended_at and drain.ended_at >= stop.ends_at
    late = reactor.stopped_at[drain.port] - stop.listens_until
    assert 0.0 <= late <= DRAIN_CHECK_SECONDS + STEP_SECONDS


def test_a_stop_waits_for_slow_answers_to_releases_that_began_at_its_end(
    reactor, drain
):
    engine = SlowEngine(reactor=reactor, answer_seconds=0.4)
    drain.send_half_a_request()
    stop = drain.signal()
    drain.advance(until=stop.ends_at + 0.1)
    drain.release_memory(engine)
    drain.advance(until=stop.exits_at + 1.0)
    assert engine.released_at
    assert engine.released_at[0] <= drain.ended_at < stop.signalled_at + drain.grace


@pytest.mark.parametrize(
    ("released_after", "silent_until"),
    [(-0.6, 0.0), (0.2, 2.9), (2.8, 3.1), (4.5, 4.8)],
)
def test_a_stop_repeats_releases_without_a_response_until_they_have_one(
    reactor, drain, released_after, silent_until
):
    """Times are in seconds after the signal, which comes at 10 s."""
    engine = SlowEngine(reactor=reactor, answers_from=10.0 + silent_until)
    reactor.advance(10.0 + min(0.0, released_after))
    if released_after < 0:
        drain.release_memory(engine)
        reactor.pump([STEP_SECONDS] * round(-released_after / STEP_SECONDS))
    drain.send_half_a_request()
    stop = drain.signal()
    if released_after >= 0:
        drain.advance(until=stop.signalled_at + released_after)
        drain.release_memory(engine)
    drain.advance(until=stop.exits_at + 1.0)
    assert engine.released_at
    late = engine.released_at[0] - (stop.signalled_at + silent_until)
    assert late <= ORDER_TIMEOUT_SECONDS + REFUSED_CHECK_SECONDS + STEP_SECONDS
    assert engine.released_at[0] <= drain.ended_at < stop.signalled_at + drain.grace


def test_a_stop_ends_before_its_grace_if_an_engine_answers_no_release(reactor, drain):
    engine = SlowEngine(reactor=reactor, answers_from=1_000.0)
    drain.send_half_a_request()
    stop = drain.signal()
    drain.advance(until=stop.ends_at)
    drain.release_memory(engine)
    drain.advance(until=stop.exits_at + 1.0)
    assert stop.exits_at < drain.ended_at < stop.signalled_at + drain.grace


def test_a_stop_does_not_wait_for_memory_that_has_expired_by_itself(reactor, drain):
    engine = SlowEngine(reactor=reactor, answers_from=1_000.0)
    stop = drain.signal()
    drain.release_memory(engine)
    drain.advance(until=stop.exits_at + 1.0)
    assert len(engine.sent_at) >= 2
    expires_at = stop.signalled_at + RESERVATION_SECONDS
    assert drain.ended_at <= expires_at + ORDER_TIMEOUT_SECONDS


def test_a_stop_without_anything_to_release_ends_with_its_last_caller(reactor, drain):
    stop = drain.signal()
    drain.advance(until=stop.exits_at)
    assert drain.ended_at <= stop.refuses_at + 5 * DRAIN_CHECK_SECONDS
