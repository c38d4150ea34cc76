"""Running once, answering whole, and repeating within a budget."""

from bilberryring.execution.assembly import AnswerAssembly, AnswerGapError
from bilberryring.execution.ledger import (
    MAX_ANSWER_BYTES,
    MAX_RECORDS,
    RECORD_KEPT_SECONDS,
    TICKET_FUTURE_SECONDS,
    TICKET_VALID_SECONDS,
    Answer,
    Call,
    Decision,
    Join,
    Ledger,
    RecordState,
    Refuse,
    Replay,
    Run,
)
from bilberryring.execution.retry_budget import RETRY_RESERVE, RETRY_SHARE, RetryBudget
from bilberryring.execution.retry_window import RetryWindow
from bilberryring.execution.ticket import (
    FIELD_COUNT,
    MAX_TICKET_LENGTH,
    NONCE_BYTES,
    PREFIX,
    SEPARATOR,
    Ticket,
    new_ticket,
    parse_ticket,
)

__all__ = [
    "RetryWindow",
    "Answer",
    "AnswerAssembly",
    "AnswerGapError",
    "Call",
    "Decision",
    "FIELD_COUNT",
    "Join",
    "Ledger",
    "MAX_ANSWER_BYTES",
    "MAX_RECORDS",
    "MAX_TICKET_LENGTH",
    "NONCE_BYTES",
    "PREFIX",
    "RECORD_KEPT_SECONDS",
    "RETRY_RESERVE",
    "RETRY_SHARE",
    "RecordState",
    "Refuse",
    "Replay",
    "RetryBudget",
    "Run",
    "SEPARATOR",
    "TICKET_FUTURE_SECONDS",
    "TICKET_VALID_SECONDS",
    "Ticket",
    "new_ticket",
    "parse_ticket",
]
