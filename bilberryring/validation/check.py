"""Checks of one version of a configuration, before it is published."""

import re
from collections.abc import Callable, Iterator, Mapping

from bilberryring.fleet import Route, ServiceName
from bilberryring.validation.difference import KEYS_FIELD, compare_configurations
from bilberryring.validation.findings import (
    Finding,
    FindingCode,
    Location,
    make_finding,
)
from bilberryring.validation.listing import (
    ConfigurationListing,
    ListedWorkspace,
    Section,
    UnreadableRoute,
)

HOST_PATTERN = re.compile(r"([A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+\])(:[0-9]{1,5})?\Z")
"""Hosts that a request can name. A gateway compares them whole, with the port."""
PREFIX_PATTERN = re.compile(r"/([!\"$->@-~]*/)?\Z")
"""Prefixes of paths: printable ASCII without `?` and `#`, between two slashes."""
MAX_REGION_LISTS = 1_000
"""Different lists of regions that are compared, of routes and of workspaces.

It bounds the time of a check to a million comparisons."""


def check_configuration(
    listing: ConfigurationListing,
    *,
    in_force: ConfigurationListing | None = None,
    endpoint_counts: Mapping[ServiceName, int] | None = None,
) -> tuple[Finding, ...]:
    """Return all findings about a version, errors and warnings, section by section.

    `in_force` is the version that it would replace; `endpoint_counts` is the number
    of endpoints of each service, if known.
    """
    findings = [
        *_check_version(listing, in_force),
        *_check_shadowed(listing),
        *(found for item in _readable(listing) for found in _check_route(*item)),
        *_check_services(listing),
        *_check_workspaces(listing),
        *_check_names(listing),
        *_check_limits(listing),
        *_check_regions(listing),
    ]
    if endpoint_counts is not None:
        findings += _check_endpoint_counts(listing, endpoint_counts)
    return tuple(findings)


def _readable(listing: ConfigurationListing) -> Iterator[tuple[int, Route]]:
    for index, route in enumerate(listing.routes):
        if isinstance(route, Route):
            yield index, route


def _of_route(index: int, route: Route, field: str) -> Location:
    return Location(
        section=Section.ROUTES.value, index=index, name=route.name, field=field
    )


def _of_workspace(index: int, workspace: ListedWorkspace, field: str) -> Location:
    return Location(
        section=Section.WORKSPACES.value, index=index, name=workspace.name, field=field
    )


def _check_version(
    listing: ConfigurationListing, in_force: ConfigurationListing | None
) -> Iterator[Finding]:
    """Find a version that gateways would not take; the same one again is sound."""
    if in_force is None or listing.version > in_force.version:
        return
    is_readable = listing.is_readable and in_force.is_readable
    is_same = listing.version == in_force.version
    if is_readable and is_same and not compare_configurations(in_force, listing):
        return
    yield make_finding(
        FindingCode.VERSION_NOT_HIGHER,
        Location(section=Section.VERSION.value),
        f"{listing.version} is not above {in_force.version}, which is in force",
    )


def _check_shadowed(listing: ConfigurationListing) -> Iterator[Finding]:
    first: dict[tuple[str, str], int] = {}
    for index, route in enumerate(listing.routes):
        if isinstance(route, UnreadableRoute):
            yield make_finding(
                FindingCode.ROUTE_UNREADABLE,
                Location(section=Section.ROUTES.value, index=index),
                route.detail,
            )
            continue
        earlier = first.setdefault((route.host, route.prefix), index)
        if earlier != index:
            yield make_finding(
                FindingCode.ROUTE_SHADOWED,
                _of_route(index, route, "prefix"),
                f"entry {earlier} has the same host and prefix and gets all requests",
            )


def _check_route(index: int, route: Route) -> Iterator[Finding]:
    def found(code: FindingCode, field: str, message: str) -> Finding:
        return make_finding(code, _of_route(index, route, field), message)

    if not HOST_PATTERN.match(route.host):
        yield found(
            FindingCode.HOST_IMPOSSIBLE, "host", f"no request has host {route.host!r}"
        )
    if not PREFIX_PATTERN.match(route.prefix):
        yield found(
            FindingCode.PREFIX_IMPOSSIBLE,
            "prefix",
            f"{route.prefix!r} is no prefix of whole path segments",
        )
    if not any(share.weight for share in route.shares):
        yield found(FindingCode.WEIGHTS_ALL_ZERO, "shares", "every weight is 0")
    yield from _check_times(route, found)
    if route.max_endpoints > 1 and not route.may_repeat:
        yield found(
            FindingCode.ATTEMPTS_NOT_REPEATABLE,
            "max_endpoints",
            f"{route.max_endpoints} attempts, but its requests may not be repeated",
        )


def _check_times(route: Route, found: Callable) -> Iterator[Finding]:
    if route.timeout < route.first_answer_objective:
        yield found(
            FindingCode.TIMEOUT_BELOW_OBJECTIVE,
            "timeout",
            f"{route.timeout:g} s, but the objective for the first byte is "
            f"{route.first_answer_objective:g} s",
        )
    if route.gap_objective is not None and route.gap_objective > route.timeout:
        yield found(
            FindingCode.GAP_ABOVE_TIMEOUT,
            "gap_objective",
            f"{route.gap_objective:g} s, but the timeout is {route.timeout:g} s",
        )


