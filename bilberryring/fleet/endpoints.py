"""Endpoints that announce themselves, and the list of those to use."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import NewType

from bilberryring.fleet.configuration import FailureDomain, ServiceName

EndpointId = NewType("EndpointId", str)
"""Name of one run of an endpoint; another run mostly has another."""

RETURN_GRACE = 2.5
"""Seconds after an outage of the platform's service in which a missing
announcement may have lapsed with it. Source: two seconds in the platform's
description, and the time of a list."""
LAPSE_HOLD = 1.6
"""Seconds for which such an endpoint is still used. Source: an endpoint that left
must get nothing two seconds later, and a removal can also mean that."""


class EndpointState(Enum):
    """Whether an endpoint takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class AnnouncedEndpoint:
    """One endpoint as it announced itself; `cold_until` is in own seconds."""

    id: EndpointId
    service: ServiceName
    address: str
    failure_domain: FailureDomain
    slots: int
    state: EndpointState
    cold_until: float = 0.0
    born: int = 0

    def is_cold(self, *, now: float) -> bool:
        """Whether the endpoint bears only a little load."""
        return now < self.cold_until


class EndpointList:
    """The endpoints that may get work, from announcements that can be late.

    An announcement that disappears takes the endpoint out at once. One that
    disappeared with the platform's service is kept for `LAPSE_HOLD` seconds,
    since its endpoint may not have been able to renew.

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
        self._lapsed: dict[EndpointId, float] = {}
        self._domains_out: frozenset[FailureDomain] = frozenset()

    @property
    def domains_out(self) -> frozenset[FailureDomain]:
        """The failure domains that operators took out."""
        return self._domains_out

    @property
    def all(self) -> tuple[AnnouncedEndpoint, ...]:
        """Every announced endpoint, leaving ones included."""
        return tuple(self._endpoints.values())

    def get(self, endpoint_id: EndpointId) -> AnnouncedEndpoint | None:
        """Return one endpoint, or `None` when it is not announced."""
        return self._endpoints.get(endpoint_id)

    def usable(self, service: ServiceName) -> tuple[AnnouncedEndpoint, ...]:
        """Return the endpoints of a service that may get new work."""
        if service not in self._by_service:
            self._by_service[service] = tuple(
                endpoint
                for endpoint in self._endpoints.values()
                if endpoint.service == service and self.is_usable(endpoint.id)
            )
        return self._by_service[service]

    def is_usable(self, endpoint_id: EndpointId) -> bool:
        """Whether an endpoint may get new work."""
        endpoint = self._endpoints.get(endpoint_id)
        return (
            endpoint is not None
            and endpoint.state is EndpointState.READY
            and endpoint.failure_domain not in self._domains_out
        )

    def announce(self, endpoint: AnnouncedEndpoint) -> None:
        """Take what an endpoint says of itself."""
        self._endpoints[endpoint.id] = endpoint
        self._lapsed.pop(endpoint.id, None)
        self._by_service.clear()

    def withdraw(
        self, endpoint_id: EndpointId, *, now: float, is_lapse: bool = False
    ) -> None:
        """Note that an announcement is gone."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        if is_lapse and endpoint.state is EndpointState.READY:
            self._lapsed.setdefault(endpoint_id, now + LAPSE_HOLD)
            return
        self._remove(endpoint_id)

    def expire_lapsed(self, *, now: float) -> tuple[EndpointId, ...]:
        """Remove endpoints that did not announce themselves again."""
        gone = tuple(name for name, until in self._lapsed.items() if until <= now)
        for endpoint_id in gone:
            self._remove(endpoint_id)
        return gone

    def take_out(self, domains: Iterable[FailureDomain]) -> None:
        """Replace the set of failure domains that get no work."""
        self._domains_out = frozenset(domains)
        self._by_service.clear()

    def _remove(self, endpoint_id: EndpointId) -> None:
        self._endpoints.pop(endpoint_id, None)
        self._lapsed.pop(endpoint_id, None)
        self._by_service.clear()
