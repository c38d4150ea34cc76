"""Decodes the operators' configuration and the endpoints' announcements.

Anyone may have written a value. Each field is therefore bounded where it is decoded;
one that is out of range makes its own value unreadable.
"""

import re
from functools import lru_cache
from typing import Annotated

import msgspec

from bilberryring.core import MalformedJsonError, decode_json, is_address
from bilberryring.fleet import (
    MS_PER_SECOND,
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
from bilberryring.platform.names import ENDPOINT_PREFIX
from bilberryring.routing import EngineFigures

THOUSAND = 1_000.0
MAX_COUNT = 2**53 - 1
"""Largest whole number that every JSON decoder reads exactly."""
MAX_SLOTS = 1_000_000
"""Most requests that an endpoint can run at once."""
MAX_MS = 365 * 86_400_000.0
"""Longest time in milliseconds, a year."""
MAX_RATE = 1e12
"""Most tokens or requests per second."""
MIN_RATE = 1e-3
"""Fewest tokens per second that an engine can prefill."""
MAX_WEIGHT = 1e12
MAX_VERSION = 2**63 - 1
MIN_OBJECTIVE_MS = 1.0
"""Shortest objective in milliseconds; a shorter one counts as this."""
MAX_NAME_CHARS = 200
"""Longest name in characters of an endpoint, service or failure domain. The store's
keys are not longer."""
MAX_TEXT_CHARS = 4_096
"""Longest text in characters in a configuration, such as a prefix."""
MAX_KNOWN_ROUTES = 4_096
MAX_KNOWN_ROUTE_BYTES = 1_024
"""Routes that are not decoded anew when another version has them unchanged, and the
longest encoding of one."""
MAX_DETAIL_CHARS = 200
"""Characters of a decoder's message that an error keeps; it can quote the value."""


class ContentError(Exception):
    """A published value cannot be decoded; the remedy is to publish it again."""

    def __init__(self, code: str, detail: str, *, remedy: str):
        self.detail = detail[:MAX_DETAIL_CHARS]
        super().__init__(f"{code}: {self.detail}. Remedy: {remedy}")


_ENDPOINT_ID = re.compile(rf"[!-~]{{1,{MAX_NAME_CHARS}}}")
_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
_Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARS)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Size = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
_Priority = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
_Slots = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_MS)]
_Timeout = Annotated[float, msgspec.Meta(ge=1.0, le=MAX_MS)]


class _Share(msgspec.Struct, kw_only=True):
    service: _Text
    weight: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_WEIGHT)] = 1.0


class _Route(msgspec.Struct, kw_only=True):
    name: _Text
    host: _Text
    prefix: _Text
    kind: str
    timeout_ms: _Milliseconds
    target_latency_ms: _Milliseconds = 1_000.0
    priority: _Priority = 0
    service: _Text = ""
    backends: tuple[_Share, ...] = ()
    attempts: _Count = 1
    allow_anonymous: bool = False
    stream_resume: bool = False
    gap_aim_ms: _Milliseconds | None = None
    allowed_regions: tuple[str, ...] = ()


class _UsualLengths(msgspec.Struct, kw_only=True):
    # The mean number of tokens of a response.
    answer: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_COUNT)] = 1_600


class _Engine(msgspec.Struct, kw_only=True):
    slots: _Slots
    kv_tokens: _Count
    stride: _Count = 1
    step_ms: _Milliseconds = 1.0
    per_seq_ms: _Milliseconds = 0.0
    # Milliseconds per thousand tokens of context.
    context_per_k: _Milliseconds = 0.0
    read_per_s: Annotated[float, msgspec.Meta(ge=MIN_RATE, le=MAX_RATE)] = 1.0
    # Milliseconds per million pairs of tokens.
    pairs_per_m: _Milliseconds = 0.0
    chunk: _Count = 1
    usual: _UsualLengths = msgspec.field(default_factory=_UsualLengths)


class _Service(msgspec.Struct, kw_only=True):
    name: _Text
    max_connections: _Count = 64
    cold_per_s: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RATE)] = 0.0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, kw_only=True):
    max_header_bytes: _Size = 16_384
    max_body_bytes: _Count = 4_194_304
    header_timeout_ms: _Timeout = 3_000
    idle_timeout_ms: _Timeout = 15_000


class _Workspace(msgspec.Struct, kw_only=True):
    # The name is sent to endpoints in a header.
    name: Annotated[_Text, msgspec.Meta(pattern=r"\A(?!\s)[^\x00-\x1f\x7f]*(?<!\s)\Z")]
    api_keys: tuple[str, ...] = ()
    priority: _Priority | None = None
    allowed_regions: tuple[str, ...] = ()


class ConfigurationDocument(msgspec.Struct, kw_only=True):
    """The document that operators publish; its routes are decoded one by one."""

    version: Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]
    routes: tuple[msgspec.Raw, ...]
    services: tuple[_Service, ...]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_Workspace, ...] | None = None


class _Endpoint(msgspec.Struct, kw_only=True):
    service: _Name
    address: str
    zone: _Name
    state: str
    slots: _Slots
    # How much longer the endpoint stays cold, counted from the announcement.
    cold_remaining_ms: _Milliseconds = 0.0
    # The start time in Unix milliseconds, which distinguishes two runs of an
    # endpoint under the same id.
    born: _Count = 0
    # These two are only checked: another type tells an entry of another writer.
    version: str | int | float = ""
    sequence: _Count = 0


_STATES = {"ready": EndpointState.READY, "draining": EndpointState.LEAVING}


