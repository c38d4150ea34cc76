"""The faults of a soak, and the schedule of faults that a seed gives.

>>> draw_schedule(seed=3, seconds=20.0) == draw_schedule(seed=3, seconds=20.0)
True
"""

import random
from dataclasses import dataclass, field
from enum import Enum

from bilberryring.execution import Framing
from bilberryring.standins.gateway_site import MODEL_SERVICE, PLAIN_SERVICE

SECOND_SERVICE = "orders-b"
DOMAINS = ("north", "south")
LEAD_SECONDS = 4.0
"""Seconds without faults at the start, in which gateways learn of the endpoints."""
SERIES_INTERVAL_SECONDS = 2.4
SERIES_SECONDS = 2.0
MAX_SERIES_LENGTH = 5
SILENCE_SECONDS = (0.8, 2.4)
PLANNED_SILENCE_SECONDS = (0.9, 2.2)
MAX_CHANGES = 8
CHANGE_INTERVALS_SECONDS = (0.0, 0.0, 0.1, 0.4)
FAULT_SECONDS = (0.5, 2.5)
OUT_SECONDS = (6.5, 9.0)


class Place(Enum):
    """Where in its answers an endpoint falls silent."""

    ANYWHERE = "anywhere"
    HEAD = "head"
    EVENTS = "events"
    BODY = "body"


class FailureKind(Enum):
    """What an endpoint does to some of the requests that it receives.

    With `EXTRA`, the answer to another request comes first.
    """

    RESET = "reset"
    END = "end"
    TRUNCATE = "truncate"
    EXTRA = "extra"
    REFUSE = "refuse"
    REST = "rest"


class LinkFaultKind(Enum):
    """What happens to the connections to an endpoint or to the store.

    `SILENT` connections lose all that is sent on them, until they are reset, while new
    ones work.
    """

    DELAY = "delay"
    HOLD_REQUESTS = "hold_requests"
    HOLD_ANSWERS = "hold_answers"
    CUT = "cut"
    SILENT = "silent"


class StoreFaultKind(Enum):
    """What happens to the operators' store."""

    REFUSING = "refusing"
    SILENT = "silent"
    SLOW = "slow"
    FORGETFUL = "forgetful"
    RESTORED = "restored"


class ChangeKind(Enum):
    """What a new configuration changes."""

    MOVE_ROUTE = "move_route"
    TIMEOUTS = "timeouts"
    IDLE_LIMIT = "idle_limit"
    KEY = "key"
    ROUTE = "route"
    SERVICE = "service"
    LEAST_IDLE_LIMIT = "least_idle_limit"
    MANY_ROUTES = "many_routes"


_MIXED_CHANGES = tuple(ChangeKind)[:6]
"""The kinds that are drawn beside other faults; more would change the kept seeds."""


class OddEntryKind(Enum):
    """How an entry of another writer differs from an endpoint's announcement."""

    NESTED = "nested"
    NUMBER = "number"
    PORT = "port"
    BYTES = "bytes"
    TYPES = "types"


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointSilence:
    """Endpoints send nothing for some seconds and then go on."""

    endpoints: tuple[str, ...]
    place: Place
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointFailure:
    """Endpoints fail half of the requests that they receive for some seconds."""

    endpoints: tuple[str, ...]
    kind: FailureKind
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointDeparture:
    """An endpoint leaves, and comes back under another id.

    With `is_announced` it says that it is draining; otherwise its entry is removed.
    It serves for `seconds` after that.
    """

    endpoint: str
    is_announced: bool
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointCrash:
    """An endpoint crashes, and starts again under the same id after some seconds."""

    endpoint: str
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkFault:
    """The connections to an endpoint are disrupted for some seconds."""

    endpoint: str
    kind: LinkFaultKind
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayTermination:
    """A gateway receives SIGTERM, and starts again after it has exited."""

    gateway: int


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayKill:
    """A gateway receives SIGKILL, and starts again."""

    gateway: int


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayPause:
    """A gateway receives SIGSTOP, and SIGCONT after some seconds."""

    gateway: int
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayReload:
    """A gateway receives SIGHUP after a change of its settings file."""

    gateway: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreFault:
    """The store is disrupted for some seconds, or once."""

    kind: StoreFaultKind
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreLinkFault:
    """The connections of one gateway to the store are disrupted for some seconds."""

    gateway: int
    kind: LinkFaultKind
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChange:
    """Operators publish as many configurations in a row as there are `kinds`.

    `interval` is the seconds between two of them.
    """

    kinds: tuple[ChangeKind, ...]
    interval: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class OddEntry:
    """Another writer puts an odd entry among those of the endpoints."""

    kind: OddEntryKind
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Evacuation:
    """Operators take a failure domain out for some seconds."""

    domain: str
    seconds: float


