"""What tells a gateway whether it may have forgotten crashes."""

import pytest

from bilberryring.gateway.crash_record import DEATHS_UNTIL_QUARANTINE
from bilberryring.platform.settings import decode_settings
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


@pytest.mark.parametrize(
    ("line", "is_first"), [("", False), ("bootstrap = true\n", True)]
)
def test_the_settings_tell_of_the_first_start_of_the_whole_fleet(line, is_first):
    assert decode_settings(line + SETTINGS).is_first_start is is_first


def play_crashes(site, path, *, is_first_start, n_comings=4):
    """Let a request that crashes endpoints come; return how many it crashed."""
    endpoints = []

    def crash(request, connection):
        for endpoint in endpoints:
            if connection in endpoint.connections:
                endpoint.close()

    for number in range(6):
        endpoints.append(site.add_endpoint(f"e{number}", crash))
    site.start_gateway(is_first_start=is_first_start)
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


def test_a_request_of_one_attempt_crashes_one_endpoint_after_a_loss_of_all_gateways(
    site,
):
    """Guards against a booking that reaches endpoints twice after each loss."""
    assert play_crashes(site, "/charge/", is_first_start=False) == 1
