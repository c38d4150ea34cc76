"""Fixtures that run gateways with a stand-in for the platform's store."""

import pytest

from bilberryring.standins.gateway_site import GatewaySite, make_configuration


@pytest.fixture
def empty_site():
    """A running store without a configuration, endpoints or gateways."""
    site = GatewaySite(gateways=2).start()
    yield site
    site.stop()


@pytest.fixture
def site(empty_site):
    """A store with a configuration; the test adds endpoints and starts gateways."""
    empty_site.publish(make_configuration())
    return empty_site
