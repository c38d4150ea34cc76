"""What holds of a write that the store has lost, by the kind of its key."""

import json

import pytest

from bilberryring.platform.loss_rules import PlatformLossRules
from bilberryring.standins.gateway_site import make_configuration

CONFIGURATION, ENDPOINT, EVACUATION = "op/config", "servers/a", "op/evacuate/north"


@pytest.fixture
def rules():
    return PlatformLossRules()


def configuration(version):
    return json.dumps(make_configuration(version)).encode()


def endpoint(state="ready", born=5):
    return json.dumps(
        {
            "service": "s",
            "address": "127.0.0.1:1",
            "zone": "north",
            "slots": 1,
            "state": state,
            "born": born,
        }
    ).encode()


@pytest.mark.parametrize(("stored", "expected"), [(4, False), (5, True), (6, True)])
def test_a_configuration_goes_by_its_version(rules, stored, expected):
    lost = configuration(5)
    assert rules.supersedes(CONFIGURATION, configuration(stored), lost) is expected


def test_an_unreadable_value_supersedes_nothing_and_holds_against_nothing(rules):
    for key, readable in ((CONFIGURATION, configuration(1)), (ENDPOINT, endpoint())):
        assert not rules.supersedes(key, b"{", readable)
        assert rules.supersedes(key, readable, b"{")
        assert rules.supersedes(key, b"{", b"[")


@pytest.mark.parametrize(
    ("stored", "lost", "expected"),
    [
        (endpoint(), endpoint("draining"), False),
        (endpoint("draining"), endpoint("draining"), True),
        (endpoint("draining"), endpoint(), True),
        (endpoint(born=6), endpoint("draining"), True),
        (endpoint(born=4), endpoint(), False),
    ],
)
def test_an_endpoint_that_was_leaving_is_not_ready_again(rules, stored, lost, expected):
    assert rules.supersedes(ENDPOINT, stored, lost) is expected


def test_an_endpoint_that_had_left_is_known_by_its_start(rules):
    assert rules.is_same(ENDPOINT, endpoint(), endpoint("draining"))
    assert not rules.is_same(ENDPOINT, endpoint(born=6), endpoint())
    assert not rules.is_same(EVACUATION, b"{}", b"{}")
