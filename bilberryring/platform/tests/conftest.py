"""Fixtures that run gateways with a stand-in for the platform's store."""

import pytest

from bilberryring.standins.gateway_site import GatewaySite, make_configuration
from bilberryring.testing.unmarked_streams import GRACE_SECONDS, ROUTES


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item):
    """Show the logs of the processes of a test that has failed."""
    outcome = yield
    report = outcome.get_result()
    if report.failed and report.when != "teardown":
        fixtures = {id(value): value for value in item.funcargs.values()}
        for site in fixtures.values():
            if isinstance(site, GatewaySite):
                report.sections.extend(site.log_ends())


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


@pytest.fixture
def make_stream_site():
    """Makes stores with the routes of `testing.unmarked_streams`."""
    sites = []

    def make(**options):
        site = GatewaySite(grace=GRACE_SECONDS, **options).start()
        sites.append(site)
        site.publish(make_configuration(routes=ROUTES))
        return site

    yield make
    for site in sites:
        site.stop()
