"""Sites of gateways for the tests of this package."""

import pytest

from bilberryring.standins.gateway_site import GatewaySite, a_configuration


@pytest.fixture
def empty_site():
    """A store alone."""
    site = GatewaySite(gateways=2).start()
    yield site
    site.stop()


@pytest.fixture
def site(empty_site):
    """A store with a configuration; endpoints and gateways are the test's."""
    empty_site.publish(a_configuration())
    return empty_site
