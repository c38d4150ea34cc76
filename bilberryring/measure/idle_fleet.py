"""Slopes of running processes: processor time and calls without any request."""

import time
from pathlib import Path

from bilberryring.measure.relay import cpu_seconds
from bilberryring.objects import DomainState
from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import FleetPlan
from bilberryring.testing.processes import pause, wait_until

IDLE_SECONDS = 20.0
IN_FORCE_SECONDS = 10.0
PAGES_PER_MEGABYTE = 256
ROUNDS = 3


def resident_megabytes(process_id: int) -> float:
    """Return the memory that a process holds."""
    pages = Path(f"/proc/{process_id}/statm").read_text().split()[1]
    return int(pages) / PAGES_PER_MEGABYTE


def idle_slopes() -> list[tuple[str, float, str]]:
    """Measure a fleet of two entries and nine sidecars at rest and at a change."""
    fleet = Fleet(plan=FleetPlan(engines_per_domain=2))
    try:
        fleet.start()
        pause(2.0)
        slopes = _at_rest(fleet)
        return slopes + _at_changes(fleet)
    finally:
        fleet.stop()


def _at_rest(fleet: Fleet) -> list[tuple[str, float, str]]:
    ids = {name: fleet.process(name).process_id for name in fleet.daemons}
    before = {name: cpu_seconds(process_id) for name, process_id in ids.items()}
    calls_before = fleet.platform.counts()["total"]
    pause(IDLE_SECONDS)
    shares = {
        name: (cpu_seconds(process_id) - before[name]) / IDLE_SECONDS
        for name, process_id in ids.items()
    }
    calls = (fleet.platform.counts()["total"] - calls_before) / IDLE_SECONDS
    slopes = [("platform calls at rest, 11 processes", calls, "calls/s")]
    for role, prefix in (
        ("entry, 9 links", "entry"),
        ("model sidecar, 2 links", "sidecar-engine"),
        ("service sidecar, 2 links", "sidecar-book"),
    ):
        names = [name for name in ids if name.startswith(prefix)]
        share = sum(shares[name] for name in names) / len(names)
        memory = max(resident_megabytes(ids[name]) for name in names)
        slopes.append((f"{role}: core at rest", 100 * share, "%"))
        slopes.append((f"{role}: memory", memory, "MB"))
    return slopes


def _at_changes(fleet: Fleet) -> list[tuple[str, float, str]]:
    worst = 0.0
    before = fleet.platform.counts()["total"]
    for round_number in range(ROUNDS):
        state = DomainState.OUT if round_number % 2 == 0 else DomainState.IN
        started = time.monotonic()
        number = fleet.set_domain(fleet.plan.domains[0], state)
        for name in fleet.daemons:
            wait_until(
                lambda name=name, n=number: fleet.status(name)["set_number"] >= n,
                IN_FORCE_SECONDS,
                f"set {number} in force in {name}",
            )
        worst = max(worst, time.monotonic() - started)
    calls = (fleet.platform.counts()["total"] - before) / ROUNDS
    return [
        ("platform calls for a change, 11 processes", calls, "calls"),
        ("a change in force in 11 processes, worst", worst, "s"),
    ]
