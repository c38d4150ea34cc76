"""Selection of the endpoints that one entry tracks in a large fleet.

Every entry ranks the endpoints of a version or service by rendezvous hashing. It
takes up to `MIN_PER_DOMAIN` of each failure domain first and fills the rest by
rank. The ranks of different entries are independent, so that the entries together
cover the fleet evenly.
"""

import xxhash

from bilberryring.objects import ModelEndpoint, ObjectSet, ServiceEndpoint

MIN_PER_DOMAIN = 2
"""Endpoints to take in each failure domain before any more of another one."""

Endpoint = ModelEndpoint | ServiceEndpoint


def tracked_endpoints(
    objects: ObjectSet, *, entry: str, per_model: int
) -> dict[str, Endpoint]:
    """Return the endpoints that the named entry tracks, by name.

    `per_model` is the most endpoints to track for each model version or service.
    """
    tracked: dict[str, Endpoint] = {}
    for endpoints in objects.endpoints_by_version.values():
        for endpoint in _choose(endpoints, entry, per_model):
            tracked[endpoint.name] = endpoint
    for endpoints in objects.endpoints_by_service.values():
        for endpoint in _choose(endpoints, entry, per_model):
            tracked[endpoint.name] = endpoint
    return tracked


def _choose(endpoints: tuple, entry: str, count: int) -> list:
    if len(endpoints) <= count:
        return list(endpoints)
    ranked = sorted(
        endpoints,
        key=lambda endpoint: xxhash.xxh3_64_intdigest(
            f"{entry}\0{endpoint.name}".encode()
        ),
    )
    chosen: dict[str, Endpoint] = {}
    by_domain: dict[str, int] = {}
    for endpoint in ranked:
        taken = by_domain.get(endpoint.failure_domain, 0)
        if taken < MIN_PER_DOMAIN and len(chosen) < count:
            by_domain[endpoint.failure_domain] = taken + 1
            chosen[endpoint.name] = endpoint
    for endpoint in ranked:
        if len(chosen) >= count:
            break
        chosen[endpoint.name] = endpoint
    return list(chosen.values())
