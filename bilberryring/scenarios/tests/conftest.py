"""Fleets for scenarios; one fleet serves the scenarios of a module."""

import pytest
from pytest_bdd import parsers, then

from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import FleetPlan
from bilberryring.testing.processes import wait_until


@pytest.fixture(scope="module")
def booking_fleet():
    """A fleet whose links and service connections pass through the relay."""
    fleet = Fleet(
        plan=FleetPlan(
            engines_per_domain=1, is_relayed=True, service_deadline_seconds=4.0
        )
    )
    try:
        yield fleet.start()
    finally:
        fleet.stop()


@pytest.fixture(scope="module")
def small_fleet():
    """A fleet of one entry, one engine and one service in one failure domain."""
    plan = FleetPlan(
        domains=("valpo-a",), entry_domains=("valpo-a",), engines_per_domain=1
    )
    fleet = Fleet(plan=plan)
    try:
        yield fleet.start()
    finally:
        fleet.stop()


@then(parsers.parse("no engine holds memory within {seconds:g} s"))
def no_memory_held(fleet, seconds):
    """Ask the engines themselves, not the system's own ledger."""
    for name in fleet.engines:
        wait_until(
            lambda name=name: fleet.engine_counters(name)["kv_used"] == 0,
            seconds,
            f"{name} to hold no memory",
        )
