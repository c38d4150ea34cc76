"""The endpoints of each service that this gateway uses, and who shares them with it.

This answers the load of many gateways before many endpoints: when all of them choose
among all endpoints, each one must tell all others what it placed, and all run to the
same few endpoints that look free.
"""

import math
from dataclasses import dataclass

from bilberryring.admission import UserPlace
from bilberryring.fleet import (
    AnnouncedEndpoint,
    EndpointId,
    FleetState,
    Service,
    ServiceName,
)
from bilberryring.gateway.peer_view import PeerView
from bilberryring.gateway.settings import GatewaySettings
from bilberryring.routing import Ring, cover, slice_size

MAX_NEIGHBOUR_DISTANCE = 16
"""Places on the ring up to which gateways report to each other."""
MIN_NEIGHBOUR_DISTANCE = 8
LIMIT_SHARE = 0.8
SPARE_USERS = 1
"""The share of the operators' limit on starts that gateways use, and the users of an
endpoint that are assumed beyond those known, since each gateway may know of others."""
SETTLE_SECONDS = 1.0
"""Seconds after the start until the other gateways are known."""
PROVISIONAL_SIZE = 24
PROVISIONAL_USERS = 12
"""Endpoints that a gateway uses until then, and users of each that it assumes."""

Regions = frozenset[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class _Slice:
    """A slice with the lists that it was made from, to notice when they change."""

    gateways: tuple[str, ...]
    usable: tuple[AnnouncedEndpoint, ...]
    is_provisional: bool
    endpoints: tuple[AnnouncedEndpoint, ...]
    ring: Ring
    size: int
    cover: int


class EndpointSlices:
    """Divides the usable endpoints among the gateways that this gateway knows.

    `clock` is the reactor.
    """

    def __init__(
        self, *, clock, settings: GatewaySettings, fleet: FleetState, peers: PeerView
    ):
        self._clock = clock
        self._settings = settings
        self._fleet = fleet
        self._peers = peers
        self._slices: dict[tuple[ServiceName, Regions], _Slice] = {}
        is_alone = not set(settings.seed_hosts) - {settings.host}
        self._settled_at = clock.seconds() + (0.0 if is_alone else SETTLE_SECONDS)

    def endpoints(
        self, service: Service, *, regions: Regions = frozenset()
    ) -> tuple[AnnouncedEndpoint, ...]:
        """Return the endpoints of a service that this gateway uses.

        Only those in `regions` are considered, unless it is empty.
        """
        return self._slice(service, regions).endpoints

    def starts_per_second(
        self, service: Service, *, regions: Regions = frozenset()
    ) -> int | None:
        """Return how many requests this gateway may start on one endpoint per second.

        Returns `None` if the service has no limit for endpoints in cold start.
        """
        limit = self._start_limit(service)
        if math.isinf(limit):
            return None
        if self._is_settled:
            users = self._slice(service, regions).cover + SPARE_USERS
        else:
            users = PROVISIONAL_USERS
        return max(1, int(limit / users))

    def place_among_users(
        self, service: Service, endpoint: EndpointId, *, regions: Regions = frozenset()
    ) -> UserPlace | None:
        """Return this gateway's place among those that use an endpoint.

        Returns `None` if they are not known yet or this gateway does not use it.
        """
        known = self._slice(service, regions)
        if not self._is_settled or all(item.id != endpoint for item in known.endpoints):
            return None
        users = known.ring.users(endpoint=endpoint, size=known.size)
        return UserPlace(rank=users.index(self._peers.own_host), users=len(users))

    def neighbours(self) -> tuple[str, ...]:
        """Return the hosts of the gateways that share endpoints with this one."""
        return self._peers.neighbours(distance=self._distance())

    @property
    def _is_settled(self) -> bool:
        """Whether the other gateways had the time to report themselves."""
        return self._clock.seconds() >= self._settled_at

    def _distance(self) -> int:
        """Return the greatest distance on the ring of two gateways that share one.

        Plain services count only where there are no engines: they are few, and shared
        by all gateways, but knowing some of their load is enough.
        """
        configuration = self._fleet.configuration
        services = tuple(configuration.services.values()) if configuration else ()
        engines = tuple(service for service in services if service.engine is not None)
        gateways = len(self._peers.gateways)
        distances = [MIN_NEIGHBOUR_DISTANCE]
        for service in engines or services:
            usable = len(self._fleet.endpoints.usable(service.name))
            size = self._size(service, usable)
            distances.append(cover(gateways=gateways, endpoints=usable, size=size))
        return min(MAX_NEIGHBOUR_DISTANCE, max(distances))

    def _slice(self, service: Service, regions: Regions) -> _Slice:
        usable = self._fleet.endpoints.usable(service.name)
        gateways = self._peers.gateways
        is_provisional = not self._is_settled
        known = self._slices.get((service.name, regions))
        if (
            known is None
            or known.usable is not usable
            or known.gateways is not gateways
            or known.is_provisional is not is_provisional
        ):
            known = self._make_slice(service, regions, usable, gateways, is_provisional)
            self._slices[service.name, regions] = known
        return known

    def _make_slice(
        self,
        service: Service,
        regions: Regions,
        usable: tuple[AnnouncedEndpoint, ...],
        gateways: tuple[str, ...],
        is_provisional: bool,
    ) -> _Slice:
        allowed = {
            endpoint.id: endpoint
            for endpoint in usable
            if not regions
            or self._settings.region_of(endpoint.failure_domain) in regions
        }
        size = self._size(service, len(allowed))
        ring = Ring(gateways=gateways, endpoints=allowed)
        names = ()
        if is_provisional:
            names = ring.provisional_slice(
                gateway=self._peers.own_host, size=min(size, PROVISIONAL_SIZE)
            )
        elif allowed:
            names = ring.slice(gateway=self._peers.own_host, size=size)
        return _Slice(
            gateways=gateways,
            usable=usable,
            is_provisional=is_provisional,
            endpoints=tuple(allowed[name] for name in names),
            ring=ring,
            size=size,
            cover=ring.cover(size=size),
        )

    def _size(self, service: Service, endpoints: int) -> int:
        return slice_size(
            gateways=len(self._peers.gateways),
            endpoints=endpoints,
            starts_per_second=self._start_limit(service),
        )

    def _start_limit(self, service: Service) -> float:
        """Return how many requests all gateways may start on an endpoint per second."""
        if service.cold_requests_per_second <= 0:
            return math.inf
        bounds = self._settings.bounds
        limit = service.cold_requests_per_second * bounds.cold_ratio
        return LIMIT_SHARE * (limit + bounds.cold_slack)
