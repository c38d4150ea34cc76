"""No two holders of loopback networks have an address in common."""

import random
import socket
import subprocess
import sys

import pytest

from bilberryring.standins.gateway_site import GatewaySite
from bilberryring.standins.loopback import LoopbackNetwork

HOLDER = """
import sys
from bilberryring.standins.loopback import LoopbackNetwork

network = LoopbackNetwork()
print(network.host(1), flush=True)
sys.stdin.read()
"""


@pytest.fixture
def network():
    with LoopbackNetwork() as network:
        yield network


@pytest.fixture
def draw_first(monkeypatch):
    """A function after which the network of an address is drawn first."""

    def patch(address):
        first = [int(number) for number in address.split(".")[1:3]]
        draws = random.Random(1)

        class Numbers:
            def randrange(self, start, stop):
                return first.pop(0) if first else draws.randrange(start, stop)

        monkeypatch.setattr(random, "SystemRandom", Numbers)
        return lambda: not first

    return patch


def test_a_network_that_is_drawn_twice_is_held_once(network, draw_first):
    is_drawn = draw_first(network.host(1))
    with LoopbackNetwork() as second:
        assert second.host(1) != network.host(1)
    assert is_drawn()


def test_two_sites_have_different_addresses_if_the_same_are_drawn(draw_first):
    first = GatewaySite()
    is_drawn = draw_first(first.operator_address())
    second = GatewaySite()
    try:
        assert second.operator_address() != first.operator_address()
        assert is_drawn()
    finally:
        first.stop()
        second.stop()


def test_a_network_of_another_process_is_free_once_that_is_killed(draw_first):
    with subprocess.Popen(
        [sys.executable, "-c", HOLDER],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as holder:
        try:
            address = holder.stdout.readline().strip()
            draw_first(address)
            with LoopbackNetwork() as network:
                assert network.host(1) != address
        finally:
            holder.kill()
    draw_first(address)
    with LoopbackNetwork() as network:
        assert network.host(1) == address


def test_a_network_can_be_claimed_again_after_its_close(network, draw_first):
    address = network.host(1)
    network.close()
    draw_first(address)
    with LoopbackNetwork() as again:
        assert again.host(1) == address


def test_an_address_is_returned_once_also_after_its_listener_has_closed(network):
    addresses = [network.allocate() for _ in range(20)]
    for _ in range(20):
        with network.listen() as listener:
            addresses.append("{}:{}".format(*listener.getsockname()))
    assert len(set(addresses)) == 40


def test_an_address_that_has_a_listener_is_passed_over(network):
    host, port = network.allocate().split(":")
    with socket.create_server((host, int(port) + 1)):
        assert network.allocate() != f"{host}:{int(port) + 1}"


def test_an_outgoing_connection_has_no_address_of_a_network(network):
    prefix = network.host(1).rpartition(".")[0]
    with (
        network.listen() as listener,
        socket.create_connection(listener.getsockname()) as connection,
    ):
        host, _ = connection.getsockname()
        assert not host.startswith(f"{prefix}.")
