"""What all gateways together send to endpoints that state a limit."""

import pytest

from bilberryring.testing.peer_network import PeerNetwork
from bilberryring.testing.stated_limits import StatedLimitLoad

STABILITY_SECONDS = 3.0
"""The operators' stability window: the bound holds from then on."""
WINDOW_SECONDS = 4.0
ALLOWED_SHARE = 1.5
ALLOWED_SLACK = 5
TOLD_SECONDS = 0.5
"""Requests count if their gateway had heard of the limit that long before."""
LIMITS = (0.5, 1.0, 4.0)
DISTURBED_SECONDS = 2.0
REQUESTS_PER_SECOND_AND_ENDPOINT = 2.0
PRESSING_SHARE = 3.0
"""Multiple of that rate at which gateways use every start that a limit allows."""

MAX_REPORTING = 100
"""Most gateways that report periodically after they know each other; more of them would
take minutes to simulate."""

SIZES = [(3, 18), (25, 69), (68, 172), (400, 1_000)]


class LimitedFleet:
    """Every third endpoint states a limit; a part of the gateways is disturbed."""

    def __init__(self, gateways, endpoints, *, seed):
        self.network = PeerNetwork(
            gateways=gateways, endpoints=endpoints, seed=seed, loss=0.01
        )
        self.network.advance(2.0)
        if gateways > MAX_REPORTING:
            self.network.end_reports()
        self.load = StatedLimitLoad(network=self.network, seed=seed)
        self.endpoints = endpoints
        self.limited = [f"i-{number:08x}" for number in range(0, endpoints, 3)]

    def state_limits(self, *limits):
        for number, endpoint in enumerate(self.limited):
            self.load.limits[endpoint] = limits[number % len(limits)]
        self.stated_at = self.network.now

    def arrive(self, seconds, *, share=1.0):
        rate = share * REQUESTS_PER_SECOND_AND_ENDPOINT * self.endpoints
        self.load.arrive(per_second=rate, seconds=seconds)
        self.network.advance(seconds)

    def counted(self, endpoint):
        """Return the times of the requests that count against a limit."""
        return [
            arrival.at
            for arrival in self.load.outcomes.arrivals.get(endpoint, ())
            if arrival.told_at is not None
            and arrival.at >= arrival.told_at + TOLD_SECONDS
            and arrival.at >= self.stated_at + STABILITY_SECONDS
        ]

    def worst_excess(self):
        """Return by how many requests the worst window exceeds what is allowed."""
        excess = [-ALLOWED_SLACK]
        for endpoint in self.limited:
            limit = self.load.limits[endpoint]
            allowed = ALLOWED_SHARE * limit * WINDOW_SECONDS + ALLOWED_SLACK
            times = self.counted(endpoint)
            for first, at in enumerate(times):
                within = [t for t in times[first:] if t < at + WINDOW_SECONDS]
                excess.append(len(within) - allowed)
        return max(excess)

    def arrivals_per_second(self, endpoints, *, since):
        """Return the mean rate of requests that reach one of the endpoints."""
        count = sum(
            arrival.at > since
            for endpoint in endpoints
            for arrival in self.load.outcomes.arrivals.get(endpoint, ())
        )
        return count / len(endpoints) / (self.network.now - since)


@pytest.mark.parametrize(("gateways", "endpoints"), SIZES)
def test_all_gateways_together_keep_to_the_limits_that_endpoints_state(
    gateways, endpoints
):
    fleet = LimitedFleet(gateways, endpoints, seed=gateways)
    fleet.arrive(1.0)
    fleet.state_limits(*LIMITS)
    fleet.arrive(3.0, share=PRESSING_SHARE)
    fleet.network.disturb(seconds=DISTURBED_SECONDS)
    fleet.arrive(5.0, share=PRESSING_SHARE)
    assert fleet.worst_excess() <= 0


@pytest.mark.parametrize(("gateways", "endpoints"), SIZES[:3])
def test_requests_are_served_elsewhere_while_endpoints_are_at_their_limits(
    gateways, endpoints
):
    fleet = LimitedFleet(gateways, endpoints, seed=gateways)
    fleet.arrive(1.0)
    fleet.state_limits(*LIMITS)
    fleet.arrive(3.0)
    fleet.network.disturb(seconds=DISTURBED_SECONDS)
    fleet.arrive(5.0)
    assert not fleet.load.outcomes.refused
    assert fleet.worst_excess() <= 0
    assert fleet.arrivals_per_second(fleet.limited, since=fleet.stated_at + 3.0) > 0.25


@pytest.mark.parametrize("quiet_seconds", [20.0, 90.0])
def test_gateways_do_not_all_use_a_limit_at_once_after_a_quiet_time(quiet_seconds):
    fleet = LimitedFleet(25, 69, seed=1)
    fleet.arrive(1.0)
    fleet.state_limits(1.0)
    fleet.arrive(4.0)
    fleet.network.advance(quiet_seconds)
    fleet.arrive(2.0, share=PRESSING_SHARE)
    assert fleet.worst_excess() <= 0


def test_a_limit_that_has_ended_is_forgotten_by_those_that_share_it():
    fleet = LimitedFleet(4, 21, seed=1)
    fleet.arrive(1.0)
    fleet.state_limits(1.0)
    fleet.arrive(4.0)
    fleet.load.limits.clear()
    fleet.arrive(5.0)
    ended_at = fleet.network.now
    fleet.arrive(4.0)
    rate = fleet.arrivals_per_second(fleet.limited, since=ended_at)
    assert rate >= 0.8 * REQUESTS_PER_SECOND_AND_ENDPOINT


def test_requests_are_refused_when_all_endpoints_are_at_their_limits():
    fleet = LimitedFleet(4, 21, seed=1)
    fleet.limited = [f"i-{number:08x}" for number in range(21)]
    fleet.arrive(1.0)
    fleet.state_limits(1.0)
    fleet.arrive(9.0)
    assert fleet.worst_excess() <= 0
    since = fleet.stated_at + STABILITY_SECONDS
    assert any(at > since for at in fleet.load.outcomes.refused)
    assert fleet.arrivals_per_second(fleet.limited, since=since) >= 0.7
