"""The settings of a gateway."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayBounds:
    """Limits that operators set; times are in seconds, the slacks in requests.

    All gateways together may retry `retry_ratio` times the requests of a service within
    `retry_window`, plus `retry_slack`. They may start `cold_ratio` times the rate of a
    cold endpoint plus `cold_slack` requests on it per second.
    """

    drain_seconds: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 100.0
    retry_window: float = 10.0
    cold_ratio: float = 1.5
    cold_slack: float = 5.0
    max_hold_seconds: float = 20.0


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """The addresses of one gateway and its limits.

    `seed_hosts` are hosts that may run a peer. `regions_by_domain` pairs failure
    domains with their regions. With `learns_capacity` the choice between endpoints
    follows their learned speed. `memory_bytes` and `max_descriptors` are what the
    machine gives to the process, 0 if what the operators wrote is implausible, or
    `None` if they wrote nothing. `is_first_start` tells whether the whole fleet starts
    for the first time, or is `None` as well.
    """

    process: str
    failure_domain: str
    host: str
    caller_address: str
    ready_address: str
    peer_port: int
    metrics_port: int
    platform_address: str
    region: str = ""
    seed_hosts: tuple[str, ...] = ()
    regions_by_domain: tuple[tuple[str, str], ...] = ()
    bounds: GatewayBounds = GatewayBounds()
    learns_capacity: bool = True
    memory_bytes: int | None = None
    max_descriptors: int | None = None
    is_first_start: bool | None = None

    @property
    def metrics_address(self) -> str:
        """The address at which metrics and operators' queries are served."""
        return f"{self.host}:{self.metrics_port}"

    def region_of(self, failure_domain: str) -> str:
        """Return the region of a failure domain, or the gateway's own if unknown."""
        return dict(self.regions_by_domain).get(failure_domain, self.region)
