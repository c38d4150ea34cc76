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


def make_call(ledger_name: str, *, issued: float = 0.0, digest: str = "d") -> Call:
    ticket = new_ticket(
        endpoint="book-1", incarnation=ledger_name, issued_micros=int(issued * 1e6)
    )
    return Call(ticket=ticket, workspace="bars", digest=digest)


class LedgerMachine(RuleBasedStateMachine):
    """Copies of calls meet ledgers that crash; the service counts effects."""

    calls = Bundle("calls")

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.incarnations = 0
        self.effects: dict[str, int] = {}
        self.told_not_run: set[str] = set()
        self.told_answer: set[str] = set()
        self.handed_over: list[Call] = []
        self.restart()

    def restart(self) -> None:
        self.incarnations += 1
        self.name = f"i{self.incarnations}"
        self.ledger = Ledger(incarnation=self.name, max_records=8)
        self.handed_over = []

    @rule(target=calls)
    def issue(self):
        return make_call(self.name, issued=self.now)

    @rule(target=calls, ahead=st.floats(0, 1000))
    def forge_future(self, ahead):
        return make_call(self.name, issued=self.now + ahead)

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
                self.handed_over.append(call)
            case Refuse(outcome=RunOutcome.NOT_RUN):
                self.told_not_run.add(call.ticket.text)
            case Replay():
                self.told_answer.add(call.ticket.text)

    @rule(call=calls)
    def deliver_copy_of_other_body(self, call):
        other = Call(ticket=call.ticket, workspace="bars", digest="other")
        decision = self.ledger.receive(other, now=self.now, deadline=self.now + 5)
        if decision == Run():
            self.ledger.withdraw(other, ErrorCode.NO_ENDPOINT)

    @rule(size=st.sampled_from([4, MAX_ANSWER_BYTES + 1]))
    def service_answers(self, size):
        if self.handed_over:
            call = self.handed_over.pop(0)
            self.take_effect(call)
            self.ledger.complete(
                call, Answer(status=201, content_type="", body=b"x" * size)
            )

    @rule(took_effect=st.booleans())
    def service_breaks_off(self, took_effect):
        if self.handed_over:
            call = self.handed_over.pop(0)
            if took_effect:
                self.take_effect(call)
            self.ledger.lose(call)

    @rule()
    def service_refuses_connection(self):
        if self.handed_over:
            call = self.handed_over.pop(0)
            self.ledger.withdraw(call, ErrorCode.NO_ENDPOINT)
            self.told_not_run.add(call.ticket.text)

    @rule(took_effect=st.lists(st.booleans(), max_size=3))
    def crash_and_restart(self, took_effect):
        for call, has_run in zip(self.handed_over, took_effect, strict=False):
            if has_run:
                self.take_effect(call)
        self.restart()

    @rule(seconds=st.sampled_from([0.1, 3.0, 599.0, 700.0]))
    def time_passes(self, seconds):
        self.now += seconds

    def take_effect(self, call: Call) -> None:
        text = call.ticket.text
        self.effects[text] = self.effects.get(text, 0) + 1

    @invariant()
    def runs_at_most_once(self):
        assert all(count == 1 for count in self.effects.values())

    @invariant()
    def not_run_is_true(self):
        assert not self.told_not_run & self.effects.keys()

    @invariant()
    def answers_are_of_calls_that_ran(self):
        assert self.told_answer <= self.effects.keys()

    @invariant()
    def memory_is_bounded(self):
        assert self.ledger.size <= 8


LedgerMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)
test_ledger_machine = LedgerMachine.TestCase


def test_second_copy_waits_for_the_first():
    ledger = Ledger(incarnation="i1")
    call = make_call("i1")
    assert ledger.receive(call, now=1.0, deadline=9.0) == Run()
    assert ledger.receive(call, now=1.1, deadline=9.0) == Join()


def test_answer_is_kept_for_a_resend():
    ledger = Ledger(incarnation="i1")
    call = make_call("i1")
    ledger.receive(call, now=1.0, deadline=9.0)
    ledger.complete(call, ANSWER)
    assert ledger.receive(call, now=2.0, deadline=9.0) == Replay(answer=ANSWER)


def test_other_incarnation_never_runs_a_ticket():
    ledger = Ledger(incarnation="i2")
    decision = ledger.receive(make_call("i1"), now=1.0, deadline=9.0)
    assert decision == Refuse(
        code=ErrorCode.OUTCOME_UNKNOWN, outcome=RunOutcome.UNKNOWN
    )


def test_late_copy_is_refused_and_stays_refused():
    ledger = Ledger(incarnation="i1")
    call = make_call("i1")
    refused = Refuse(code=ErrorCode.TOO_LATE, outcome=RunOutcome.NOT_RUN)
    assert ledger.receive(call, now=9.0, deadline=9.0) == refused
    assert ledger.receive(call, now=9.1, deadline=20.0) == refused


def test_nothing_is_promised_about_a_forged_future_ticket():
    ledger = Ledger(incarnation="i1")
    call = make_call("i1", issued=100.0)
    decision = ledger.receive(call, now=1.0, deadline=9.0)
    assert decision.code is ErrorCode.TICKET_MALFORMED
    assert decision.outcome is RunOutcome.UNKNOWN


def test_ticket_expires_before_its_record_is_forgotten():
    assert RECORD_KEPT_SECONDS > TICKET_VALID_SECONDS
    ledger = Ledger(incarnation="i1")
    call = make_call("i1")
    ledger.receive(call, now=0.0, deadline=9.0)
    ledger.complete(call, ANSWER)
    late = RECORD_KEPT_SECONDS + 1
    decision = ledger.receive(call, now=late, deadline=late + 5)
    assert decision.code is ErrorCode.TICKET_EXPIRED
    assert decision.outcome is RunOutcome.UNKNOWN


def test_broken_call_is_unknown_for_ever():
    ledger = Ledger(incarnation="i1")
    call = make_call("i1")
    ledger.receive(call, now=0.0, deadline=9.0)
    ledger.lose(call)
    assert ledger.state_of(call.ticket) is RecordState.UNKNOWN
    assert ledger.receive(call, now=1.0, deadline=9.0).outcome is RunOutcome.UNKNOWN


def test_ticket_text_is_read_back():
    ticket = new_ticket(endpoint="book-1", incarnation="i1", issued_micros=5)
    assert parse_ticket(ticket.text) == ticket
