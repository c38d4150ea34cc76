"""A whole gateway learns the speed of plain endpoints and shows it, clock paused."""

import pytest

from bilberryring.standins.gateway_site import MODEL_SERVICE, PLAIN_SERVICE
from bilberryring.testing.played_gateway import PlayedGateway

NAMES = ("e21", "e22", "e23", "e24")
SLOW = "e22"
USUAL_SECONDS = 0.04


class Site:
    """A gateway before four endpoints that answer one call after the other."""

    def __init__(self, *, service=PLAIN_SERVICE, **options):
        self.gateway = PlayedGateway(**options)
        self.gateway.publish(1)
        for name in NAMES:
            self.gateway.announce(name, service=service)
        self.turn(1.2)
        self.slowdown = 1.0
        self.sent_to = []

    def turn(self, seconds):
        """Let time pass in steps that are shorter than a tick."""
        for _ in range(max(1, round(seconds / 0.02))):
            self.gateway.turn(min(seconds, 0.02))
            for _ in range(4):
                self.gateway.accept_all()
                self.gateway.turn()

    def call(self, count):
        """Make calls, each of which is answered in the time of its endpoint."""
        for _ in range(count):
            self.gateway.call("/look/")
            self.turn(0.0)
            (run,) = self.gateway.live_runs
            name = f"e{run.address.split('.')[-1].split(':')[0]}"
            self.sent_to.append(name)
            self.turn(USUAL_SECONDS * (self.slowdown if name == SLOW else 1.0))
            while not run.is_over:
                run.send_next(now=self.gateway.clock.seconds())
                self.turn(0.0)
        # The metrics follow once a second, and a log line with them.
        self.turn(0.5)

    def status_of(self, name):
        endpoints = self.gateway.status().endpoints
        return next(item for item in endpoints if item.endpoint == name)


@pytest.fixture
def site():
    site = Site()
    site.call(40)
    return site


def test_answers_of_a_played_service_are_samples(site):
    """Guards against plain endpoints that are chosen by their load alone."""
    site.slowdown = 8.0
    site.sent_to.clear()
    site.call(60)
    assert site.status_of(SLOW).slowdown > 1.5
    assert site.sent_to[20:].count(SLOW) < 6
    assert min(site.sent_to.count(name) for name in NAMES if name != SLOW) > 10


def test_recovered_endpoint_gets_calls_again(site):
    """Guards against a plain endpoint without calls after five sound seconds."""
    site.slowdown = 8.0
    site.call(60)
    site.slowdown = 1.0
    site.call(120)
    site.sent_to.clear()
    site.call(40)
    assert site.sent_to.count(SLOW) >= 5


def test_slow_endpoint_is_logged_exported_and_shown(site):
    """Guards against work that moves away without a trace for operators."""
    assert site.gateway.events("endpoint_speed_changed") == []
    site.slowdown = 8.0
    site.call(60)
    lines = site.gateway.events("endpoint_speed_changed")
    assert {line["endpoint"] for line in lines} == {SLOW}
    assert 1 <= len(lines) <= 4
    (shown,) = [
        line
        for line in site.gateway.metrics().splitlines()
        if line.startswith("endpoint_slowdown{") and 'what="slowest"' in line
    ]
    assert f'service="{PLAIN_SERVICE}"' in shown
    assert float(shown.split()[-1]) > 1.5
    others = {site.status_of(name).slowdown for name in NAMES if name != SLOW}
    assert max(others) < 1.35 < site.status_of(SLOW).slowdown


def test_switch_turns_learning_off():
    """Guards against a switch that turns off only a part."""
    site = Site(learns_capacity=False)
    site.call(40)
    site.slowdown = 8.0
    site.call(60)
    assert site.status_of(SLOW).slowdown == 1.0
    assert site.gateway.events("endpoint_speed_changed") == []
    assert site.sent_to[40:].count(SLOW) >= 10


def test_pace_of_a_played_stream_is_a_sample():
    """Guards against streams whose events are passed on and not timed."""
    site = Site(service=MODEL_SERVICE)
    gateway = site.gateway
    gateway.call("/chat/", tokens="5000,600")
    site.turn(0.0)
    (run,) = gateway.live_runs
    name = f"e{run.address.split('.')[-1].split(':')[0]}"
    # The head and the first event, in the time that was predicted.
    site.turn(0.08)
    for gap in (0.0, 0.0, 0.4, 0.4):
        site.turn(gap)
        run.send_next(now=gateway.clock.seconds())
        site.turn(0.0)
    assert site.status_of(name).slowdown > 2.0
