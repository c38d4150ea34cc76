"""Values that pass between the gateway's tasks."""

from dataclasses import dataclass
from enum import Enum

from bilberryring.core import RequestId
from bilberryring.fleet import WorkspaceName

HeaderPairs = tuple[tuple[bytes, bytes], ...]
"""Header names and values in their order."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerFacts:
    """What a caller's headers say; `patience` is in seconds."""

    request_id: RequestId
    host: str
    key: str | None
    patience: float | None
    prompt_tokens: int
    max_tokens: int
    last_event_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A whole request of a caller."""

    method: bytes
    target: bytes
    headers: HeaderPairs
    body: bytes
    received_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SendFacts:
    """What one send to an endpoint adds to the caller's request."""

    endpoint: str
    seconds_left: float
    workspace: WorkspaceName | None = None
    helpers: tuple[str, ...] = ()
    resume_after: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerFacts:
    """What an endpoint's headers say; `load` is running, waiting, slots."""

    status: int
    request_id: RequestId | None
    is_stamped: bool
    is_encoded: bool
    has_not_run: bool
    is_misdirected: bool = False
    culprit: str = ""
    load: tuple[int, int, int] | None = None
    retry_after: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerHead:
    """The status line and headers of an endpoint's answer."""

    status: int
    reason: bytes
    headers: HeaderPairs


@dataclass(frozen=True, slots=True)
class AnswerData:
    """Some bytes of an answer's body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The answer is whole."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MemoryOrder:
    """An order to keep or to give back memory under a name.

    `tokens` is 0 to give it back; `hold_seconds` is how long it is kept unless
    the order comes again.
    """

    endpoint: str
    ticket: str
    tokens: int = 0
    hold_seconds: float = 0.0


class BreakReason(Enum):
    """Why an attempt ended without a whole answer."""

    NOT_CONNECTED = "not_connected"
    CLOSED = "closed"
    MALFORMED = "malformed"
    SILENT = "silent"
    DEADLINE = "deadline"
    NO_MEMORY = "no_memory"


class AttemptBroken(Exception):
    """An attempt that ended without a whole answer.

    `was_sent` is `False` only when no byte of the request left this process.
    The remedy is another attempt where the request may be repeated.
    """

    def __init__(self, *, reason: BreakReason, was_sent: bool):
        self.reason = reason
        self.was_sent = was_sent
        super().__init__(f"attempt_broken: {reason.value}. Remedy: another attempt.")