def decode_configuration(content: bytes) -> FleetConfiguration:
    """Return the decoded configuration.

    `ContentError` is raised when the content is malformed.
    """
    try:
        return _convert_configuration(decode_document(content))
    except ValueError as error:
        raise _configuration_error(error)


def decode_document(content: bytes) -> ConfigurationDocument:
    """Return the document, whose routes are not decoded yet.

    `ContentError` is raised when the rest of it is malformed.
    """
    try:
        return decode_json(content, ConfigurationDocument)
    except ValueError as error:
        raise _configuration_error(error)


def decode_listed_route(content: bytes) -> Route:
    """Return a route as it is written, also one that leads to no service.

    `ValueError` is raised when the content is malformed.
    """
    return _convert_route(decode_json(content, _Route))


def _configuration_error(error: ValueError) -> ContentError:
    return ContentError("configuration_unreadable", str(error), remedy="publish again")


def decode_endpoint(key: str, content: bytes, *, now: float) -> AnnouncedEndpoint:
    """Return the endpoint announced under a key.

    `now` is the time of this process's clock in seconds. `ContentError` is raised
    when the content is malformed.
    """
    endpoint_id = key.removeprefix(ENDPOINT_PREFIX)
    if not _ENDPOINT_ID.fullmatch(endpoint_id):
        raise _endpoint_error("the id is no text that a header can carry")
    try:
        announced = decode_json(content, _Endpoint)
    except MalformedJsonError as error:
        raise _endpoint_error(str(error))
    state = _STATES.get(announced.state)
    if state is None:
        raise _endpoint_error("unknown state")
    if not is_address(announced.address):
        raise _endpoint_error("the address is no IPv4 address with a port")
    return AnnouncedEndpoint(
        id=EndpointId(endpoint_id),
        service=ServiceName(announced.service),
        address=announced.address,
        failure_domain=FailureDomain(announced.zone),
        slots=max(1, announced.slots),
        state=state,
        cold_until=now + announced.cold_remaining_ms / MS_PER_SECOND,
        started_at_ms=announced.born,
    )


def _endpoint_error(detail: str) -> ContentError:
    return ContentError("endpoint_unreadable", detail, remedy="announce again")


def _convert_configuration(decoded: ConfigurationDocument) -> FleetConfiguration:
    workspaces = decoded.tenants or ()
    return FleetConfiguration(
        version=decoded.version,
        routes=tuple(
            _read_route(number, bytes(route))
            for number, route in enumerate(decoded.routes)
        ),
        services={
            ServiceName(service.name): convert_service(service)
            for service in decoded.services
        },
        workspaces_by_key={
            key: convert_workspace(workspace)
            for workspace in workspaces
            for key in workspace.api_keys
        },
        has_workspaces=decoded.tenants is not None,
        limits=convert_limits(decoded.limits),
    )


def _read_route(number: int, content: bytes) -> Route:
    is_short = len(content) <= MAX_KNOWN_ROUTE_BYTES
    try:
        return _known_route(content) if is_short else _decode_route(content)
    except ValueError as error:
        raise ValueError(f"routes[{number}]: {error}")


def _decode_route(content: bytes) -> Route:
    route = decode_listed_route(content)
    if not any(share.weight for share in route.shares):
        raise ValueError("a route whose weights are all 0 leads to no service")
    return route


_known_route = lru_cache(maxsize=MAX_KNOWN_ROUTES)(_decode_route)


def _convert_route(route: _Route) -> Route:
    shares = route.backends or (_Share(service=route.service),)
    gap_ms = route.gap_aim_ms
    objective_ms = max(MIN_OBJECTIVE_MS, route.target_latency_ms)
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        kind=RequestKind(route.kind),
        shares=tuple(
            ServiceShare(service=ServiceName(share.service), weight=share.weight)
            for share in shares
        ),
        timeout=route.timeout_ms / MS_PER_SECOND,
        first_answer_objective=objective_ms / MS_PER_SECOND,
        gap_objective=None if gap_ms is None else gap_ms / MS_PER_SECOND,
        max_endpoints=max(1, route.attempts),
        may_resume=route.stream_resume,
        is_anonymous_allowed=route.allow_anonymous,
        priority=route.priority,
        regions=route.allowed_regions,
    )


def convert_service(service: _Service) -> Service:
    """Return the service of an entry."""
    return Service(
        name=ServiceName(service.name),
        max_connections=service.max_connections,
        cold_requests_per_second=service.cold_per_s,
        engine=_convert_engine(service.engine) if service.engine else None,
    )


def _convert_engine(engine: _Engine) -> EngineFigures:
    return EngineFigures(
        slots=engine.slots,
        kv_tokens=engine.kv_tokens,
        stride=engine.stride,
        step_ms=engine.step_ms,
        sequence_ms=engine.per_seq_ms,
        context_ms=engine.context_per_k,
        prefill_tokens_per_ms=engine.read_per_s / THOUSAND,
        million_pairs_ms=engine.pairs_per_m,
        chunk_tokens=engine.chunk,
        usual_answer_tokens=int(engine.usual.answer),
    )


def convert_workspace(workspace: _Workspace) -> Workspace:
    """Return the workspace of an entry, without its keys."""
    return Workspace(
        name=WorkspaceName(workspace.name),
        priority=workspace.priority,
        regions=workspace.allowed_regions,
    )


def convert_limits(limits: _Limits) -> CallerLimits:
    """Return the limits on callers' requests."""
    return CallerLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout=limits.header_timeout_ms / MS_PER_SECOND,
        idle_timeout=limits.idle_timeout_ms / MS_PER_SECOND,
    )
