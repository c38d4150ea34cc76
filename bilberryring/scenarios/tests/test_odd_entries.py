"""Entries of another writer among the published sets and in the VM list."""

from dataclasses import replace
from urllib.parse import quote

import pytest

from bilberryring.objects import Priority
from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import FleetPlan
from bilberryring.testing.processes import wait_until

IN_FORCE_SECONDS = 8.0
ODD_KEYS = [
    "set/\u00b2-a",
    "set/" + "9" * 5_000,
    "set/" + "9" * 400 + "-a",
    "set/000000000077-a b",
    "set/000000000078-\u6771",
    "set/000000000079-a",
]
ODD_VMS = [
    {"name": "a b", "address": "127.0.0.1:9"},
    {"name": "vm-1", "address": "127.0.0.1:65536"},
    {"name": "vm-2", "address": "127.0.0.1:" + "9" * 5_000},
    {"name": "vm-3", "address": "::1:9"},
    {"name": "vm-4", "address": ""},
]


@pytest.fixture
def fleet():
    fleet = Fleet(plan=FleetPlan(engines_per_domain=1))
    try:
        yield fleet.start()
    finally:
        fleet.stop()


def publish_and_wait(fleet, seconds):
    priorities = dict(fleet.objects.priorities)
    priorities["archive"] = Priority(name="archive", rank=2, total_seconds=seconds)
    fleet.publish(replace(fleet.objects, priorities=priorities))
    digest = fleet.published.manifest.digest
    for name in fleet.daemons:
        wait_until(
            lambda name=name: fleet.status(name)["set_digest"] == digest,
            IN_FORCE_SECONDS,
            f"the set in force in {name}",
        )


def test_sets_are_followed_beside_odd_entries(fleet):
    for key in ODD_KEYS:
        fleet.platform.write_value(quote(key), b"[" * 100_000)
    others = {"role": "sidecar", "failure_domain": "x", "state": "live"}
    fleet.platform.set_vms([vm | others for vm in ODD_VMS])
    publish_and_wait(fleet, 101.0)
    entry = fleet.entries[0]
    fleet.process(entry).kill()
    fleet.restart(entry)
    wait_until(lambda: fleet.is_ready(entry), 15.0, "the restarted entry")
    publish_and_wait(fleet, 102.0)
    for name in fleet.daemons:
        assert fleet.process(name).is_running
        events = [line["event"] for line in fleet.log_events(name)]
        assert "internal_fault" not in events
