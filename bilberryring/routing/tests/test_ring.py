"""Coverage and stability of the slices of a ring."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from bilberryring.routing import Ring, cover, hash_order, neighbours, slice_size

COUNTS = st.integers(min_value=1, max_value=60)


def make_names(prefix, count):
    return tuple(f"{prefix}{number}" for number in range(count))


def count_users(gateways, endpoints, size):
    ring = Ring(gateways=gateways, endpoints=endpoints)
    return Counter(
        endpoint
        for gateway in gateways
        for endpoint in ring.slice(gateway=gateway, size=size)
    )


@given(n_gateways=COUNTS, n_endpoints=COUNTS, size=COUNTS)
def test_no_endpoint_has_more_users_than_the_cover(n_gateways, n_endpoints, size):
    users = count_users(make_names("g", n_gateways), make_names("e", n_endpoints), size)
    most = cover(gateways=n_gateways, endpoints=n_endpoints, size=size)
    assert max(users.values()) <= most


@given(n_gateways=COUNTS, n_endpoints=COUNTS, limit=st.floats(2.0, 100.0))
def test_the_users_of_an_endpoint_can_each_start_one_request(
    n_gateways, n_endpoints, limit
):
    size = slice_size(
        gateways=n_gateways, endpoints=n_endpoints, starts_per_second=limit
    )
    if n_gateways <= n_endpoints * (int(limit) - 1):
        most = cover(gateways=n_gateways, endpoints=n_endpoints, size=size)
        assert most <= limit


def test_all_endpoints_of_a_large_fleet_are_used_alike():
    users = count_users(make_names("g", 68), make_names("e", 172), 32)
    assert len(users) == 172
    assert min(users.values()) >= 11


def test_the_loss_of_a_gateway_changes_slices_a_little():
    gateways, endpoints = make_names("g", 68), make_names("e", 172)
    before = Ring(gateways=gateways, endpoints=endpoints)
    after = Ring(gateways=gateways[1:], endpoints=endpoints)
    for gateway in gateways[1:]:
        kept = set(before.slice(gateway=gateway, size=32)) & set(
            after.slice(gateway=gateway, size=32)
        )
        assert len(kept) >= 28


def test_gateways_that_share_an_endpoint_are_neighbours():
    gateways = hash_order(make_names("g", 68))
    ring = Ring(gateways=gateways, endpoints=make_names("e", 172))
    slices = {name: set(ring.slice(gateway=name, size=32)) for name in gateways}
    distance = cover(gateways=68, endpoints=172, size=32)
    for own in gateways:
        near = neighbours(gateways, gateway=own, distance=distance)
        shared = {
            other for other in gateways if other != own and slices[other] & slices[own]
        }
        assert shared <= set(near)
