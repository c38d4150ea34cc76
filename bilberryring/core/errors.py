"""Error codes, and the exceptions that carry them.

Each kind of error is a member of `ErrorCode`. The member holds the HTTP status,
the title and the remedy that are shown to callers and operators, so an error
code cannot be added without them.

>>> error = ServingError(code=ErrorCode.QUEUE_FULL, outcome=RunOutcome.NOT_RUN)
>>> error.code.status
503
>>> str(error).startswith("queue_full: ")
True
"""

from enum import Enum


class RunOutcome(Enum):
    """Whether a request was executed, as far as this process can tell."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorCode(Enum):
    """The errors that are reported to callers and operators.

    A member's value is the stable code. `status` is the HTTP status, `title` says
    what went wrong, and `remedy` says what the caller or operator can do.
    """

    def __new__(cls, value: str, status: int, title: str, remedy: str):
        member = object.__new__(cls)
        member._value_ = value
        member.status = status
        member.title = title
        member.remedy = remedy
        return member

    SETTINGS_INVALID = (
        "settings_invalid",
        500,
        "The settings file is not valid",
        "correct the named key and start the process again",
    )
    ADDRESS_IN_USE = (
        "address_in_use",
        500,
        "An address in the settings cannot be bound",
        "choose a free port, or stop the process that uses it",
    )
    REQUEST_MALFORMED = (
        "request_malformed",
        400,
        "The request is not valid HTTP",
        "send a request line, headers and one clear length",
    )
    HEADERS_TOO_LARGE = (
        "headers_too_large",
        431,
        "The request line and the headers are too large",
        "send fewer or shorter headers",
    )
    MEMORY_SHORT = (
        "memory_short",
        503,
        "The memory that callers may use is taken",
        "retry after the given time, or send a smaller request",
    )
    HEADERS_TOO_SLOW = (
        "headers_too_slow",
        408,
        "The headers did not arrive in time",
        "send the whole head at once",
    )
    BODY_MALFORMED = (
        "body_malformed",
        400,
        "The request body is not valid",
        "send the JSON object that the path expects",
    )
    BODY_TOO_LARGE = (
        "body_too_large",
        413,
        "The body is too large",
        "send a shorter prompt",
    )
    BODY_TOO_SLOW = (
        "body_too_slow",
        408,
        "The body did not arrive in time",
        "send the whole body within the upload time",
    )
    KEY_UNKNOWN = (
        "key_unknown",
        401,
        "The API key belongs to no workspace",
        "send a key of a published workspace as a bearer token",
    )
    PATH_UNKNOWN = (
        "path_unknown",
        404,
        "Nothing is served under this path",
        "see the paths in the operators' guide",
    )
    MODEL_UNKNOWN = (
        "model_unknown",
        404,
        "The workspace may not use this model",
        "use a model that GET /v1/models lists",
    )
    SERVICE_UNKNOWN = (
        "service_unknown",
        404,
        "The workspace may not use this service",
        "ask the operators to add the service to the workspace",
    )
    PROMPT_TOO_LONG = (
        "prompt_too_long",
        413,
        "The prompt is longer than the model allows",
        "shorten the prompt or lower max_tokens",
    )
    NO_SET = (
        "no_set",
        503,
        "This process has no accepted configuration yet",
        "retry after the given time",
    )
    NO_ENDPOINT = (
        "no_endpoint",
        503,
        "No endpoint can take this request now",
        "retry after the given time",
    )
    QUEUE_FULL = (
        "queue_full",
        503,
        "The queue of the endpoint is full",
        "retry after the given time",
    )
    TOO_LATE = (
        "too_late",
        503,
        "The request would not be served before its deadline",
        "retry after the given time, or ask for a later deadline",
    )
    OUT_OF_MEMORY = (
        "out_of_memory",
        503,
        "The endpoint does not have enough KV memory for this prompt",
        "retry after the given time, or send a shorter prompt",
    )
    COLD = (
        "cold",
        503,
        "The endpoint is in cold start and accepts no more requests",
        "retry after the given time",
    )
    LEAVING = (
        "leaving",
        503,
        "The endpoint or the entry is shutting down",
        "retry; another endpoint or entry takes the request",
    )
    DOMAIN_OUT = (
        "domain_out",
        503,
        "The failure domain is taken out of service",
        "retry; another failure domain takes the request",
    )
    VERSION_NOT_HELD = (
        "version_not_held",
        503,
        "The endpoint does not hold this version of the model",
        "retry after the given time",
    )
    SHED = (
        "shed",
        503,
        "Capacity is short and requests of this priority are refused first",
        "retry after the given time",
    )
    DEADLINE_PASSED = (
        "deadline_passed",
        504,
        "The deadline passed before the answer was complete",
        "retry with a later deadline",
    )
    ENDPOINT_FAILED = (
        "endpoint_failed",
        502,
        "The endpoint failed and the answer could not be completed",
        "send the request again",
    )
    RETRY_BUDGET_SPENT = (
        "retry_budget_spent",
        503,
        "The retry budget is spent because too many attempts failed",
        "retry after the given time",
    )
    CALLER_TOO_SLOW = (
        "caller_too_slow",
        408,
        "The caller reads too slowly",
        "read the stream as it arrives",
    )
    CANCELLED = (
        "cancelled",
        499,
        "The caller cancelled the request or closed the connection",
        "send the request again",
    )
    SUSPECT = (
        "suspect",
        503,
        "An engine died while it ran this prompt",
        "send the request again; the prompt then runs alone",
    )
    QUARANTINED = (
        "quarantined",
        422,
        "Engines died while they ran this prompt",
        "change the prompt, or wait until the quarantine expires",
    )
    HELD_BACK = (
        "held_back",
        503,
        "Several endpoints died under this request or a part of its prompt",
        "change the request, or retry after the given time",
    )
    TICKET_REQUIRED = (
        "ticket_required",
        428,
        "This call may run only once and needs a ticket",
        "POST to the service's tickets path and send the ticket as Idempotency-Key",
    )
    TICKET_MALFORMED = (
        "ticket_malformed",
        400,
        "The Idempotency-Key is not a ticket of this system",
        "send a ticket that the service's tickets path issued",
    )
    TICKET_EXPIRED = (
        "ticket_expired",
        409,
        "The ticket is older than the time for which outcomes are kept",
        "ask the service whether the call ran, then take a new ticket",
    )
    TICKET_REUSED = (
        "ticket_reused",
        422,
        "The ticket was used for another call",
        "take a new ticket for each call",
    )
    OUTCOME_UNKNOWN = (
        "outcome_unknown",
        502,
        "It is not known whether the call ran",
        "ask the service whether the call ran before making it with a new ticket",
    )
    ANSWER_NOT_KEPT = (
        "answer_not_kept",
        409,
        "The call ran, and its answer was too large to keep",
        "ask the service for the result; do not repeat the call",
    )
    INTERNAL = (
        "internal",
        500,
        "An internal error occurred in the process",
        "report the request id to the operators",
    )


class ServingError(Exception):
    """Raised when a request is refused or fails.

    `outcome` says whether the request was executed. `retry_after` is in seconds;
    it is `None` if no waiting time is suggested.
    """

    def __init__(
        self,
        *,
        code: ErrorCode,
        outcome: RunOutcome,
        detail: str = "",
        retry_after: float | None = None,
    ):
        self.code = code
        self.outcome = outcome
        self.detail = detail
        self.retry_after = retry_after
        super().__init__(f"{code.value}: {code.title}. {detail} Remedy: {code.remedy}.")


class SettingsError(Exception):
    """Raised when a process cannot start with its settings.

    `key` is the settings key whose value is wrong.
    """

    def __init__(self, *, code: ErrorCode, key: str, detail: str):
        self.code = code
        self.key = key
        self.detail = detail
        super().__init__(f"{code.value}: {key}: {detail}. Remedy: {code.remedy}.")
