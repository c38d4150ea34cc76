"""Connections through the relay that lose what is sent on them."""

import socket

import msgspec
import pytest

from bilberryring.platform import names
from bilberryring.process.settings import host_and_port
from bilberryring.standins.loopback import process_network
from bilberryring.standins.scripted_endpoint import ScriptedEndpoint, answer_all
from bilberryring.testing.platform_control import send_request
from bilberryring.testing.processes import ManagedProcess
from bilberryring.testing.relay import Route, RouteMode

REQUEST = b"GET / HTTP/1.1\r\n%s: a\r\nContent-Length: 1\r\n\r\nx" % names.REQUEST_ID


@pytest.fixture
def control(tmp_path):
    """A function that sends a message to a relay process."""
    process = ManagedProcess(
        name="relay", arguments=["bilberryring.testing.main"], directory=tmp_path
    )
    address = f"127.0.0.1:{process.listening_port()}"
    yield lambda path, body: send_request(
        "POST", address, path, msgspec.json.encode(body)
    )
    process.kill()


def exchange(connection):
    """Send a request and return what arrives, or nothing after half a second."""
    connection.settimeout(0.5)
    connection.sendall(REQUEST)
    try:
        return connection.recv(4096)
    except TimeoutError:
        return b""


def test_open_connections_fall_silent_until_they_are_reset_and_new_ones_work(control):
    endpoint = ScriptedEndpoint(script=answer_all)
    listen = process_network().allocate()
    relayed = host_and_port(listen)
    control("/routes", Route(name="r", listen=listen, target=endpoint.address))
    with (
        socket.create_connection(relayed) as first,
        socket.create_connection(relayed) as second,
    ):
        assert b"200 OK" in exchange(first)
        control("/modes", RouteMode(name="r", silence_open=True))
        assert exchange(first) == b""
        with socket.create_connection(relayed) as third:
            assert b"200 OK" in exchange(third)
            control("/modes", RouteMode(name="r"))
            assert b"200 OK" in exchange(third)
        for connection in (first, second):
            with pytest.raises(ConnectionResetError):
                connection.recv(1)
    endpoint.close()
