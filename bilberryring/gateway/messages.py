"""Requests, responses and errors that the gateway's modules exchange."""

from dataclasses import dataclass
from enum import Enum

from bilberryring.admission import Statement
from bilberryring.core import PromptPartId, RequestId, ServingError
from bilberryring.execution import Close, Framing
from bilberryring.fleet import WorkspaceName

HeaderPairs = tuple[tuple[bytes, bytes], ...]
"""Header names and values in the order in which they were received or are sent."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerMetadata:
    """What a caller's headers say about its request.

    `key` is the API key. `timeout` is the time in seconds that the caller waits for a
    response, or `None` if the caller did not specify it. The numbers of tokens are 0
    when unknown. `shared_parts` are the parts of the prompt, in order, that other
    prompts may contain too.
    """

    request_id: RequestId
    host: str
    key: str | None
    timeout: float | None
    prompt_tokens: int
    max_tokens: int
    last_event_id: str
    shared_parts: tuple[PromptPartId, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A caller's request with its complete body; `received_at` is in seconds.

    `refusal` is why its head ruled it out; its body was dropped then.
    """

    method: bytes
    target: bytes
    headers: HeaderPairs
    body: bytes
    received_at: float
    refusal: ServingError | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptMetadata:
    """What the gateway adds to the caller's headers in one attempt.

    `seconds_left` is the time until the deadline, and `last_event_id` the id of the
    event after which a stream is to be resumed, or empty.
    """

    endpoint: str
    seconds_left: float
    workspace: WorkspaceName | None = None
    helpers: tuple[str, ...] = ()
    last_event_id: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseMetadata:
    """What an endpoint's headers say about its response.

    `is_stamped` is true if the response carries the platform's stamp, `is_encoded` if
    its body has a content encoding. `culprit` is the address of the endpoint that
    caused a refusal, if it was another one. `load` is the number of running requests,
    of waiting requests and of slots. `requests_per_second` is the limit, if the
    endpoint states one, on the requests that all gateways together send to it.
    `retry_after` is in how many seconds a refused request may come again, `rest` for
    how many the endpoint wants nothing from this gateway; both are 0 or more.
    `is_leaving` is true if the endpoint says that it leaves.
    """

    status: int
    request_id: RequestId | None
    is_stamped: bool
    is_encoded: bool
    has_not_run: bool
    is_misdirected: bool = False
    culprit: str = ""
    load: tuple[int, int, int] | None = None
    retry_after: float | None = None
    requests_per_second: float | None = None
    rest: float | None = None
    is_leaving: bool = False

    @property
    def statement(self) -> Statement:
        """What the response says of the endpoint itself."""
        return Statement(
            requests_per_second=self.requests_per_second,
            rest=self.rest,
            is_leaving=self.is_leaving,
            is_success=200 <= self.status < 300,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """The status line and headers of an endpoint's response.

    `framing` is what will mark the end of its body.
    """

    status: int
    reason: bytes
    headers: HeaderPairs
    framing: Framing = Framing.LENGTH


@dataclass(frozen=True, slots=True)
class ResponseData:
    """A chunk of a response body."""

    data: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseEnd:
    """The end of a response, which may be complete or not; see `proof_of_end`."""

    framing: Framing
    close: Close


@dataclass(frozen=True, slots=True, kw_only=True)
class MemoryOrder:
    """An order to an engine to reserve memory, or to release a reservation.

    `reservation_id` identifies it. `tokens` is the size of the memory, or 0 to
    release it. The reservation expires after `hold_seconds` unless the order is sent
    again.
    """

    endpoint: str
    reservation_id: str
    tokens: int = 0
    hold_seconds: float = 0.0


class FailureReason(Enum):
    """Why an attempt ended without a complete response."""

    NOT_CONNECTED = "not_connected"
    REFUSED = "connection_refused"
    CLOSED = "closed"
    END_UNKNOWN = "end_unknown"
    MALFORMED = "malformed"
    SILENT = "silent"
    DEADLINE = "deadline"
    WITHDRAWN = "withdrawn"
    NO_MEMORY = "no_memory"
    NO_RETRY = "no_retry"
    QUARANTINED = "quarantined"


class AttemptError(Exception):
    """An attempt ended without a complete response.

    `was_sent` is `False` only if no byte of the request was sent. The remedy is another
    attempt if the request may be retried.
    """

    def __init__(self, *, reason: FailureReason, was_sent: bool):
        self.reason = reason
        self.was_sent = was_sent
        super().__init__(
            f"attempt_failed: {reason.value}. Remedy: retry if the route allows it."
        )
