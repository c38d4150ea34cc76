"""The ledger of one sidecar incarnation: each ticket runs at most once.

Only the ledger decides whether a call with one of its tickets runs. A call that it
reported as "not run" can never run afterwards: the refusal is recorded, so a copy that
is still in flight is refused as well.

>>> from bilberryring.execution import parse_ticket
>>> ledger = Ledger(incarnation="i1")
>>> call = Call(ticket=parse_ticket("bt1~book-1~i1~0~aa"), workspace="w", digest="d")
>>> ledger.receive(call, now=0.1, deadline=5.0)
Run()
>>> ledger.receive(call, now=0.2, deadline=5.0)
Join()
>>> ledger.complete(call, Answer(status=201, content_type="", body=b"ok"))
>>> ledger.receive(call, now=0.4, deadline=5.0).answer.body
b'ok'
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from bilberryring.core import ErrorCode, RunOutcome, from_micros
from bilberryring.execution.ticket import Ticket

TICKET_VALID_SECONDS = 600.0
TICKET_CLOCK_TOLERANCE_SECONDS = 1.0
RECORD_KEPT_SECONDS = TICKET_VALID_SECONDS + TICKET_CLOCK_TOLERANCE_SECONDS + 60.0
MAX_ANSWER_BYTES = 64 * 1024
MAX_RECORDS = 100_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A call with a ticket; `digest` covers service, method, path and body."""

    ticket: Ticket
    workspace: str
    digest: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The service's answer, kept for further copies of the call.

    `content_encoding` is empty if the body is not encoded.
    """

    status: int
    content_type: str
    body: bytes
    content_encoding: str = ""


@dataclass(frozen=True, slots=True)
class Run:
    """Forward the call to the service; no other copy of it has run or will run."""


@dataclass(frozen=True, slots=True)
class Join:
    """Wait for the outcome of another copy, which is running."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Replay:
    """Send the kept answer of an earlier copy."""

    answer: Answer


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Refuse with an error code, and report whether the call was executed."""

    code: ErrorCode
    outcome: RunOutcome


Decision = Run | Join | Replay | Refuse


class RecordState(Enum):
    """The states of a ticket in the ledger.

    `ANSWER_DROPPED`: the call ran, but its answer was too large to keep. `UNKNOWN`: the
    service broke off, and the call may have run. `REFUSED`: it was not run and
    never will be.
    """

    RUNNING = "running"
    DONE = "done"
    ANSWER_DROPPED = "answer_dropped"
    UNKNOWN = "unknown"
    REFUSED = "refused"


@dataclass(slots=True, kw_only=True)
class _Record:
    state: RecordState
    workspace: str
    digest: str
    kept_until: float
    answer: Answer | None = None
    refusal: ErrorCode | None = None


class Ledger:
    """Decides what happens to each copy of a call; times are on the sidecar's clock."""

    def __init__(self, *, incarnation: str, max_records: int = MAX_RECORDS):
        self._incarnation = incarnation
        self._max_records = max_records
        self._records: OrderedDict[str, _Record] = OrderedDict()

    @property
    def size(self) -> int:
        """The number of tickets recorded."""
        return len(self._records)

    def state_of(self, ticket: Ticket) -> RecordState | None:
        """Return the state of a ticket, or `None` when it never arrived."""
        record = self._records.get(ticket.text)
        return record.state if record else None

    def receive(
        self,
        call: Call,
        *,
        now: float,
        deadline: float,
        refusal: ErrorCode | None = None,
    ) -> Decision:
        """Decide what happens to a copy that arrived; times are in seconds.

        `refusal` is the reason for which the sidecar takes no new work, if any. A
        refusal of a ticket without a record reports the outcome as unknown, since
        another copy may have run or may still run.
        """
        self._drop_expired(now)
        if call.ticket.incarnation != self._incarnation:
            return Refuse(code=ErrorCode.OUTCOME_UNKNOWN, outcome=RunOutcome.UNKNOWN)
        record = self._records.get(call.ticket.text)
        if record is not None:
            return self._decide_on_record(record, call)
        age = now - from_micros(call.ticket.issued_micros)
        if age > TICKET_VALID_SECONDS:
            return Refuse(code=ErrorCode.TICKET_EXPIRED, outcome=RunOutcome.UNKNOWN)
        if age < -TICKET_CLOCK_TOLERANCE_SECONDS:
            return Refuse(code=ErrorCode.TICKET_MALFORMED, outcome=RunOutcome.UNKNOWN)
        if refusal is None and now >= deadline:
            refusal = ErrorCode.TOO_LATE
        if len(self._records) >= self._max_records:
            return Refuse(code=ErrorCode.QUEUE_FULL, outcome=RunOutcome.UNKNOWN)
        return self._open_record(call, now, refusal)

    def complete(self, call: Call, answer: Answer) -> None:
        """Record the answer of a call that ran, unless it is too large to keep."""
        record = self._records[call.ticket.text]
        if len(answer.body) > MAX_ANSWER_BYTES:
            record.state = RecordState.ANSWER_DROPPED
            return
        record.state = RecordState.DONE
        record.answer = answer

    def mark_unknown(self, call: Call) -> None:
        """Record that the service broke off, so the call may have run."""
        self._records[call.ticket.text].state = RecordState.UNKNOWN

    def mark_not_run(self, call: Call, code: ErrorCode) -> None:
        """Record that a call that was to run never reached the service."""
        record = self._records[call.ticket.text]
        record.state = RecordState.REFUSED
        record.refusal = code

    def _open_record(
        self, call: Call, now: float, refusal: ErrorCode | None
    ) -> Decision:
        state = RecordState.RUNNING if refusal is None else RecordState.REFUSED
        self._records[call.ticket.text] = _Record(
            state=state,
            workspace=call.workspace,
            digest=call.digest,
            kept_until=now + RECORD_KEPT_SECONDS,
            refusal=refusal,
        )
        if refusal is None:
            return Run()
        return Refuse(code=refusal, outcome=RunOutcome.NOT_RUN)

    def _decide_on_record(self, record: _Record, call: Call) -> Decision:
        if (record.workspace, record.digest) != (call.workspace, call.digest):
            return Refuse(code=ErrorCode.TICKET_REUSED, outcome=RunOutcome.NOT_RUN)
        match record.state:
            case RecordState.RUNNING:
                return Join()
            case RecordState.DONE:
                return Replay(answer=record.answer)
            case RecordState.ANSWER_DROPPED:
                return Refuse(code=ErrorCode.ANSWER_NOT_KEPT, outcome=RunOutcome.RAN)
            case RecordState.UNKNOWN:
                return Refuse(
                    code=ErrorCode.OUTCOME_UNKNOWN, outcome=RunOutcome.UNKNOWN
                )
            case RecordState.REFUSED:
                return Refuse(code=record.refusal, outcome=RunOutcome.NOT_RUN)

    def _drop_expired(self, now: float) -> None:
        while self._records:
            ticket, record = next(iter(self._records.items()))
            is_needed = record.state is RecordState.RUNNING or record.kept_until > now
            if is_needed:
                return
            del self._records[ticket]
