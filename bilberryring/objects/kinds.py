"""The kinds of published objects, as immutable structs that validate their fields.

An object refers to other objects by name. Whether objects with these names exist
is checked for a whole set by `bilberryring.objects.check`.

>>> Priority(name="urgent", rank=0).total_seconds
600.0
>>> Priority(name="", rank=0)
Traceback (most recent call last):
    ...
ValueError: name: must be 1 to 63 of a-z, 0-9, '-', '.' and '_'
"""

import re
from enum import Enum
from typing import NewType

import msgspec

from bilberryring.core import is_address

ModelName = NewType("ModelName", str)
VersionName = NewType("VersionName", str)
AdapterName = NewType("AdapterName", str)
WorkspaceName = NewType("WorkspaceName", str)
FailureDomainName = NewType("FailureDomainName", str)
PriorityName = NewType("PriorityName", str)
EndpointName = NewType("EndpointName", str)
ServiceName = NewType("ServiceName", str)

NAME_PATTERN = re.compile(r"[a-z0-9._-]{1,63}\Z")
KEY_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}\Z")
MAX_PROMPT_TOKENS_LIMIT = 4_000_000
"""Highest value that operators may set as a model's `max_prompt_tokens`."""
MAX_FIGURE = 2**31 - 1
"""Largest figure of any object; messages between processes hold no larger ones."""


class DomainState(Enum):
    """Whether a failure domain accepts new requests."""

    IN = "in"
    OUT = "out"


def require(condition: bool, field: str, rule: str) -> None:
    """Raise `ValueError` with the field and its rule unless `condition` is true."""
    if not condition:
        raise ValueError(f"{field}: {rule}")


def require_name(value: str) -> None:
    """Raise `ValueError` unless `value` is a valid object name."""
    require(
        NAME_PATTERN.match(value) is not None,
        "name",
        "must be 1 to 63 of a-z, 0-9, '-', '.' and '_'",
    )


