"""What operators have in force: routes, services, workspaces and limits."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from bilberryring.routing.engine_figures import EngineFigures

ServiceName = NewType("ServiceName", str)
"""Name of a pool of endpoints that serve the same requests."""

WorkspaceName = NewType("WorkspaceName", str)
"""Name of a customer's part of the fleet."""

FailureDomain = NewType("FailureDomain", str)
"""Name of a part of a region that fails, leaves and returns as one."""

MILLISECONDS = 1_000.0


class RequestKind(Enum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceShare:
    """The part of a route's requests that a service gets."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where requests with a host and a path prefix go; times are in seconds."""

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
    is_anonymous: bool
    priority: int
    regions: tuple[str, ...] = ()

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        match self.kind:
            case RequestKind.IDEMPOTENT:
                return True
            case RequestKind.STREAMING:
                return self.may_resume
            case RequestKind.NON_IDEMPOTENT:
                return False


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A pool of endpoints; `engine` is set where they are model engines."""

    name: ServiceName
    max_connections: int
    cold_requests_per_second: float
    engine: EngineFigures | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A customer with API keys; `priority` 0 is the most urgent."""

    name: WorkspaceName
    priority: int | None
    regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """What a caller may send, in bytes, and how slowly, in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetConfiguration:
    """One whole version; a higher version replaces a lower one."""

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
        """Return the route with the longest prefix that begins the path."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def workspace_of(self, key: str) -> Workspace | None:
        """Return the workspace that holds an API key."""
        return self.workspaces_by_key.get(key)
