"""A gateway that does not run for a while in a planned stop: what waits unread then."""

import http.client
from concurrent.futures import ThreadPoolExecutor

import pytest

from bilberryring.platform.tests.test_ends_of_stops import (
    GRACE_SECONDS,
    be_silent,
    call_over_a_stop,
    long_site,
)
from bilberryring.standins.gateway_site import read_answer, request_headers
from bilberryring.testing.processes import pause, wait_until

__all__ = ["long_site"]

REFUSES_AFTER_SECONDS = 3.0


@pytest.mark.parametrize("suspended_at", [2.6, GRACE_SECONDS - 1.5])
def test_a_request_that_waits_to_be_accepted_when_the_listener_closes_is_refused(
    long_site, suspended_at
):
    endpoint = long_site.add_endpoint("a", be_silent)
    long_site.start_gateway()
    process = long_site.process("gateway-1")
    with ThreadPoolExecutor(1) as pool:
        if suspended_at > REFUSES_AFTER_SECONDS:
            # An idle process exits as soon as it refuses requests.
            pool.submit(long_site.call, "/charge/", Bilberryring_Deadline_Ms="12000")
            wait_until(lambda: endpoint.requests, 2.0, "the request")
        process.terminate()
        pause(suspended_at)
        process.suspend()
        connection = long_site.connect()
        connection.request("POST", "/look/", b"x", request_headers())
        pause(0.5)
        process.resume()
        answer = read_answer(connection)
    assert answer.status == http.client.SERVICE_UNAVAILABLE
    assert process.wait(GRACE_SECONDS) == 0


def test_a_pause_over_the_end_of_a_stop_takes_no_answer_from_a_caller(long_site):
    def suspend(process):
        pause(GRACE_SECONDS - 1.0)
        process.suspend()
        pause(0.8)
        process.resume()

    endpoint = long_site.add_endpoint("a", be_silent)
    long_site.start_gateway()
    answer = call_over_a_stop(long_site, "/charge/", endpoint, during=suspend)
    assert (answer.status, answer.is_cut) == (http.client.BAD_GATEWAY, False)
