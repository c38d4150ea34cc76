"""What tells a gateway whether it may have forgotten crashes."""

import pytest

from bilberryring.fleet import PublishedItem
from bilberryring.gateway.crash_record import DEATHS_UNTIL_QUARANTINE
from bilberryring.platform.names import CONFIGURATION_KEY, ENDPOINT_PREFIX
from bilberryring.platform.settings import decode_settings
from bilberryring.platform.store import Listing
from bilberryring.platform.store_past import StorePast
from bilberryring.platform.translation import OPERATOR_PREFIX, PREFIXES
from bilberryring.quarantine.suspicions import SUFFICIENT_CRASHES
from bilberryring.testing.processes import pause

SETTINGS = """
node = "g1"
ip = "127.0.0.1"
zone = "d1"
[listen]
front = "127.0.0.1:1"
[platform]
address = "127.0.0.1:2"
"""


def list_items(prefix, keys_and_revisions, *, revision, n_rewritten=0):
    items = tuple(
        PublishedItem(key=key, revision=at, value=b"{}")
        for key, at in keys_and_revisions
    )
    return prefix, Listing(items=items, revision=revision, n_rewritten=n_rewritten)


def list_configuration(revision):
    return list_items(OPERATOR_PREFIX, [(CONFIGURATION_KEY, 5)], revision=revision)


@pytest.mark.parametrize(
    ("revisions", "revision", "n_rewritten", "is_empty"),
    [
        ((6, 7), 7, 0, True),
        ((3, 6), 6, 0, True),
        ((6, 8), 8, 0, False),
        ((6,), 7, 0, False),
        ((6,), 6, 1, False),
    ],
    ids=["written-once", "one-before", "one-removed", "last-removed", "rewritten"],
)
def test_a_store_in_which_something_was_removed_or_replaced_has_a_past(
    revisions, revision, n_rewritten, is_empty
):
    past = StorePast(prefixes=PREFIXES)
    past.record(*list_configuration(revision))
    assert not past.is_known_empty
    entries = [(f"{ENDPOINT_PREFIX}e{at}", at) for at in revisions]
    past.record(
        *list_items(
            ENDPOINT_PREFIX, entries, revision=revision, n_rewritten=n_rewritten
        )
    )
    assert past.is_known_empty is is_empty


def test_what_is_removed_after_the_first_list_is_no_past():
    past = StorePast(prefixes=PREFIXES)
    past.record(*list_configuration(6))
    past.record(*list_items(ENDPOINT_PREFIX, [("servers/e6", 6)], revision=9))
    assert past.is_known_empty


def test_a_store_without_a_configuration_tells_nothing():
    past = StorePast(prefixes=PREFIXES)
    past.record(*list_items(OPERATOR_PREFIX, [], revision=1))
    past.record(*list_items(ENDPOINT_PREFIX, [("servers/a", 1)], revision=1))
    assert not past.is_known_empty


@pytest.mark.parametrize(
    ("line", "is_first"), [("", False), ("bootstrap = true\n", True)]
)
def test_the_settings_tell_of_the_first_start_of_the_whole_fleet(line, is_first):
    assert decode_settings(line + SETTINGS).is_first_start is is_first


@pytest.mark.parametrize(
    ("has_past", "most"),
    [(False, DEATHS_UNTIL_QUARANTINE), (True, SUFFICIENT_CRASHES)],
)
def test_a_request_crashes_fewer_endpoints_where_crashes_may_be_forgotten(
    site, has_past, most
):
    """Guards against a loss of all gateways after which it reaches endpoints twice."""
    endpoints = []

    def crash(request, connection):
        for endpoint in endpoints:
            if connection in endpoint.connections:
                endpoint.close()

    for number in range(6):
        endpoints.append(site.add_endpoint(f"e{number}", crash))
    if has_past:
        site.remove(f"{ENDPOINT_PREFIX}e5")
    site.start_gateway()
    responses = []
    for _ in range(3):
        responses.append(site.call("/look/", body=b"poison"))
        pause(0.2)
    assert sum(len(endpoint.requests) for endpoint in endpoints) == most
    assert responses[-1].status == 503
