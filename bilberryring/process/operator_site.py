"""The operators' listener: status, metrics, health and readiness."""

from collections.abc import Callable

import msgspec
from twisted.internet.task import cooperate
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from bilberryring.core import ErrorCode, RunOutcome, ServingError
from bilberryring.fleet import CallerLimits
from bilberryring.http import (
    IDLE_TIMEOUT_SECONDS,
    ClientBudget,
    DrainableCallerChannel,
    JsonResource,
)
from bilberryring.telemetry import Metrics

METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"

OPERATOR_LIMITS = CallerLimits(max_body_bytes=0, idle_timeout=IDLE_TIMEOUT_SECONDS)
"""Limits on operators' requests, none of which has a body."""
LINGER_BYTES = 1024 * 1024
"""Bytes of a refused request that are read and dropped."""
LINGER_SECONDS = 2.0
"""Seconds for which they are."""


class OperatorChannel(DrainableCallerChannel):
    """An operator's connection, whose requests have no bodies."""

    linger_bytes = LINGER_BYTES
    linger_seconds = LINGER_SECONDS


def operator_listener(budget: ClientBudget) -> dict[str, object]:
    """Return the options of the operators' listener."""
    return {
        "channel": OperatorChannel,
        "limits": OPERATOR_LIMITS,
        "check_head": _refuse_body,
        "client_budget": budget,
        "is_always_served": True,
    }


def _refuse_body(request: Request) -> ServingError:
    return ServingError(code=ErrorCode.BODY_TOO_LARGE, outcome=RunOutcome.NOT_RUN)


class RefusedSetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A refused set with the reason and the remedy."""

    number: int
    digest: str
    reason: str
    remedy: str


class EndpointStatus(msgspec.Struct, frozen=True, kw_only=True):
    """How an entry rates an endpoint, and its outstanding requests there.

    `slowdown` is the endpoint's estimated time as a multiple of the predicted one.
    """

    endpoint: str
    failure_domain: str
    standing: str
    outstanding: int
    set_number: int
    slowdown: float = 1.0


class ProcessStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a process and the configuration that it has in force.

    A gateway counts attempts whose endpoint was silent, and the prompt tokens that it
    sent to be read again, since it started; other processes count none.
    """

    process: str
    role: str
    failure_domain: str
    state: str
    incarnation: str
    set_number: int
    set_digest: str
    highest_seen: int
    is_reader: bool
    refused_sets: tuple[RefusedSetStatus, ...]
    in_progress: int
    links: int
    endpoint: str = ""
    endpoints: tuple[EndpointStatus, ...] = ()
    quarantined: tuple[str, ...] = ()
    silent_attempts: int = 0
    reread_tokens: int = 0


class MetricsQuery(Resource):
    """Serves the metrics in small pieces, so that streams are served in between."""

    isLeaf = True

    def __init__(self, *, metrics: Metrics):
        super().__init__()
        self._metrics = metrics

    def render_GET(self, request: Request) -> int:
        request.setHeader(b"content-type", METRICS_TYPE)
        closed: list[object] = []
        request.notifyFinish().addBoth(closed.append)
        cooperate(self._write(request, closed))
        return NOT_DONE_YET

    def _write(self, request: Request, closed: list[object]):
        for piece in self._metrics.render():
            if closed:
                return
            request.write(piece)
            yield None
        request.finish()


class _Readiness(Resource):
    isLeaf = True

    def __init__(self, *, is_ready: Callable[[], bool]):
        super().__init__()
        self._is_ready = is_ready

    def render_GET(self, request: Request) -> bytes:
        if self._is_ready():
            return b"ready\n"
        request.setResponseCode(503)
        return b"not ready\n"


def add_health_resources(root: Resource, *, is_ready: Callable[[], bool]) -> None:
    """Add `healthz`, which always succeeds, and `readyz` to a site."""
    root.putChild(b"healthz", _Readiness(is_ready=lambda: True))
    root.putChild(b"readyz", _Readiness(is_ready=is_ready))


def operator_resource(
    *,
    status: Callable[[], ProcessStatus],
    metrics: Metrics,
    is_ready: Callable[[], bool],
) -> Resource:
    """Return the root resource of the operators' site."""
    root = Resource()
    root.putChild(b"status", JsonResource(read=status))
    root.putChild(b"metrics", MetricsQuery(metrics=metrics))
    add_health_resources(root, is_ready=is_ready)
    return root
