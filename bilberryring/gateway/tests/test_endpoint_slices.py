"""Limits that must hold over all gateways of fleets of several sizes."""

from collections import Counter

import pytest
from twisted.internet.task import Clock

from bilberryring.gateway.endpoint_slices import SETTLE_SECONDS, EndpointSlices
from bilberryring.gateway.peer_view import PeerView
from bilberryring.testing.peer_network import (
    SERVICE,
    make_fleet,
    make_host,
    make_settings,
)

FLEETS = ((3, 21), (25, 69), (68, 172), (400, 4_400))
STARTS_PER_SECOND = SERVICE.cold_requests_per_second * 1.5 + 5.0
SEEDS = tuple(make_host(number) for number in range(3))


class Fleet:
    """Gateways with different knowledge of each other before the same endpoints."""

    def __init__(self, endpoints):
        self._state = make_fleet(endpoints)
        self._starts = Counter()

    def add_gateways(self, hosts, *, known, is_new=False):
        """Count the starts that gateways make which know only some hosts."""
        for host in hosts:
            clock = Clock()
            slices = EndpointSlices(
                clock=clock,
                settings=make_settings(host, SEEDS),
                fleet=self._state,
                peers=PeerView(own_host=host, seed_hosts=known),
            )
            if not is_new:
                clock.advance(SETTLE_SECONDS)
            starts = slices.starts_per_second(SERVICE)
            for endpoint in slices.endpoints(SERVICE):
                self._starts[endpoint.id] += starts

    @property
    def most_starts(self):
        return max(self._starts.values())

    @property
    def endpoints_used(self):
        return len(self._starts)


def make_hosts(count, first=0):
    return tuple(make_host(number) for number in range(first, first + count))


@pytest.mark.parametrize(("gateways", "endpoints"), FLEETS)
def test_all_gateways_together_keep_to_the_cold_start_limit(gateways, endpoints):
    fleet = Fleet(endpoints)
    hosts = make_hosts(gateways)
    fleet.add_gateways(hosts, known=hosts)
    assert fleet.most_starts <= STARTS_PER_SECOND
    assert fleet.endpoints_used == endpoints


@pytest.mark.parametrize(("gateways", "endpoints"), FLEETS)
def test_limit_holds_while_half_of_the_gateways_know_only_themselves(
    gateways, endpoints
):
    """A half that is cut off, or was frozen while the other half was added."""
    fleet = Fleet(endpoints)
    hosts = make_hosts(gateways)
    half = hosts[::2]
    fleet.add_gateways(half, known=half)
    fleet.add_gateways(hosts[1::2], known=hosts)
    assert fleet.most_starts <= STARTS_PER_SECOND


@pytest.mark.parametrize(("gateways", "endpoints"), FLEETS)
def test_gateways_that_were_just_added_do_not_overbook(gateways, endpoints):
    """Three quarters more gateways, which know no more than the seeds."""
    fleet = Fleet(endpoints)
    hosts = make_hosts(gateways)
    fleet.add_gateways(hosts, known=hosts)
    added = make_hosts(gateways * 3 // 4, first=gateways)
    fleet.add_gateways(added, known=SEEDS, is_new=True)
    assert fleet.most_starts <= STARTS_PER_SECOND
