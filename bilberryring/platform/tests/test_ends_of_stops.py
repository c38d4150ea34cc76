"""Requests that are still in progress at the end of a planned stop."""

import json
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from bilberryring.admission import StopStep
from bilberryring.standins.gateway_site import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    GatewaySite,
    make_configuration,
    make_route,
)
from bilberryring.standins.scripted_endpoint import (
    answer_all,
    chunk,
    event,
    stream_head,
    whole_answer,
)
from bilberryring.testing.processes import pause, wait_until

GRACE_SECONDS = 6.0
CALLER_SECONDS = "12000"
"""The caller's deadline in milliseconds, after the end of the stop."""
LONG_ROUTES = [
    make_route("/look/", "idempotent", PLAIN_SERVICE, timeout_ms=20_000),
    make_route("/charge/", "non_idempotent", PLAIN_SERVICE, timeout_ms=20_000),
    make_route("/chat/", "streaming", MODEL_SERVICE, timeout_ms=20_000),
]


@pytest.fixture
def long_site():
    """A store with routes whose requests may last longer than a stop."""
    site = GatewaySite(grace=GRACE_SECONDS).start()
    site.publish(make_configuration(routes=LONG_ROUTES))
    yield site
    site.stop()


def be_silent(request, connection):
    pause(GRACE_SECONDS + 4.0)


def begin_stream(request, connection):
    connection.sendall(stream_head(request.request_id) + chunk(event(1)))
    be_silent(request, connection)


def call_over_a_stop(site, path, endpoint, *, during=lambda process: None):
    """Return the answer to a request that is in progress when the stop begins."""
    process = site.process("gateway-1")
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(site.call, path, Bilberryring_Deadline_Ms=CALLER_SECONDS)
        wait_until(lambda: endpoint.requests, 2.0, "the request")
        process.terminate()
        during(process)
        answer = answer.result()
    assert process.wait(GRACE_SECONDS) == 0
    return answer


def last_records(site):
    names = ("request_finished", "request_failed", "caller_left")
    return [line for line in site.log_events() if line["event"] in names]


@pytest.mark.parametrize("path", ["/look/", "/charge/"])
def test_a_request_without_an_answer_at_the_end_of_a_stop_gets_an_error(
    long_site, path
):
    endpoint = long_site.add_endpoint("a", be_silent)
    long_site.start_gateway()
    answer = call_over_a_stop(long_site, path, endpoint)
    assert (answer.status, answer.is_cut) == (502, False)
    assert json.loads(answer.body)["outcome"] == "unknown"
    (record,) = last_records(long_site)
    assert (record["event"], record["delivered"]) == ("request_failed", "whole")


def test_a_stream_that_has_not_begun_at_the_end_of_a_stop_gets_an_error(long_site):
    endpoint = long_site.add_endpoint("a", be_silent, service=MODEL_SERVICE)
    long_site.start_gateway()
    answer = call_over_a_stop(long_site, "/chat/", endpoint)
    assert (answer.status, answer.is_cut) == (502, False)


def test_a_stream_that_has_begun_is_not_complete_at_the_end_of_a_stop(long_site):
    endpoint = long_site.add_endpoint("a", begin_stream, service=MODEL_SERVICE)
    long_site.start_gateway()
    answer = call_over_a_stop(long_site, "/chat/", endpoint)
    assert (answer.status, answer.is_cut) == (200, True)
    (record,) = last_records(long_site)
    assert (record["event"], record["delivered"]) == ("request_failed", "cut")


def test_the_failure_of_an_endpoint_is_the_answer_at_the_end_of_a_stop(long_site):
    endpoints = []

    def fail(request, connection):
        for endpoint in endpoints:
            endpoint.set_script(be_silent)
        connection.sendall(whole_answer(request.request_id, b"", status="500 Sorry"))

    endpoints += [long_site.add_endpoint(name, fail) for name in "ab"]
    long_site.start_gateway()
    process = long_site.process("gateway-1")
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(
            long_site.call, "/look/", Bilberryring_Deadline_Ms=CALLER_SECONDS
        )
        wait_until(
            lambda: all(endpoint.requests for endpoint in endpoints), 2.0, "a repeat"
        )
        process.terminate()
        answer = answer.result()
    assert answer.status == 500


def test_an_answer_that_is_ready_at_the_end_of_a_stop_is_delivered(long_site):
    """The process is not run between the answer and the end."""
    may_answer = threading.Event()

    def answer_on_demand(request, connection):
        may_answer.wait(GRACE_SECONDS)
        answer_all(request, connection)

    def suspend(process):
        pause(GRACE_SECONDS - 1.6)
        process.suspend()
        may_answer.set()
        pause(1.1)
        process.resume()

    endpoint = long_site.add_endpoint("a", answer_on_demand)
    long_site.start_gateway()
    answer = call_over_a_stop(long_site, "/charge/", endpoint, during=suspend)
    assert (answer.status, answer.body) == (200, b"ok x")


def test_a_slow_request_that_ends_before_the_end_of_a_stop_is_answered(long_site):
    def answer_late(request, connection):
        pause(GRACE_SECONDS - 1.5)
        answer_all(request, connection)

    endpoint = long_site.add_endpoint("a", answer_late)
    long_site.start_gateway()
    answer = call_over_a_stop(long_site, "/charge/", endpoint)
    assert answer.status == 200


def test_the_log_tells_what_was_open_at_each_step_of_a_stop(long_site):
    endpoint = long_site.add_endpoint("a", begin_stream, service=MODEL_SERVICE)
    long_site.start_gateway()
    call_over_a_stop(long_site, "/chat/", endpoint)
    steps = long_site.log_events(event="drain_continued")
    assert [line["step"] for line in steps] == [step.value for step in StopStep]
    in_progress = [line["in_progress"] for line in steps]
    assert in_progress == [1, 1, 1, 0, 0]
    assert [line["connections"] for line in steps][-1] == 0
    ages = [line["signalled_ago"] for line in steps]
    assert ages == sorted(ages)
    (record,) = last_records(long_site)
    assert steps[2]["signalled_ago"] <= record["stop_ms"] / 1_000 <= GRACE_SECONDS
