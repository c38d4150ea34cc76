"""How many bytes of answers are held at a time, and that sound ones are whole."""

import gc

import pytest
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from bilberryring.execution import Framing
from bilberryring.fleet import RequestKind
from bilberryring.gateway.attempts import MAX_BODY_BYTES
from bilberryring.gateway.held_answers import MAX_HELD_BYTES, SHORT_ANSWER_BYTES
from bilberryring.gateway.messages import FailureReason
from bilberryring.testing.played_attempts import PlayedSite

CALLERS = 8
BLOCK = b"x" * 65_536
SOUND_BYTES = 3 * 1024 * 1024
"""Bytes of a sound answer; those of all callers together are more than the bound."""


class CountedBlock(bytes):
    """A block that counts how many there are in memory."""

    n_alive = 0

    def __new__(cls):
        cls.n_alive += 1
        return super().__new__(cls, BLOCK)

    def __del__(self):
        CountedBlock.n_alive -= 1


class Callers:
    """Callers whose endpoints send blocks, each while its connection is read."""

    def __init__(self, *, kind=RequestKind.NON_IDEMPOTENT, n_bytes=None):
        self._n_bytes = n_bytes
        self.site = PlayedSite(kind=kind, timeout=6.0)
        self.transports = [self.site.transport]
        self.channels = [self.site.channel]
        for _ in range(CALLERS - 1):
            self.site.connect()
            self.transports.append(self.site.transport)
            self.channels.append(self.site.channel)
        self.runs = list(self.site.runs)
        self.sent = dict.fromkeys(self.runs, 0)
        for run in self.runs:
            run.send_head(framing=Framing.CONNECTION)

    def leave(self, channel):
        self.channels.remove(channel)
        channel.connectionLost(Failure(ConnectionDone()))

    def can_send(self, run):
        return not run.is_over and run.transport.producerState == "producing"

    def send_block(self, run):
        if self.can_send(run):
            run.send(CountedBlock())
            self.sent[run] += len(BLOCK)
            if self.sent[run] == self._n_bytes:
                run.end()

    def n_held(self):
        return sum(n for run, n in self.sent.items() if not run.is_over)

    def send_all(self):
        """Send until every answer is over; return the most bytes held at a time."""
        most = 0
        while any(self.can_send(run) for run in self.runs):
            for run in self.runs:
                self.send_block(run)
            most = max(most, self.n_held())
        return most

    def statuses(self, among=slice(None)):
        return [int(item.value().split()[1]) for item in self.transports[among]]


@pytest.fixture
def make_callers():
    made = []

    def make(**options):
        made.append(Callers(**options))
        return made[-1]

    yield make
    for callers in made:
        for channel in tuple(callers.channels):
            callers.leave(channel)


def test_bodies_without_end_hold_a_bounded_number_of_bytes(make_callers):
    callers = make_callers()
    most = callers.send_all()
    assert most <= (
        MAX_BODY_BYTES + MAX_HELD_BYTES + CALLERS * (SHORT_ANSWER_BYTES + len(BLOCK))
    )
    assert callers.statuses() == [502] * CALLERS
    assert all(
        b"outcome_unknown" in transport.value() for transport in callers.transports
    )
    assert all(run.was_aborted for run in callers.runs)


def test_sound_answers_that_wait_for_each_other_are_whole(make_callers):
    callers = make_callers(n_bytes=SOUND_BYTES)
    most = callers.send_all()
    assert most < CALLERS * SOUND_BYTES
    assert callers.statuses() == [200] * CALLERS
    for transport in callers.transports:
        assert transport.value().partition(b"\r\n\r\n")[2] == b"x" * SOUND_BYTES


def test_a_long_answer_alone_never_waits(make_callers):
    callers = make_callers()
    first = callers.runs[0]
    while not first.is_over:
        assert callers.can_send(first)
        callers.send_block(first)
    assert callers.sent[first] == MAX_BODY_BYTES + len(BLOCK)


def fill(callers):
    """Send until all long answers but the first wait; return those that do."""
    while all(callers.can_send(run) for run in callers.runs[:-1]):
        for run in callers.runs[:-1]:
            callers.send_block(run)
    for run in callers.runs[:-1]:
        callers.send_block(run)
    return [run for run in callers.runs[:-1] if not callers.can_send(run)]


def test_a_short_answer_does_not_wait_for_long_ones(make_callers):
    callers = make_callers()
    assert len(fill(callers)) == CALLERS - 2
    short = callers.runs[-1]
    while callers.sent[short] < SHORT_ANSWER_BYTES:
        assert callers.can_send(short)
        callers.send_block(short)
    short.end()
    assert callers.statuses(slice(-1, None)) == [200]


@pytest.mark.parametrize("leaves", ["caller", "endpoint"])
def test_the_next_long_answer_is_read_when_the_first_is_given_up(make_callers, leaves):
    callers = make_callers()
    waiting = fill(callers)
    first = callers.runs[0]
    if leaves == "endpoint":
        first.fail(FailureReason.CLOSED)
    else:
        callers.leave(callers.channels[0])
    assert callers.can_send(waiting[0])
    callers.send_block(waiting[0])
    assert not any(run.was_aborted for run in waiting)


def test_an_endpoint_that_waits_for_others_is_not_silent(make_callers):
    callers = make_callers(kind=RequestKind.IDEMPOTENT)
    waiting = fill(callers)
    callers.runs[-1].end()
    for _ in range(60):
        callers.site.clock.advance(0.05)
        callers.runs[0].send(b"x")
    assert not callers.site.events("attempt_silent")
    assert callers.site.runs == callers.runs
    callers.runs[0].end()
    assert callers.can_send(waiting[0])
    for _ in range(60):
        callers.site.clock.advance(0.05)
    assert callers.site.events("attempt_silent")


def test_at_most_the_last_block_is_kept_after_a_deadline(make_callers):
    """The traceback of the error has that one until it is collected."""
    callers = make_callers()
    gc.collect()
    n_before = CountedBlock.n_alive
    gc.disable()
    try:
        fill(callers)
        assert CountedBlock.n_alive > n_before + 10 * CALLERS
        for _ in range(70):
            callers.site.clock.advance(0.1)
        assert callers.statuses() == [504] * CALLERS
        assert CountedBlock.n_alive <= n_before + CALLERS
    finally:
        gc.enable()
