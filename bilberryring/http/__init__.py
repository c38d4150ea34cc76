"""HTTP listeners and clients on twisted.web."""

from bilberryring.http.answers import (
    JSON_TYPE,
    PROBLEM_TYPE,
    PROBLEM_TYPE_PREFIX,
    AsyncResource,
    JsonResource,
    Problem,
    problem_from_error,
    write_json,
    write_problem,
)
from bilberryring.http.bodies import (
    IDLE_TIMEOUT_SECONDS,
    MAX_BODY_BYTES,
    BoundedRequest,
    DrainableCallerChannel,
    DrainableSite,
    make_site,
)
from bilberryring.http.bounded_endpoint import (
    CONNECT_TIMEOUT_SECONDS,
    MAX_ANSWER_BYTES,
    MAX_HEAD_BYTES,
)
from bilberryring.http.caller_channel import (
    MIN_IDLE_SECONDS,
    CallerChannel,
    CheckHead,
    OnRefused,
)
from bilberryring.http.client import (
    MAX_IDLE_CONNECTIONS_PER_HOST,
    MAX_LINE_BYTES,
    MAX_STATUS,
    RESPONSE_TIMEOUT_SECONDS,
    HttpClient,
    HttpResponse,
    InvalidStatusError,
    LineStream,
    ResponseTimeoutError,
    UnmarkedAnswerError,
)
from bilberryring.http.client_budget import (
    Cause,
    ClientBudget,
    make_client_budget,
)
from bilberryring.http.read_end import REST_SECONDS, close_after_read_end

__all__ = [
    "MAX_ANSWER_BYTES",
    "MAX_HEAD_BYTES",
    "MAX_LINE_BYTES",
    "MAX_STATUS",
    "MIN_IDLE_SECONDS",
    "AsyncResource",
    "BoundedRequest",
    "CONNECT_TIMEOUT_SECONDS",
    "CallerChannel",
    "Cause",
    "CheckHead",
    "ClientBudget",
    "DrainableCallerChannel",
    "DrainableSite",
    "HttpResponse",
    "HttpClient",
    "IDLE_TIMEOUT_SECONDS",
    "InvalidStatusError",
    "JSON_TYPE",
    "JsonResource",
    "LineStream",
    "MAX_BODY_BYTES",
    "MAX_IDLE_CONNECTIONS_PER_HOST",
    "OnRefused",
    "PROBLEM_TYPE",
    "PROBLEM_TYPE_PREFIX",
    "Problem",
    "REST_SECONDS",
    "RESPONSE_TIMEOUT_SECONDS",
    "ResponseTimeoutError",
    "UnmarkedAnswerError",
    "close_after_read_end",
    "make_client_budget",
    "make_site",
    "problem_from_error",
    "write_json",
    "write_problem",
]
