"""What all gateways together send of prompts with a part that crashes engines."""

import pytest

from bilberryring.gateway.peer_view import EndpointDeath
from bilberryring.testing.crashing_parts import CrashingPartLoad
from bilberryring.testing.peer_network import PeerNetwork

IN_TOUCH_SECONDS = 3.0
"""The operators' stability window: bounds hold this long after the fifth crash, and for
gateways that have run and been connected for as long."""
CRASHES = 5
MAX_LATER_SENDS = 3
MIN_SOUND = 20
SOUND_SHARE = 0.95
DISTURBED_SECONDS = 2.0
CONTROL_BYTES_PER_SECOND = 3_000

SIZES = [(3, 18), (25, 69), (68, 172), (400, 1_000)]


class DisturbedFleet:
    """Gateways of which some are cut off, freeze or leave, and some start meanwhile."""

    def __init__(self, gateways, endpoints, *, seed, **load):
        self.network = PeerNetwork(
            gateways=gateways, endpoints=endpoints, seed=seed, loss=0.01
        )
        self.network.advance(2.0)
        self.excused_until = {}
        self.load = CrashingPartLoad(
            network=self.network,
            engines=endpoints,
            seed=seed,
            **load,
        )
        self.outcomes = self.load.outcomes

    def arrive(self, *, bad, seconds=2.0):
        """Let prompts arrive; the more gateways, the more callers."""
        gateways = len(self.network.gateways)
        self.load.arrive(
            bad=bad * (4.0 + gateways / 10), sound=20.0 + gateways, seconds=seconds
        )
        self.network.advance(seconds)

    def disturb(self):
        disturbance = self.network.disturb(seconds=DISTURBED_SECONDS)
        for gateway in disturbance.recovering:
            self.excuse(gateway, DISTURBED_SECONDS)
        for gateway in disturbance.started:
            self.excuse(gateway, 0.0)

    def excuse(self, gateway, seconds):
        until = self.network.now + seconds + IN_TOUCH_SECONDS
        self.excused_until[gateway.host] = until

    def later_sends(self):
        """Return the sends that count: by gateways in touch, after the fifth crash."""
        if len(self.outcomes.crashes) < CRASHES:
            return []
        bound_from = self.outcomes.crashes[CRASHES - 1] + IN_TOUCH_SECONDS
        return [
            at
            for at, gateway in self.outcomes.bad_sends
            if at > max(bound_from, self.excused_until.get(gateway.host, 0.0))
        ]

    def sound_share(self, *, since):
        admitted = [was for at, was in self.outcomes.sound if at > since]
        assert len(admitted) >= MIN_SOUND
        return sum(admitted) / len(admitted)

    def bytes_per_second(self):
        sent = sum(gateway.bytes_sent for gateway in self.network.gateways)
        return sent / len(self.network.gateways) / self.network.now


@pytest.mark.parametrize(
    ("gateways", "endpoints", "is_part_first"),
    [(*size, False) for size in SIZES] + [(*size, True) for size in SIZES[:3]],
)
def test_a_part_that_crashes_engines_is_refused_by_all_gateways(
    gateways, endpoints, is_part_first
):
    fleet = DisturbedFleet(
        gateways, endpoints, seed=gateways, is_part_first=is_part_first
    )
    fleet.arrive(bad=1.0)
    fleet.disturb()
    fleet.arrive(bad=0.0, seconds=3.5)
    fleet.arrive(bad=1.0)
    third_crash = fleet.outcomes.crashes[2]
    assert len(fleet.outcomes.bad_sends) >= 3
    assert len(fleet.later_sends()) <= MAX_LATER_SENDS
    assert fleet.sound_share(since=third_crash + IN_TOUCH_SECONDS) >= SOUND_SHARE


def make_quarantine(network):
    """Let three engines crash at one gateway under prompts that share a part."""
    gateway = network.gateways[0]
    for number in range(3):
        gateway.crashes.record(
            EndpointDeath(
                death=f"e{number}/1",
                fingerprints=(f"p{number}",),
                parts=("bad", f"own{number}"),
            )
        )


def test_a_gateway_that_starts_later_learns_what_is_quarantined():
    network = PeerNetwork(gateways=12, endpoints=40)
    network.advance(3.0)
    make_quarantine(network)
    network.advance(5.0)
    network.add(1)
    network.advance(0.5)
    assert network.gateways[-1].crashes.quarantined_parts() == ("bad",)


def test_news_of_crashes_reach_all_gateways_within_half_a_second():
    network = PeerNetwork(gateways=68, endpoints=172, loss=0.02)
    network.advance(3.0)
    make_quarantine(network)
    network.advance(0.5)
    known = {gateway.crashes.quarantined_parts() for gateway in network.gateways}
    assert known == {("bad",)}


def test_news_of_crashes_fit_the_control_traffic_of_a_gateway():
    bytes_per_second = []
    for bad in (0.0, 1.0):
        fleet = DisturbedFleet(68, 172, seed=1)
        fleet.arrive(bad=bad, seconds=3.0)
        bytes_per_second.append(fleet.bytes_per_second())
    quiet, crashing = bytes_per_second
    assert crashing - quiet <= CONTROL_BYTES_PER_SECOND
