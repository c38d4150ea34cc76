"""Callers' connections that are kept while the idle limit goes down and up."""

import pytest

from bilberryring.standins.gateway_site import PLAIN_SERVICE
from bilberryring.testing.played_gateway import (
    LAST_RECORDS,
    WHOLE_ANSWER,
    PlayedGateway,
)

LEAST_IDLE_MS = 1
IDLE_MS = 5_000
LIMITS_MS = [(LEAST_IDLE_MS, IDLE_MS), (IDLE_MS, LEAST_IDLE_MS)]
"""Idle limits before and after a change."""
N_REQUESTS = 12
N_HELD = {"head": 80, "body": 10}
BUSY_SECONDS = 1.0


class KeptConnection:
    """A caller that sends one request after the other, and the operators."""

    def __init__(self):
        self.site = PlayedGateway()
        self._version = 0
        self.caller = None
        self.set_limit(IDLE_MS)
        self.site.announce("e20", service=PLAIN_SERVICE)
        self.site.turn(1.2)

    def set_limit(self, idle_ms):
        self._version += 1
        self.site.publish(self._version, limits={"idle_timeout_ms": idle_ms})

    def turn(self, seconds=0.0):
        self.site.turn(seconds)
        for _ in range(4):
            self.site.accept_all()
            self.site.turn()

    def begin(self, n_held=0):
        """Send a request on the kept connection, or a new one if it was closed."""
        if self.caller is None or not self.caller.is_free:
            self.caller = None
        call = self.site.call("/look/", caller=self.caller, n_held=n_held)
        self.caller = call.caller
        return call

    def answer(self, call):
        """Let the endpoint answer; it gets the request once."""
        self.turn()
        while self.site.live_runs:
            self.site.live_runs[0].send_next(now=self.site.clock.seconds())
            self.turn(0.01)
        assert (call.status, call.body) == (200, WHOLE_ANSWER), vars(call)
        assert call.is_whole


@pytest.mark.parametrize("limits", LIMITS_MS)
@pytest.mark.parametrize("held", N_HELD)
@pytest.mark.parametrize("seconds", [0.002, 0.3, BUSY_SECONDS])
def test_an_idle_limit_that_changes_closes_no_connection_with_half_a_request(
    held, seconds, limits
):
    kept = KeptConnection()
    for _ in range(N_REQUESTS):
        kept.set_limit(limits[0])
        call = kept.begin(N_HELD[held])
        kept.turn(seconds)
        kept.set_limit(limits[1])
        kept.turn(seconds)
        call.caller.send_rest()
        kept.answer(call)
    assert len(kept.site.events(*LAST_RECORDS)) == N_REQUESTS


@pytest.mark.parametrize("limits", LIMITS_MS)
@pytest.mark.parametrize("seconds", [0.002, 0.3, BUSY_SECONDS])
@pytest.mark.parametrize("is_begun", [False, True])
def test_an_idle_limit_that_changes_closes_no_connection_during_an_answer(
    is_begun, seconds, limits
):
    kept = KeptConnection()
    for _ in range(N_REQUESTS):
        kept.set_limit(limits[0])
        call = kept.begin()
        kept.turn()
        if is_begun:
            kept.site.live_runs[0].send_next(now=kept.site.clock.seconds())
        kept.turn(seconds)
        kept.set_limit(limits[1])
        kept.turn(seconds)
        kept.answer(call)
    assert len(kept.site.events(*LAST_RECORDS)) == N_REQUESTS


@pytest.mark.parametrize("limits", LIMITS_MS)
@pytest.mark.parametrize("n_turns", range(3))
def test_a_request_that_arrives_at_a_busy_gateway_beside_an_idle_limit_is_answered(
    limits, n_turns
):
    kept = KeptConnection()
    for _ in range(N_REQUESTS):
        kept.set_limit(limits[0])
        kept.answer(kept.begin())
        kept.site.clock.advance(BUSY_SECONDS)
        kept.set_limit(limits[1])
        for _ in range(n_turns):
            kept.site.clock.advance(0.0)
        kept.answer(kept.begin())
    records = kept.site.events(*LAST_RECORDS)
    assert [record["event"] for record in records] == ["request_finished"] * len(
        records
    )
    assert len(records) == 2 * N_REQUESTS
