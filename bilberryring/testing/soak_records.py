"""What callers, endpoints and operators record during a soak.

Times are in seconds of the machine's monotonic clock.
"""

import time
from dataclasses import dataclass, field, replace

from bilberryring.standins.gateway_site import (
    API_KEY,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    WORKSPACE,
    CallerAnswer,
    make_configuration,
    make_route,
)
from bilberryring.testing.soak_faults import SECOND_SERVICE, ChangeKind, Fault

SECOND_KEY = "key-2"
LOOKUP, CHARGE, CHAT, TALE, FLAG = "/look/", "/charge/", "/chat/", "/tale/", "/flag/"
STREAMS = frozenset((CHAT, TALE))
EXIT = "exit"
"""The kind of the fault that is recorded when an endpoint exits after it has left."""
AT_MOST_ONCE = frozenset((CHARGE, TALE))
TIMEOUTS_MS = (4_000, 3_500, 3_000)
IDLE_LIMITS_MS = (5_000, 1_500, 600)
LEAST_IDLE_LIMIT_MS = 1
EXTRA_ROUTES = 600


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakConfiguration:
    """A published configuration, as far as a soak varies it."""

    version: int = 1
    lookup_service: str = PLAIN_SERVICE
    timeout_ms: int = TIMEOUTS_MS[0]
    idle_timeout_ms: int = IDLE_LIMITS_MS[0]
    has_flag_route: bool = True
    has_second_key: bool = True
    has_second_service: bool = True
    extra_routes: int = 0

    def service_of(self, path: str) -> str | None:
        """Return the service of a path's route, or `None` if it has no route."""
        if path == FLAG and not self.has_flag_route:
            return None
        if path in STREAMS:
            return MODEL_SERVICE
        return self.lookup_service if path == LOOKUP else PLAIN_SERVICE

    def allows_key(self, key: str) -> bool:
        """Return whether an API key is valid."""
        return key == API_KEY or (key == SECOND_KEY and self.has_second_key)

    def changed(self, kind: ChangeKind) -> "SoakConfiguration":
        """Return the next version, with one change.

        >>> first = SoakConfiguration()
        >>> second = first.changed(ChangeKind.MOVE_ROUTE)
        >>> second.version, second.lookup_service
        (2, 'orders-b')
        >>> second.changed(ChangeKind.SERVICE).lookup_service
        'orders'
        """
        has_second = self.has_second_service
        is_moved = self.lookup_service == SECOND_SERVICE
        match kind:
            case ChangeKind.MOVE_ROUTE:
                service = PLAIN_SERVICE if is_moved else SECOND_SERVICE
                changes = {"lookup_service": service, "has_second_service": True}
            case ChangeKind.TIMEOUTS:
                changes = {"timeout_ms": _next_of(TIMEOUTS_MS, self.timeout_ms)}
            case ChangeKind.IDLE_LIMIT:
                limit = _next_of(IDLE_LIMITS_MS, self.idle_timeout_ms)
                changes = {"idle_timeout_ms": limit}
            case ChangeKind.LEAST_IDLE_LIMIT:
                limits = (LEAST_IDLE_LIMIT_MS, IDLE_LIMITS_MS[0])
                limit = _next_of(limits, self.idle_timeout_ms)
                changes = {"idle_timeout_ms": limit}
            case ChangeKind.MANY_ROUTES:
                changes = {"extra_routes": EXTRA_ROUTES - self.extra_routes}
            case ChangeKind.KEY:
                changes = {"has_second_key": not self.has_second_key}
            case ChangeKind.ROUTE:
                changes = {"has_flag_route": not self.has_flag_route}
            case ChangeKind.SERVICE:
                changes = {
                    "has_second_service": not has_second,
                    "lookup_service": PLAIN_SERVICE,
                }
        return replace(self, version=self.version + 1, **changes)

    def published_form(self) -> dict:
        """Return the configuration as operators publish it."""
        limits = {"timeout_ms": self.timeout_ms, "attempts": 2}
        routes = [
            make_route(LOOKUP, "idempotent", self.lookup_service, **limits),
            make_route(CHARGE, "non_idempotent", PLAIN_SERVICE, **limits),
            make_route(CHAT, "streaming", MODEL_SERVICE, **limits),
            make_route(TALE, "streaming", MODEL_SERVICE, stream_resume=False, **limits),
        ]
        if self.has_flag_route:
            routes.append(make_route(FLAG, "idempotent", PLAIN_SERVICE, **limits))
        routes += [
            make_route(f"/extra-{number}/", "idempotent", PLAIN_SERVICE, **limits)
            for number in range(self.extra_routes)
        ]
        form = make_configuration(self.version)
        services = form["services"]
        if self.has_second_service:
            services.append({"name": SECOND_SERVICE, "max_connections": 100})
        tenants = [{"name": WORKSPACE, "api_keys": [API_KEY], "priority": 1}]
        if self.has_second_key:
            tenants.append({"name": "foyer", "api_keys": [SECOND_KEY], "priority": 1})
        form["limits"] = {"idle_timeout_ms": self.idle_timeout_ms}
        return form | {"routes": routes, "tenants": tenants}


