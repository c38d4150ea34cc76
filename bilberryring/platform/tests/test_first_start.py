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
    ("line", "is_first"),
    [("", None), ("bootstrap = true\n", True), ("bootstrap = false\n", False)],
)
def test_the_settings_tell_of_the_first_start_of_the_whole_fleet(line, is_first):
    assert decode_settings(line + SETTINGS).is_first_start is is_first


def play_crashes(site, path, *, n_comings=4, is_one_removed=False, **start):
    """Let a request that crashes endpoints come; return how many it crashed."""
    endpoints = []

    def crash(request, connection):
        for endpoint in endpoints:
            if connection in endpoint.connections:
                endpoint.close()

    for number in range(6):
        endpoints.append(site.add_endpoint(f"e{number}", crash))
    if is_one_removed:
        site.remove(f"{ENDPOINT_PREFIX}e5")
    site.start_gateway(**start)
    responses = []
    for _ in range(n_comings):
        responses.append(site.call(path, body=b"poison"))
        pause(0.2)
    assert responses[-1].status == 503
    return sum(len(endpoint.requests) for endpoint in endpoints)


@pytest.mark.parametrize("path", ["/look/", "/charge/"])
def test_at_the_first_start_of_a_fleet_a_quarantine_needs_three_crashes(site, path):
    crashed = play_crashes(site, path, is_first_start=True)
    assert crashed == DEATHS_UNTIL_QUARANTINE


def test_a_store_that_lists_all_that_was_written_shows_no_first_start(site):
    """Guards against a loss of all gateways after which it reaches endpoints twice.

    Endpoints that crashed just before are still listed then, and others not yet.
    """
    assert play_crashes(site, "/look/", is_first_start=False) == SUFFICIENT_CRASHES


@pytest.mark.parametrize(
    ("is_one_removed", "most"),
    [(False, DEATHS_UNTIL_QUARANTINE), (True, SUFFICIENT_CRASHES)],
)
def test_without_a_statement_the_store_is_asked_for_a_first_start(
    site, is_one_removed, most
):
    crashed = play_crashes(
        site, "/look/", is_one_removed=is_one_removed, states_first_start=False
    )
    assert crashed == most


def test_a_request_of_one_attempt_crashes_one_endpoint_after_a_loss_of_all_gateways(
    site,
):
    """Guards against a booking that reaches endpoints twice after each loss."""
    assert play_crashes(site, "/charge/", is_first_start=False) == 1
