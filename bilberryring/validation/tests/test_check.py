"""Each finding, with a configuration that has it and one that does not."""

import dataclasses
import time

import pytest
from hypothesis import given, settings

from bilberryring.fleet import CallerLimits, RequestKind, ServiceShare
from bilberryring.objects import FindingCode as ObjectFindingCode
from bilberryring.objects import read_texts
from bilberryring.validation import (
    Finding,
    FindingCode,
    Location,
    Severity,
    UnreadableRoute,
    check_configuration,
    check_objects,
)
from bilberryring.validation.check import MAX_REGION_LISTS
from bilberryring.validation.tests.listings import (
    any_listing,
    make_listing,
    make_route,
    make_service,
    make_workspace,
    valid_listings,
)


def shares(**weights):
    return tuple(ServiceShare(service=n, weight=w) for n, w in weights.items())


def with_routes(*routes, **changes):
    return make_listing(routes=routes, **changes)


def with_route(**changes):
    return with_routes(make_route(**changes))


STREAMING = RequestKind.STREAMING
# The code, the location as text, a listing that has the finding, one that is the
# nearest to it without the finding.
CASES = {
    "unreadable": (
        FindingCode.ROUTE_UNREADABLE,
        "routes[1]",
        with_routes(make_route(), UnreadableRoute(detail="no name")),
        with_routes(make_route(), make_route("other")),
    ),
    "shadowed": (
        FindingCode.ROUTE_SHADOWED,
        "routes[1]:b:prefix",
        with_routes(make_route("a", prefix="/x/"), make_route("b", prefix="/x/")),
        with_routes(make_route("a", prefix="/x/"), make_route("b", prefix="/x/y/")),
    ),
    "shadowed on another host": (
        FindingCode.ROUTE_SHADOWED,
        "routes[1]:b:prefix",
        with_routes(make_route("a", prefix="/"), make_route("b", prefix="/")),
        with_routes(
            make_route("a", prefix="/"), make_route("b", prefix="/", host="other")
        ),
    ),
    **{
        f"host {host!r}": (
            FindingCode.HOST_IMPOSSIBLE,
            "routes[0]:look:host",
            with_route(host=host),
            with_route(host=near),
        )
        for host, near in (
            ("", "a"),
            ("*.example", "a.example"),
            ("http://a", "a"),
            ("a b", "a-b"),
            ("a/", "a"),
            ("a:", "a:80"),
            ("a\n", "a"),
            ("::1", "[::1]:8080"),
        )
    },
    **{
        f"prefix {prefix!r}": (
            FindingCode.PREFIX_IMPOSSIBLE,
            "routes[0]:look:prefix",
            with_route(prefix=prefix),
            with_route(prefix=near),
        )
        for prefix, near in (
            ("", "/"),
            ("chat/", "/chat/"),
            ("/chat", "/chat/v1/"),
            ("/a b/", "/a%20b/"),
            ("/a?b/", "/a!b/"),
            ("/a#b/", '/a"b/'),
            ("/é/", "/%C3%A9/"),
            ("/a/\n", "/a/"),
        )
    },
    "weights": (
        FindingCode.WEIGHTS_ALL_ZERO,
        "routes[0]:look:shares",
        with_route(shares=shares(orders=0.0)),
        with_route(shares=(*shares(orders=0.0), *shares(orders=0.1))),
    ),
    "unknown service": (
        FindingCode.SERVICE_MISSING,
        "routes[0]:look:shares",
        with_route(shares=shares(orders=1.0, gone=1.0)),
        with_route(shares=shares(orders=1.0)),
    ),
    "unused service": (
        FindingCode.SERVICE_UNUSED,
        "services[1]:spare",
        make_listing(services=(make_service(), make_service("spare"))),
        with_route(
            shares=shares(orders=1.0, spare=0.0),
        ),
    ),
    "repeated service": (
        FindingCode.SERVICE_REPEATED,
        "services[1]:orders",
        make_listing(services=(make_service(), make_service())),
        make_listing(),
    ),
    "repeated route name": (
        FindingCode.NAME_REPEATED,
        "routes[1]:look:name",
        with_routes(make_route(), make_route(prefix="/other/")),
        with_routes(make_route(), make_route("other")),
    ),
    "repeated workspace name": (
        FindingCode.NAME_REPEATED,
        "workspaces[1]:bars:name",
        make_listing(workspaces=(make_workspace(), make_workspace(key_digests=("x",)))),
        make_listing(workspaces=(make_workspace(), make_workspace("cafes"))),
    ),
    "workspace name beyond ASCII": (
        FindingCode.NAME_NOT_ASCII,
        "workspaces[0]:caffè:name",
        make_listing(workspaces=(make_workspace("caffè"),)),
        make_listing(workspaces=(make_workspace("caffe"),)),
    ),
    "shared key": (
        FindingCode.KEY_OF_TWO_WORKSPACES,
        "workspaces[1]:cafes:key_digests",
        make_listing(
            workspaces=(
                make_workspace(key_digests=("x", "y")),
                make_workspace("cafes", key_digests=("z", "y")),
            )
        ),
        make_listing(
            workspaces=(
                make_workspace(key_digests=("x", "x")),
                make_workspace("cafes", key_digests=("z",)),
            )
        ),
    ),
    "no keys": (
        FindingCode.WORKSPACE_WITHOUT_KEYS,
        "workspaces[0]:bars:key_digests",
        make_listing(workspaces=(make_workspace(key_digests=()),)),
        make_listing(workspaces=()),
    ),
    "timeout": (
        FindingCode.TIMEOUT_BELOW_OBJECTIVE,
        "routes[0]:look:timeout",
        with_route(timeout=0.29),
        with_route(timeout=0.3),
    ),
    "gap": (
        FindingCode.GAP_ABOVE_TIMEOUT,
        "routes[0]:look:gap_objective",
        with_route(gap_objective=4.1),
        with_route(gap_objective=4.0),
    ),
    "attempts of a call that must run once": (
        FindingCode.ATTEMPTS_NOT_REPEATABLE,
        "routes[0]:look:max_endpoints",
        with_route(kind=RequestKind.NON_IDEMPOTENT),
        with_route(kind=RequestKind.NON_IDEMPOTENT, max_endpoints=1),
    ),
    "attempts of a stream": (
        FindingCode.ATTEMPTS_NOT_REPEATABLE,
        "routes[0]:look:max_endpoints",
        with_route(kind=STREAMING),
        with_route(kind=STREAMING, may_resume=True),
    ),
    "idle": (
        FindingCode.IDLE_BELOW_HEADER_TIMEOUT,
        "limits:idle_timeout",
        make_listing(limits=CallerLimits(idle_timeout=2.9)),
        make_listing(limits=CallerLimits(idle_timeout=3.0)),
    ),
    "body": (
        FindingCode.BODY_BELOW_HEADER_LIMIT,
        "limits:max_body_bytes",
        make_listing(limits=CallerLimits(max_body_bytes=16_383)),
        make_listing(limits=CallerLimits(max_body_bytes=16_384)),
    ),
    "regions": (
        FindingCode.REGIONS_DISJOINT,
        "routes[0]:look:regions",
        with_routes(
            make_route(regions=("north",)),
            workspaces=(make_workspace(regions=("south", "west")),),
        ),
        with_routes(
            make_route(regions=("north", "west")),
            workspaces=(
                make_workspace(regions=("south", "west")),
                make_workspace("cafes"),
            ),
        ),
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_a_configuration_with_a_problem_has_exactly_this_finding(case):
    """Guards against a problem that is not found, or that is found as another."""
    code, location, listing, _ = CASES[case]
    (finding,) = check_configuration(listing)
    assert (finding.code, finding.location.text()) == (code, location)
    assert finding.severity is code.severity
    assert finding.message and finding.remedy


@pytest.mark.parametrize("case", CASES)
def test_the_nearest_configuration_without_the_problem_lacks_the_finding(case):
    """Guards against a rule that is stricter than what gateways do."""
    code, _, _, listing = CASES[case]
    assert code not in {finding.code for finding in check_configuration(listing)}


def codes(listing, **known):
    return [finding.code for finding in check_configuration(listing, **known)]


@pytest.mark.parametrize(
    ("version", "in_force", "is_found"),
    [(1, 2, True), (2, 2, True), (3, 2, False)],
)
def test_a_version_that_gateways_would_not_take_is_found(version, in_force, is_found):
    """Guards against a publication that has no effect."""
    old = make_listing(version=in_force)
    new = make_listing(version=version, services=(make_service(max_connections=1),))
    expected = [FindingCode.VERSION_NOT_HIGHER] if is_found else []
    assert codes(new, in_force=old) == expected


def test_the_version_in_force_itself_has_no_findings():
    """Guards against an error for a file that has been published already."""
    assert codes(make_listing(), in_force=make_listing()) == []


@pytest.mark.parametrize(
    ("counts", "is_found"),
    [({"orders": 2}, False), ({"orders": 1}, True), ({}, True), (None, False)],
)
def test_more_attempts_than_endpoints_are_found_if_their_number_is_known(
    counts, is_found
):
    """Guards against attempts that no endpoint is left for."""
    expected = [FindingCode.ATTEMPTS_ABOVE_ENDPOINTS] if is_found else []
    assert codes(make_listing(), endpoint_counts=counts) == expected


def test_a_service_with_weight_0_needs_no_endpoints():
    """Guards against a warning during a rollout, before endpoints are started."""
    listing = with_route(
        shares=shares(orders=1.0, spare=0.0),
    )
    listing = dataclasses.replace(
        listing, services=(make_service(), make_service("spare"))
    )
    assert codes(listing, endpoint_counts={"orders": 2}) == []


@pytest.mark.parametrize(
    ("n_lists", "code"),
    [
        (MAX_REGION_LISTS, FindingCode.REGIONS_DISJOINT),
        (MAX_REGION_LISTS + 1, FindingCode.REGIONS_NOT_COMPARED),
    ],
)
def test_the_comparison_of_regions_is_bounded(n_lists, code):
    """Guards against a check whose time grows with the square of the entries."""
    listing = make_listing(
        routes=tuple(
            make_route(f"r{n}", regions=(f"route-{n}",)) for n in range(n_lists)
        ),
        workspaces=tuple(
            make_workspace(f"w{n}", regions=(f"workspace-{n}",)) for n in range(n_lists)
        ),
    )
    assert set(codes(listing)) == {code}


def test_the_missing_services_of_a_route_are_one_finding():
    """Guards against a route whose many shares give as many findings."""
    listing = with_route(shares=shares(orders=1.0, a=1.0, b=1.0, c=0.0))
    (finding,) = check_configuration(listing)
    assert finding.code is FindingCode.SERVICE_MISSING
    assert finding.message == "there is no service 'a' (and 2 others)"


def test_a_large_configuration_is_checked_in_bounded_work():
    """Guards against work that grows with the square of the entries.

    10,000 routes, services and workspaces took 0.2 s; the square would take minutes.
    """
    n_entries = 10_000
    listing = make_listing(
        routes=tuple(
            make_route(f"r{n}", shares=shares(**{f"s{n}": 1.0}))
            for n in range(n_entries)
        ),
        services=tuple(make_service(f"s{n}") for n in range(n_entries)),
        workspaces=tuple(make_workspace(f"w{n}") for n in range(n_entries)),
    )
    started_at = time.process_time()
    assert codes(listing) == []
    assert time.process_time() - started_at < 30.0


@settings(max_examples=200, deadline=None, derandomize=True)
@given(valid_listings())
def test_a_valid_configuration_has_no_errors(listing):
    """Guards against errors that would keep a sound configuration from being sent."""
    findings = check_configuration(listing)
    assert [f for f in findings if f.severity is Severity.ERROR] == []


@settings(max_examples=200, deadline=None, derandomize=True)
@given(any_listing, any_listing)
def test_no_configuration_makes_a_check_raise(listing, in_force):
    """Guards against a traceback in place of findings, and against odd characters."""
    findings = check_configuration(listing, in_force=in_force, endpoint_counts={"a": 1})
    for finding in findings:
        finding.text().encode()
        assert finding.text().isprintable()


def test_a_finding_about_an_object_keeps_its_text():
    """Guards against a change of the lines that `check` printed before."""
    result = read_texts({"a.json5": "{priorities: [{name: 'p', rank: 3}]}"})
    (finding,) = check_objects(result.objects, findings=result.findings)
    assert finding.code is ObjectFindingCode.OBJECT_UNUSED
    assert finding.severity is Severity.ERROR
    assert finding.text() == result.findings[0].text


SOUND_OBJECTS = """{
  failure_domains: [{name: 'd', region: 'r'}],
  priorities: [{name: 'p', rank: 1}],
  workspaces: [{name: 'w', priority: 'p', services: ['s'], key_digests: ['%s']}],
  services: [{name: 's'}],
  service_endpoints: [
    {name: 'e', failure_domain: 'd', sidecar: '127.0.0.1:9000', service: 's'}],
}""" % ("0" * 64)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (SOUND_OBJECTS, []),
        (
            SOUND_OBJECTS.replace("'%s'" % ("0" * 64), ""),
            [(FindingCode.WORKSPACE_WITHOUT_KEYS, "workspaces/w:key_digests")],
        ),
        (
            SOUND_OBJECTS.replace("service: 's'}", "service: 't'}")
            .replace("[{name: 's'}]", "[{name: 's'}, {name: 't'}]")
            .replace("['s']", "['s', 't']"),
            [(FindingCode.SERVICE_WITHOUT_ENDPOINTS, "services/s")],
        ),
    ],
    ids=["sound", "no keys", "no endpoints"],
)
def test_warnings_about_objects(text, expected):
    """Guards against objects without an effect that are not shown, or as errors."""
    result = read_texts({"a.json5": text})
    findings = check_objects(result.objects, findings=result.findings)
    assert [(f.code, f.location.text()) for f in findings] == expected
    assert all(f.severity is Severity.WARNING for f in findings)


def test_a_long_name_with_control_characters_stays_on_one_short_line():
    """Guards against a name that changes the operator's terminal."""
    finding = Finding(
        code=FindingCode.SERVICE_UNUSED,
        severity=Severity.WARNING,
        location=Location(section="services", name="\x1b[2J\n" + "n" * 4_096),
        message="m",
    )
    assert finding.text().isprintable()
    assert len(finding.text()) < 500
