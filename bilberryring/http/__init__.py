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
    DrainableSite,
    make_site,
)
from bilberryring.http.client import (
    CONNECT_TIMEOUT_SECONDS,
    MAX_IDLE_CONNECTIONS_PER_HOST,
    RESPONSE_TIMEOUT_SECONDS,
    HttpClient,
    HttpResponse,
    LineStream,
)

__all__ = [
    "AsyncResource",
    "BoundedRequest",
    "CONNECT_TIMEOUT_SECONDS",
    "DrainableSite",
    "HttpResponse",
    "HttpClient",
    "IDLE_TIMEOUT_SECONDS",
    "JSON_TYPE",
    "JsonResource",
    "LineStream",
    "MAX_BODY_BYTES",
    "MAX_IDLE_CONNECTIONS_PER_HOST",
    "PROBLEM_TYPE",
    "PROBLEM_TYPE_PREFIX",
    "Problem",
    "RESPONSE_TIMEOUT_SECONDS",
    "make_site",
    "problem_from_error",
    "write_json",
    "write_problem",
]
