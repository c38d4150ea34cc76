"""The choice between endpoints of learned speed, with a paused clock."""

from collections import Counter
from dataclasses import replace

import pytest

from bilberryring.capacity import EndpointSpeeds, Interval
from bilberryring.fleet import AnnouncedEndpoint, EndpointState, FleetState, Service
from bilberryring.gateway.tests.test_endpoint_choice import (
    CALLER_METADATA,
    make_chooser,
    make_route,
)
from bilberryring.routing import (
    Candidate,
    DecodeGroup,
    EndpointWork,
    PromptDemand,
    plan_prompt,
)
from bilberryring.routing.read_cost import prepare_candidates, score_candidate
from bilberryring.testing.prompt_load import FIGURES

NAMES = tuple("abcdef")
PLAIN = Service(name="s", max_connections=10, cold_requests_per_second=0.0, engine=None)
ENGINE = replace(PLAIN, engine=FIGURES)
SHORT = PromptDemand(prompt_tokens=5_000, max_tokens=400, first_ms=300.0, gap_ms=250.0)


class Site:
    """A gateway before six endpoints, of which a test makes some slow."""

    def __init__(self, *, service):
        fleet = FleetState()
        for name in NAMES:
            fleet.endpoints.announce(
                AnnouncedEndpoint(
                    id=name,
                    service="s",
                    address=f"{name}:1",
                    failure_domain="north",
                    slots=8,
                    state=EndpointState.READY,
                    started_at_ms=1,
                )
            )
        self.service = service
        self.now = 1.0
        self.speeds = EndpointSpeeds(seed=1)
        self.chooser = make_chooser(fleet, entries=1, speeds=self.speeds)

    def teach(self, ratios, *, requests=0):
        for _ in range(8):
            for name, ratio in ratios.items():
                sample = Interval(low=ratio, high=ratio)
                self.speeds.observe_step(
                    name, f"{name}/1", sample, now=self.now, requests=requests
                )

    def place(self, count):
        """Place requests that do not end; return how many each endpoint got."""
        found = Counter()
        for _ in range(count):
            choice = self.chooser.choose(
                route=make_route(),
                service=self.service,
                workspace=None,
                metadata=replace(CALLER_METADATA, prompt_tokens=2_000, max_tokens=100)
                if self.service.engine
                else CALLER_METADATA,
                excluded=frozenset(),
                now=self.now,
                seconds_left=10.0,
            )
            self.chooser.record_choice(choice, now=self.now)
            placed = replace(choice.placed, is_in_prefill=False, part_ms=0.0)
            self.chooser._tracker.place(placed, now=self.now)
            found[choice.endpoint.id] += 1
        return found


@pytest.mark.parametrize("service", [PLAIN, ENGINE], ids=["plain", "engine"])
def test_slow_endpoint_loses_most_of_its_work(service):
    """Guards against equal shares for an endpoint that is three times slower."""
    site = Site(service=service)
    site.teach(dict.fromkeys(NAMES, 1.0) | {"a": 3.0})
    found = site.place(24)
    assert found["a"] <= 2
    assert all(found[name] >= 3 for name in NAMES[1:])


def test_slow_endpoint_gets_its_share_of_a_higher_load():
    """Guards against sound endpoints that are overloaded while a slow one is idle."""
    site = Site(service=PLAIN)
    site.teach(dict.fromkeys(NAMES, 1.0) | {"a": 3.0})
    found = site.place(64)
    assert 2 <= found["a"] <= 5


def test_equal_endpoints_are_chosen_as_without_samples():
    """Guards against choices that follow the noise of estimates."""
    taught, untaught = Site(service=PLAIN), Site(service=PLAIN)
    ratios = (0.9, 1.0, 1.1, 1.2, 0.85, 1.05)
    taught.teach(dict(zip(NAMES, ratios, strict=True)))
    assert taught.place(40) == untaught.place(40)


