"""Configurations for the tests of the checks, and strategies that draw them."""

import dataclasses

from hypothesis import strategies as st

from bilberryring.fleet import (
    CallerLimits,
    RequestKind,
    Route,
    Service,
    ServiceShare,
)
from bilberryring.validation import (
    ConfigurationListing,
    ListedWorkspace,
    UnreadableRoute,
)

REGIONS = ("north", "south", "west")


def make_route(name="look", **changes):
    fields = {
        "host": "site.example",
        "prefix": f"/{name}/",
        "kind": RequestKind.IDEMPOTENT,
        "shares": (ServiceShare(service="orders", weight=1.0),),
        "timeout": 4.0,
        "first_answer_objective": 0.3,
        "gap_objective": None,
        "max_endpoints": 2,
        "may_resume": False,
        "is_anonymous_allowed": False,
        "priority": 1,
    }
    return Route(name=name, **(fields | changes))


def make_service(name="orders", **changes):
    fields = {"max_connections": 64, "cold_requests_per_second": 0.0, "engine": None}
    return Service(name=name, **(fields | changes))


def make_workspace(name="bars", **changes):
    fields = {"priority": None, "key_digests": (f"digest-{name}",)}
    return ListedWorkspace(name=name, **(fields | changes))


def make_listing(**changes):
    """Return a listing without findings; `changes` replace fields."""
    listing = ConfigurationListing(
        version=1,
        routes=(make_route(),),
        services=(make_service(),),
        workspaces=(make_workspace(),),
        limits=CallerLimits(),
    )
    return dataclasses.replace(listing, **changes)


names = st.text("abc-_.\x1b\ud800'\"é", max_size=5)
times = st.floats(0.0, 31_536_000.0)
regions = st.lists(st.sampled_from(REGIONS), max_size=3).map(tuple)

any_route = st.builds(
    Route,
    name=names,
    host=names,
    prefix=names,
    kind=st.sampled_from(RequestKind),
    shares=st.lists(
        st.builds(ServiceShare, service=names, weight=st.floats(0.0, 1e12)),
        max_size=3,
    ).map(tuple),
    timeout=times,
    first_answer_objective=times,
    gap_objective=st.none() | times,
    max_endpoints=st.integers(1, 2**53),
    may_resume=st.booleans(),
    is_anonymous_allowed=st.booleans(),
    priority=st.integers(-9, 9),
    regions=regions,
)
any_listing = st.builds(
    ConfigurationListing,
    version=st.integers(0, 2**63 - 1),
    routes=st.lists(
        any_route | st.builds(UnreadableRoute, detail=names), max_size=6
    ).map(tuple),
    services=st.lists(st.builds(make_service, name=names), max_size=4).map(tuple),
    workspaces=st.none()
    | st.lists(
        st.builds(
            make_workspace,
            name=names,
            regions=regions,
            key_digests=st.lists(names, max_size=3).map(tuple),
        ),
        max_size=4,
    ).map(tuple),
    limits=st.builds(
        CallerLimits,
        max_header_bytes=st.integers(1, 2**53 - 1),
        max_body_bytes=st.integers(0, 2**53 - 1),
        header_timeout=times,
        idle_timeout=times,
    ),
)


@st.composite
def valid_listings(draw):
    """A configuration that gateways accept, and whose entries all have an effect."""
    n_services = draw(st.integers(1, 3))
    services = tuple(make_service(f"service-{index}") for index in range(n_services))
    service_names = st.sampled_from([service.name for service in services])
    routes = []
    for index in range(draw(st.integers(0, 5))):
        objective = draw(st.floats(0.001, 10.0))
        routes.append(
            make_route(
                f"route-{index}",
                kind=draw(st.sampled_from(RequestKind)),
                host=draw(
                    st.sampled_from(["site.example", "10.0.0.1:8080", "[::1]:80", "a"])
                ),
                shares=(
                    ServiceShare(
                        service=draw(service_names), weight=draw(st.floats(0.1, 9.0))
                    ),
                    ServiceShare(service=draw(service_names), weight=0.0),
                ),
                first_answer_objective=objective,
                timeout=objective + draw(st.floats(0.0, 100.0)),
                gap_objective=draw(st.none() | st.floats(0.0, 100.0)),
                max_endpoints=draw(st.integers(1, 4)),
                may_resume=draw(st.booleans()),
                regions=draw(regions),
            )
        )
    workspaces = tuple(
        make_workspace(f"workspace-{index}", regions=draw(regions))
        for index in range(draw(st.integers(0, 3)))
    )
    return make_listing(
        version=draw(st.integers(1, 2**62)),
        routes=tuple(routes),
        services=services,
        workspaces=draw(st.sampled_from([workspaces, None])),
    )
