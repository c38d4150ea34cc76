"""Which processes read the platform, so that its rate is kept without asking.

Each failure domain has a few readers, chosen by rendezvous rank among its
sidecars; all processes compute the same ranks from the set in force.
"""

import xxhash

from bilberryring.objects import ObjectSet

READERS_PER_DOMAIN = 2
WATCH_SECONDS = 20.0
SILENCE_SECONDS = 25.0
UNLINKED_SECONDS = 5.0
SAFETY_READ_SECONDS = 120.0


def rendezvous_weight(member: str, key: str) -> int:
    """Return the weight of a member for a key; the highest ranks first."""
    return xxhash.xxh3_64_intdigest(f"{member}\0{key}".encode())


def readers_of_domain(objects: ObjectSet, failure_domain: str) -> frozenset[str]:
    """Return the names of the endpoints whose sidecars read the platform."""
    members = [
        endpoint.name
        for endpoints in (objects.model_endpoints, objects.service_endpoints)
        for endpoint in endpoints.values()
        if endpoint.failure_domain == failure_domain
    ]
    members.sort(key=lambda name: rendezvous_weight(name, "reader"), reverse=True)
    return frozenset(members[:READERS_PER_DOMAIN])
