"""Decodes a configuration for its check, and reads the published one from the store.

Only the operators' tool uses this module. What gateways use is decoded by
`platform.configuration`, which also bounds each field here.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from bilberryring.fleet import EndpointState, Route, ServiceName
from bilberryring.http import HttpClient
from bilberryring.objects import key_digest
from bilberryring.platform.configuration import (
    MAX_DETAIL_CHARS,
    ContentError,
    convert_limits,
    convert_service,
    convert_workspace,
    decode_document,
    decode_endpoint,
    decode_listed_route,
)
from bilberryring.platform.names import CONFIGURATION_KEY, ENDPOINT_PREFIX
from bilberryring.platform.store import StoreClient
from bilberryring.validation import (
    ConfigurationListing,
    ListedWorkspace,
    UnreadableRoute,
)

MAX_ENTRIES = 100_000
"""Routes, services, workspaces and keys that are checked, together.

A file of 8 MB with 4,000,000 routes that are the number 0 needed 1.4 GB and 42 s
without this bound. The largest deployment has some thousands."""
FIELD_NAMES: Mapping[str, str] = MappingProxyType(
    {
        "workspaces": "tenants",
        "key_digests": "api_keys",
        "regions": "allowed_regions",
        "shares": "backends",
        "timeout": "timeout_ms",
        "first_answer_objective": "target_latency_ms",
        "gap_objective": "gap_aim_ms",
        "max_endpoints": "attempts",
        "may_resume": "stream_resume",
        "is_anonymous_allowed": "allow_anonymous",
        "cold_requests_per_second": "cold_per_s",
        "header_timeout": "header_timeout_ms",
        "idle_timeout": "idle_timeout_ms",
    }
)
"""The platform's names of sections and fields, where they differ from the code's."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedState:
    """What the store holds: the configuration, if any, and the running endpoints."""

    content: bytes | None
    endpoint_counts: Mapping[ServiceName, int]


def decode_listing(content: bytes) -> ConfigurationListing:
    """Return all entries of a configuration, with the routes that are malformed.

    `ContentError` is raised when something other than a route is malformed, or when
    there are too many entries.
    """
    document = decode_document(content)
    n_entries = len(document.routes) + len(document.services)
    n_entries += sum(1 + len(tenant.api_keys) for tenant in document.tenants or ())
    if n_entries > MAX_ENTRIES:
        raise ContentError(
            "configuration_too_large",
            f"{n_entries} entries and keys, of which at most {MAX_ENTRIES} are checked",
            remedy="remove entries",
        )
    return ConfigurationListing(
        version=document.version,
        routes=tuple(_list_route(bytes(route)) for route in document.routes),
        services=tuple(convert_service(service) for service in document.services),
        workspaces=(
            None
            if document.tenants is None
            else tuple(_list_workspace(item) for item in document.tenants)
        ),
        limits=convert_limits(document.limits),
    )


def _list_route(content: bytes) -> Route | UnreadableRoute:
    try:
        return decode_listed_route(content)
    except ValueError as error:
        return UnreadableRoute(detail=str(error)[:MAX_DETAIL_CHARS])


def _list_workspace(entry) -> ListedWorkspace:
    workspace = convert_workspace(entry)
    return ListedWorkspace(
        name=workspace.name,
        priority=workspace.priority,
        regions=workspace.regions,
        key_digests=tuple(key_digest(key) for key in entry.api_keys),
    )


async def read_published(reactor, address: str) -> PublishedState:
    """Return what the store at an address holds; `StoreError` says why it cannot."""
    client = HttpClient(reactor=reactor, base_url=f"http://{address}")
    store = StoreClient(client=client)
    configuration = await store.list(CONFIGURATION_KEY)
    endpoints = await store.list(ENDPOINT_PREFIX)
    contents = [
        item.value for item in configuration.items if item.key == CONFIGURATION_KEY
    ]
    counts: Counter[ServiceName] = Counter()
    for item in endpoints.items:
        if item.value is not None:
            counts.update(_service_of(item.key, item.value))
    return PublishedState(
        content=contents[-1] if contents else None, endpoint_counts=counts
    )


def _service_of(key: str, content: bytes) -> tuple[ServiceName, ...]:
    """Return the service of an endpoint, or nothing if it is leaving or unreadable."""
    try:
        endpoint = decode_endpoint(key, content, now=0.0)
    except ContentError:
        return ()
    return () if endpoint.state is EndpointState.LEAVING else (endpoint.service,)
