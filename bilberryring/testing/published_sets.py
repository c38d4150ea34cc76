"""What tests ask of sets that were published to a fleet of real processes."""

import itertools
import time
from dataclasses import replace

from bilberryring.objects import ObjectSet, Priority
from bilberryring.telemetry import LogEvent
from bilberryring.testing.fleet import Fleet
from bilberryring.testing.processes import wait_until

_times = itertools.count(100)


def changed_objects(fleet: Fleet) -> ObjectSet:
    """Return the objects with another time in one priority."""
    priorities = dict(fleet.objects.priorities)
    priorities["archive"] = Priority(
        name="archive",
        rank=2,
        first_token_seconds=20.0,
        total_seconds=float(next(_times)),
    )
    return replace(fleet.objects, priorities=priorities)


def wait_in_force(fleet: Fleet, digest: str, seconds: float) -> None:
    """Wait until a set is in force in every daemon."""
    until = time.monotonic() + seconds
    for name in fleet.daemons:
        wait_until(
            lambda name=name: fleet.status(name)["set_digest"] == digest,
            max(0.0, until - time.monotonic()),
            f"the set in force in {name}",
        )


def sets_by_run(fleet: Fleet, name: str) -> list[list[int]]:
    """Return the numbers put in force, for each run of a process."""
    runs: list[list[int]] = []
    for event in fleet.log_events(name):
        match event["number"]:
            case LogEvent.PROCESS_STARTED.value:
                runs.append([])
            case LogEvent.SET_IN_FORCE.value:
                runs[-1].append(event["set"])
    return runs


def assert_none_stepped_back(fleet: Fleet) -> None:
    """Assert that each run of a daemon put in force only higher numbers."""
    for name in fleet.daemons:
        for run in sets_by_run(fleet, name):
            assert run == sorted(set(run)), (name, run)
