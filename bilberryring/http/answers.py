"""HTTP responses: JSON bodies, and errors as `application/problem+json`."""

import math
from collections.abc import Awaitable, Callable

import msgspec
from twisted.internet.defer import Deferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from bilberryring.core import ErrorCode, RunOutcome, ServingError

PROBLEM_TYPE_PREFIX = "urn:bilberryring:error:"
JSON_TYPE = b"application/json"
PROBLEM_TYPE = b"application/problem+json"


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The response body of an error; `retry_after` is in seconds."""

    type: str
    title: str
    status: int
    code: str
    outcome: str
    remedy: str
    detail: str = ""
    request_id: str = ""
    retry_after: float | None = None


def problem_from_error(error: ServingError, *, request_id: str) -> Problem:
    """Return the response body that describes an error."""
    return Problem(
        type=PROBLEM_TYPE_PREFIX + error.code.value,
        title=error.code.title,
        status=error.code.status,
        code=error.code.value,
        outcome=error.outcome.value,
        remedy=error.code.remedy,
        detail=error.detail,
        request_id=request_id,
        retry_after=error.retry_after,
    )


def write_json(request: Request, body: object, *, status: int = 200) -> None:
    """Send a JSON body and finish the response."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", JSON_TYPE)
    request.write(msgspec.json.encode(body))
    request.finish()


def write_problem(request: Request, error: ServingError, *, request_id: str) -> None:
    """Send an error and finish the response.

    The `Retry-After` header is in whole seconds, rounded up.
    """
    request.setResponseCode(error.code.status)
    request.setHeader(b"content-type", PROBLEM_TYPE)
    if error.retry_after is not None:
        seconds = max(1, math.ceil(error.retry_after))
        request.setHeader(b"retry-after", str(seconds).encode())
    request.write(msgspec.json.encode(problem_from_error(error, request_id=request_id)))
    request.finish()


class AsyncResource(Resource):
    """A leaf resource whose response is written by a coroutine.

    `handle` writes and finishes the response. An exception that it does not catch
    is passed to `on_fault`. The client then gets an internal error, or loses its
    connection when the response has begun.
    """

    isLeaf = True

    def __init__(
        self,
        *,
        handle: Callable[[Request], Awaitable[None]],
        on_fault: Callable[[BaseException], None],
    ):
        super().__init__()
        self._handle = handle
        self._on_fault = on_fault

    def render(self, request: Request) -> int:
        Deferred.fromCoroutine(self._run_handler(request))
        return NOT_DONE_YET

    async def _run_handler(self, request: Request) -> None:
        try:
            await self._handle(request)
        except Exception as error:
            self._on_fault(error)
            if not request.startedWriting and not request.finished:
                fault = ServingError(
                    code=ErrorCode.INTERNAL, outcome=RunOutcome.UNKNOWN
                )
                write_problem(request, fault, request_id="")
            elif not request._disconnected:
                request.loseConnection()


class JsonResource(Resource):
    """A leaf resource that answers each GET with the result of `read` as JSON."""

    isLeaf = True

    def __init__(self, *, read: Callable[[], object]):
        super().__init__()
        self._read = read

    def render_GET(self, request: Request) -> bytes:
        request.setHeader(b"content-type", JSON_TYPE)
        return msgspec.json.encode(self._read())
