"""Copies of published items from peers that send without end, or that never ask."""

from io import StringIO

import pytest
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from bilberryring.entry.tests.test_sidecar_links import FakeTransport
from bilberryring.fleet import FleetState, PublishedItem
from bilberryring.gateway.crash_record import CrashRecord
from bilberryring.gateway.endpoint_slices import EndpointSlices
from bilberryring.gateway.peer_view import PeerView
from bilberryring.gateway.peers import (
    COPY_RETRY_SECONDS,
    MAX_COPY_BYTES,
    MAX_QUERY_BYTES,
    QUERY_SECONDS,
    CopyFactory,
    PeerExchange,
)
from bilberryring.gateway.published_copies import PublishedCopies
from bilberryring.gateway.store_readers import ReadingDuty
from bilberryring.routing import WorkTracker
from bilberryring.telemetry import EventLog
from bilberryring.testing.peer_network import make_settings
from bilberryring.wire import (
    Beat,
    CopyAnswer,
    CopyQuery,
    CopyRevision,
    GatewayReport,
    encode_message,
)

OWN_HOST = "10.0.0.1"
PEER_HOST = "10.0.0.2"
PREFIX = "a/"


class ClosingTransport(FakeTransport):
    """Ends the connection when the protocol closes or aborts it."""

    def loseConnection(self) -> None:
        if not self.disconnecting:
            self.disconnecting = True
            self.protocol.connectionLost(Failure(ConnectionDone()))

    abortConnection = loseConnection


def connect(protocol):
    transport = ClosingTransport()
    transport.protocol = protocol
    protocol.makeConnection(transport)
    return transport


def frame(message) -> bytes:
    data = encode_message(message)
    return len(data).to_bytes(4, "big") + data


class Asking:
    """A gateway that copies from a peer which the test plays."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        self.log = StringIO()
        settings = make_settings(OWN_HOST, (PEER_HOST,))
        view = PeerView(own_host=OWN_HOST, seed_hosts=(PEER_HOST,))
        self.copies = PublishedCopies(prefixes=(PREFIX,), clock=self.reactor)
        self.exchange = PeerExchange(
            reactor=self.reactor,
            settings=settings,
            incarnation="run",
            view=view,
            slices=EndpointSlices(
                clock=self.reactor, settings=settings, fleet=FleetState(), peers=view
            ),
            duty=ReadingDuty(
                clock=self.reactor,
                own_host=OWN_HOST,
                is_alone=False,
                peers=lambda: view.store_access(now=self.reactor.seconds()),
            ),
            tracker=WorkTracker(),
            copies=self.copies,
            crashes=CrashRecord(clock=self.reactor),
            log=EventLog(process="p", role="gateway", stream=self.log),
        )

    @property
    def n_connections(self) -> int:
        return len(self.reactor.tcpClients)

    def hear_of_change(self, revision: int) -> None:
        report = GatewayReport(
            incarnation="peer",
            sequence=revision,
            is_complete=True,
            work=[],
            revisions=[CopyRevision(prefix=PREFIX, revision=revision, era=1)],
            members=[],
            deaths=[],
            store_access=0,
            failure_domain="d",
            parts=[],
        )
        self.exchange.datagramReceived(encode_message(report), (PEER_HOST, 1))

    def accept(self) -> ClosingTransport:
        transport = connect(self.reactor.tcpClients[-1][2].buildProtocol(None))
        self.reactor.advance(0)
        return transport


@pytest.fixture
def asking():
    asking = Asking()
    asking.hear_of_change(1)
    return asking


def send_copy(transport):
    answer = CopyAnswer(
        prefix=PREFIX, revision=1, items=[], is_delta=False, era=1, lost_writes=[]
    )
    transport.protocol.dataReceived(frame(answer))


def test_a_copy_that_is_too_large_ends_its_connection_at_once(asking):
    transport = asking.accept()
    transport.protocol.dataReceived((MAX_COPY_BYTES + 1).to_bytes(4, "big"))
    assert transport.disconnecting
    assert asking.log.getvalue().count("peer_unreachable") == 1


@pytest.mark.parametrize("answer", [Beat(sender_clock=0), CopyAnswer(prefix="b/")])
def test_an_answer_that_is_no_copy_is_logged_and_asked_for_again(asking, answer):
    transport = asking.accept()
    transport.protocol.dataReceived(frame(answer))
    assert transport.disconnecting
    assert asking.log.getvalue().count("peer_unreachable") == 1
    asking.hear_of_change(2)
    assert asking.n_connections == 1
    asking.reactor.advance(COPY_RETRY_SECONDS)
    asking.hear_of_change(3)
    assert asking.n_connections == 2
    send_copy(asking.accept())
    assert asking.log.getvalue().count("copy_taken") == 1


@pytest.fixture
def answering():
    reactor = MemoryReactorClock()
    copies = PublishedCopies(prefixes=(PREFIX,), clock=reactor)
    item = PublishedItem(key="a/x", revision=1, value=b"v")
    copies.replace(PREFIX, [item], revision=1, era=1)
    return reactor, CopyFactory(copies=copies, clock=reactor)


def test_a_query_that_is_too_large_ends_its_connection_at_once(answering):
    transport = connect(answering[1].buildProtocol(None))
    transport.protocol.dataReceived((MAX_QUERY_BYTES + 1).to_bytes(4, "big"))
    assert transport.disconnecting


@pytest.mark.parametrize("sent", [b"", b"\0", frame(CopyQuery(prefix=PREFIX))])
def test_a_connection_for_copies_is_closed_in_time(answering, sent):
    reactor, factory = answering
    transport = connect(factory.buildProtocol(None))
    transport.protocol.dataReceived(sent)
    reactor.advance(QUERY_SECONDS - 0.1)
    assert not transport.disconnecting
    reactor.advance(0.1)
    assert transport.disconnecting
    assert not reactor.getDelayedCalls()


def test_a_connection_is_for_one_query(answering):
    transport = connect(answering[1].buildProtocol(None))
    query = frame(CopyQuery(prefix=PREFIX))
    transport.protocol.dataReceived(query)
    n_bytes = len(transport.value())
    assert n_bytes
    transport.protocol.dataReceived(query * 3)
    assert transport.disconnecting
    assert len(transport.value()) == n_bytes


@pytest.mark.parametrize("message", [Beat(sender_clock=0), CopyQuery(prefix="b/")])
def test_another_message_than_a_known_query_ends_the_connection(answering, message):
    transport = connect(answering[1].buildProtocol(None))
    transport.protocol.dataReceived(frame(message))
    assert transport.disconnecting
