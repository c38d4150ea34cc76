"""What counts as a sample of an endpoint's speed, on a paused clock.

A slow endpoint must be told from one that is loaded, far away, cold, or stopped by a
long prompt, and from a gateway or a caller that is itself slow.
"""

import math
from dataclasses import replace
from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from bilberryring.capacity import TICK_SECONDS, EndpointSpeeds
from bilberryring.fleet import AnnouncedEndpoint, EndpointState, Service
from bilberryring.gateway.capacity_samples import CapacitySamples
from bilberryring.gateway.endpoint_choice import Choice
from bilberryring.gateway.request_context import Attempt
from bilberryring.routing import EndpointWork, PlacedRequest
from bilberryring.testing.prompt_load import FIGURES

ENGINE = Service(
    name="s", max_connections=10, cold_requests_per_second=0.0, engine=FIGURES
)
ENDPOINT = AnnouncedEndpoint(
    id="a",
    service="s",
    address="a:1",
    failure_domain="north",
    slots=8,
    state=EndpointState.READY,
    started_at_ms=1,
)
WORK = EndpointWork(requests=2, kv_tokens=12_000)
PASS_SECONDS = FIGURES.pass_ms(streams=2, context_tokens=12_000) / 1_000
PREDICTED_MS = 80.0


class Site:
    """A gateway's samples of one endpoint, whose work a test sets."""

    def __init__(self, *, is_on=True):
        self.clock = Clock()
        self.work = WORK
        self.speeds = EndpointSpeeds(seed=1, is_on=is_on)
        chooser = SimpleNamespace(work=lambda endpoint, now: self.work)
        self.samples = CapacitySamples(
            clock=self.clock, chooser=chooser, speeds=self.speeds, is_on=is_on
        )
        self.service = ENGINE
        self.endpoint = ENDPOINT
        self.held_back_until = 0.0
        self._tick()

    def _tick(self):
        self.samples.tick()
        self.clock.callLater(TICK_SECONDS, self._tick)

    def advance(self, seconds):
        for _ in range(round(seconds / 0.005)):
            self.clock.advance(0.005)

    def stall(self, seconds):
        """Let the process not run for a while: its timers run late, at the end."""
        self.clock.rightNow += seconds
        self.clock.advance(0.0)

    def send(self, *, helpers=(), predicted_ms=PREDICTED_MS, backlog_ms=0.0):
        choice = Choice(
            endpoint=self.endpoint,
            helpers=helpers,
            placed=PlacedRequest(lead="a", part_ms=20.0),
            predicted_ms=predicted_ms,
            backlog_ms=backlog_ms,
        )
        attempt = Attempt(choice=choice, stream=None)
        attempt.sent_at = self.clock.seconds()
        return attempt

    def context(self, status=200):
        return SimpleNamespace(
            service=self.service,
            exchange=SimpleNamespace(held_back_until=self.held_back_until),
            status=status,
        )

    def stream(self, gaps, *, first=PREDICTED_MS / 1_000):
        """Play one stream whose events come with these gaps, in seconds."""
        attempt = self.send()
        self.advance(first)
        self.samples.first_event(self.context(), attempt)
        attempt.choice.placed.is_in_prefill = False
        for gap in gaps:
            self.advance(gap)
            self.samples.event(self.context(), attempt)

    def answer(self, seconds, *, status=200, paused_until=0.0):
        """Play one call of a plain service."""
        attempt = self.send(predicted_ms=0.0)
        self.advance(seconds)
        self.samples.answered(self.context(status), attempt, paused_until=paused_until)

    @property
    def slowdown(self):
        return self.speeds.slowdown("a", now=self.clock.seconds())


@pytest.fixture
def site():
    site = Site()
    site.advance(1.0)
    return site


@pytest.fixture
def plain():
    """A site of a plain service whose usual response time is 40 ms."""
    site = Site()
    site.service = replace(ENGINE, engine=None)
    site.advance(1.0)
    for _ in range(40):
        site.answer(0.04)
    return site


def test_pace_of_a_slow_engine(site):
    """Guards against streams whose pace is not looked at."""
    site.stream([3 * PASS_SECONDS] * 12)
    assert 2.5 < site.slowdown < 3.5


def test_sound_stream_is_no_sign(site):
    """Guards against estimates of endpoints that keep to their predictions."""
    site.stream([PASS_SECONDS] * 30)
    assert 0.8 < site.slowdown < 1.2


def test_first_token_of_a_slow_engine(site):
    """Guards against an engine that is noticed only by streams that last."""
    for _ in range(3):
        site.stream([], first=8 * 0.1)
    assert site.slowdown > 2.5


def test_awaited_first_token_counts_before_it_comes(site):
    """Guards against a verdict that waits for the response of a very slow engine."""
    attempt = site.send()
    site.advance(0.25)
    site.samples.waiting(site.context(), attempt)
    assert site.slowdown == 1.0
    site.advance(0.5)
    site.samples.waiting(site.context(), attempt)
    assert site.slowdown > 1.8


