"""Links of peers that have not said who they are count for a budget."""

import pytest
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from bilberryring.budget import BudgetLimits
from bilberryring.http import ClientBudget
from bilberryring.wire import LinkProtocol
from bilberryring.wire import link as link_module

KIB = 1024
HALF_FRAME = (64 * KIB).to_bytes(4, "big") + b"x" * 40 * KIB


class LinkTransport(StringTransport):
    """Ends the connection when it is aborted, and takes all socket options."""

    def abortConnection(self):
        if self.connected:
            self.connected = False
            self.protocol.connectionLost(Failure(ConnectionDone()))


@pytest.fixture(autouse=True)
def no_socket_options(monkeypatch):
    monkeypatch.setattr(link_module, "set_tcp_options", lambda transport: None)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def budget(clock):
    limits = BudgetLimits(memory_bytes=512 * KIB, max_connections=30, max_sockets=99)
    return ClientBudget(clock=clock, limits=limits)


@pytest.fixture
def connect(clock, budget):
    def connect(data=b""):
        link = LinkProtocol(
            clock=clock,
            on_open=lambda link: None,
            on_message=lambda link, message: None,
            on_closed=lambda link: None,
            budget=budget,
        )
        transport = LinkTransport()
        transport.protocol = link
        link.makeConnection(transport)
        link.dataReceived(data)
        return link

    return connect


def test_half_sent_frames_of_unknown_peers_stay_within_the_budget(connect, budget):
    """Each may hold 64 KiB for ten seconds, and nothing bounded their number."""
    links = [connect(HALF_FRAME) for _ in range(20)]
    assert budget.held_bytes <= 512 * KIB
    assert any(link.is_open for link in links)


def test_a_peer_that_said_who_it_is_keeps_its_link(connect, budget, clock):
    known = connect()
    known.keep()
    known.dataReceived(HALF_FRAME)
    for _ in range(40):
        clock.advance(1.4)
        connect(HALF_FRAME)
    assert known.is_open
    assert budget.n_connections <= 30


def test_a_closed_link_holds_nothing(connect, budget):
    for link in [connect(HALF_FRAME) for _ in range(5)]:
        if link.is_open:
            link.transport.abortConnection()
    assert budget.held_bytes == budget.n_connections == 0


def test_output_that_an_unknown_peer_does_not_read_counts(connect, budget):
    """A copy of published items has up to 16 MiB, and any client may ask for one."""
    link = connect()
    link.transport.dataBuffer = b"x" * 300 * KIB
    assert budget.update() == 0
    assert budget.held_bytes > 300 * KIB
    link.keep()
    link.transport.dataBuffer = b""
    assert budget.update() == 0
