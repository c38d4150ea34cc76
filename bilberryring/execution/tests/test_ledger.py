"""The ledger under crash, restart, delay, reordering and duplicate delivery."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
)

from bilberryring.core import ErrorCode, RunOutcome
from bilberryring.execution import (
    MAX_ANSWER_BYTES,
    RECORD_KEPT_SECONDS,
    TICKET_VALID_SECONDS,
    Answer,
    Call,
    Join,
    Ledger,
    RecordState,
    Refuse,
    Replay,
    Run,
    new_ticket,
    parse_ticket,
)

ANSWER = Answer(status=201, content_type="", body=b"done")
DEADLINE_SECONDS = 5.0


def make_call(incarnation: str, *, issued: float = 0.0, digest: str = "d") -> Call:
    ticket = new_ticket(
        endpoint="book-1", incarnation=incarnation, issued_micros=int(issued * 1e6)
    )
    return Call(ticket=ticket, workspace="bars", digest=digest)


class LedgerMachine(RuleBasedStateMachine):
    """Delivers copies of calls to ledgers that crash, and counts their effects."""

    calls = Bundle("calls")

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.incarnations = 0
        self.effects: dict[str, int] = {}
        self.reported_not_run: set[str] = set()
        self.replayed: set[str] = set()
        self.running_calls: list[Call] = []
        self.restart()

    def restart(self) -> None:
        self.incarnations += 1
        self.incarnation = f"i{self.incarnations}"
        self.ledger = Ledger(incarnation=self.incarnation, max_records=8)
        self.running_calls = []

    @rule(target=calls)
    def issue(self):
        return make_call(self.incarnation, issued=self.now)

    @rule(target=calls, ahead=st.floats(0, 1000))
    def issue_with_future_time(self, ahead):
        return make_call(self.incarnation, issued=self.now + ahead)

    @rule(
        call=calls,
        deadline=st.floats(-1, 10),
        refusal=st.sampled_from([None, None, None, ErrorCode.LEAVING]),
    )
    def deliver_copy(self, call, deadline, refusal):
        decision = self.ledger.receive(
            call, now=self.now, deadline=self.now + deadline, refusal=refusal
        )
        match decision:
            case Run():
                self.running_calls.append(call)
            case Refuse(outcome=RunOutcome.NOT_RUN):
                self.reported_not_run.add(call.ticket.text)
            case Replay():
                self.replayed.add(call.ticket.text)

    @rule(call=calls)
    def deliver_copy_with_other_body(self, call):
        other = Call(ticket=call.ticket, workspace="bars", digest="other")
        decision = self.ledger.receive(other, now=self.now, deadline=self.now + 5)
        if decision == Run():
            self.ledger.mark_not_run(other, ErrorCode.NO_ENDPOINT)

    @rule(size=st.sampled_from([4, MAX_ANSWER_BYTES + 1]))
    def service_answers(self, size):
        if self.running_calls:
            call = self.running_calls.pop(0)
            self.record_effect(call)
            self.ledger.complete(
                call, Answer(status=201, content_type="", body=b"x" * size)
            )

    @rule(took_effect=st.booleans())
    def service_connection_breaks(self, took_effect):
        if self.running_calls:
            call = self.running_calls.pop(0)
            if took_effect:
                self.record_effect(call)
            self.ledger.mark_unknown(call)

    @rule()
    def service_refuses_connection(self):
        if self.running_calls:
            call = self.running_calls.pop(0)
            self.ledger.mark_not_run(call, ErrorCode.NO_ENDPOINT)
            self.reported_not_run.add(call.ticket.text)

    @rule(took_effect=st.lists(st.booleans(), max_size=3))
    def sidecar_crashes(self, took_effect):
        for call, has_run in zip(self.running_calls, took_effect, strict=False):
            if has_run:
                self.record_effect(call)
        self.restart()

    @rule(seconds=st.sampled_from([0.1, 3.0, 599.0, 700.0]))
    def time_passes(self, seconds):
        self.now += seconds

    def record_effect(self, call: Call) -> None:
        text = call.ticket.text
        self.effects[text] = self.effects.get(text, 0) + 1

    @invariant()
    def runs_at_most_once(self):
        assert all(count == 1 for count in self.effects.values())

    @invariant()
    def calls_reported_not_run_have_not_run(self):
        assert not self.reported_not_run & self.effects.keys()

    @invariant()
    def replayed_answers_are_of_calls_that_ran(self):
        assert self.replayed <= self.effects.keys()

    @invariant()
    def memory_is_bounded(self):
        assert self.ledger.size <= 8


LedgerMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)
test_ledger_machine = LedgerMachine.TestCase


def test_a_second_copy_joins_the_first():
    ledger = Ledger(incarnation="i1")
    call = make_call("i1")
    assert ledger.receive(call, now=1.0, deadline=9.0) == Run()
    assert ledger.receive(call, now=1.1, deadline=9.0) == Join()


def test_a_copy_after_the_answer_gets_the_kept_answer():
    ledger = Ledger(incarnation="i1")
    call = make_call("i1")
    ledger.receive(call, now=1.0, deadline=9.0)
    ledger.complete(call, ANSWER)
    assert ledger.receive(call, now=2.0, deadline=9.0) == Replay(answer=ANSWER)


def test_another_incarnation_does_not_run_a_ticket():
    ledger = Ledger(incarnation="i2")
    decision = ledger.receive(make_call("i1"), now=1.0, deadline=9.0)
    assert decision == Refuse(
        code=ErrorCode.OUTCOME_UNKNOWN, outcome=RunOutcome.UNKNOWN
    )


def test_a_copy_refused_after_its_deadline_stays_refused():
    ledger = Ledger(incarnation="i1")
    call = make_call("i1")
    refused = Refuse(code=ErrorCode.TOO_LATE, outcome=RunOutcome.NOT_RUN)
    assert ledger.receive(call, now=9.0, deadline=9.0) == refused
    assert ledger.receive(call, now=9.1, deadline=20.0) == refused


def test_a_ticket_from_the_future_is_refused_with_unknown_outcome():
    ledger = Ledger(incarnation="i1")
    call = make_call("i1", issued=100.0)
    decision = ledger.receive(call, now=1.0, deadline=9.0)
    assert decision.code is ErrorCode.TICKET_MALFORMED
    assert decision.outcome is RunOutcome.UNKNOWN


def test_a_ticket_expires_before_its_record_is_dropped():
    assert RECORD_KEPT_SECONDS > TICKET_VALID_SECONDS
    ledger = Ledger(incarnation="i1")
    call = make_call("i1")
    ledger.receive(call, now=0.0, deadline=9.0)
    ledger.complete(call, ANSWER)
    late = RECORD_KEPT_SECONDS + 1
    decision = ledger.receive(call, now=late, deadline=late + 5)
    assert decision.code is ErrorCode.TICKET_EXPIRED
    assert decision.outcome is RunOutcome.UNKNOWN


def test_the_outcome_of_a_broken_call_stays_unknown():
    ledger = Ledger(incarnation="i1")
    call = make_call("i1")
    ledger.receive(call, now=0.0, deadline=9.0)
    ledger.mark_unknown(call)
    assert ledger.state_of(call.ticket) is RecordState.UNKNOWN
    assert ledger.receive(call, now=1.0, deadline=9.0).outcome is RunOutcome.UNKNOWN


def test_a_ticket_is_parsed_back_from_its_text():
    ticket = new_ticket(endpoint="book-1", incarnation="i1", issued_micros=5)
    assert parse_ticket(ticket.text) == ticket