def _check_services(listing: ConfigurationListing) -> Iterator[Finding]:
    known = {service.name for service in listing.services}
    used = set()
    for index, route in _readable(listing):
        names = dict.fromkeys(share.service for share in route.shares)
        used.update(names)
        missing = [name for name in names if name not in known]
        if missing:
            more = f" (and {len(missing) - 1} others)" if missing[1:] else ""
            yield make_finding(
                FindingCode.SERVICE_MISSING,
                _of_route(index, route, "shares"),
                f"there is no service {missing[0]!r}{more}",
            )
    seen: set[ServiceName] = set()
    for index, service in enumerate(listing.services):
        location = Location(
            section=Section.SERVICES.value, index=index, name=service.name
        )
        if service.name in seen:
            yield make_finding(
                FindingCode.SERVICE_REPEATED, location, "an earlier entry has this name"
            )
        elif service.name not in used and listing.is_readable:
            yield make_finding(
                FindingCode.SERVICE_UNUSED, location, "no route leads to it"
            )
        seen.add(service.name)


def _check_workspaces(listing: ConfigurationListing) -> Iterator[Finding]:
    owners: dict[str, int] = {}
    workspaces = listing.workspaces or ()
    for index, workspace in enumerate(workspaces):
        if not workspace.name.isascii():
            yield make_finding(
                FindingCode.NAME_NOT_ASCII,
                _of_workspace(index, workspace, "name"),
                "endpoints get this name in UTF-8",
            )
        if not workspace.key_digests:
            yield make_finding(
                FindingCode.WORKSPACE_WITHOUT_KEYS,
                _of_workspace(index, workspace, KEYS_FIELD),
                "nobody can call as this workspace",
            )
        others: dict[int, int] = {}
        for digest in dict.fromkeys(workspace.key_digests):
            owner = owners.setdefault(digest, index)
            if owner != index:
                others[owner] = others.get(owner, 0) + 1
        for owner, count in others.items():
            yield make_finding(
                FindingCode.KEY_OF_TWO_WORKSPACES,
                _of_workspace(index, workspace, KEYS_FIELD),
                f"{count} of its keys also in entry {owner}, "
                f"{workspaces[owner].name!r}",
            )


def _check_names(listing: ConfigurationListing) -> Iterator[Finding]:
    """Find names that make reports and differences ambiguous."""
    sections = (
        (Section.ROUTES, list(_readable(listing))),
        (Section.WORKSPACES, list(enumerate(listing.workspaces or ()))),
    )
    for section, entries in sections:
        first: dict[str, int] = {}
        for index, entry in entries:
            earlier = first.setdefault(entry.name, index)
            if earlier != index:
                yield make_finding(
                    FindingCode.NAME_REPEATED,
                    Location(
                        section=section.value,
                        index=index,
                        name=entry.name,
                        field="name",
                    ),
                    f"entry {earlier} has the same name",
                )


def _check_limits(listing: ConfigurationListing) -> Iterator[Finding]:
    limits = listing.limits
    if limits.idle_timeout < limits.header_timeout:
        yield make_finding(
            FindingCode.IDLE_BELOW_HEADER_TIMEOUT,
            Location(section=Section.LIMITS.value, field="idle_timeout"),
            f"{limits.idle_timeout:g} s, but the header timeout is "
            f"{limits.header_timeout:g} s",
        )
    if limits.max_body_bytes < limits.max_header_bytes:
        yield make_finding(
            FindingCode.BODY_BELOW_HEADER_LIMIT,
            Location(section=Section.LIMITS.value, field="max_body_bytes"),
            f"{limits.max_body_bytes} bytes, but {limits.max_header_bytes} of headers",
        )


def _check_regions(listing: ConfigurationListing) -> Iterator[Finding]:
    """Find workspaces whose requests on a route no region may serve.

    Each route gets at most one finding, however many workspaces it has.
    """
    owners: dict[frozenset[str], list[ListedWorkspace]] = {}
    for workspace in listing.workspaces or ():
        if workspace.regions:
            owners.setdefault(frozenset(workspace.regions), []).append(workspace)
    routes: dict[frozenset[str], list[tuple[int, Route]]] = {}
    for index, route in _readable(listing):
        if route.regions:
            routes.setdefault(frozenset(route.regions), []).append((index, route))
    if max(len(owners), len(routes)) > MAX_REGION_LISTS:
        yield make_finding(
            FindingCode.REGIONS_NOT_COMPARED,
            Location(section=Section.ROUTES.value, field="regions"),
            f"more than {MAX_REGION_LISTS} different lists of regions",
        )
        return
    for regions, entries in routes.items():
        apart = [
            workspaces
            for allowed, workspaces in owners.items()
            if regions.isdisjoint(allowed)
        ]
        if not apart:
            continue
        count = sum(len(workspaces) for workspaces in apart)
        for index, route in entries:
            yield make_finding(
                FindingCode.REGIONS_DISJOINT,
                _of_route(index, route, "regions"),
                f"no region in common with {count} workspaces, such as "
                f"{apart[0][0].name!r}",
            )


def _check_endpoint_counts(
    listing: ConfigurationListing, counts: Mapping[ServiceName, int]
) -> Iterator[Finding]:
    for index, route in _readable(listing):
        for share in route.shares:
            count = counts.get(share.service, 0)
            if share.weight and route.max_endpoints > count:
                yield make_finding(
                    FindingCode.ATTEMPTS_ABOVE_ENDPOINTS,
                    _of_route(index, route, "max_endpoints"),
                    f"{route.max_endpoints} attempts, but {count} endpoints of "
                    f"{share.service!r}",
                )
                break
