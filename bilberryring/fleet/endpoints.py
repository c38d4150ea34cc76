"""Endpoints that announce themselves, and the list of those that may be used."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import NewType

from bilberryring.fleet.configuration import FailureDomain, ServiceName

EndpointId = NewType("EndpointId", str)
"""The name of one run of an endpoint; a restarted endpoint usually has a new one."""
EndpointRunId = NewType("EndpointRunId", str)
"""The id of an endpoint with its start time, since it may start again under its id."""

RECOVERY_GRACE_SECONDS = 2.5
"""Seconds after an outage of the platform's store in which a removed announcement may
have lapsed because of the outage. The platform's description states two seconds; the
rest is the time of a list."""
LAPSE_HOLD_SECONDS = 1.6
"""Seconds for which a lapsed endpoint is still used. The removal may also have been
intended, and an endpoint that left must get no request after two seconds."""


class EndpointState(Enum):
    """Whether an endpoint accepts new requests."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class AnnouncedEndpoint:
    """One endpoint as it announced itself.

    `cold_until` is a time of this process's clock in seconds. `started_at_ms` is the
    endpoint's start time in Unix milliseconds; with the id it identifies one run.
    """

    id: EndpointId
    service: ServiceName
    address: str
    failure_domain: FailureDomain
    slots: int
    state: EndpointState
    cold_until: float = 0.0
    started_at_ms: int = 0

    @property
    def run(self) -> EndpointRunId:
        """The id of this run of the endpoint."""
        return EndpointRunId(f"{self.id}/{self.started_at_ms}")

    def is_cold(self, *, now: float) -> bool:
        """Whether the endpoint has just started and can take only a small load."""
        return now < self.cold_until


class EndpointList:
    """The announced endpoints, and which of them may get new requests.

    An endpoint is removed at once when its announcement is. If the announcement may
    have lapsed during an outage of the platform's store, the endpoint is kept for
    `LAPSE_HOLD_SECONDS`, since it may not have been able to renew.

    >>> endpoints = EndpointList()
    >>> endpoints.announce(AnnouncedEndpoint(id="a", service="s",
    ...     address="127.0.0.1:1", failure_domain="d", slots=1,
    ...     state=EndpointState.READY))
    >>> endpoints.withdraw("a", now=5.0, is_lapse=True)
    >>> endpoints.expire_lapsed(now=6.0), endpoints.expire_lapsed(now=6.7)
    ((), ('a',))
    """

    def __init__(self):
        self._endpoints: dict[EndpointId, AnnouncedEndpoint] = {}
        self._by_service: dict[ServiceName, tuple[AnnouncedEndpoint, ...]] = {}
        self._lapsed_until: dict[EndpointId, float] = {}
        self._domains_out: frozenset[FailureDomain] = frozenset()

    @property
    def domains_out(self) -> frozenset[FailureDomain]:
        """The failure domains that operators have taken out."""
        return self._domains_out

    @property
    def all(self) -> tuple[AnnouncedEndpoint, ...]:
        """All announced endpoints, including those that are leaving or lapsed."""
        return tuple(self._endpoints.values())

    def get(self, endpoint_id: EndpointId) -> AnnouncedEndpoint | None:
        """Return an endpoint by its id, or `None` when it is not announced."""
        return self._endpoints.get(endpoint_id)

    def has_address(self, address: str) -> bool:
        """Whether an endpoint is announced at an address."""
        return any(item.address == address for item in self._endpoints.values())

    def usable(self, service: ServiceName) -> tuple[AnnouncedEndpoint, ...]:
        """Return the endpoints of a service that may get new requests."""
        if service not in self._by_service:
            self._by_service[service] = tuple(
                endpoint
                for endpoint in self._endpoints.values()
                if endpoint.service == service and self.is_usable(endpoint.id)
            )
        return self._by_service[service]

    def is_usable(self, endpoint_id: EndpointId) -> bool:
        """Whether an endpoint may get new requests."""
        endpoint = self._endpoints.get(endpoint_id)
        return (
            endpoint is not None
            and endpoint.state is EndpointState.READY
            and endpoint.failure_domain not in self._domains_out
        )

    def announce(self, endpoint: AnnouncedEndpoint) -> None:
        """Add an endpoint, or replace its previous announcement."""
        self._endpoints[endpoint.id] = endpoint
        self._lapsed_until.pop(endpoint.id, None)
        self._by_service.clear()

    def withdraw(
        self,
        endpoint_id: EndpointId,
        *,
        now: float,
        is_lapse: bool = False,
        hold_seconds: float = LAPSE_HOLD_SECONDS,
    ) -> None:
        """Remove an endpoint, or keep it for `hold_seconds` if `is_lapse` is set."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        if is_lapse and endpoint.state is EndpointState.READY:
            self._lapsed_until.setdefault(endpoint_id, now + hold_seconds)
            return
        self._remove(endpoint_id)

    def hold_lapsed(self, *, until: float) -> None:
        """Keep all lapsed endpoints until a time at least."""
        for endpoint_id, lapses_at in self._lapsed_until.items():
            self._lapsed_until[endpoint_id] = max(lapses_at, until)

    def expire_lapsed(self, *, now: float) -> tuple[EndpointId, ...]:
        """Remove and return lapsed endpoints that were not announced again in time."""
        expired = tuple(
            name for name, until in self._lapsed_until.items() if until <= now
        )
        for endpoint_id in expired:
            self._remove(endpoint_id)
        return expired

    def set_domains_out(self, domains: Iterable[FailureDomain]) -> None:
        """Replace the set of failure domains that get no requests."""
        self._domains_out = frozenset(domains)
        self._by_service.clear()

    def _remove(self, endpoint_id: EndpointId) -> None:
        self._endpoints.pop(endpoint_id, None)
        self._lapsed_until.pop(endpoint_id, None)
        self._by_service.clear()
