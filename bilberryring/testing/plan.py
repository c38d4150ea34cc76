"""The plan of a small fleet: its size and its published objects."""

from dataclasses import dataclass

from bilberryring.objects import (
    FailureDomain,
    Model,
    ModelEndpoint,
    ObjectSet,
    Priority,
    Service,
    ServiceEndpoint,
    Version,
    Workspace,
    key_digest,
)

MODEL = "bilberry"
VERSION = "bilberry-1"
SERVICE = "booking"
ENGINE_PREFIX = "engine-"
SERVICE_PREFIX = "book-"
KEY_TEMPLATE = "key-of-{workspace}"


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetPlan:
    """The number of processes of each kind, and how the stand-ins behave.

    `prefill_rate` is in tokens a second. An engine is cold until it has completed
    `cold_completions` prompts, and crashes while cold when it holds more than
    `cold_bears` prompts; `cold_allowance` is the limit that is published for it. The
    drain of an entry or a sidecar may take `drain_seconds`; `memory_mb` and
    `max_descriptors` are the limits of its machine, if any.
    With `is_relayed`, all traffic to the sidecars and endpoints goes through a relay
    that can disturb it.
    """

    domains: tuple[str, ...] = ("valpo-a", "vina-b", "quilpue-c")
    region: str = "cl-centro"
    engines_per_domain: int = 2
    services_per_domain: int = 1
    entry_domains: tuple[str, ...] = ("valpo-a", "vina-b")
    kv_tokens: int = 600_000
    prefill_rate: float = 40_000.0
    cold_completions: int = 0
    cold_bears: int = 2
    cold_allowance: int = 64
    concurrency: int = 64
    honours_fencing: bool = True
    service_deadline_seconds: float = 5.0
    total_seconds: float = 60.0
    first_token_seconds: float = 20.0
    drain_seconds: float = 300.0
    is_relayed: bool = False
    memory_mb: float | None = None
    max_descriptors: int | None = None

    def domain_of(self, endpoint: str) -> str:
        """Return the failure domain that an endpoint's name contains."""
        return next(domain for domain in self.domains if domain in endpoint)


def workspace_key(workspace: str) -> str:
    """Return the API key of a workspace of the plan."""
    return KEY_TEMPLATE.format(workspace=workspace)


def build_objects(plan: FleetPlan, addresses: dict[str, str]) -> ObjectSet:
    """Return the objects of a plan.

    `addresses` maps the name of each endpoint to the address of its sidecar.
    """
    domains = [FailureDomain(name=name, region=plan.region) for name in plan.domains]
    priorities = [
        Priority(
            name=name,
            rank=rank,
            first_token_seconds=plan.first_token_seconds,
            total_seconds=plan.total_seconds,
        )
        for rank, name in enumerate(("counter", "office", "archive"))
    ]
    workspaces = [
        Workspace(
            name=name,
            priority=priority,
            models=(MODEL,),
            services=(SERVICE,),
            share=0.2,
            key_digests=(key_digest(workspace_key(name)),),
        )
        for name, priority in (
            ("bars", "counter"),
            ("fuentes", "counter"),
            ("tenders", "office"),
            ("logs", "archive"),
        )
    ]
    return ObjectSet(
        failure_domains=_by_name(domains),
        priorities=_by_name(priorities),
        models=_by_name(
            [Model(name=MODEL, default_version=VERSION)],
        ),
        versions=_by_name(
            [Version(name=VERSION, model=MODEL, weights_megabytes=14_000)]
        ),
        workspaces=_by_name(workspaces),
        services=_by_name(
            [Service(name=SERVICE, deadline_seconds=plan.service_deadline_seconds)]
        ),
        model_endpoints=_by_name(
            [
                _model_endpoint(plan, name, address)
                for name, address in addresses.items()
                if name.startswith(ENGINE_PREFIX)
            ]
        ),
        service_endpoints=_by_name(
            [
                _service_endpoint(plan, name, address)
                for name, address in addresses.items()
                if name.startswith(SERVICE_PREFIX)
            ]
        ),
    )


def _model_endpoint(plan: FleetPlan, name: str, address: str) -> ModelEndpoint:
    return ModelEndpoint(
        name=name,
        failure_domain=plan.domain_of(name),
        sidecar=address,
        versions=(VERSION,),
        kv_tokens=plan.kv_tokens,
        cold_allowance=plan.cold_allowance,
        cold_completions=plan.cold_completions,
        concurrency=plan.concurrency,
        checks_fencing=plan.honours_fencing,
    )


def _service_endpoint(plan: FleetPlan, name: str, address: str) -> ServiceEndpoint:
    return ServiceEndpoint(
        name=name,
        failure_domain=plan.domain_of(name),
        sidecar=address,
        service=SERVICE,
    )


def _by_name(items: list) -> dict:
    return {item.name: item for item in items}
