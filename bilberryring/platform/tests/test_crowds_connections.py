"""Crowds of clients that hold connections, or do not read what they asked for.

The number of clients and the limits were fixed on the code without a budget, which
exceeds them. `bin/test` runs these files one at a time.
"""

import pytest

from bilberryring.platform.tests.test_crowds_bodies import add_endpoints
from bilberryring.standins.gateway_site import GatewaySite
from bilberryring.testing.misbehaving_clients import (
    PORTS,
    MachineLimits,
    run_crowd,
)
from bilberryring.testing.misbehaving_requests import (
    HELD_CONNECTIONS,
    SLOW_READER,
    UNREAD_ANSWERS,
    at_port,
)

LIMITS = MachineLimits(memory_mb=120, max_descriptors=600)
N_UNREAD = {
    "8 large": 40,
    "200 large": 10,
    "refusals": 40,
    "readiness": 80,
    "metrics": 40,
}
N_SLOW_READERS = 40
N_HELD = 700
"""More than the descriptors of the machine."""


@pytest.fixture
def site():
    site = GatewaySite(
        memory_mb=LIMITS.memory_mb, max_fds=LIMITS.max_descriptors
    ).start()
    yield add_endpoints(site)
    site.stop()


@pytest.mark.parametrize("kind", UNREAD_ANSWERS)
def test_pipelined_requests_with_unread_answers_do_not_exhaust_the_memory(site, kind):
    """All requests that had been read were answered into memory."""
    run_crowd(site, UNREAD_ANSWERS[kind], N_UNREAD[kind], LIMITS)


def test_slow_readers_do_not_exhaust_the_memory(site):
    """An answer is held until its caller has read it, however slowly it reads."""
    run_crowd(site, SLOW_READER, N_SLOW_READERS, LIMITS)


@pytest.mark.parametrize("kind", HELD_CONNECTIONS)
def test_held_connections_leave_descriptors_for_others(site, kind):
    """Connections were accepted until no descriptor was left for any other client."""
    run_crowd(site, HELD_CONNECTIONS[kind], N_HELD, LIMITS)


@pytest.mark.parametrize("port", [port for port in PORTS if port != "caller"])
def test_connections_to_any_port_leave_descriptors_for_others(site, port):
    """Guards against ports whose connections are not counted."""
    run_crowd(site, at_port(HELD_CONNECTIONS["abandoned"], port), N_HELD, LIMITS)
