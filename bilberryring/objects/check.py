"""Validation of a whole set of published objects.

The checks cover references, the memory for weights, the shares of workspaces,
duplicate keys and addresses, and whether each model and service is still served.
They are generators, so that a daemon can run them in small steps and a large set
does not block its reactor.
"""

from collections.abc import Iterator

from bilberryring.objects.findings import Finding, FindingCode
from bilberryring.objects.kinds import DomainState, Kind, PublishedObject
from bilberryring.objects.object_set import ObjectSet

SHARE_SUM_TOLERANCE = 1e-9
"""Excess of the sum of shares over 1 that is taken for a rounding error."""

REFERENCES: tuple[tuple[Kind, str, Kind], ...] = (
    (Kind.MODELS, "default_version", Kind.VERSIONS),
    (Kind.MODELS, "fallback", Kind.MODELS),
    (Kind.VERSIONS, "model", Kind.MODELS),
    (Kind.ADAPTERS, "model", Kind.MODELS),
    (Kind.WORKSPACES, "priority", Kind.PRIORITIES),
    (Kind.WORKSPACES, "models", Kind.MODELS),
    (Kind.WORKSPACES, "adapters", Kind.ADAPTERS),
    (Kind.WORKSPACES, "services", Kind.SERVICES),
    (Kind.MODEL_ENDPOINTS, "failure_domain", Kind.FAILURE_DOMAINS),
    (Kind.MODEL_ENDPOINTS, "versions", Kind.VERSIONS),
    (Kind.MODEL_ENDPOINTS, "adapters", Kind.ADAPTERS),
    (Kind.SERVICE_ENDPOINTS, "failure_domain", Kind.FAILURE_DOMAINS),
    (Kind.SERVICE_ENDPOINTS, "service", Kind.SERVICES),
)
"""The reference fields: kind, field, and the kind of the objects that it names."""

OPTIONAL_REFERENCES = frozenset({"fallback"})
"""Reference fields that may be empty."""
KINDS_THAT_MUST_BE_REFERENCED = (
    Kind.PRIORITIES,
    Kind.VERSIONS,
    Kind.ADAPTERS,
    Kind.SERVICES,
    Kind.FAILURE_DOMAINS,
)
"""Kinds whose objects are reported as unused if no other object names them."""


def check_set(objects: ObjectSet) -> Iterator[Finding | None]:
    """Yield each finding, and `None` at points where the caller may pause."""
    yield from _check_references(objects)
    yield from _check_unused(objects)
    yield from _check_fallback_cycles(objects)
    yield from _check_default_versions(objects)
    yield from _check_weights(objects)
    yield from _check_shares(objects)
    yield from _check_shared_keys(objects)
    yield from _check_shared_addresses(objects)
    yield from _check_unserved(objects)


def list_findings(objects: ObjectSet) -> list[Finding]:
    """Return all findings of a set without pausing."""
    return [finding for finding in check_set(objects) if finding is not None]


def referenced_names(item: PublishedObject, field: str) -> tuple[str, ...]:
    """Return the names in a reference field.

    The field holds one name or a tuple of names.
    """
    value = getattr(item, field)
    if isinstance(value, str):
        return () if field in OPTIONAL_REFERENCES and not value else (value,)
    return value


def _make_finding(
    code: FindingCode, kind: Kind, name: str, field: str, detail: str
) -> Finding:
    return Finding(
        code=code,
        file="",
        object_name=f"{kind.value}/{name}",
        field=field,
        detail=detail,
    )


def _check_references(objects: ObjectSet) -> Iterator[Finding | None]:
    for kind, field, target in REFERENCES:
        known = objects.of_kind(target)
        for item in objects.of_kind(kind).values():
            for name in referenced_names(item, field):
                if name not in known:
                    yield _make_finding(
                        FindingCode.REFERENCE_DANGLING,
                        kind,
                        item.name,
                        field,
                        f"no {target.value} named '{name}'",
                    )
            yield None


def _check_unused(objects: ObjectSet) -> Iterator[Finding | None]:
    used: dict[Kind, set[str]] = {kind: set() for kind in Kind}
    for kind, field, target in REFERENCES:
        for item in objects.of_kind(kind).values():
            used[target].update(referenced_names(item, field))
        yield None
    for kind in KINDS_THAT_MUST_BE_REFERENCED:
        for name in sorted(objects.of_kind(kind).keys() - used[kind]):
            yield _make_finding(
                FindingCode.OBJECT_UNUSED, kind, name, "name", "nothing refers to it"
            )


