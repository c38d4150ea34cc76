"""Changed keys are applied to the fleet state one by one."""

import json
from io import StringIO
from types import SimpleNamespace

from twisted.internet.task import Clock

from bilberryring.fleet import FleetState, PublishedItem, Replica
from bilberryring.platform.tests.odd_entries import ENTRY
from bilberryring.platform.translation import Translator
from bilberryring.telemetry import EventLog


def test_a_key_that_cannot_be_applied_holds_up_no_other():
    fleet, output, replica = FleetState(), StringIO(), Replica()

    def fail(endpoint):
        raise RuntimeError(f"no {endpoint.id}")

    translator = Translator(
        reactor=Clock(),
        fleet=fleet,
        health=SimpleNamespace(is_recovering=lambda grace: False),
        log=EventLog(process="p", role="gateway", stream=output),
        on_endpoint_removed=fail,
    )

    def apply(revision, **values):
        items = [
            PublishedItem(key=f"servers/{name}", revision=revision, value=value)
            for name, value in values.items()
        ]
        translator.update_fleet(replica, replica.apply(items))

    entry = json.dumps(ENTRY).encode()
    apply(20, a=entry, b=entry)
    apply(30, a=None, c=entry)
    assert [endpoint.id for endpoint in fleet.endpoints.all] == ["b", "c"]
    assert output.getvalue().count("internal_fault") == 1
