"""The listener of a gateway that stops: closed before the last answers, not earlier."""

import io
import socket

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from bilberryring.admission import PlannedStop
from bilberryring.gateway.daemon import DRAIN_CHECK_SECONDS, GatewayDaemon
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
        # No connection waits to be accepted.
        listener.socket = self._sockets[0]
        listener.fileno = listener.socket.fileno
        return listener

    def listenUDP(self, port, protocol, interface="", maxPacketSize=8192):
        return None


@pytest.fixture
def reactor():
    return ListeningReactor()


def test_a_gateway_accepts_connections_until_just_before_a_stop_ends(reactor):
    settings = make_settings("10.0.0.1", ())
    daemon = GatewayDaemon(
        reactor=reactor,
        settings=settings,
        log=EventLog(process="p", role="gateway", stream=io.StringIO()),
        codec=HttpHeaderCodec(),
        adapter_class=PlatformAdapter,
    )
    daemon.start()
    port = int(settings.caller_address.rsplit(":", 1)[1])
    factory = next(item[1] for item in reactor.tcpServers if item[0] == port)
    channel = factory.buildProtocol(None)
    transport = ClosingTransport()
    transport.protocol = channel
    channel.makeConnection(transport)
    channel.dataReceived(HALF_SENT)
    stop = PlannedStop(
        signalled_at=reactor.seconds(), grace=settings.bounds.drain_seconds
    )
    ends = []
    Deferred.fromCoroutine(daemon.drain()).addCallback(
        lambda _: ends.append(reactor.seconds())
    )
    while not ends and reactor.seconds() < stop.exits_at + 1.0:
        reactor.advance(STEP_SECONDS)
    assert ends and ends[0] >= stop.ends_at
    late = reactor.stopped_at[port] - stop.listens_until
    assert 0.0 <= late <= DRAIN_CHECK_SECONDS + STEP_SECONDS
