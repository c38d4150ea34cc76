"""Memory and descriptors of a gateway beside crowds of misbehaving clients."""

import json

from bilberryring.standins.gateway_site import GatewaySite
from bilberryring.testing.misbehaving_clients import (
    ANSWERED_SECONDS,
    BULK_SERVICE,
    PORTS,
    STOP_FACTOR,
    Crowd,
    MachineLimits,
    ProcessPeak,
    answer_crowd,
    crowd_configuration,
    is_answered,
)
from bilberryring.testing.misbehaving_requests import (
    HELD_CONNECTIONS,
    ONLY_CHUNKS_OF_A_BYTE,
    OVERSIZED_BODIES,
    SHORT_FIELDS,
    SLOW_READER,
    UNFINISHED_BODIES,
    UNREAD_ANSWERS,
    Kind,
)
from bilberryring.testing.processes import wait_until

MAX_DESCRIPTORS = 1_535
"""Those of the smallest machine."""
KINDS: dict[str, Kind] = {
    **{f"unfinished body: {name}": kind for name, kind in UNFINISHED_BODIES.items()},
    "unfinished body: only chunks of a byte": ONLY_CHUNKS_OF_A_BYTE,
    **{f"oversized body: {name}": kind for name, kind in OVERSIZED_BODIES.items()},
    **{f"short fields: {name}": kind for name, kind in SHORT_FIELDS.items()},
    **{f"unread answers: {name}": kind for name, kind in UNREAD_ANSWERS.items()},
    "slow reader": SLOW_READER,
    **{f"connection: {name}": kind for name, kind in HELD_CONNECTIONS.items()},
}
MB = 1e6


def run_table(
    *, memories: tuple[float, ...], counts: tuple[int, ...], kinds: tuple[str, ...]
) -> None:
    """Print a row for each kind that begins with one of `kinds`, or for all.

    A crowd stops early once the process has `STOP_FACTOR` times its memory.
    """
    print(
        "| kind | connections | memory MB | peak MB | descriptors | ended | answered |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for memory_mb in memories:
        limits = MachineLimits(memory_mb=memory_mb, max_descriptors=MAX_DESCRIPTORS)
        for count in counts:
            for name, kind in KINDS.items():
                if not kinds or name.startswith(kinds):
                    _print_row(name, kind, count, limits)


def _print_row(name: str, kind: Kind, count: int, limits: MachineLimits) -> None:
    site = GatewaySite(
        memory_mb=limits.memory_mb, max_fds=limits.max_descriptors
    ).start()
    try:
        site.publish(crowd_configuration(limits={}))
        site.add_endpoint("a", answer_crowd)
        site.add_endpoint("b", answer_crowd, service=BULK_SERVICE, slots=400)
        site.start_gateway()
        process = site.process("gateway-1")
        peak = ProcessPeak(process)
        address = (site.host(1), PORTS[kind.port])
        with Crowd(kind=kind, addresses=[address], n=count) as crowd:
            crowd.run([peak], stop_above=STOP_FACTOR * limits.memory_bytes)
            answered = _is_answered_in_time(site)
            peak.sample()
        row = {
            "kind": name,
            "connections": count,
            "memory_mb": limits.memory_mb,
            "peak_mb": round(peak.memory_bytes / MB, 1),
            "descriptors": peak.n_descriptors,
            "ended": not process.is_running,
            "answered": answered,
        }
    finally:
        site.stop()
    print("| " + " | ".join(str(value) for value in row.values()) + " |", flush=True)
    print(json.dumps(row), flush=True)


def _is_answered_in_time(site: GatewaySite) -> bool:
    """Whether an ordinary request is answered while the crowd has its connections."""
    try:
        wait_until(lambda: is_answered(site), ANSWERED_SECONDS, "an answer")
    except TimeoutError:
        return False
    return True