def test_loaded_engine_is_not_slow(site):
    """Guards against an engine that counts as slow by its known load."""
    site.work = EndpointWork(requests=8, kv_tokens=200_000)
    gap = FIGURES.pass_ms(streams=8, context_tokens=200_000) / 1_000
    assert gap > 1.4 * PASS_SECONDS
    site.stream([gap] * 20)
    assert 0.8 < site.slowdown < 1.2


def test_engine_stopped_by_a_long_prompt_is_not_slow(site):
    """Guards against passes that are long by another prompt's part, for a while."""
    site.work = replace(WORK, prefill_ms=1_500.0)
    site.stream([0.55, 0.55, 0.45, PASS_SECONDS, PASS_SECONDS])
    assert site.slowdown < 1.2


def test_unknown_part_in_one_pass_is_not_slow(site):
    """Guards against a prompt of a gateway that reports nothing to this one."""
    gaps = [PASS_SECONDS] * 4 + [0.4] + [PASS_SECONDS] * 6
    site.stream(gaps)
    assert site.slowdown < 1.2


def test_slow_engine_stays_slow_beside_prompts(site):
    """Guards against a slow engine that passes for sound as others are prefilled."""
    site.stream([3 * PASS_SECONDS] * 12)
    site.work = replace(WORK, prefill_ms=120.0)
    site.stream([3 * PASS_SECONDS] * 12)
    assert site.slowdown > 2.0


def test_paused_gateway_takes_no_samples(site):
    """Guards against endpoints that count as slow as this process did not run."""
    attempt = site.send()
    site.stall(2.0)
    site.samples.first_event(site.context(), attempt)
    assert site.slowdown == 1.0
    for _ in range(4):
        site.stall(0.3)
        site.samples.event(site.context(), attempt)
    assert site.slowdown == 1.0


def test_slow_reader_is_no_slow_endpoint(site):
    """Guards against callers that hold back a stream."""
    attempt = site.send()
    site.samples.first_event(site.context(), attempt)
    for _ in range(6):
        site.advance(0.3)
        site.held_back_until = site.clock.seconds()
        site.samples.event(site.context(), attempt)
    assert site.slowdown < 1.35


def test_slow_link_is_no_slow_endpoint(site):
    """Guards against far endpoints that count as slow by their round-trip time."""
    since = site.clock.seconds()
    site.advance(0.4)
    site.samples.connected(ENDPOINT, since=since)
    for _ in range(4):
        site.stream([PASS_SECONDS] * 10, first=0.48)
    assert site.slowdown < 1.2


def test_far_plain_endpoint_is_not_slow(plain):
    """Guards against the round-trip time in the response times of plain services."""
    since = plain.clock.seconds()
    plain.advance(0.2)
    plain.samples.connected(ENDPOINT, since=since)
    for _ in range(20):
        plain.answer(0.24)
    assert plain.slowdown < 1.2


def test_prompts_that_were_over_make_no_fast_engine(site):
    """Guards against an engine that draws work as its load was overestimated."""
    for _ in range(6):
        attempt = site.send(predicted_ms=480.0, backlog_ms=400.0)
        site.advance(0.08)
        site.samples.first_event(site.context(), attempt)
    assert site.slowdown > 0.95


def test_cold_endpoint_is_not_slow(site):
    """Guards against a verdict on an endpoint that has just started."""
    site.endpoint = replace(ENDPOINT, cold_until=60.0)
    site.stream([3 * PASS_SECONDS] * 12, first=0.9)
    assert site.slowdown == 1.0


def test_prompt_with_helpers_is_no_sample_of_the_lead(site):
    """Guards against a lead that counts as slow because a helper is."""
    attempt = site.send(helpers=(replace(ENDPOINT, id="b"),))
    site.advance(3.0)
    site.samples.first_event(site.context(), attempt)
    assert site.slowdown == 1.0


def test_plain_endpoint_that_is_slower(plain):
    """Guards against plain services whose endpoints all count as equal."""
    for _ in range(8):
        plain.answer(0.04 * 4)
    assert plain.slowdown > 2.5


def test_answer_that_waited_for_others_is_no_sample(plain):
    """Guards against an endpoint whose long responses this gateway did not read."""
    for _ in range(8):
        plain.answer(0.3, paused_until=plain.clock.seconds() + 0.2)
    assert plain.slowdown < 1.1


def test_failures_are_no_samples(plain):
    """Guards against an endpoint that draws all requests by failing fast."""
    for _ in range(30):
        plain.answer(0.005, status=500)
    assert 0.9 < plain.slowdown < 1.1


def test_nothing_is_learned_when_switched_off():
    """Guards against a switch that turns off only a part."""
    site = Site(is_on=False)
    site.advance(1.0)
    site.stream([3 * PASS_SECONDS] * 12, first=0.9)
    assert site.slowdown == 1.0
    assert math.isinf(site.speeds.limit("a", now=site.clock.seconds()))
