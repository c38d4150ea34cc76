"""How long a deadline or the end of a stop waits for what has arrived."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bilberryring.process.late_reading import (
    CHECK_SECONDS,
    LATE_SECONDS,
    READ_SECONDS,
    read_arrived,
)


class Reading:
    """A reading on a clock of its own that begins so many seconds late."""

    def __init__(self, *, late):
        self.clock = Clock()
        self.clock.advance(late)
        self.is_receiving = True
        self.task = Deferred.fromCoroutine(
            read_arrived(self.clock, lambda: self.is_receiving, due_at=0.0)
        )

    @property
    def has_ended(self):
        return self.task.called


@pytest.mark.parametrize("late", [0.0, LATE_SECONDS - 0.01])
def test_a_busy_link_does_not_hold_up_a_deadline_that_comes_in_time(late):
    reading = Reading(late=late)
    assert not reading.has_ended
    reading.clock.advance(0)
    assert reading.has_ended


def test_a_late_deadline_comes_once_all_was_read():
    reading = Reading(late=LATE_SECONDS)
    reading.clock.pump([0.0, *[CHECK_SECONDS] * 5])
    assert not reading.has_ended
    reading.is_receiving = False
    reading.clock.advance(CHECK_SECONDS)
    assert reading.has_ended


def test_an_answer_without_an_end_does_not_hold_up_a_late_deadline_for_ever():
    reading = Reading(late=60.0)
    n_checks = round(READ_SECONDS / CHECK_SECONDS)
    reading.clock.pump([0.0, *[CHECK_SECONDS] * (n_checks - 2)])
    assert not reading.has_ended
    reading.clock.pump([CHECK_SECONDS] * 4)
    assert reading.has_ended
