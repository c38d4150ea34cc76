"""Exclusion of endpoints by start rate, region and health."""

from dataclasses import replace

import pytest
from twisted.internet.task import Clock

from bilberryring.admission import EndpointStatements
from bilberryring.fleet import (
    AnnouncedEndpoint,
    EndpointState,
    FleetState,
    RequestKind,
    Route,
    Service,
    ServiceShare,
    Workspace,
)
from bilberryring.gateway.endpoint_choice import EndpointChooser
from bilberryring.gateway.endpoint_slices import SETTLE_SECONDS, EndpointSlices
from bilberryring.gateway.messages import CallerMetadata
from bilberryring.gateway.peer_view import PeerView
from bilberryring.gateway.settings import GatewaySettings
from bilberryring.membership import EndpointHealth
from bilberryring.routing import WorkTracker

COLD_RATE = 36.0
BOUND = COLD_RATE * 1.5 + 5.0
ENTRIES = 4
SETTINGS = GatewaySettings(
    process="p",
    failure_domain="north",
    region="here",
    host="h1",
    caller_address="h1:1",
    ready_address="h1:2",
    peer_port=3,
    metrics_port=4,
    platform_address="h0:5",
    regions_by_domain=(("north", "here"), ("far", "there")),
)
CALLER_METADATA = CallerMetadata(
    request_id="r",
    host="site",
    key=None,
    timeout=None,
    prompt_tokens=0,
    max_tokens=0,
    last_event_id="",
)


def make_service(cold_rate=0.0):
    return Service(
        name="s", max_connections=10, cold_requests_per_second=cold_rate, engine=None
    )


def make_route(regions=()):
    return Route(
        name="r",
        host="site",
        prefix="/",
        kind=RequestKind.IDEMPOTENT,
        shares=(ServiceShare(service="s", weight=1.0),),
        timeout=1.0,
        first_answer_objective=0.3,
        gap_objective=None,
        max_endpoints=2,
        may_resume=False,
        is_anonymous_allowed=True,
        priority=0,
        regions=regions,
    )


def make_workspace(regions):
    return Workspace(name="w", priority=None, regions=regions)


@pytest.fixture
def fleet():
    fleet = FleetState()
    for name, domain in (("near", "north"), ("distant", "far")):
        fleet.endpoints.announce(
            AnnouncedEndpoint(
                id=name,
                service="s",
                address=f"{name}:1",
                failure_domain=domain,
                slots=8,
                state=EndpointState.READY,
            )
        )
    return fleet


def make_chooser(fleet, *, entries=ENTRIES, health=None, statements=None, speeds=None):
    seeds = tuple(f"h{number + 1}" for number in range(entries))
    settings = replace(SETTINGS, seed_hosts=seeds)
    clock = Clock()
    peers = PeerView(own_host="h1", seed_hosts=seeds)
    slices = EndpointSlices(clock=clock, settings=settings, fleet=fleet, peers=peers)
    clock.advance(SETTLE_SECONDS)
    return EndpointChooser(
        settings=settings,
        slices=slices,
        tracker=WorkTracker(),
        peers=peers,
        health=health or EndpointHealth(),
        statements=statements or EndpointStatements(seed=1),
        speeds=speeds,
        seed=1,
    )


def choose(
    chooser,
    *,
    route=None,
    service=None,
    workspace=None,
    now=0.0,
    allows_avoided=True,
    among=None,
):
    choice = chooser.choose(
        route=route or make_route(),
        service=service or make_service(),
        workspace=workspace,
        metadata=CALLER_METADATA,
        excluded=frozenset(),
        now=now,
        seconds_left=1.0,
        allows_avoided=allows_avoided,
        among=among,
    )
    return choice.endpoint.id if choice else None


def test_gateways_together_stay_within_the_cold_start_rate(fleet):
    starts = {"near": 0, "distant": 0}
    chooser = make_chooser(fleet)
    service = make_service(COLD_RATE)
    while (endpoint := choose(chooser, service=service)) is not None:
        chooser.record_start(endpoint, now=0.0)
        starts[endpoint] += 1
    assert starts["near"] > 0
    assert all(count * ENTRIES <= BOUND for count in starts.values())


def test_region_must_be_allowed_by_both_route_and_workspace(fleet):
    chooser = make_chooser(fleet)
    assert choose(chooser, route=make_route(("there",))) == "distant"
    assert choose(chooser, workspace=make_workspace(("there",))) == "distant"
    both = choose(
        chooser, route=make_route(("here",)), workspace=make_workspace(("there",))
    )
    assert both is None


def test_endpoint_with_a_recent_break_is_used_only_as_the_last_one(fleet):
    health = EndpointHealth()
    chooser = make_chooser(fleet, entries=1, health=health)
    health.record_broken_attempt("near", now=0.0)
    assert {choose(chooser, now=0.1) for _ in range(10)} == {"distant"}
    fleet.endpoints.withdraw("distant", now=0.1)
    assert choose(chooser, now=0.2) == "near"


def test_a_return_goes_to_its_endpoint_even_if_others_are_free(fleet):
    health = EndpointHealth()
    chooser = make_chooser(fleet, entries=1, health=health)
    health.record_silence("near", now=0.0)
    assert choose(chooser, now=0.1, among=frozenset({"near"})) == "near"
    fleet.endpoints.withdraw("near", now=0.1)
    assert choose(chooser, now=0.2, among=frozenset({"near"})) is None


def test_endpoints_that_are_all_silent_get_requests_but_no_second_attempts(fleet):
    health = EndpointHealth()
    chooser = make_chooser(fleet, health=health)
    for name in ("near", "distant"):
        health.record_silence(name, now=0.0)
    assert choose(chooser, now=1.0) is not None
    assert choose(chooser, now=1.0, allows_avoided=False) is None
    health.end_silence("distant")
    assert choose(chooser, now=1.0, allows_avoided=False) == "distant"
