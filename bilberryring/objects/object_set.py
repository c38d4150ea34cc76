"""A whole set of published objects, with look-up tables derived from it."""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import cached_property

from bilberryring.objects.kinds import (
    Adapter,
    AdapterName,
    DomainState,
    EndpointName,
    FailureDomain,
    FailureDomainName,
    Kind,
    Model,
    ModelEndpoint,
    ModelName,
    Priority,
    PriorityName,
    PublishedObject,
    Service,
    ServiceEndpoint,
    ServiceName,
    Version,
    VersionName,
    Workspace,
    WorkspaceName,
)


def key_digest(key: str) -> str:
    """Return the SHA-256 digest that a workspace lists for a caller's API key."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclass(frozen=True, kw_only=True)
class ObjectSet:
    """All published objects, by kind and name.

    >>> objects = ObjectSet(models={"m": Model(name="m", default_version="v")})
    >>> objects.models["m"].max_output_tokens
    4096
    """

    failure_domains: dict[FailureDomainName, FailureDomain] = field(
        default_factory=dict
    )
    priorities: dict[PriorityName, Priority] = field(default_factory=dict)
    models: dict[ModelName, Model] = field(default_factory=dict)
    versions: dict[VersionName, Version] = field(default_factory=dict)
    adapters: dict[AdapterName, Adapter] = field(default_factory=dict)
    workspaces: dict[WorkspaceName, Workspace] = field(default_factory=dict)
    services: dict[ServiceName, Service] = field(default_factory=dict)
    model_endpoints: dict[EndpointName, ModelEndpoint] = field(default_factory=dict)
    service_endpoints: dict[EndpointName, ServiceEndpoint] = field(default_factory=dict)

    def of_kind(self, kind: Kind) -> dict[str, PublishedObject]:
        """Return the objects of one kind by name."""
        return getattr(self, kind.value)

    def all_objects(self) -> Iterator[tuple[Kind, PublishedObject]]:
        """Yield each object with its kind."""
        for kind in Kind:
            for item in self.of_kind(kind).values():
                yield kind, item

    @cached_property
    def workspace_by_key_digest(self) -> dict[str, Workspace]:
        """The workspace that each digest of an API key belongs to."""
        return {
            digest: workspace
            for workspace in self.workspaces.values()
            for digest in workspace.key_digests
        }

    @cached_property
    def endpoints_by_version(self) -> dict[VersionName, tuple[ModelEndpoint, ...]]:
        """The model endpoints that list each version."""
        found: dict[VersionName, list[ModelEndpoint]] = {}
        for endpoint in self.model_endpoints.values():
            for version in endpoint.versions:
                found.setdefault(version, []).append(endpoint)
        return {version: tuple(items) for version, items in found.items()}

    @cached_property
    def endpoints_by_service(self) -> dict[ServiceName, tuple[ServiceEndpoint, ...]]:
        """The endpoints of each plain service."""
        found: dict[ServiceName, list[ServiceEndpoint]] = {}
        for endpoint in self.service_endpoints.values():
            found.setdefault(endpoint.service, []).append(endpoint)
        return {service: tuple(items) for service, items in found.items()}

    @cached_property
    def domains_out(self) -> frozenset[FailureDomainName]:
        """The names of the failure domains that accept no new requests."""
        return frozenset(
            domain.name
            for domain in self.failure_domains.values()
            if domain.state is DomainState.OUT
        )

    def workspace_of_key(self, key: str) -> Workspace | None:
        """Return the workspace that a caller's API key belongs to, or `None`."""
        return self.workspace_by_key_digest.get(key_digest(key))


def build_set(objects: Iterator[tuple[Kind, PublishedObject]]) -> ObjectSet:
    """Return a set of the objects.

    Of several objects with the same kind and name, the last one is kept.
    """
    by_kind: dict[str, dict[str, PublishedObject]] = {kind.value: {} for kind in Kind}
    for kind, item in objects:
        by_kind[kind.value][item.name] = item
    return ObjectSet(**by_kind)
