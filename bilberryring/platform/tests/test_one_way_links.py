"""Changes are in force at a gateway whose packets pass in one direction only.

It hears no other gateway, or none hears it. Time and network are simulated.
"""

import pytest

from bilberryring.testing.restored_store import RestoredStoreFleet

APPLY_SECONDS = 2.0
"""Seconds in which an acknowledged change is in force."""
IN_TOUCH_SECONDS = 3.0


@pytest.mark.parametrize("is_deaf", [True, False], ids=["deaf", "unheard"])
@pytest.mark.parametrize(
    ("gateways", "role"),
    [
        (3, "first reader"),
        (3, "other reader"),
        (25, "first reader"),
        (25, "other reader"),
        (25, "copies"),
    ],
)
def test_a_change_is_in_force_despite_a_one_way_link(gateways, is_deaf, role):
    fleet = RestoredStoreFleet(gateways=gateways, seed=gateways)
    fleet.publish(2)
    fleet.network.advance(9.0)
    everyone = fleet.network.gateways
    victims = {
        "first reader": [item for item in everyone if item.duty.is_first],
        "other reader": [
            item for item in everyone if item.duty.is_due and not item.duty.is_first
        ],
        "copies": [item for item in everyone if not item.duty.is_due],
    }[role]
    victim = victims[0]
    others = [item for item in everyone if item is not victim]
    if is_deaf:
        victim.muted.update(item.host for item in others)
    else:
        for item in others:
            item.muted.add(victim.host)
    for version in (3, 4):
        fleet.network.advance(IN_TOUCH_SECONDS)
        fleet.publish(version)
        fleet.network.advance(APPLY_SECONDS)
        assert {fleet.state(item).configuration.version for item in everyone} == {
            version
        }
