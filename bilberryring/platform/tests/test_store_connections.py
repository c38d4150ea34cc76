"""Connections to the store: a late copy of an answer reaches no other prefix."""

import io
import re

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.testing import StringTransport

from bilberryring.gateway.daemon import GatewayDaemon
from bilberryring.gateway.tests.test_drain import ListeningReactor
from bilberryring.platform.adapter import PREFIXES, HttpHeaderCodec, PlatformAdapter
from bilberryring.platform.store import StoreClient
from bilberryring.telemetry import EventLog
from bilberryring.testing.memory_endpoint import MemoryEndpoint
from bilberryring.testing.peer_network import make_settings

BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
PREFIX = re.compile(rb"GET [^ ]*[?&]prefix=([^& ]+)")
N_TURNS = 300
TURN_SECONDS = 0.1


class StoreTransport(StringTransport):
    """A connection whose requests the test answers."""

    def setTcpNoDelay(self, enabled):
        pass

    def abortConnection(self):
        self.loseConnection()


class Store:
    """Refuses all requests, and records which prefixes came on which connection."""

    def __init__(self, reactor):
        self._reactor = reactor
        self._n_accepted = 0
        self._connections: list[StoreTransport] = []
        self.prefixes: list[set[bytes]] = []

    def serve(self) -> None:
        for client in self._reactor.tcpClients[self._n_accepted :]:
            self._n_accepted += 1
            transport = StoreTransport()
            transport.protocol = client[2].buildProtocol(None)
            self._connections.append(transport)
            self.prefixes.append(set())
            transport.protocol.makeConnection(transport)
        waiting = [item for item in self._connections if item.value()]
        for transport in waiting:
            found = PREFIX.findall(transport.value())
            self.prefixes[self._connections.index(transport)].update(found)
            transport.clear()
        for transport in waiting:
            transport.protocol.dataReceived(BUSY)


@pytest.fixture
def store():
    reactor = ListeningReactor()
    daemon = GatewayDaemon(
        reactor=reactor,
        settings=make_settings("10.0.0.1", ()),
        log=EventLog(process="p", role="gateway", stream=io.StringIO()),
        codec=HttpHeaderCodec(),
        adapter_class=PlatformAdapter,
    )
    daemon.start()
    store = Store(reactor)
    for _ in range(N_TURNS):
        store.serve()
        reactor.advance(TURN_SECONDS)
    return store


def test_a_connection_to_the_store_is_for_one_prefix(store):
    assert len(store.prefixes) >= len(PREFIXES)
    assert all(len(prefixes) == 1 for prefixes in store.prefixes), store.prefixes
    assert len(set.union(*store.prefixes)) == len(PREFIXES)


def test_a_copy_of_an_answer_to_the_same_prefix_skips_no_change():
    endpoint = MemoryEndpoint(persistent=True)
    store = StoreClient(client=endpoint.client)
    body = b'{"events":[{"key":"a/x","revision":7,"value":"e30="}],"store_revision":7}'
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    listings = []
    for after in (1, 7):
        watching = store.watch("a/", after=after, era=0, wait=1.0, patience=1.0)
        Deferred.fromCoroutine(watching).addBoth(listings.append)
        if not endpoint.is_open:
            endpoint.open()
        endpoint.send(answer)
    assert endpoint.connections == 1
    assert [listing.revision for listing in listings] == [7, 7]
    assert [len(listing.items) for listing in listings] == [1, 1]
