"""A listener that is open before the process has loaded its modules."""

import socket

import pytest

from bilberryring.process.early_listener import EarlyDecision, open_early
from bilberryring.standins.loopback import LoopbackNetwork


@pytest.fixture
def network():
    with LoopbackNetwork() as network:
        yield network


def address_of(listener):
    return listener.getsockname()


def free_address(network):
    host, _, port = network.allocate().rpartition(":")
    return host, int(port)


def test_callers_connect_before_the_process_accepts(network):
    # Guards against refused connections while all gateways of a fleet start.
    opened = open_early(free_address(network), ready_addresses=[free_address(network)])
    assert opened.decision is EarlyDecision.NO_PEER_SERVES
    with opened.socket, socket.create_connection(address_of(opened.socket), 5.0):
        opened.socket.setblocking(True)
        connection, _ = opened.socket.accept()
        connection.close()


def test_a_listener_stays_closed_while_a_peer_serves(network):
    # Guards against callers that wait for a start though a retry elsewhere is served.
    own = free_address(network)
    with network.listen() as peer:
        addresses = [free_address(network), address_of(peer)]
        opened = open_early(own, ready_addresses=addresses)
    assert (opened.socket, opened.decision) == (None, EarlyDecision.PEER_SERVES)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(own, 5.0)


def test_an_address_in_use_is_left_to_the_start(network):
    with network.listen() as other:
        opened = open_early(address_of(other), ready_addresses=[])
    assert (opened.socket, opened.decision) == (None, EarlyDecision.FAILED)
    assert "in use" in opened.detail
