"""HTTP listeners and clients on twisted.web."""

from bilberryring.http.answers import (
    JSON_TYPE,
    PROBLEM_TYPE,
    PROBLEM_TYPE_PREFIX,
    AsyncResource,
    JsonQuery,
    Problem,
    problem_of,
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
    HttpAnswer,
    HttpClient,
    LineStream,
)

__all__ = [
    "AsyncResource",
    "BoundedRequest",
    "CONNECT_TIMEOUT_SECONDS",
    "DrainableSite",
    "HttpAnswer",
    "HttpClient",
    "IDLE_TIMEOUT_SECONDS",
    "JSON_TYPE",
    "JsonQuery",
    "LineStream",
    "MAX_BODY_BYTES",
    "MAX_IDLE_CONNECTIONS_PER_HOST",
    "PROBLEM_TYPE",
    "PROBLEM_TYPE_PREFIX",
    "Problem",
    "RESPONSE_TIMEOUT_SECONDS",
    "make_site",
    "problem_of",
    "write_json",
    "write_problem",
]