def _next_of(values: tuple[int, ...], value: int) -> int:
    """Return the value that follows, or the first one after a value of others."""
    number = values.index(value) + 1 if value in values else 0
    return values[number % len(values)]


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRecord:
    """A request as its caller saw it.

    `deadline` is in seconds after `sent_at`. `incarnation` counts the starts of the
    gateway. `has_left` is true when the caller closed the connection early, and
    `has_given_up` when it did so after a silence. `written_at` is the time at which
    its last byte had been written.
    """

    request: str
    path: str
    key: str
    gateway: int
    incarnation: int
    deadline: float
    sent_at: float
    ended_at: float
    answer: CallerAnswer
    is_kept: bool = False
    has_left: bool = False
    has_given_up: bool = False
    written_at: float = 0.0
    body_bytes: int = 1

    @property
    def seconds(self) -> float:
        """The time from sending the request to the end of its answer."""
        return self.ended_at - self.sent_at

    @property
    def seconds_since_written(self) -> float:
        """The time from the request's last byte to the end of its answer."""
        return self.ended_at - max(self.sent_at, self.written_at)


@dataclass(frozen=True, slots=True, kw_only=True)
class RunRecord:
    """A request as it arrived at an endpoint.

    `instance` is the id under which the endpoint is announced. `has_run` is false when
    the endpoint refused it, and `is_foreign` true when it was meant for another one.
    `is_failed` is true if the endpoint itself spoils its answer. `ended_at` is infinite
    until the endpoint is done.
    """

    request: str
    endpoint: str
    instance: str
    service: str
    domain: str
    at: float
    has_run: bool = True
    is_foreign: bool = False
    is_failed: bool = False
    ended_at: float = float("inf")


@dataclass(frozen=True, slots=True, kw_only=True)
class FaultRecord:
    """A fault as it was injected into `targets`, such as `gateway-1` or `store`.

    Planned work is no excuse for a lost answer.
    """

    number: int
    kind: str
    targets: tuple[str, ...]
    began_at: float
    ended_at: float
    is_planned: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedRecord:
    """A configuration with the times of its write and of the store's answer."""

    configuration: SoakConfiguration
    sent_at: float
    acknowledged_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class OutRecord:
    """An endpoint's id or a failure domain that gets no more work from a time on."""

    name: str
    acknowledged_at: float
    ended_at: float = float("inf")


@dataclass(frozen=True, slots=True, kw_only=True)
class LogRecord:
    """The log of one gateway process; `has_exited` is false when it was killed."""

    gateway: int
    incarnation: int
    has_exited: bool
    lines: tuple[str, ...]


@dataclass(slots=True, kw_only=True)
class SoakRecords:
    """All that was recorded during a soak.

    `own_ends` are the gateways that ended although nothing had been done to them, or
    by a stop with another status than 0, with the times. `is_planned` is true if no
    fault but planned work was injected.
    """

    retry_ratio: float = 0.05
    retry_slack: int = 6
    calls: list[CallRecord] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    faults: list[FaultRecord] = field(default_factory=list)
    published: list[PublishedRecord] = field(default_factory=list)
    departures: list[OutRecord] = field(default_factory=list)
    evacuations: list[OutRecord] = field(default_factory=list)
    logs: list[LogRecord] = field(default_factory=list)
    own_ends: list[tuple[int, float]] = field(default_factory=list)
    is_planned: bool = False

    def add_fault(
        self,
        number: int,
        fault: Fault | str,
        *targets: str,
        began_at: float | None = None,
        seconds: float = 0.0,
        is_planned: bool = False,
    ) -> None:
        """Record a fault that lasts `seconds` from now, or from `began_at` until now.

        `fault` is one of the schedule, or the name of something that follows from it.
        """
        now = time.monotonic()
        self.faults.append(
            FaultRecord(
                number=number,
                kind=fault if isinstance(fault, str) else type(fault).__name__,
                targets=targets,
                began_at=now if began_at is None else began_at,
                ended_at=now + seconds,
                is_planned=is_planned,
            )
        )
