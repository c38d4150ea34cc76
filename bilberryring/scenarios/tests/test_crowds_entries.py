"""Crowds of clients of an entry, and of peers of a sidecar.

The number of clients and the limits were fixed on the code without a budget, which
exceeds them. `bin/test` runs these files one at a time.
"""

from functools import partial

import pytest

from bilberryring.http import MAX_BODY_BYTES
from bilberryring.testing.fleet import Fleet
from bilberryring.testing.misbehaving_clients import (
    MachineLimits,
    check_crowd,
)
from bilberryring.testing.misbehaving_requests import (
    HELD_CONNECTIONS,
    Kind,
    repeated_body,
    request_head,
    unfinished_body,
)
from bilberryring.testing.plan import MODEL, FleetPlan, workspace_key

LIMITS = MachineLimits(memory_mb=200, max_descriptors=600)
"""Above an entry or a sidecar with one body of the largest size."""
N_BODIES = 12
N_HELD = 700
"""More than the descriptors of the machine."""
SIDECAR = "sidecar-engine-valpo-a-1"
WORKSPACE = "bars"

entry_head = partial(
    request_head,
    target="/v1/completions",
    Authorization=f"Bearer {workspace_key(WORKSPACE)}",
)


def chunked_body(number, *, size):
    """Send a body that is complete but for its last chunk."""
    yield entry_head("Transfer-Encoding: chunked")
    yield b"%x\r\n" % size
    yield from repeated_body(size)


def many_messages(number):
    """Send a request of the largest size whose messages are as short as they can be."""
    message = b'{"role":"user","content":""}'
    first = b'{"model":"%s","messages":[' % MODEL.encode()
    n_messages = (MAX_BODY_BYTES - len(first) - 2) // (len(message) + 1)
    body = first + b",".join([message] * n_messages) + b"]}"
    yield entry_head(f"Content-Length: {len(body)}", target="/v1/chat/completions")
    yield body


def unfinished_frame(number):
    """Send a frame of a link that is one byte short."""
    yield MAX_BODY_BYTES.to_bytes(4, "big")
    yield from repeated_body(MAX_BODY_BYTES - 1)


ENTRY_BODIES = {
    "one piece": partial(unfinished_body, head=entry_head, n_bytes=MAX_BODY_BYTES),
    "chunk": partial(chunked_body, size=MAX_BODY_BYTES),
    "unknown key": partial(
        unfinished_body,
        head=partial(entry_head, Authorization="Bearer nobody"),
        n_bytes=MAX_BODY_BYTES,
    ),
    "no such path": partial(
        unfinished_body,
        head=partial(entry_head, target="/no/such/path"),
        n_bytes=MAX_BODY_BYTES,
    ),
}


@pytest.fixture
def fleet():
    plan = FleetPlan(
        domains=("valpo-a",),
        entry_domains=("valpo-a",),
        engines_per_domain=1,
        memory_mb=LIMITS.memory_mb,
        max_descriptors=LIMITS.max_descriptors,
    )
    fleet = Fleet(plan=plan)
    try:
        yield fleet.start()
    finally:
        fleet.stop()


def check(fleet, parts_or_kind, n, *, address, process="entry-1"):
    kind = parts_or_kind
    if not isinstance(kind, Kind):
        kind = Kind(parts=parts_or_kind)
    host, port = address.rsplit(":", 1)
    caller = fleet.caller("entry-1", WORKSPACE)
    check_crowd(
        kind,
        n,
        addresses=[(host, int(port))],
        processes=[fleet.process(process)],
        limits=LIMITS,
        is_answered=lambda: (
            caller.prompt("hola", model=MODEL, max_tokens=5, timeout=10.0).is_whole
        ),
    )


@pytest.mark.parametrize("kind", ENTRY_BODIES)
def test_unfinished_bodies_do_not_exhaust_the_memory_of_an_entry(fleet, kind):
    """Each body was held in full, whether or not its request could ever run."""
    check(fleet, ENTRY_BODIES[kind], N_BODIES, address=fleet.caller_address("entry-1"))


def test_many_short_messages_do_not_exhaust_the_memory_of_an_entry(fleet):
    """A parsed message takes many times the memory of its bytes."""
    check(fleet, many_messages, N_BODIES, address=fleet.caller_address("entry-1"))


@pytest.mark.parametrize("kind", HELD_CONNECTIONS)
def test_held_connections_leave_descriptors_for_other_callers(fleet, kind):
    """Connections were accepted until no descriptor was left for any other client."""
    address = fleet.caller_address("entry-1")
    check(fleet, HELD_CONNECTIONS[kind], N_HELD, address=address)


@pytest.mark.parametrize("process", ["entry-1", SIDECAR])
def test_unfinished_bodies_to_the_operators_do_not_exhaust_the_memory(fleet, process):
    """Bodies were held although no request to this port has one."""
    parts = partial(
        unfinished_body,
        head=partial(entry_head, target="/metrics"),
        n_bytes=MAX_BODY_BYTES,
    )
    address = fleet.operator_address(process)
    check(fleet, parts, N_BODIES, address=address, process=process)


def test_unfinished_frames_do_not_exhaust_the_memory_of_a_sidecar(fleet):
    """A frame was held for as long as it may take to arrive."""
    address = fleet.published_address(SIDECAR.removeprefix("sidecar-"))
    check(fleet, unfinished_frame, N_BODIES, address=address, process=SIDECAR)


def test_connections_to_a_sidecar_leave_descriptors_for_entries(fleet):
    """Guards against links that are accepted without a bound."""
    address = fleet.published_address(SIDECAR.removeprefix("sidecar-"))
    kind = HELD_CONNECTIONS["abandoned"]
    check(fleet, kind, N_HELD, address=address, process=SIDECAR)
