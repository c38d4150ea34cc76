"""Requests that arrive on kept connections about when their idle time ends."""

import pytest

from bilberryring.standins.gateway_site import (
    make_configuration,
    read_answer,
    request_headers,
)
from bilberryring.standins.scripted_endpoint import answer_all
from bilberryring.testing.processes import pause

IDLE_SECONDS = 1.5


@pytest.fixture
def gateway(site):
    limits = {"idle_timeout_ms": int(IDLE_SECONDS * 1_000)}
    site.publish(make_configuration(2, limits=limits))
    site.endpoint = site.add_endpoint("a", answer_all)
    site.start_gateway()
    return site


@pytest.mark.parametrize("path", ["/look/", "/charge/"])
def test_requests_that_wait_while_the_process_is_busy_are_not_lost_to_the_idle_limit(
    gateway, path
):
    connections = [gateway.connect() for _ in range(8)]
    for connection in connections:
        assert gateway.call("/look/", connection=connection).status == 200
    process = gateway.process("gateway-1")
    pause(IDLE_SECONDS - 0.4)
    process.suspend()
    for connection in connections:
        connection.request("POST", path, b"x", request_headers())
    pause(0.6)
    process.resume()
    answers = [read_answer(connection) for connection in connections]
    assert [answer.status for answer in answers] == [200] * 8


def test_an_open_connection_follows_a_longer_idle_limit(gateway):
    connection = gateway.connect()
    assert gateway.call("/look/", connection=connection).status == 200
    limits = {"idle_timeout_ms": int(4 * IDLE_SECONDS * 1_000)}
    gateway.publish(make_configuration(3, limits=limits))
    pause(2 * IDLE_SECONDS)
    assert gateway.call("/look/", connection=connection).status == 200


def test_an_idle_connection_is_closed_at_its_limit(gateway):
    caller = gateway.caller_socket()
    caller.settimeout(IDLE_SECONDS + 1.0)
    assert caller.recv(1) == b""
