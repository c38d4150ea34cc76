"""A silent endpoint whose entry, zone or limits change meanwhile, and change back."""

from concurrent.futures import ThreadPoolExecutor
from functools import partial

import pytest

from bilberryring.platform.tests.test_silent_endpoints import (
    WHOLE_STREAM,
    answer_late,
    last_records,
    send_stream,
)
from bilberryring.standins.gateway_site import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    make_configuration,
)
from bilberryring.testing.processes import pause, wait_until

SILENCE_SECONDS = 1.8
CHANGE_SECONDS = 0.3
ELSEWHERE = "127.0.0.1:9"


def come_back(site, address, service):
    """Remove the entry and write it again, as after a time without heartbeats."""
    site.remove("servers/a")
    pause(CHANGE_SECONDS)
    site.announce("a", address, service=service)


def come_back_elsewhere(site, address, service):
    site.remove("servers/a")
    pause(CHANGE_SECONDS)
    site.announce("a", ELSEWHERE, service=service, born=2)


def move(site, address, service):
    """Write the entry of another start under the id, at another address."""
    site.announce("a", ELSEWHERE, service=service, born=2)


def become_unreadable(site, address, service):
    site.put("servers/a", b"\xff\xfe")
    pause(CHANGE_SECONDS)
    site.announce("a", address, service=service)


def evacuate(site, address, service):
    site.put("op/evacuate/north", b"{}")


def restrict_regions(site, address, service):
    tenants = make_configuration()["tenants"]
    elsewhere = [tenant | {"allowed_regions": ["elsewhere"]} for tenant in tenants]
    site.publish(make_configuration(2, tenants=elsewhere))


def lower_limits(site, address, service):
    limits = {"max_body_bytes": 0, "max_header_bytes": 1, "idle_timeout_ms": 1}
    site.publish(make_configuration(2, limits=limits))


CHANGES = (
    come_back,
    come_back_elsewhere,
    move,
    become_unreadable,
    evacuate,
    restrict_regions,
    lower_limits,
)


def call_beside(site, path, endpoint, change, service):
    """Return the answer to a call during whose run a change is made."""
    site.start_gateway()
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(site.call, path)
        wait_until(lambda: endpoint.requests, 2.0, "the request")
        change(site, endpoint.address, service)
        return answer.result()


def assert_one_last_record(site):
    (records,) = last_records(site).values()
    assert records == ["request_finished"]


@pytest.mark.parametrize("change", CHANGES)
def test_a_stream_is_whole_after_a_silence_beside_a_change(site, change):
    script = partial(send_stream, silent_before=3, silence=SILENCE_SECONDS)
    endpoint = site.add_endpoint("a", script, service=MODEL_SERVICE)
    answer = call_beside(site, "/chat/", endpoint, change, MODEL_SERVICE)
    assert (answer.status, answer.body) == (200, WHOLE_STREAM)
    assert_one_last_record(site)


@pytest.mark.parametrize("path", ["/look/", "/charge/"])
@pytest.mark.parametrize("change", CHANGES)
def test_a_request_is_answered_after_a_silence_beside_a_change(site, path, change):
    endpoint = site.add_endpoint("a", partial(answer_late, silence=SILENCE_SECONDS))
    answer = call_beside(site, path, endpoint, change, PLAIN_SERVICE)
    assert answer.status == 200
    if path == "/charge/":
        assert len(endpoint.requests) == 1
    assert_one_last_record(site)
