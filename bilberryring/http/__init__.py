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
    MAX_BODY_BYTES,
    UPLOAD_SECONDS,
    BoundedRequest,
    DrainableSite,
    make_site,
)
from bilberryring.http.client import (
    ANSWER_SECONDS,
    CONNECT_SECONDS,
    CONNECTIONS_PER_HOST,
    HttpAnswer,
    HttpClient,
    LineStream,
)

__all__ = [
    "ANSWER_SECONDS",
    "AsyncResource",
    "BoundedRequest",
    "CONNECTIONS_PER_HOST",
    "CONNECT_SECONDS",
    "DrainableSite",
    "HttpAnswer",
    "HttpClient",
    "JSON_TYPE",
    "JsonQuery",
    "LineStream",
    "MAX_BODY_BYTES",
    "PROBLEM_TYPE",
    "PROBLEM_TYPE_PREFIX",
    "Problem",
    "UPLOAD_SECONDS",
    "make_site",
    "problem_of",
    "write_json",
    "write_problem",
]