class PublishedObject(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base class of the objects that operators publish.

    `name` is unique among the objects of the same kind.
    """

    name: str

    def __post_init__(self):
        require_name(self.name)
        for field in self.__struct_fields__:
            value = getattr(self, field)
            if isinstance(value, int | float):
                require(value <= MAX_FIGURE, field, f"must be at most {MAX_FIGURE}")
        self.check_fields()

    def check_fields(self) -> None:
        """Raise `ValueError` if a field has a value that is not allowed."""


class FailureDomain(PublishedObject):
    """A part of a region that fails, and is taken out of service, as a whole.

    `allow_unserved` in any failure domain turns off the check that each model and
    service is served by a failure domain whose state is `in`.
    """

    region: str
    state: DomainState = DomainState.IN
    allow_unserved: bool = False


class Priority(PublishedObject):
    """The rank and the deadlines of a workspace's requests.

    Requests of rank 0 are served first and refused last. `first_token_seconds` and
    `total_seconds` are the default limits for the first token and for the whole
    answer, counted from the arrival of the request.
    """

    rank: int
    first_token_seconds: float = 30.0
    total_seconds: float = 600.0

    def check_fields(self) -> None:
        require(0 <= self.rank <= 99, "rank", "must be 0 to 99")
        require(self.first_token_seconds > 0, "first_token_seconds", "must be above 0")
        require(
            self.total_seconds >= self.first_token_seconds,
            "total_seconds",
            "must be at least first_token_seconds",
        )


class Model(PublishedObject):
    """A model that callers request by name; lengths are in tokens.

    `fallback` is validated, but requests are not sent to the fallback model yet.
    """

    default_version: VersionName
    max_prompt_tokens: int = 1_000_000
    max_output_tokens: int = 4096
    fallback: ModelName = ModelName("")

    def check_fields(self) -> None:
        require(
            0 < self.max_prompt_tokens <= MAX_PROMPT_TOKENS_LIMIT,
            "max_prompt_tokens",
            f"must be 1 to {MAX_PROMPT_TOKENS_LIMIT}",
        )
        require(self.max_output_tokens > 0, "max_output_tokens", "must be above 0")


class Version(PublishedObject):
    """One version of the weights of a model."""

    model: ModelName
    weights_megabytes: int

    def check_fields(self) -> None:
        require(self.weights_megabytes > 0, "weights_megabytes", "must be above 0")


class Adapter(PublishedObject):
    """Additional weights that adapt a model for some workspaces.

    Adapters are validated, but not applied to prompts yet.
    """

    model: ModelName
    weights_megabytes: int

    def check_fields(self) -> None:
        require(self.weights_megabytes > 0, "weights_megabytes", "must be above 0")


class Workspace(PublishedObject):
    """The priority, API keys and permitted models and services of a group of callers.

    `share` is the weight of the workspace in fair queueing by tokens; the shares of
    all workspaces add up to at most 1.
    """

    priority: PriorityName
    key_digests: tuple[str, ...]
    models: tuple[ModelName, ...] = ()
    adapters: tuple[AdapterName, ...] = ()
    services: tuple[ServiceName, ...] = ()
    share: float = 0.001

    def check_fields(self) -> None:
        require(0 < self.share <= 1, "share", "must be above 0 and at most 1")
        for digest in self.key_digests:
            require(
                KEY_DIGEST_PATTERN.match(digest) is not None,
                "key_digests",
                "must hold SHA-256 digests in lower-case hexadecimal",
            )


class Service(PublishedObject):
    """A plain service.

    Calls whose method is not in `repeatable_methods` are executed at most once.
    """

    repeatable_methods: tuple[str, ...] = ("GET", "HEAD")
    deadline_seconds: float = 10.0

    def check_fields(self) -> None:
        require(self.deadline_seconds > 0, "deadline_seconds", "must be above 0")


class ModelEndpoint(PublishedObject):
    """A model engine and the address of its sidecar.

    `kv_tokens` is the size of the engine's KV memory, in tokens. A cold engine may
    have `cold_allowance` requests in progress; the limit begins to rise towards
    `concurrency` after `cold_completions` requests were completed in time.
    """

    failure_domain: FailureDomainName
    sidecar: str
    versions: tuple[VersionName, ...]
    adapters: tuple[AdapterName, ...] = ()
    kv_tokens: int = 400_000
    weights_megabytes: int = 80_000
    cold_allowance: int = 2
    cold_completions: int = 8
    concurrency: int = 64
    checks_fencing: bool = True

    def check_fields(self) -> None:
        require(
            is_address(self.sidecar), "sidecar", "must be an IPv4 address and a port"
        )
        require(self.kv_tokens > 0, "kv_tokens", "must be above 0")
        require(
            0 < self.cold_allowance <= self.concurrency,
            "cold_allowance",
            "must be above 0 and at most concurrency",
        )
        require(self.cold_completions >= 0, "cold_completions", "must not be negative")
        require(self.weights_megabytes > 0, "weights_megabytes", "must be above 0")


class ServiceEndpoint(PublishedObject):
    """An instance of a plain service and the address of its sidecar."""

    failure_domain: FailureDomainName
    sidecar: str
    service: ServiceName
    concurrency: int = 64

    def check_fields(self) -> None:
        require(
            is_address(self.sidecar), "sidecar", "must be an IPv4 address and a port"
        )
        require(self.concurrency > 0, "concurrency", "must be above 0")


class Kind(Enum):
    """The kinds of objects.

    A member's value is the name of the kind in files and parts; `struct` is the
    class of its objects.
    """

    def __new__(cls, value: str, struct: type[PublishedObject]):
        member = object.__new__(cls)
        member._value_ = value
        member.struct = struct
        return member

    FAILURE_DOMAINS = ("failure_domains", FailureDomain)
    PRIORITIES = ("priorities", Priority)
    MODELS = ("models", Model)
    VERSIONS = ("versions", Version)
    ADAPTERS = ("adapters", Adapter)
    WORKSPACES = ("workspaces", Workspace)
    SERVICES = ("services", Service)
    MODEL_ENDPOINTS = ("model_endpoints", ModelEndpoint)
    SERVICE_ENDPOINTS = ("service_endpoints", ServiceEndpoint)
