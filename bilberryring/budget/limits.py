"""The limits of a process, derived from the memory and descriptors of its machine.

>>> limits = limits_of_machine(
...     memory_bytes=152 * MIB, max_descriptors=1_535, largest_request_bytes=4 * MIB
... )
>>> limits.memory_bytes // MIB, limits.max_connections, limits.is_floor
(44, 1028, False)
"""

from dataclasses import dataclass

MIB = 1024 * 1024
PROCESS_BYTES = 64 * MIB
"""Memory that a process needs beside its clients: 47 MB when idle, and its tables."""
CLIENT_SHARE = 0.5
"""Share of the other memory that clients may occupy. The rest is for the answers of
endpoints that are held until they are whole, up to 25 MB, and for the allocator, which
does not return all freed memory to the system."""
DEFAULT_MEMORY_BYTES = 1024 * MIB
"""Memory that is assumed without a setting. It allows 57 requests with the largest
published body at the same time, which no deployment has reached."""
FILE_DESCRIPTORS = 200
"""Descriptors that are kept for files."""
PEER_SHARE = 0.2
"""Share of the descriptors that no caller's connection takes, so that endpoints, peers
and the store can be reached beside any number of callers."""
PEER_DESCRIPTORS = 64
"""Descriptors for peers, the store and idle connections to endpoints."""
MIN_CONNECTIONS = 16
REQUEST_COPIES = 2
"""How often the body of a request is in memory while it is sent to an endpoint."""
FLOOR_SLACK_BYTES = 8 * MIB
"""Memory for connections and heads beside one largest request."""


@dataclass(frozen=True, slots=True, kw_only=True)
class BudgetLimits:
    """What all clients of a process may occupy together.

    `max_sockets` bounds their connections and those to endpoints for their requests.
    `machine_bytes` is the memory of the machine, for the process and its clients.
    `is_floor` is true if the memory of the machine is below what the process itself
    needs, so that the least sensible limit is in force.
    """

    memory_bytes: int
    max_connections: int
    max_sockets: int
    machine_bytes: int = DEFAULT_MEMORY_BYTES
    is_floor: bool = False


def limits_of_machine(
    *,
    memory_bytes: int | None,
    max_descriptors: int | None,
    largest_request_bytes: int,
    available_descriptors: int = 1_048_576,
    connects_to_endpoints: bool = True,
) -> BudgetLimits:
    """Return the limits for a machine; `None` stands for a setting that is missing.

    0 is what an implausible setting is decoded to.

    `available_descriptors` is how many the operating system lets the process open.
    """
    memory = DEFAULT_MEMORY_BYTES if memory_bytes is None else memory_bytes
    floor = REQUEST_COPIES * largest_request_bytes + FLOOR_SLACK_BYTES
    for_clients = int((memory - PROCESS_BYTES) * CLIENT_SHARE)
    descriptors = available_descriptors
    if max_descriptors:
        descriptors = min(descriptors, max_descriptors)
    files = min(FILE_DESCRIPTORS, descriptors // 5)
    max_connections = descriptors - files - int(descriptors * PEER_SHARE)
    max_sockets = descriptors - files - min(PEER_DESCRIPTORS, descriptors // 5)
    if not connects_to_endpoints:
        max_sockets = 2 * descriptors
    return BudgetLimits(
        memory_bytes=max(floor, for_clients),
        max_connections=max(MIN_CONNECTIONS, max_connections),
        max_sockets=max(2 * MIN_CONNECTIONS, max_sockets),
        machine_bytes=max(memory, PROCESS_BYTES),
        is_floor=for_clients < floor,
    )
