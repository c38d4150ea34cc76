"""At-most-once calls, answers assembled from attempts, and limits on retries."""

from bilberryring.execution.answer_end import (
    AnswerEnd,
    Close,
    Framing,
    Place,
    Proof,
    proof_of_end,
)
from bilberryring.execution.assembly import AnswerAssembly, MissingTokensError
from bilberryring.execution.ledger import (
    MAX_ANSWER_BYTES,
    MAX_RECORDS,
    RECORD_KEPT_SECONDS,
    TICKET_CLOCK_TOLERANCE_SECONDS,
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
from bilberryring.execution.silence import SilenceDecision
from bilberryring.execution.stream_end import EndpointFate, KnownEnd, StreamEnd
from bilberryring.execution.ticket import (
    MAX_TICKET_LENGTH,
    NONCE_BYTES,
    TICKET_FIELD_COUNT,
    TICKET_PREFIX,
    TICKET_SEPARATOR,
    Ticket,
    new_ticket,
    parse_ticket,
)

__all__ = [
    "RetryWindow",
    "Answer",
    "AnswerAssembly",
    "AnswerEnd",
    "Close",
    "Framing",
    "Place",
    "Proof",
    "proof_of_end",
    "MissingTokensError",
    "Call",
    "Decision",
    "EndpointFate",
    "Join",
    "KnownEnd",
    "Ledger",
    "MAX_ANSWER_BYTES",
    "MAX_RECORDS",
    "MAX_TICKET_LENGTH",
    "NONCE_BYTES",
    "RECORD_KEPT_SECONDS",
    "RETRY_RESERVE",
    "RETRY_SHARE",
    "RecordState",
    "Refuse",
    "Replay",
    "RetryBudget",
    "Run",
    "SilenceDecision",
    "StreamEnd",
    "TICKET_CLOCK_TOLERANCE_SECONDS",
    "TICKET_FIELD_COUNT",
    "TICKET_PREFIX",
    "TICKET_SEPARATOR",
    "TICKET_VALID_SECONDS",
    "Ticket",
    "new_ticket",
    "parse_ticket",
]
