"""What a gateway needs to know before it starts."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayBounds:
    """What operators allow; times in seconds, the slacks in requests.

    The retry bound is `retry_ratio` of a service's requests in `retry_window`
    plus `retry_slack`, over all entries. The bound of a cold endpoint is
    `cold_ratio` of its own rate plus `cold_slack` in each second.
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
    """The addresses of one gateway and the bounds it keeps."""

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

    @property
    def metrics_address(self) -> str:
        """Where metrics are served."""
        return f"{self.host}:{self.metrics_port}"

    def region_of(self, failure_domain: str) -> str:
        """Return the region of a failure domain; unknown ones are in ours."""
        return dict(self.regions_by_domain).get(failure_domain, self.region)
