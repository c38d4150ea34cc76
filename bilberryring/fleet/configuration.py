"""The configuration published by operators: routes, services, workspaces, limits."""

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from bilberryring.routing.engine_figures import EngineFigures
from bilberryring.routing.patience import patience_ms

ServiceName = NewType("ServiceName", str)
"""The name of a pool of endpoints that serve the same requests."""

WorkspaceName = NewType("WorkspaceName", str)
"""The name of a workspace, which groups the API keys of one customer."""

FailureDomain = NewType("FailureDomain", str)
"""The name of a part of a region whose endpoints fail, drain and recover together."""

MS_PER_SECOND = 1_000.0


class RequestKind(Enum):
    """Whether and how the requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceShare:
    """The share of a route's requests that one service gets, as a relative weight."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """The services and rules for requests with a given host and path prefix.

    Times are in seconds. `first_answer_objective` and `gap_objective` are the targets
    for the first byte of a response and for the gap between parts of a stream.
    `max_endpoints` limits the endpoints to which one request is sent, and a stream that
    breaks is resumed elsewhere only if `may_resume` is set. Requests without a known
    API key are admitted if `is_anonymous_allowed` is set. `regions` lists the allowed
    regions; when it is empty, all are allowed.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout: float
    first_answer_objective: float
    gap_objective: float | None
    max_endpoints: int
    may_resume: bool
    is_anonymous_allowed: bool
    priority: int
    regions: tuple[str, ...] = ()

    @property
    def patience_seconds(self) -> float:
        """Seconds without an event after which a caller leaves; infinite if none do."""
        if self.kind is not RequestKind.STREAMING:
            return math.inf
        gap = self.gap_objective
        patience = patience_ms(
            first_ms=self.first_answer_objective * MS_PER_SECOND,
            gap_ms=None if gap is None else gap * MS_PER_SECOND,
        )
        return patience / MS_PER_SECOND

    @property
    def is_sent_once(self) -> bool:
        """Whether a request of the route is sent to one endpoint at most.

        One that an endpoint refused as not run may still be sent to another.
        """
        return self.max_endpoints <= 1 or not self.may_repeat

    @property
    def may_repeat(self) -> bool:
        """Whether a request of the route may run more than once."""
        match self.kind:
            case RequestKind.IDEMPOTENT:
                return True
            case RequestKind.STREAMING:
                return self.may_resume
            case RequestKind.NON_IDEMPOTENT:
                return False


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A pool of endpoints; `engine` is `None` unless they are model engines."""

    name: ServiceName
    max_connections: int
    cold_requests_per_second: float
    engine: EngineFigures | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A workspace; `priority` 0 is the most urgent, `None` means that none is set."""

    name: WorkspaceName
    priority: int | None
    regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on the size of a request in bytes, and on its duration in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetConfiguration:
    """One complete version of the configuration; higher versions replace lower ones."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, Service]
    workspaces_by_key: dict[str, Workspace]
    has_workspaces: bool
    limits: CallerLimits
    _routes_by_host: dict[str, tuple[Route, ...]] = field(init=False, repr=False)

    def __post_init__(self):
        by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda route: -len(route.prefix)):
            by_host.setdefault(route.host, []).append(route)
        grouped = {host: tuple(routes) for host, routes in by_host.items()}
        object.__setattr__(self, "_routes_by_host", grouped)

    def route_of(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or `None`."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def workspace_of(self, key: str) -> Workspace | None:
        """Return the workspace of an API key, or `None` for an unknown key."""
        return self.workspaces_by_key.get(key)
