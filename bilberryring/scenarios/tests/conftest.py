"""Fleets for scenarios; one fleet serves the scenarios of a module."""

import pytest

from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import FleetPlan


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
