"""The operators' configuration and the endpoints' announcements, decoded."""

import msgspec

from bilberryring.fleet import (
    MILLISECONDS,
    AnnouncedEndpoint,
    CallerLimits,
    EndpointId,
    EndpointState,
    FailureDomain,
    FleetConfiguration,
    RequestKind,
    Route,
    Service,
    ServiceName,
    ServiceShare,
    Workspace,
    WorkspaceName,
)
from bilberryring.platform.names import SERVER_PREFIX
from bilberryring.routing import EngineFigures

THOUSAND = 1_000.0


class ContentError(Exception):
    """A published value that cannot be read; the remedy is to publish it again."""


class _Share(msgspec.Struct, kw_only=True):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, kw_only=True):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1_000.0
    priority: int = 0
    service: str = ""
    backends: tuple[_Share, ...] = ()
    attempts: int = 1
    allow_anonymous: bool = False
    stream_resume: bool = False
    gap_aim_ms: float | None = None
    allowed_regions: tuple[str, ...] = ()


class _Usual(msgspec.Struct, kw_only=True):
    # Mean number of tokens of an answer.
    answer: float = 1_600


class _Engine(msgspec.Struct, kw_only=True):
    slots: int
    kv_tokens: int
    stride: int = 1
    step_ms: float = 1.0
    per_seq_ms: float = 0.0
    # Milliseconds for each thousand tokens of context.
    context_per_k: float = 0.0
    read_per_s: float = 1.0
    # Milliseconds for each million pairs of tokens.
    pairs_per_m: float = 0.0
    chunk: int = 1
    usual: _Usual = msgspec.field(default_factory=_Usual)


class _Service(msgspec.Struct, kw_only=True):
    name: str
    max_connections: int = 64
    cold_per_s: float = 0.0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, kw_only=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct, kw_only=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    allowed_regions: tuple[str, ...] = ()


class _Configuration(msgspec.Struct, kw_only=True):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_Tenant, ...] | None = None


class _Server(msgspec.Struct, kw_only=True):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    # How much longer the server stays cold, at the time of writing.
    cold_remaining_ms: float = 0.0
    # Unix milliseconds of its start: tells two runs under one id apart.
    born: int = 0


_CONFIGURATION = msgspec.json.Decoder(_Configuration)
_SERVER = msgspec.json.Decoder(_Server)
_STATES = {"ready": EndpointState.READY, "draining": EndpointState.LEAVING}


def decode_configuration(content: bytes) -> FleetConfiguration:
    """Return a configuration; `ContentError` says what is wrong with it."""
    try:
        decoded = _CONFIGURATION.decode(content)
        return _configuration(decoded)
    except (msgspec.DecodeError, ValueError) as error:
        raise ContentError(f"configuration_unreadable: {error}. Remedy: publish again")


def decode_endpoint(key: str, content: bytes, *, now: float) -> AnnouncedEndpoint:
    """Return an endpoint; `now` is the own clock in seconds."""
    try:
        server = _SERVER.decode(content)
    except (msgspec.DecodeError, ValueError) as error:
        raise ContentError(f"endpoint_unreadable: {error}. Remedy: announce again")
    state = _STATES.get(server.state)
    if state is None or not _is_address(server.address):
        raise ContentError(
            "endpoint_unreadable: unknown state or address. Remedy: announce again"
        )
    return AnnouncedEndpoint(
        id=EndpointId(key.removeprefix(SERVER_PREFIX)),
        service=ServiceName(server.service),
        address=server.address,
        failure_domain=FailureDomain(server.zone),
        slots=max(1, server.slots),
        state=state,
        cold_until=now + server.cold_remaining_ms / MILLISECONDS,
        born=server.born,
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit()


def _configuration(decoded: _Configuration) -> FleetConfiguration:
    tenants = decoded.tenants or ()
    return FleetConfiguration(
        version=decoded.version,
        routes=tuple(_route(route) for route in decoded.routes),
        services={
            ServiceName(service.name): _service(service) for service in decoded.services
        },
        workspaces_by_key={
            key: _workspace(tenant) for tenant in tenants for key in tenant.api_keys
        },
        has_workspaces=decoded.tenants is not None,
        limits=_limits(decoded.limits),
    )


def _route(route: _Route) -> Route:
    shares = route.backends or (_Share(service=route.service),)
    gap = route.gap_aim_ms
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        kind=RequestKind(route.kind),
        shares=tuple(
            ServiceShare(service=ServiceName(share.service), weight=share.weight)
            for share in shares
        ),
        timeout=route.timeout_ms / MILLISECONDS,
        first_answer_objective=route.target_latency_ms / MILLISECONDS,
        gap_objective=None if gap is None else gap / MILLISECONDS,
        max_endpoints=max(1, route.attempts),
        may_resume=route.stream_resume,
        is_anonymous=route.allow_anonymous,
        priority=route.priority,
        regions=route.allowed_regions,
    )


def _service(service: _Service) -> Service:
    return Service(
        name=ServiceName(service.name),
        max_connections=service.max_connections,
        cold_requests_per_second=service.cold_per_s,
        engine=_engine(service.engine) if service.engine else None,
    )


def _engine(engine: _Engine) -> EngineFigures:
    return EngineFigures(
        slots=engine.slots,
        kv_tokens=engine.kv_tokens,
        stride=engine.stride,
        step_ms=engine.step_ms,
        sequence_ms=engine.per_seq_ms,
        context_ms=engine.context_per_k,
        read_tokens_per_ms=engine.read_per_s / THOUSAND,
        pairs_ms=engine.pairs_per_m,
        chunk_tokens=engine.chunk,
        usual_answer_tokens=int(engine.usual.answer),
    )


def _workspace(tenant: _Tenant) -> Workspace:
    return Workspace(
        name=WorkspaceName(tenant.name),
        priority=tenant.priority,
        regions=tenant.allowed_regions,
    )


def _limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout=limits.header_timeout_ms / MILLISECONDS,
        idle_timeout=limits.idle_timeout_ms / MILLISECONDS,
    )
