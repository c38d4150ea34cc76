"""What a store has lost in a silence is in force in time at 3 to 68 gateways.

All gateways that read the store watch it again at the same time after a change, so that
a short silence can lose the watches of all of them. The other gateways copy the changes
from those that read. Time and network are simulated.
"""

import pytest

from bilberryring.platform.watch import BATCH_SECONDS
from bilberryring.testing.restored_store import RestoredStoreFleet

SIZES = [3, 25]
STABILITY_SECONDS = 3.0
"""Seconds after the end of a disruption from which the bounds hold."""
APPLY_SECONDS = 2.0
"""Seconds in which an acknowledged change is in force."""
SILENT_SECONDS = 0.5
READS_PER_SECOND = 2_000
"""The read calls per second that the platform allows to all gateways together."""


def settled_fleet(gateways):
    """Return gateways whose watches began after the same change."""
    fleet = RestoredStoreFleet(gateways=gateways, seed=gateways)
    fleet.publish(2)
    fleet.network.advance(9.0)
    fleet.publish(3)
    return fleet


def versions(fleet):
    gateways = [item for item in fleet.network.gateways if not item.is_down]
    return {fleet.state(item).configuration.version for item in gateways}


@pytest.mark.parametrize("gateways", [*SIZES, 68])
def test_watches_that_began_in_a_silence(gateways):
    fleet = settled_fleet(gateways)
    fleet.network.advance(BATCH_SECONDS / 2)
    fleet.fall_silent(SILENT_SECONDS)
    fleet.network.advance(STABILITY_SECONDS - APPLY_SECONDS)
    fleet.publish(4)
    fleet.network.advance(APPLY_SECONDS)
    assert versions(fleet) == {4}


@pytest.mark.parametrize("seconds_before", [0.5, 2.0])
@pytest.mark.parametrize("gateways", SIZES)
def test_watches_whose_answers_were_lost_in_a_silence(gateways, seconds_before):
    fleet = settled_fleet(gateways)
    fleet.network.advance(seconds_before)
    fleet.publish(4)
    fleet.fall_silent(SILENT_SECONDS)
    fleet.network.advance(STABILITY_SECONDS)
    assert versions(fleet) == {4}


@pytest.mark.parametrize("silent_seconds", [1.0, 2.1, 4.5])
@pytest.mark.parametrize("gateways", SIZES)
def test_silences_in_which_reads_are_tried_again(gateways, silent_seconds):
    fleet = settled_fleet(gateways)
    fleet.network.advance(BATCH_SECONDS / 2)
    fleet.fall_silent(silent_seconds)
    fleet.network.advance(STABILITY_SECONDS - APPLY_SECONDS)
    fleet.publish(4)
    fleet.network.advance(APPLY_SECONDS)
    assert versions(fleet) == {4}


@pytest.mark.parametrize("gateways", SIZES)
def test_the_gateways_that_notice_first_end_during_the_silence(gateways):
    fleet = settled_fleet(gateways)
    fleet.network.advance(1.0)
    first = [item for item in fleet.network.gateways if item.duty.is_first]
    assert first
    for gateway in first:
        fleet.network.stop(gateway)
    fleet.publish(4)
    fleet.fall_silent(SILENT_SECONDS)
    fleet.network.advance(STABILITY_SECONDS)
    assert versions(fleet) == {4}


@pytest.mark.parametrize("gateways", SIZES)
def test_the_calls_stay_within_the_limit_of_the_platform(gateways):
    fleet = settled_fleet(gateways)
    calls = fleet.store_calls
    seconds = 20.0
    fleet.network.advance(seconds)
    assert (fleet.store_calls - calls) / seconds < READS_PER_SECOND / 10
