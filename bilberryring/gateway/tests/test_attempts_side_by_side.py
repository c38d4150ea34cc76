"""Attempts of one request in any order of what their endpoints and its caller do."""

import re

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bilberryring.execution import Close, Framing
from bilberryring.fleet import RequestKind
from bilberryring.gateway.messages import FailureReason
from bilberryring.testing.played_attempts import LAST_RECORDS, PlayedSite

N_EVENTS = 4
TIMEOUT_SECONDS = 6.0
GRACE_SECONDS = 0.2
NOT_RUN = (429, 503)
"""Statuses which promise that a request has not run and never will."""
COMMENTS = re.compile(rb"(?m)^:[^\n]*\n\n")


class Script:
    """What one run has sent of its stream; `tag` tells runs apart without ids."""

    def __init__(self, run, *, has_ids, tag):
        self.run = run
        self.next = int(run.last_event_id or 0) + 1
        self.rest = b""
        self._has_ids = has_ids
        self._tag = tag

    def event(self):
        if self._has_ids:
            return b"id: %d\ndata: piece %d\n\n" % (self.next, self.next)
        return b"data: run %d piece %d\n\n" % (self._tag, self.next)


class SideBySideMachine(RuleBasedStateMachine):
    """One request; its endpoints pause, go on, refuse, break off and end."""

    @initialize(
        has_ids=st.booleans(),
        max_endpoints=st.sampled_from([1, 2, 2, 3]),
        kind=st.sampled_from([*RequestKind, RequestKind.STREAMING]),
    )
    def start(self, has_ids, max_endpoints, kind):
        self.has_ids = has_ids
        self.max_endpoints = max_endpoints
        self.kind = kind
        self.site = PlayedSite(
            kind=kind, max_endpoints=max_endpoints, timeout=TIMEOUT_SECONDS
        )
        self.scripts = []
        self.refused = set()
        self.given_up = set()
        self.has_left = False

    def live(self):
        known = {script.run for script in self.scripts}
        for run in self.site.runs:
            if run not in known:
                tag = len(self.scripts)
                self.scripts.append(Script(run, has_ids=self.has_ids, tag=tag))
        return [script for script in self.scripts if not script.run.is_over]

    def pick(self, data):
        return data.draw(st.sampled_from(self.live()))

    @precondition(lambda self: self.live())
    @rule(
        data=st.data(),
        piece=st.sampled_from(["event", "event", "half", "comment"]),
        framing=st.sampled_from([Framing.CHUNKS, Framing.CHUNKS, Framing.CONNECTION]),
    )
    def go_on(self, data, piece, framing):
        script = self.pick(data)
        run = script.run
        if not run.has_head:
            run.send_head(framing=framing)
        elif script.next > N_EVENTS:
            is_marked = run.framing is not Framing.CONNECTION
            run.end(Close.AT_END if is_marked else Close.CLEAN)
        elif script.rest or piece == "event":
            rest, script.rest = script.rest or script.event(), b""
            script.next += 1
            run.send(rest)
        elif piece == "half":
            event = script.event()
            script.rest = event[len(event) // 2 :]
            run.send(event[: len(event) // 2])
        else:
            run.send(b": wait\n\n")

    @precondition(lambda self: self.live())
    @rule(
        data=st.data(),
        close=st.sampled_from([Close.CLEAN, Close.RESET]),
        probability=st.integers(0, 3),
    )
    def break_off(self, data, close, probability):
        run = self.pick(data).run
        if probability:
            return
        # A sound endpoint does not close an answer that it has not finished.
        self.site.pool.crashed.add(run.endpoint)
        if run.has_head:
            run.end(close)
        else:
            run.fail(FailureReason.CLOSED)

    @precondition(lambda self: any(not script.run.has_head for script in self.live()))
    @rule(
        data=st.data(),
        status=st.sampled_from([404, 429, 500, 503]),
        probability=st.integers(0, 3),
    )
    def fail(self, data, status, probability):
        run = self.pick(data).run
        if run.has_head or probability:
            return
        has_run = status not in NOT_RUN
        if not has_run:
            self.refused.add(run)
        run.send_head(status, framing=Framing.LENGTH, has_run=has_run)
        if not run.is_over:
            run.end()

    @rule(seconds=st.sampled_from([0.05, 0.3, 0.6, 1.2]))
    def wait(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.site.clock.advance(0.05)

    @precondition(lambda self: not self.has_left)
    @rule(probability=st.integers(0, 20))
    def leave(self, probability):
        if probability:
            return
        self.has_left = True
        self.site.leave()

    @invariant()
    def the_answer_is_of_one_run_or_resumed(self):
        if not hasattr(self, "site"):
            return
        self.live()
        status, body, is_whole = self.site.answer()
        if status != 200:
            return
        pieces = COMMENTS.sub(b"", body)
        if self.has_ids:
            wholes = [
                b"".join(
                    b"id: %d\ndata: piece %d\n\n" % (number, number)
                    for number in range(1, N_EVENTS + 1)
                )
            ]
        else:
            wholes = [
                b"".join(
                    b"data: run %d piece %d\n\n" % (tag, number)
                    for number in range(1, N_EVENTS + 1)
                )
                for tag in range(len(self.scripts))
            ]
        assert any(whole.startswith(pieces) for whole in wholes), body
        if is_whole:
            assert pieces in wholes, body

    @invariant()
    def a_request_runs_as_often_as_it_may_and_as_it_is_told(self):
        if not hasattr(self, "site"):
            return
        ran = [run for run in self.site.runs if run not in self.refused]
        if self.kind is RequestKind.NON_IDEMPOTENT:
            assert len(ran) <= 1
        if self.site.answer()[0] in NOT_RUN:
            assert not ran

    @invariant()
    def a_request_that_is_over_leaves_nothing(self):
        if not hasattr(self, "site"):
            return
        records = self.site.events(*LAST_RECORDS)
        assert len(records) <= 1
        assert not self.site.events("internal_fault")
        endpoints = {run.endpoint for run in self.site.runs}
        assert len(endpoints) <= self.max_endpoints
        # A stream may return once to an endpoint that another one replaced.
        n_returns = len(self.site.runs) - len(endpoints)
        assert n_returns <= (self.kind is RequestKind.STREAMING)
        is_over = (
            self.site.clock.seconds() > TIMEOUT_SECONDS + GRACE_SECONDS or self.has_left
        )
        if is_over:
            assert len(records) == 1
        if records:
            if self.kind is not RequestKind.NON_IDEMPOTENT:
                assert not self.live()
            assert not self.site.tracker.endpoints
            assert self.site.forwarder.in_progress == 0
            self.the_last_record_says_what_the_caller_got(records[0])

    @invariant()
    def no_run_is_given_up_unless_another_one_answers(self):
        if not hasattr(self, "site"):
            return
        given_up = {run for run in self.site.runs if run.was_aborted}
        is_new, self.given_up = given_up != self.given_up, given_up
        is_late = self.site.clock.seconds() >= TIMEOUT_SECONDS
        if is_new and not is_late and not self.has_left:
            assert self.site.answer()[0] in (200, 404)
            assert not self.site.transport.disconnected

    def the_last_record_says_what_the_caller_got(self, record):
        status, body, is_whole = self.site.answer()
        if record["event"] == "request_finished":
            assert is_whole or record["delivered"] == "unmarked", record
            assert record["status"] == status
        if record["event"] == "request_failed":
            assert not (status == 200 and is_whole) or self.site.transport.disconnecting

    def teardown(self):
        if hasattr(self, "site"):
            while self.site.clock.seconds() <= TIMEOUT_SECONDS + GRACE_SECONDS:
                self.site.clock.advance(0.05)
            self.a_request_that_is_over_leaves_nothing()


SideBySideMachine.TestCase.settings = settings(
    max_examples=400, stateful_step_count=40, deadline=None, derandomize=True
)
test_attempts_side_by_side = SideBySideMachine.TestCase
