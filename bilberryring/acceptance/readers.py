"""Which processes read the platform, so that its rate limit is kept.

Each failure domain has a few readers, chosen among its sidecars by rendezvous hashing.
All processes compute the same readers from the set in force, so they need not exchange
messages about it.
"""

import xxhash

from bilberryring.objects import ObjectSet

READERS_PER_DOMAIN = 2
WATCH_TIMEOUT_SECONDS = 20.0
"""How long a reader's watch call on the platform waits for a change."""

MAX_PEER_SILENCE_SECONDS = 25.0
"""How long a process hears from no peer before it reads the platform itself."""

MAX_UNLINKED_SILENCE_SECONDS = 5.0
"""The same limit for a process without links."""

MAX_READ_INTERVAL_SECONDS = 120.0
"""The longest time between two reads of a process, also when peers are heard."""


def rendezvous_weight(member: str, key: str) -> int:
    """Return the rendezvous hash of a member for a key; the highest is chosen first."""
    return xxhash.xxh3_64_intdigest(f"{member}\0{key}".encode())


def readers_of_domain(objects: ObjectSet, failure_domain: str) -> frozenset[str]:
    """Return the endpoints of a domain whose sidecars read the platform.

    They are `READERS_PER_DOMAIN` names, or fewer in a smaller domain.
    """
    members = [
        endpoint.name
        for endpoints in (objects.model_endpoints, objects.service_endpoints)
        for endpoint in endpoints.values()
        if endpoint.failure_domain == failure_domain
    ]
    members.sort(key=lambda name: rendezvous_weight(name, "reader"), reverse=True)
    return frozenset(members[:READERS_PER_DOMAIN])
