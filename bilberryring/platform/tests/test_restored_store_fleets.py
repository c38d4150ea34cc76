"""A store that comes back from an older copy, before 3 to 400 gateways.

Some gateways are cut off, frozen, new or of an earlier version meanwhile.
"""

import math

import pytest

from bilberryring.testing.restored_store import SERVICE, RestoredStoreFleet

IN_FORCE_SECONDS = 2.0
IN_TOUCH_SECONDS = 3.0
BACK_SECONDS = 2.0
"""Seconds after its return within which live endpoints write again."""
SIZES = [3, 25, 68, 400]


class Drill:
    """Writes that the store loses, and what every gateway in touch must know."""

    def __init__(self, gateways):
        self.fleet = fleet = RestoredStoreFleet(gateways=gateways, seed=gateways)
        self.excused_until = {}
        fleet.publish(2)
        for name in ("stays", "leaves", "left"):
            fleet.announce(name)
        fleet.network.advance(9.0)
        self.earlier = fleet.network.gateways[3:][: gateways // 10]
        for gateway in self.earlier:
            fleet.make_earlier(gateway)
        fleet.network.advance(1.5)

    def lose_writes(self):
        """Write what the store loses later; return the copy that lacks it."""
        fleet = self.fleet
        copy = fleet.store.save()
        for version in range(3, 12):
            fleet.publish(version)
        fleet.store.put("op/evacuate/d3", b"{}")
        fleet.announce("leaves", state="draining")
        fleet.announce("left", state="draining")
        fleet.announce("late")
        fleet.network.advance(0.5)
        fleet.store.remove("servers/left")
        fleet.network.advance(1.5)
        return copy

    def disturb(self):
        disturbance = self.fleet.network.disturb(seconds=2.5)
        until = self.fleet.network.now + 2.5 + IN_TOUCH_SECONDS
        for gateway in (*disturbance.recovering, *disturbance.started):
            self.excused_until[gateway.host] = until

    def in_touch(self):
        now = self.fleet.network.now
        return [
            self.fleet.state(gateway)
            for gateway in self.fleet.network.gateways
            if not gateway.is_down
            and gateway not in self.earlier
            and self.excused_until.get(gateway.host, 0.0) <= now
        ]

    def usable(self, state):
        return {endpoint.id for endpoint in state.endpoints.usable(SERVICE)}

    def assert_nothing_went_back(self, *, version, usable):
        states = self.in_touch()
        assert states
        assert {state.configuration.version for state in states} == {version}
        assert {state.endpoints.domains_out for state in states} == {frozenset({"d3"})}
        for state in states:
            assert self.usable(state) == usable


@pytest.mark.parametrize(
    ("gateways", "is_compacted"),
    [(size, False) for size in SIZES] + [(size, True) for size in SIZES[:3]],
)
def test_nothing_goes_back_and_new_writes_are_in_force(gateways, is_compacted):
    drill = Drill(gateways)
    fleet = drill.fleet
    copy = drill.lose_writes()
    drill.assert_nothing_went_back(version=11, usable={"stays", "late"})
    drill.disturb()
    fleet.restore(copy, away=2.0, is_compacted=is_compacted)
    for _ in range(8):
        fleet.network.advance(BACK_SECONDS / 8)
        drill.assert_nothing_went_back(version=11, usable={"stays", "late"})
    fleet.announce("late")
    fleet.announce("leaves", state="draining")
    fleet.store.remove("servers/left")
    for _ in range(6):
        fleet.network.advance(0.5)
        drill.assert_nothing_went_back(version=11, usable={"stays", "late"})
    fleet.publish(12)
    fleet.store.put("op/evacuate/d3", b"{}")
    fleet.announce("new")
    fleet.network.advance(IN_FORCE_SECONDS)
    drill.assert_nothing_went_back(version=12, usable={"stays", "late", "new"})
    fleet.store.remove("op/evacuate/d3")
    fleet.network.advance(IN_FORCE_SECONDS)
    assert {state.endpoints.domains_out for state in drill.in_touch()} == {frozenset()}


@pytest.mark.parametrize("gateways", [3, 25, 68])
def test_two_returns_in_a_row_and_gateways_that_start_then(gateways):
    drill = Drill(gateways)
    fleet = drill.fleet
    copy = drill.lose_writes()
    fleet.restore(copy, away=1.0)
    fleet.network.advance(0.7)
    started_at = len(fleet.network.gateways)
    fleet.network.add(2)
    started = fleet.network.gateways[started_at:]
    drill.excused_until.update({gateway.host: math.inf for gateway in started})
    fleet.restore(copy, away=1.0)
    for _ in range(4):
        fleet.network.advance(0.5)
        drill.assert_nothing_went_back(version=11, usable={"stays", "late"})
    for gateway in started:
        state = fleet.state(gateway)
        assert state.configuration.version == 11
        assert state.endpoints.domains_out == frozenset({"d3"})
    fleet.publish(12)
    fleet.network.advance(IN_FORCE_SECONDS)
    assert {state.configuration.version for state in drill.in_touch()} == {12}


def test_an_endpoint_that_is_missing_and_does_not_return_is_gone():
    drill = Drill(3)
    copy = drill.lose_writes()
    drill.fleet.restore(copy, away=1.0)
    drill.fleet.network.advance(BACK_SECONDS + 2.0)
    for state in drill.in_touch():
        assert "late" not in drill.usable(state)