Fault = (
    EndpointSilence
    | EndpointFailure
    | EndpointDeparture
    | EndpointCrash
    | LinkFault
    | GatewayTermination
    | GatewayKill
    | GatewayPause
    | GatewayReload
    | StoreFault
    | StoreLinkFault
    | ConfigurationChange
    | OddEntry
    | Evacuation
)


@dataclass(frozen=True, slots=True, kw_only=True)
class ScheduledFault:
    """A fault with its number and its time in seconds since the start."""

    number: int
    at: float
    fault: Fault


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointPlan:
    """The name, the service and the failure domain of one endpoint.

    `framing` is what marks the ends of its streams.
    """

    name: str
    service: str
    domain: str
    framing: Framing = Framing.CHUNKS


def plan_endpoints(*, has_unmarked: bool = False) -> tuple[EndpointPlan, ...]:
    """Return the endpoints of a soak.

    With `has_unmarked` half of the engines end their streams with their connections.
    They must be sound: behind their relays a reset looks like such an end.
    """
    numbers = {PLAIN_SERVICE: 4, SECOND_SERVICE: 2, MODEL_SERVICE: 4}
    return tuple(
        EndpointPlan(
            name=f"{service}-{number}",
            service=service,
            domain=DOMAINS[number % len(DOMAINS)],
            framing=(
                Framing.CONNECTION
                if has_unmarked and service == MODEL_SERVICE and number <= count // 2
                else Framing.CHUNKS
            ),
        )
        for service, count in numbers.items()
        for number in range(1, count + 1)
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakFleet:
    """The gateways, with numbers from 1, and the endpoints of a soak."""

    gateways: int = 3
    endpoints: tuple[EndpointPlan, ...] = field(default_factory=plan_endpoints)


def draw_schedule(
    *,
    seed: int,
    seconds: float,
    fleet: SoakFleet | None = None,
    is_planned: bool = False,
) -> tuple[ScheduledFault, ...]:
    """Return the faults of a soak in the order of their times.

    The faults come in series, and those of a series overlap. With `is_planned` all are
    planned work or silences of sound endpoints. A seed gives the same schedule for the
    same fleet and length.
    """
    drawers = _PLANNED_DRAWERS if is_planned else _DRAWERS
    rng = random.Random(seed)
    fleet = fleet or SoakFleet()
    drawn: list[tuple[float, Fault]] = []
    at = LEAD_SECONDS
    while at < seconds:
        for _ in range(rng.randint(1, MAX_SERIES_LENGTH)):
            fault_at = at + rng.uniform(0.0, SERIES_SECONDS)
            drawer = rng.choices(list(drawers), list(drawers.values()))[0]
            drawn.append((round(fault_at, 2), drawer(rng, fleet)))
        at += rng.expovariate(1.0 / SERIES_INTERVAL_SECONDS)
    drawn.sort(key=lambda pair: pair[0])
    return tuple(
        ScheduledFault(number=number, at=at, fault=fault)
        for number, (at, fault) in enumerate(drawn, start=1)
    )


def _draw_seconds(rng: random.Random, bounds: tuple[float, float]) -> float:
    return round(rng.uniform(*bounds), 2)


def _draw_endpoint(rng: random.Random, fleet: SoakFleet) -> str:
    return rng.choice(fleet.endpoints).name


def _draw_gateway(rng: random.Random, fleet: SoakFleet) -> int:
    return rng.randint(1, fleet.gateways)


def _draw_endpoints(rng: random.Random, fleet: SoakFleet) -> tuple[str, ...]:
    """Return one, two or all endpoints of a service."""
    service = rng.choice(fleet.endpoints).service
    names = [e.name for e in fleet.endpoints if e.service == service]
    count = rng.choice((1, 2, len(names)))
    return tuple(sorted(rng.sample(names, count)))


def _draw_silence(rng, fleet, bounds=SILENCE_SECONDS):
    endpoints = _draw_endpoints(rng, fleet)
    part = Place.EVENTS if endpoints[0].startswith(MODEL_SERVICE) else Place.BODY
    return EndpointSilence(
        endpoints=endpoints,
        place=rng.choice((Place.ANYWHERE, Place.HEAD, part)),
        seconds=_draw_seconds(rng, bounds),
    )


def _draw_failure(rng, fleet):
    return EndpointFailure(
        endpoints=_draw_endpoints(rng, fleet),
        kind=rng.choice(list(FailureKind)),
        seconds=_draw_seconds(rng, FAULT_SECONDS),
    )


def _draw_departure(rng, fleet):
    return EndpointDeparture(
        endpoint=_draw_endpoint(rng, fleet),
        is_announced=rng.random() < 0.7,
        seconds=_draw_seconds(rng, (2.5, 6.0)),
    )


def _draw_crash(rng, fleet):
    return EndpointCrash(
        endpoint=_draw_endpoint(rng, fleet), seconds=_draw_seconds(rng, FAULT_SECONDS)
    )


def _draw_link_fault(rng, fleet):
    return LinkFault(
        endpoint=_draw_endpoint(rng, fleet),
        kind=rng.choice(list(LinkFaultKind)),
        seconds=_draw_seconds(rng, FAULT_SECONDS),
    )


def _draw_store_fault(rng, fleet):
    return StoreFault(
        kind=rng.choice(list(StoreFaultKind)),
        seconds=_draw_seconds(rng, FAULT_SECONDS),
    )


def _draw_change(rng, fleet):
    count = rng.choice((1, 1, 1, 2, 6))
    return ConfigurationChange(kinds=tuple(rng.choices(_MIXED_CHANGES, k=count)))


def _draw_planned_changes(rng, fleet):
    count = rng.randint(1, MAX_CHANGES)
    return ConfigurationChange(
        kinds=tuple(rng.choices(list(ChangeKind), k=count)),
        interval=rng.choice(CHANGE_INTERVALS_SECONDS),
    )


def _draw_termination(rng, fleet):
    return GatewayTermination(gateway=_draw_gateway(rng, fleet))


def _draw_reload(rng, fleet):
    return GatewayReload(gateway=_draw_gateway(rng, fleet))


def _draw_odd_entry(rng, fleet):
    return OddEntry(
        kind=rng.choice(list(OddEntryKind)), seconds=_draw_seconds(rng, FAULT_SECONDS)
    )


def _draw_evacuation(rng, fleet):
    return Evacuation(
        domain=rng.choice(DOMAINS), seconds=_draw_seconds(rng, OUT_SECONDS)
    )


_DRAWERS = {
    _draw_silence: 30,
    _draw_failure: 14,
    _draw_departure: 7,
    _draw_crash: 4,
    _draw_link_fault: 9,
    _draw_termination: 7,
    lambda rng, fleet: GatewayKill(gateway=_draw_gateway(rng, fleet)): 2,
    lambda rng, fleet: GatewayPause(
        gateway=_draw_gateway(rng, fleet), seconds=_draw_seconds(rng, FAULT_SECONDS)
    ): 3,
    _draw_reload: 4,
    _draw_store_fault: 6,
    lambda rng, fleet: StoreLinkFault(
        gateway=_draw_gateway(rng, fleet),
        kind=rng.choice(list(LinkFaultKind)),
        seconds=_draw_seconds(rng, FAULT_SECONDS),
    ): 3,
    _draw_change: 14,
    _draw_odd_entry: 4,
    _draw_evacuation: 2,
}

_PLANNED_DRAWERS = {
    _draw_planned_changes: 50,
    lambda rng, fleet: _draw_silence(rng, fleet, PLANNED_SILENCE_SECONDS): 30,
    _draw_reload: 10,
    _draw_departure: 6,
    _draw_termination: 5,
    _draw_evacuation: 2,
}
