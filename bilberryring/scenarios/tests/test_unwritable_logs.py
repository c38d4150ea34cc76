"""Logs of entries and sidecars that cannot be written, as on a full disk."""

import pytest

from bilberryring.platform.tests.test_unwritable_logs import limit_file_size
from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import MODEL, SERVICE, FleetPlan

WORKSPACE = "bars"


@pytest.fixture
def fleet():
    fleet = Fleet(plan=FleetPlan(engines_per_domain=1))
    try:
        yield fleet.start()
    finally:
        fleet.stop()


@pytest.mark.parametrize("role", ["entry", "sidecar"])
def test_a_log_that_cannot_be_written_takes_no_answer_from_a_caller(fleet, role):
    caller = fleet.caller("entry-1", WORKSPACE)
    names = ["entry-1"] if role == "entry" else [f"sidecar-{e}" for e in fleet.engines]
    for name in names:
        limit_file_size(fleet.process(name), 0)
    assert caller.prompt("a", model=MODEL, max_tokens=8, timeout=5.0).is_whole
    ticket = caller.request_ticket(SERVICE).body["ticket"]
    body = {"reference": "r", "delay_before": 0.0, "delay_after": 0.0}
    assert caller.call(SERVICE, "reservations", body, ticket=ticket).status < 300
