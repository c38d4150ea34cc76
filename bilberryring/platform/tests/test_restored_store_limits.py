"""What nobody holds after a return of the store, and what operators do about it.

The cases are limits of docs/design/restored-store.md; a test fails if one of them
becomes worse than the page says, or if what the page tells operators to do fails.
"""

import pytest

from bilberryring.platform.loss_rules import EVACUATION_HOLD_SECONDS
from bilberryring.testing.restored_store import RestoredStoreFleet

IN_FORCE_SECONDS = 2.0
AWAY_SECONDS = 1.0
SETTLED_SECONDS = 11.0
"""Seconds after which gateways know all that was removed shortly before a return."""
GATEWAYS = 3
EVACUATION = "op/evacuate/d3"
DOMAIN_OUT = frozenset({"d3"})


def start(gateways=GATEWAYS):
    fleet = RestoredStoreFleet(gateways=gateways, seed=1)
    fleet.publish(2)
    fleet.announce("stays")
    fleet.network.advance(SETTLED_SECONDS)
    return fleet


def running(fleet):
    gateways = [item for item in fleet.network.gateways if not item.is_down]
    assert gateways
    return [fleet.state(gateway) for gateway in gateways]


def versions(fleet):
    return {state.configuration.version for state in running(fleet)}


def domains_out(fleet):
    return {state.endpoints.domains_out for state in running(fleet)}


def lose_evacuation(fleet):
    """Let the store return without an evacuation that all gateways know."""
    copy = fleet.store.save()
    fleet.store.put(EVACUATION, b"{}")
    fleet.network.advance(IN_FORCE_SECONDS)
    assert domains_out(fleet) == {DOMAIN_OUT}
    fleet.is_store_down = True
    fleet.network.advance(AWAY_SECONDS)
    fleet.store.restore(copy)


def test_what_was_lost_goes_back_if_all_gateways_end_until_it_is_written_again():
    fleet = start()
    copy = fleet.store.save()
    fleet.publish(5)
    fleet.store.put(EVACUATION, b"{}")
    fleet.network.advance(IN_FORCE_SECONDS)
    assert versions(fleet) == {5}
    for gateway in fleet.network.gateways:
        fleet.network.stop(gateway)
    fleet.restore(copy, away=AWAY_SECONDS)
    fleet.network.add(GATEWAYS)
    fleet.network.advance(IN_FORCE_SECONDS)
    assert versions(fleet) == {2}
    assert domains_out(fleet) == {frozenset()}
    fleet.publish(5)
    fleet.store.put(EVACUATION, b"{}")
    fleet.network.advance(IN_FORCE_SECONDS)
    assert versions(fleet) == {5}
    assert domains_out(fleet) == {DOMAIN_OUT}


def test_an_evacuation_that_ended_unread_after_the_return_holds_until_its_limit():
    fleet = start()
    lose_evacuation(fleet)
    fleet.store.put(EVACUATION, b"{}")
    fleet.store.remove(EVACUATION)
    fleet.is_store_down = False
    fleet.network.advance(IN_FORCE_SECONDS)
    assert domains_out(fleet) == {DOMAIN_OUT}
    fleet.network.advance(EVACUATION_HOLD_SECONDS)
    assert domains_out(fleet) == {frozenset()}


def test_writing_and_removing_an_evacuation_again_ends_it():
    fleet = start()
    lose_evacuation(fleet)
    fleet.store.put(EVACUATION, b"{}")
    fleet.store.remove(EVACUATION)
    fleet.is_store_down = False
    fleet.network.advance(IN_FORCE_SECONDS)
    fleet.store.put(EVACUATION, b"{}")
    fleet.network.advance(IN_FORCE_SECONDS)
    fleet.store.remove(EVACUATION)
    fleet.network.advance(IN_FORCE_SECONDS)
    assert domains_out(fleet) == {frozenset()}


@pytest.mark.parametrize("gateways", [3, 25])
def test_writing_and_removing_an_evacuation_at_once_ends_it_too(gateways):
    fleet = start(gateways)
    lose_evacuation(fleet)
    fleet.is_store_down = False
    fleet.network.advance(IN_FORCE_SECONDS)
    fleet.store.put(EVACUATION, b"{}")
    fleet.store.remove(EVACUATION)
    fleet.network.advance(IN_FORCE_SECONDS)
    assert domains_out(fleet) == {frozenset()}
