"""Callers that connect to a gateway while it loads its modules."""

import contextlib
import os
import time

import pytest

from bilberryring.platform.early_start import open_caller_listener
from bilberryring.platform.names import SETTINGS_VARIABLE
from bilberryring.process.early_listener import EarlyDecision
from bilberryring.standins.gateway_site import GatewaySite, make_configuration
from bilberryring.standins.scripted_endpoint import answer_all

CONNECT_SECONDS = 10.0


@pytest.fixture
def site():
    site = GatewaySite(gateways=2).start()
    site.publish(make_configuration())
    site.add_endpoint("a", answer_all)
    yield site
    site.stop()


def connect_while_starting(site):
    """Return a connection to the first gateway as soon as it accepts one."""
    until = time.monotonic() + CONNECT_SECONDS
    while time.monotonic() < until:
        with contextlib.suppress(ConnectionRefusedError):
            connection = site.connect()
            connection.connect()
            return connection
    raise AssertionError("no connection was accepted")


def decisions(site, number):
    return [line["decision"] for line in site.log_events(number, "listener_opened")]


def test_a_request_that_is_sent_during_a_start_is_answered(site):
    # Guards against refused connections, and against refusals for want of a
    # configuration that is read a moment later.
    site.start_gateway(is_awaited=False)
    connection = connect_while_starting(site)
    assert not site.log_events(1)
    assert site.call("/look/", connection=connection).status == 200
    assert decisions(site, 1) == [EarlyDecision.NO_PEER_SERVES.value]


def test_a_gateway_that_starts_beside_one_that_serves_refuses_callers_until_then(site):
    site.start_gateway(2)
    site.start_gateway(1)
    assert decisions(site, 1) == [EarlyDecision.PEER_SERVES.value]
    assert site.call("/look/").status == 200


@pytest.mark.parametrize(
    "text", ["", "listen = 1", '[listen]\nfront = "x"\nready = ":y"', "seeds = [1"]
)
def test_faulty_settings_are_left_to_the_start(tmp_path, monkeypatch, text):
    path = tmp_path / "settings.toml"
    path.write_text(text, "utf-8")
    monkeypatch.setitem(os.environ, SETTINGS_VARIABLE, str(path))
    assert open_caller_listener().decision is EarlyDecision.FAILED