def test_recovered_endpoint_is_chosen_again():
    """Guards against an endpoint that lost its work for good."""
    site = Site(service=PLAIN)
    site.teach(dict.fromkeys(NAMES, 1.0) | {"a": 8.0})
    site.now += 0.2
    assert site.place(6)["a"] <= 1
    site.teach({"a": 1.0})
    site.now += 0.2
    assert site.place(12)["a"] >= 2


def test_last_endpoint_is_chosen_however_slow_it_is():
    """Guards against a refusal because of an estimate."""
    site = Site(service=ENGINE)
    site.teach(dict.fromkeys(NAMES, 1.0) | {"a": 16.0})
    choice = site.chooser.choose(
        route=make_route(),
        service=ENGINE,
        workspace=None,
        metadata=replace(CALLER_METADATA, prompt_tokens=2_000, max_tokens=100),
        excluded=frozenset(NAMES[1:]),
        now=site.now,
        seconds_left=10.0,
    )
    assert choice.endpoint.id == "a"
    assert choice.predicted_ms < 300.0


@pytest.mark.parametrize("service", [PLAIN, ENGINE], ids=["plain", "engine"])
def test_endpoint_beyond_its_learned_limit_gets_less(service):
    """Guards against a limit that is learned and not used."""
    site = Site(service=service)
    for _ in range(4):
        for requests, ratio in ((2, 1.0), (4, 2.5), (2, 1.0)):
            site.teach({"a": ratio}, requests=requests)
    site.teach(dict.fromkeys(NAMES, 1.0))
    found = site.place(36)
    assert found["a"] <= 4
    assert all(found[name] >= 6 for name in NAMES[1:])


def candidate(name, **options):
    return Candidate(endpoint=name, work=EndpointWork(requests=2), **options)


def test_plan_keeps_to_the_figures_when_no_engine_is_slow():
    """Guards against predicted times that estimates change."""
    plan = plan_prompt(SHORT, FIGURES, [candidate("a")])
    slow = plan_prompt(
        SHORT, FIGURES, [candidate("a", slowdown=3.0, prefill_slowdown=3.0)]
    )
    assert slow.predicted_ms == pytest.approx(plan.predicted_ms)
    assert slow.cost > plan.cost


def test_part_on_a_slow_engine_makes_its_streams_late():
    """Guards against parts whose time on a slow engine is that of a sound one."""
    group = DecodeGroup(gap_ms=250, count=3, value=3.0)
    work = EndpointWork(requests=3, kv_tokens=9_000, decode_groups=(group,))
    costs = []
    for slowdown in (1.0, 4.0):
        item = Candidate(endpoint="a", work=work, prefill_slowdown=slowdown)
        (prepared,) = prepare_candidates([item], FIGURES).items
        costs.append(score_candidate(prepared, part_ms=60.0).stream_cost)
    assert costs[0] == 0.0 < costs[1]


def test_long_prompt_is_not_split_over_slow_engines():
    """Guards against helpers that let a whole prompt wait for them."""
    prompt = PromptDemand(
        prompt_tokens=150_000, max_tokens=400, first_ms=3_000.0, gap_ms=1_200.0
    )
    engines = [Candidate(endpoint=f"f{n}", work=EndpointWork()) for n in range(4)]
    engines += [
        Candidate(
            endpoint=f"s{n}", work=EndpointWork(), slowdown=8.0, prefill_slowdown=8.0
        )
        for n in range(4)
    ]
    plan = plan_prompt(prompt, FIGURES, engines)
    assert plan.helpers
    assert not {"s0", "s1", "s2", "s3"} & {plan.lead, *plan.helpers}


def test_placed_part_keeps_the_time_of_the_figures():
    """Guards against samples that are compared with an estimate instead of figures."""
    site = Site(service=ENGINE)
    site.teach(dict.fromkeys(NAMES, 8.0) | {"a": 1.0})
    choice = site.chooser.choose(
        route=make_route(),
        service=ENGINE,
        workspace=None,
        metadata=replace(CALLER_METADATA, prompt_tokens=5_000, max_tokens=100),
        excluded=frozenset("a"),
        now=site.now,
        seconds_left=10.0,
    )
    assert choice.placed.part_ms == pytest.approx(FIGURES.prefill_ms(5_000))