def _check_fallback_cycles(objects: ObjectSet) -> Iterator[Finding | None]:
    for model in objects.models.values():
        visited = {model.name}
        current = model
        while current is not None and current.fallback:
            if current.fallback in visited:
                yield _make_finding(
                    FindingCode.REFERENCE_CYCLIC,
                    Kind.MODELS,
                    model.name,
                    "fallback",
                    f"'{current.fallback}' is reached a second time",
                )
                break
            visited.add(current.fallback)
            current = objects.models.get(current.fallback)
        yield None


def _check_default_versions(objects: ObjectSet) -> Iterator[Finding | None]:
    for model in objects.models.values():
        version = objects.versions.get(model.default_version)
        if version is not None and version.model != model.name:
            yield _make_finding(
                FindingCode.REFERENCE_DANGLING,
                Kind.MODELS,
                model.name,
                "default_version",
                f"'{version.name}' is a version of '{version.model}'",
            )
    yield None


def _check_weights(objects: ObjectSet) -> Iterator[Finding | None]:
    held_versions: set[str] = set()
    for endpoint in objects.model_endpoints.values():
        versions = [objects.versions.get(name) for name in endpoint.versions]
        adapters = [objects.adapters.get(name) for name in endpoint.adapters]
        needed = sum(
            item.weights_megabytes for item in versions + adapters if item is not None
        )
        if needed > endpoint.weights_megabytes:
            yield _make_finding(
                FindingCode.WEIGHTS_TOO_LARGE,
                Kind.MODEL_ENDPOINTS,
                endpoint.name,
                "versions",
                f"{needed} MB of weights, but only {endpoint.weights_megabytes} MB fit",
            )
        else:
            held_versions.update(endpoint.versions)
        yield None
    for model in objects.models.values():
        known = model.default_version in objects.versions
        if known and model.default_version not in held_versions:
            yield _make_finding(
                FindingCode.VERSION_NOT_HELD,
                Kind.MODELS,
                model.name,
                "default_version",
                f"no endpoint can hold '{model.default_version}'",
            )


def _check_shares(objects: ObjectSet) -> Iterator[Finding | None]:
    total = sum(workspace.share for workspace in objects.workspaces.values())
    if total > 1 + SHARE_SUM_TOLERANCE:
        yield _make_finding(
            FindingCode.SHARES_OVER_WHOLE,
            Kind.WORKSPACES,
            "*",
            "share",
            f"the shares add up to {total:.4f}",
        )
    yield None


def _check_shared_keys(objects: ObjectSet) -> Iterator[Finding | None]:
    owners: dict[str, str] = {}
    for workspace in objects.workspaces.values():
        for digest in workspace.key_digests:
            if digest in owners:
                yield _make_finding(
                    FindingCode.KEY_SHARED,
                    Kind.WORKSPACES,
                    workspace.name,
                    "key_digests",
                    f"'{owners[digest]}' has the same key",
                )
            owners[digest] = workspace.name
        yield None


def _check_shared_addresses(objects: ObjectSet) -> Iterator[Finding | None]:
    owners: dict[str, str] = {}
    for kind in (Kind.MODEL_ENDPOINTS, Kind.SERVICE_ENDPOINTS):
        for endpoint in objects.of_kind(kind).values():
            if endpoint.sidecar in owners:
                yield _make_finding(
                    FindingCode.ADDRESS_SHARED,
                    kind,
                    endpoint.name,
                    "sidecar",
                    f"'{owners[endpoint.sidecar]}' has the same address",
                )
            owners[endpoint.sidecar] = endpoint.name
            yield None


def _check_unserved(objects: ObjectSet) -> Iterator[Finding | None]:
    if any(domain.allow_unserved for domain in objects.failure_domains.values()):
        return
    for model in objects.models.values():
        endpoints = objects.endpoints_by_version.get(model.default_version, ())
        if endpoints and not _has_domain_in_service(objects, endpoints):
            yield _make_finding(
                FindingCode.MODEL_UNSERVED,
                Kind.MODELS,
                model.name,
                "default_version",
                "every failure domain that serves it has the state 'out'",
            )
        yield None
    for service, endpoints in objects.endpoints_by_service.items():
        if not _has_domain_in_service(objects, endpoints):
            yield _make_finding(
                FindingCode.SERVICE_UNSERVED,
                Kind.SERVICES,
                service,
                "name",
                "every failure domain that serves it has the state 'out'",
            )


def _has_domain_in_service(objects: ObjectSet, endpoints: tuple) -> bool:
    for endpoint in endpoints:
        domain = objects.failure_domains.get(endpoint.failure_domain)
        if domain is not None and domain.state is DomainState.IN:
            return True
    return False
