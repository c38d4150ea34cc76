"""What many gateways learn of each other, and what that costs each of them."""

import pytest

from bilberryring.gateway.store_readers import READERS, StoreAccess
from bilberryring.routing import PlacedRequest
from bilberryring.testing.peer_network import SERVICE, PeerNetwork

REQUESTS_PER_SECOND_AND_GATEWAY = 2.1
REST_BYTES_PER_SECOND = 10_000
LOAD_BYTES_PER_SECOND = 30_000


def bytes_per_second(network, seconds):
    """Return what each gateway sends and receives in a second, on average."""
    before = sum(item.bytes_sent + item.bytes_received for item in network.gateways)
    network.advance(seconds)
    after = sum(item.bytes_sent + item.bytes_received for item in network.gateways)
    return (after - before) / len(network.gateways) / seconds


@pytest.mark.parametrize(("gateways", "endpoints"), [(4, 21), (25, 69), (68, 172)])
def test_gateways_that_start_together_soon_know_each_other(gateways, endpoints):
    """Each knows only three seeds at first."""
    network = PeerNetwork(gateways=gateways, endpoints=endpoints, loss=0.01)
    network.advance(2.0)
    assert {len(item.view.gateways) for item in network.gateways} == {gateways}


def test_gateways_that_are_added_are_known_before_they_count_as_settled():
    network = PeerNetwork(gateways=20, endpoints=60)
    network.advance(3.0)
    network.add(15)
    network.advance(1.0)
    known = sorted(len(item.view.gateways) for item in network.gateways)
    assert known[3] == 35


def test_traffic_of_one_gateway_does_not_grow_with_the_fleet():
    """Twice the gateways before twice the endpoints, under the same load for each."""
    bytes_by_size = {}
    for gateways in (68, 136):
        network = PeerNetwork(gateways=gateways, endpoints=gateways * 5 // 2)
        network.advance(4.0)
        network.place_requests(REQUESTS_PER_SECOND_AND_GATEWAY * gateways, 3.0)
        bytes_by_size[gateways] = bytes_per_second(network, 3.0)
    assert bytes_by_size[136] <= 1.2 * bytes_by_size[68]
    assert bytes_by_size[68] <= LOAD_BYTES_PER_SECOND


def test_each_gateway_knows_the_work_on_its_endpoints():
    """All work that others placed on an endpoint is known, though reports get lost."""
    network = PeerNetwork(gateways=68, endpoints=172, loss=0.02)
    network.advance(3.0)
    network.place_requests(145.0, 3.0)
    network.advance(2.9)
    placed, known = 0, 0
    for gateway in network.gateways:
        for endpoint in gateway.slices.endpoints(SERVICE):
            others = [item for item in network.gateways if item is not gateway]
            placed += sum(
                item.tracker.work(endpoint.id, now=network.now).requests
                for item in others
            )
            known += gateway.view.work(endpoint.id, now=network.now).requests
    assert placed > 500
    assert 0.9 * placed <= known <= 1.1 * placed


def test_work_whose_end_was_not_reported_is_removed_by_a_complete_report():
    """The report of the end is lost; work that changes no more is not in later ones."""
    network = PeerNetwork(gateways=2, endpoints=10)
    network.advance(3.0)
    sender, receiver = network.gateways
    request = PlacedRequest(lead="e1", kv_tokens=6_000, gap_ms=300)
    sender.tracker.place(request, now=network.now)
    network.advance(1.0)
    assert receiver.view.work("e1", now=network.now).requests == 1
    receiver.muted.add(sender.host)
    sender.tracker.remove(request, now=network.now)
    sender.exchange.report_change(is_urgent=True)
    network.advance(0.1)
    receiver.muted.clear()
    network.advance(2.5)
    assert receiver.view.work("e1", now=network.now).requests == 0


def test_each_neighbourhood_has_readers_and_replaces_those_that_fail():
    network = PeerNetwork(gateways=40, endpoints=100)
    network.advance(3.0)
    readers = [item for item in network.gateways if item.duty.is_due]
    assert READERS <= len(readers) <= 20
    for reader in readers:
        reader.duty.record(StoreAccess.FAILING)
    network.advance(1.0)
    able = [
        item
        for item in network.gateways
        if item.duty.is_due and item.duty.access is not StoreAccess.FAILING
    ]
    assert len(able) >= READERS


def test_readers_that_end_are_replaced():
    network = PeerNetwork(gateways=12, endpoints=40)
    network.advance(3.0)
    readers = [item for item in network.gateways if item.duty.is_due]
    for reader in readers:
        network.stop(reader)
    network.advance(2.0)
    left = [item for item in network.gateways if not item.is_down]
    assert sum(item.duty.is_due for item in left) == READERS


def test_a_crash_becomes_known_beyond_the_neighbours():
    network = PeerNetwork(gateways=68, endpoints=172)
    network.advance(3.0)
    network.record_death(network.gateways[0], "e1", "f1")
    network.advance(3.0)
    assert all(network.knows_death(item, "f1") for item in network.gateways)


def test_a_simulation_with_a_seed_can_be_repeated():
    totals = []
    for _ in range(2):
        network = PeerNetwork(gateways=30, endpoints=60, seed=4, loss=0.05)
        network.advance(1.0)
        network.place_requests(per_second=100.0, seconds=4.0)
        network.advance(4.0)
        totals.append([item.bytes_received for item in network.gateways])
    assert totals[0] == totals[1]
