"""Gateways that start while the store changes between two pages of their lists.

Guards against gateways that copy such a list and then keep on sending to endpoints that
leave: the list tells of some of the changes after its first page, and not of all.
"""

import pytest

from bilberryring.fleet import EndpointState
from bilberryring.gateway.store_readers import StoreAccess, is_reader
from bilberryring.platform.names import ENDPOINT_PREFIX, OPERATOR_PREFIX
from bilberryring.testing.restored_store import RestoredStoreFleet

ENDPOINTS = 24
IN_FORCE_SECONDS = 2.0
ANSWER_SECONDS = 0.03
READERS_START_SECONDS = 0.4
RESTARTED = 6
NAMES = tuple(f"e{number:02}" for number in range(ENDPOINTS))
DOMAINS_KEY = f"{OPERATOR_PREFIX}evacuate/"


@pytest.fixture(params=[10, 68])
def fleet(request):
    """A fleet whose store lists one item a page and is farther away than peers."""
    fleet = RestoredStoreFleet(gateways=request.param, seed=7, page_items=1)
    fleet.answer_seconds = ANSWER_SECONDS
    fleet.publish(2)
    for name in NAMES:
        fleet.announce(name)
        fleet.store.put(f"{DOMAINS_KEY}{name}", b"{}")
    fleet.network.advance(9.0)
    return fleet


def beliefs(fleet, describe):
    """Return what the gateways believe, each belief once."""
    return {
        describe(fleet.state(gateway))
        for gateway in fleet.network.gateways
        if not gateway.is_down
    }


def ready_endpoints(state):
    return frozenset(
        endpoint.id
        for endpoint in state.endpoints.all
        if endpoint.state is EndpointState.READY
    )


def restart_in_turn(fleet, *, prefix, change):
    """Restart some gateways; call `change` in each list, before its last page.

    It is called with the name of an item on an earlier page.
    """
    for gateway, name in zip(fleet.network.gateways, NAMES[:RESTARTED], strict=False):
        changed = []

        def on_page(_, key, name=name, changed=changed):
            if key == f"{prefix}{NAMES[-2]}" and not changed:
                changed.append(name)
                change(name)

        fleet.on_page = on_page
        fleet.network.restart(gateway, seconds=1.5)
        fleet.network.advance(1.5 + IN_FORCE_SECONDS)
        assert changed
        yield name


def test_an_endpoint_that_leaves_between_two_pages_of_a_list_gets_nothing(fleet):
    expected = set(NAMES)

    def leave(name):
        fleet.announce(name, state="draining")
        fleet.announce(NAMES[-1], born=2 + NAMES.index(name))

    for name in restart_in_turn(fleet, prefix=ENDPOINT_PREFIX, change=leave):
        expected.discard(name)
        assert beliefs(fleet, ready_endpoints) == {frozenset(expected)}


def test_a_domain_changed_between_two_pages_of_a_list_is_known(fleet):
    expected = set(NAMES)

    def take_back(name):
        fleet.store.remove(f"{DOMAINS_KEY}{name}")
        fleet.store.put(f"{DOMAINS_KEY}{NAMES[-1]}", b'{"by": "%s"}' % name.encode())

    for name in restart_in_turn(fleet, prefix=DOMAINS_KEY, change=take_back):
        expected.discard(name)
        assert beliefs(fleet, lambda state: state.endpoints.domains_out) == {
            frozenset(expected)
        }


def test_an_endpoint_that_ends_just_before_all_readers_start_anew_is_gone(fleet):
    """Only their new lists tell of it, by its absence, before they copy from peers."""
    fleet.page_items, fleet.answer_seconds = None, 0.0
    readers = [
        gateway
        for gateway in fleet.network.gateways
        if is_reader(
            own_host=gateway.host,
            own_access=StoreAccess.WORKING,
            peers={
                peer.host: StoreAccess.WORKING
                for peer in fleet.network.gateways
                if peer is not gateway
            },
        )
    ]
    for gateway in readers:
        fleet.network.restart(gateway, seconds=READERS_START_SECONDS)
    fleet.store.remove(f"{ENDPOINT_PREFIX}{NAMES[0]}")
    fleet.network.advance(READERS_START_SECONDS + IN_FORCE_SECONDS)
    assert beliefs(fleet, ready_endpoints) == {frozenset(NAMES[1:])}
