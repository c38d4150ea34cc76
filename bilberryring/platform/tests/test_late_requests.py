"""Requests that come during a planned stop are served only if they can end in it."""

import json

import pytest

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
)
from bilberryring.testing.processes import pause

GRACE_SECONDS = 6.0
RETRY_AFTER_SECONDS = 1.0
"""Longest wait that a caller is asked for when another gateway can take its request."""
LONG_MS = "12000"
"""A caller's deadline in milliseconds, after the end of the stop."""
ROUTES = [
    make_route("/look/", "idempotent", PLAIN_SERVICE, timeout_ms=20_000),
    make_route("/charge/", "non_idempotent", PLAIN_SERVICE, timeout_ms=20_000),
    make_route("/chat/", "streaming", MODEL_SERVICE, timeout_ms=20_000),
    make_route(
        "/once/", "streaming", MODEL_SERVICE, timeout_ms=20_000, stream_resume=False
    ),
]


@pytest.fixture
def long_site():
    """A store with routes whose requests may last longer than a stop."""
    site = GatewaySite(grace=GRACE_SECONDS).start()
    site.publish(make_configuration(routes=ROUTES))
    yield site
    site.stop()


def send_stream(request, connection):
    connection.sendall(
        stream_head(request.request_id) + chunk(event(1)) + chunk(event(2)) + chunk(b"")
    )


def call_in_a_stop(site, path, *, script=answer_all, after=0.5, **headers):
    """Return the answer to a request that comes in a stop, and its endpoint."""
    service = MODEL_SERVICE if path in ("/chat/", "/once/") else PLAIN_SERVICE
    endpoint = site.add_endpoint("a", script, service=service)
    site.start_gateway()
    connection = site.connect()
    connection.connect()
    process = site.process("gateway-1")
    process.terminate()
    pause(after)
    answer = site.call(path, connection=connection, **headers)
    assert process.wait(GRACE_SECONDS) == 0
    return answer, endpoint


def assert_refused(answer, endpoint):
    """The request has not run, and another gateway can take it soon."""
    assert (answer.status, endpoint.requests) == (503, ())
    problem = json.loads(answer.body)
    assert (problem["code"], problem["outcome"]) == ("leaving", "not_run")
    assert float(answer.headers["retry-after"]) <= RETRY_AFTER_SECONDS


@pytest.mark.parametrize("path", ["/charge/", "/once/"])
def test_a_request_that_must_not_be_repeated_and_may_outlast_the_stop_is_refused(
    long_site, path
):
    answer, endpoint = call_in_a_stop(
        long_site, path, script=send_stream, Bilberryring_Deadline_Ms=LONG_MS
    )
    assert_refused(answer, endpoint)


def test_a_request_that_must_not_be_repeated_and_ends_in_the_stop_is_served(long_site):
    answer, endpoint = call_in_a_stop(
        long_site, "/charge/", after=1.0, Bilberryring_Deadline_Ms="3500"
    )
    assert (answer.status, len(endpoint.requests)) == (200, 1)


def test_a_lookup_in_a_stop_has_a_deadline_before_its_end(long_site):
    answer, endpoint = call_in_a_stop(
        long_site, "/look/", Bilberryring_Deadline_Ms=LONG_MS
    )
    assert answer.status == 200
    (request,) = endpoint.requests
    left_ms = int(request.headers["bilberryring-deadline-ms"])
    assert left_ms <= (GRACE_SECONDS - 0.5) * 1_000


@pytest.mark.parametrize(
    ("tokens", "is_served"), [("1000,80", True), ("1000,20000", False)]
)
def test_a_prompt_in_a_stop_is_served_only_if_its_answer_is_predicted_to_end_in_it(
    long_site, tokens, is_served
):
    answer, endpoint = call_in_a_stop(
        long_site,
        "/chat/",
        script=send_stream,
        Bilberryring_Deadline_Ms=LONG_MS,
        Bilberryring_Token_Usage=tokens,
    )
    if is_served:
        assert (answer.status, answer.body) == (200, event(1) + event(2))
        assert not answer.is_cut
    else:
        assert_refused(answer, endpoint)
