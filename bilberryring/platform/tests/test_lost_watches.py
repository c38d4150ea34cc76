"""A watch whose answer the store lost is noticed in time for the bounds.

The store answers nothing for a moment: it loses either the watches that begin then, or
the answers that it owes to those that wait. All gateways watch again at the same time
after a change, so that one moment can concern all of them.
"""

import pytest

from bilberryring.gateway.store_readers import SETTLE_SECONDS
from bilberryring.platform.watch import BATCH_SECONDS
from bilberryring.standins.gateway_site import GatewaySite, make_configuration
from bilberryring.standins.scripted_endpoint import answer_all
from bilberryring.testing.processes import pause

STABILITY_SECONDS = 3.0
"""Seconds after the end of a disruption from which the bounds hold."""
APPLY_SECONDS = 2.0
"""Seconds in which an acknowledged change is in force."""
SILENT_SECONDS = 0.5
REFUSED, SERVED = 401, 200


@pytest.fixture(params=[1, 3], ids=["1 gateway", "3 gateways"])
def numbers(request):
    """The numbers of the gateways."""
    return range(1, request.param + 1)


@pytest.fixture
def site(numbers):
    """Gateways that have read the store and an endpoint's announcement."""
    site = GatewaySite(gateways=len(numbers)).start()
    try:
        site.publish(make_configuration())
        site.add_endpoint("a", answer_all)
        for number in numbers:
            site.start_gateway(number)
        pause(2 * SETTLE_SECONDS)
        yield site
    finally:
        site.stop()


def without_key(version):
    tenants = [{"name": "bars", "api_keys": ["another"], "priority": 1}]
    return make_configuration(version, tenants=tenants)


def test_watches_that_began_in_a_silence(site, numbers):
    site.publish(without_key(2))
    pause(BATCH_SECONDS / 2)
    site.set_store_mode(silent=True)
    pause(SILENT_SECONDS)
    site.set_store_mode()
    pause(STABILITY_SECONDS - APPLY_SECONDS)
    site.publish(make_configuration(3))
    pause(APPLY_SECONDS)
    assert [site.call("/look/", number=n).status for n in numbers] == [
        SERVED for _ in numbers
    ]


def test_watches_whose_answers_were_lost_in_a_silence(site, numbers):
    site.set_store_mode(silent=True)
    site.publish(without_key(2))
    pause(SILENT_SECONDS)
    site.set_store_mode()
    pause(STABILITY_SECONDS)
    assert [site.call("/look/", number=n).status for n in numbers] == [
        REFUSED for _ in numbers
    ]
