"""Attempts that run side by side: one answers, and the others end."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from twisted.internet.defer import CancelledError, Deferred

from bilberryring.gateway.messages import AttemptError, FailureReason
from bilberryring.gateway.running_attempts import (
    AttemptEnded,
    AttemptSilent,
    RunningAttempts,
    StopEnded,
)

CLOSED = AttemptError(reason=FailureReason.CLOSED, was_sent=True)


class Attempt:
    """An attempt whose task waits until the test answers it."""

    def __init__(self):
        self.number = 0
        self.is_silent = False
        self.answer = Deferred()
        self.was_cancelled = False


async def run(attempt):
    try:
        await attempt.answer
    except CancelledError:
        attempt.was_cancelled = True
        raise


class AttemptsMachine(RuleBasedStateMachine):
    """Starts, silences, answers and ends attempts of one request in any order."""

    def __init__(self):
        super().__init__()
        self.superseded = []
        self.faults = []
        self.running = RunningAttempts(
            run=run,
            on_superseded=self.superseded.append,
            on_fault=self.faults.append,
        )
        self.alive = []
        self.expected = []
        self.has_winner = False

    def pick(self, data):
        return data.draw(st.sampled_from(self.alive))

    @precondition(lambda self: len(self.alive) < 4 and not self.has_winner)
    @rule()
    def start(self):
        attempt = Attempt()
        self.alive.append(attempt)
        self.running.start(attempt)

    @precondition(lambda self: self.alive)
    @rule(data=st.data())
    def fall_silent(self, data):
        attempt = self.pick(data)
        attempt.is_silent = True
        self.running.report_silence(attempt)
        self.expected.append((AttemptSilent, attempt))

    @precondition(lambda self: self.alive)
    @rule(data=st.data())
    def fail(self, data):
        attempt = self.pick(data)
        self.alive.remove(attempt)
        attempt.answer.errback(CLOSED)
        self.expected.append((AttemptEnded, attempt))

    @precondition(lambda self: self.alive)
    @rule(data=st.data())
    def claim(self, data):
        winner = self.pick(data)
        others = [attempt for attempt in self.alive if attempt is not winner]
        self.running.claim(winner)
        assert all(attempt.was_cancelled for attempt in others)
        assert not winner.was_cancelled
        assert self.superseded[len(self.superseded) - len(others) :] == others
        self.alive = [winner]
        self.has_winner = True

    @rule()
    def read_events(self):
        """Each event arrives once, in its order, unless its attempt is over."""
        alive = set(self.alive)
        self.expected = [
            (kind, attempt)
            for kind, attempt in self.expected
            if kind is AttemptEnded or attempt in alive
        ]
        for kind, attempt in self.expected:
            received = []
            Deferred.fromCoroutine(self.running.next_event()).addCallback(
                received.append
            )
            assert [(type(event), event.attempt) for event in received] == [
                (kind, attempt)
            ]
        self.expected = []

    @invariant()
    def holds_those_that_run(self):
        assert len(self.running) == len(self.alive)
        assert all(attempt in self.running for attempt in self.alive)
        are_silent = all(attempt.is_silent for attempt in self.alive)
        assert self.running.are_all_silent == are_silent
        assert not self.faults

    def teardown(self):
        self.running.cancel()
        assert all(attempt.was_cancelled for attempt in self.alive)
        assert not len(self.running)


AttemptsMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, deadline=None, derandomize=True
)
test_attempts_machine = AttemptsMachine.TestCase


def test_an_exception_of_a_superseded_attempt_is_reported():
    faults = []

    async def fail_on_cancel(attempt):
        try:
            await attempt.answer
        except CancelledError:
            raise ValueError("while it ended")

    running = RunningAttempts(
        run=fail_on_cancel, on_superseded=lambda attempt: None, on_fault=faults.append
    )
    first, second = Attempt(), Attempt()
    running.start(first)
    running.start(second)
    running.claim(second)
    assert [type(fault) for fault in faults] == [ValueError]


def test_attempts_are_over_although_a_silence_of_one_was_not_read():
    running = RunningAttempts(
        run=run, on_superseded=lambda attempt: None, on_fault=lambda error: None
    )
    attempt = Attempt()
    running.start(attempt)
    running.report_silence(attempt)
    running.report_silence(attempt)
    Deferred.fromCoroutine(running.next_event())
    attempt.answer.errback(CLOSED)
    assert not running.are_over
    received = []
    Deferred.fromCoroutine(running.next_event()).addCallback(received.append)
    assert isinstance(received[0], AttemptEnded)
    assert running.are_over


def make_running():
    return RunningAttempts(
        run=run, on_superseded=lambda attempt: None, on_fault=lambda error: None
    )


def next_events(running, count):
    events = []
    for _ in range(count):
        Deferred.fromCoroutine(running.next_event()).addCallback(events.append)
    return events


def test_the_end_of_a_stop_is_read_after_an_attempt_that_ended_meanwhile():
    running = make_running()
    attempt = Attempt()
    running.start(attempt)
    running.end_stop()
    attempt.answer.errback(CLOSED)
    kinds = [type(event) for event in next_events(running, 2)]
    assert kinds == [AttemptEnded, StopEnded]


def test_a_request_may_have_run_once_an_attempt_has_sent_it():
    running = make_running()
    first, second = Attempt(), Attempt()
    running.start(first)
    running.start(second)
    assert not running.may_have_run
    second.number = 1
    assert running.may_have_run
    running.cancel()
