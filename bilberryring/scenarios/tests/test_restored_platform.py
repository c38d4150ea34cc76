"""The platform comes back from an older copy, before entries and sidecars.

Its revisions are given out again, so that a number below the one that a reader knows
can be a new write.
"""

import pytest

from bilberryring.objects import render_set
from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import FleetPlan
from bilberryring.testing.processes import pause
from bilberryring.testing.published_sets import (
    assert_none_stepped_back,
    changed_objects,
    wait_in_force,
)

IN_FORCE_SECONDS = 3.0
RETURN_IN_FORCE_SECONDS = 7.0
"""Seconds within which a set is in force that was published while the platform was
away or just back."""
AWAY_SECONDS = 1.0


@pytest.fixture(scope="module")
def running_fleet():
    fleet = Fleet(plan=FleetPlan(engines_per_domain=1))
    try:
        yield fleet.start()
    finally:
        fleet.stop()


@pytest.fixture
def fleet(running_fleet):
    publish_and_wait(running_fleet, IN_FORCE_SECONDS)
    yield running_fleet
    assert_none_stepped_back(running_fleet)


@pytest.fixture(params=[False, True], ids=["read at once", "read late"])
def is_late(request):
    return request.param


def publish_and_wait(fleet, seconds):
    fleet.publish(changed_objects(fleet))
    wait_in_force(fleet, fleet.published.manifest.digest, seconds)


def restore(fleet, *, is_late=False):
    """Return to the copy; the platform is away for a moment.

    With `is_late` its revisions pass the old ones before anybody reads it.
    """
    fleet.platform.set_mode(down=True)
    pause(AWAY_SECONDS)
    before = fleet.platform.revision()
    fleet.platform.restore()
    if is_late:
        while fleet.platform.revision() <= before:
            fleet.platform.write_value("other/key", b"")
    fleet.platform.set_mode()


def test_sets_after_the_return_are_in_force_though_the_copy_lacks_the_latest(
    fleet, is_late
):
    fleet.platform.save()
    for _ in range(3):
        publish_and_wait(fleet, IN_FORCE_SECONDS)
    restore(fleet, is_late=is_late)
    publish_and_wait(fleet, RETURN_IN_FORCE_SECONDS)
    publish_and_wait(fleet, IN_FORCE_SECONDS)


def test_a_set_published_while_the_platform_is_still_away_is_in_force(fleet, is_late):
    fleet.platform.save()
    publish_and_wait(fleet, IN_FORCE_SECONDS)
    before = fleet.platform.revision()
    fleet.platform.set_mode(down=True)
    pause(AWAY_SECONDS)
    fleet.platform.restore()
    fleet.publish(changed_objects(fleet))
    while is_late and fleet.platform.revision() <= before:
        fleet.platform.write_value("other/key", b"")
    fleet.platform.set_mode()
    wait_in_force(fleet, fleet.published.manifest.digest, RETURN_IN_FORCE_SECONDS)


def test_sets_after_the_return_are_in_force_if_the_copy_has_the_latest(fleet):
    fleet.platform.save()
    for number in range(9):
        fleet.platform.write_value("other/key", b"%d" % number)
    pause(1.0)
    restore(fleet)
    publish_and_wait(fleet, RETURN_IN_FORCE_SECONDS)


def test_the_set_in_force_stays_though_another_is_published_under_its_number(
    fleet, is_late
):
    in_copy = fleet.published
    fleet.platform.save()
    publish_and_wait(fleet, IN_FORCE_SECONDS)
    restore(fleet, is_late=is_late)
    other = render_set(changed_objects(fleet), predecessor=in_copy.manifest)
    fleet.platform.write_set(other)
    for _ in range(4):
        pause(0.5)
        wait_in_force(fleet, fleet.published.manifest.digest, 0.0)
    publish_and_wait(fleet, IN_FORCE_SECONDS)


def test_a_return_that_interrupts_no_read_is_noticed(fleet):
    fleet.platform.save()
    for _ in range(2):
        publish_and_wait(fleet, IN_FORCE_SECONDS)
    fleet.platform.restore()
    publish_and_wait(fleet, RETURN_IN_FORCE_SECONDS)


def test_two_returns_in_a_row(fleet, is_late):
    fleet.platform.save()
    for _ in range(3):
        publish_and_wait(fleet, IN_FORCE_SECONDS)
    restore(fleet, is_late=is_late)
    publish_and_wait(fleet, RETURN_IN_FORCE_SECONDS)
    restore(fleet, is_late=is_late)
    publish_and_wait(fleet, RETURN_IN_FORCE_SECONDS)
    publish_and_wait(fleet, IN_FORCE_SECONDS)


def test_processes_that_missed_a_lost_set_take_it_from_peers_not_another(fleet):
    frozen = [fleet.process(f"sidecar-{name}") for name in fleet.engines]
    in_copy = fleet.published
    fleet.platform.save()
    for process in frozen:
        process.suspend()
    fleet.publish(changed_objects(fleet))
    pause(IN_FORCE_SECONDS)
    fleet.platform.restore()
    other = render_set(changed_objects(fleet), predecessor=in_copy.manifest)
    fleet.platform.write_set(other)
    for process in frozen:
        process.resume()
    wait_in_force(fleet, fleet.published.manifest.digest, RETURN_IN_FORCE_SECONDS)
    publish_and_wait(fleet, IN_FORCE_SECONDS)
