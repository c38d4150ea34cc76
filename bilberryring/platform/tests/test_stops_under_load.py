"""Callers that go on until a stopped gateway is gone: what is passed on is answered."""

import time

import msgspec
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
from bilberryring.standins.stop_callers import StopCallers, wait_until_moment
from bilberryring.telemetry import read_endings
from bilberryring.testing.processes import pause

PROMISES_NOT_RUN = (408, 421, 429, 503)
BALANCER_SECONDS = 3.0
"""Seconds after the signal for which a stream may still be at work at the end."""
LOSS_SLACK_SECONDS = 0.2
"""Seconds after its last byte in which the connection of a request that is not passed
on may end without an answer."""
LONG_MS = 20_000
START_SECONDS = 1.0
"""Seconds before the signal at which the callers begin."""


def long_routes(service=PLAIN_SERVICE, model=MODEL_SERVICE):
    return [
        make_route("/look/", "idempotent", service, timeout_ms=LONG_MS),
        make_route("/charge/", "non_idempotent", service, timeout_ms=LONG_MS),
        make_route("/chat/", "streaming", model, timeout_ms=LONG_MS),
    ]


class Stop:
    """One stop of a gateway: its callers and endpoints."""

    def __init__(self, grace):
        self.grace = grace
        self.site = GatewaySite(grace=grace).start()
        self.site.publish(make_configuration(routes=long_routes()))
        self.stop_at = 0.0
        self.endpoints = []

    @property
    def ends_at(self):
        """The moment at which what is in progress gets an answer."""
        return self.stop_at + self.grace - 0.7

    def run(self, script, *, deadline_ms, beside=()):
        """Stop the gateway under load; `beside` are pairs of a moment and an action."""
        for service in (PLAIN_SERVICE, MODEL_SERVICE):
            self.endpoints.append(
                self.site.add_endpoint(f"{service}-1", script, service=service)
            )
        self.site.start_gateway()
        process = self.site.process("gateway-1")
        callers = StopCallers(
            site=self.site,
            moments=[-0.5 + 0.5 * n for n in range(int(2 * self.grace) + 1)],
            deadline_ms=deadline_ms,
        )
        callers.start()
        self.stop_at = time.monotonic() + START_SECONDS
        callers.begin(self.stop_at)
        for moment, act in sorted([*beside, (0.0, process.terminate)], key=moment_of):
            wait_until_moment(self.stop_at + moment)
            act()
        wait_until_moment(self.stop_at + self.grace)
        # As the platform does; a process that has answered all may still be exiting.
        if process.is_running:
            process.kill()
        callers.join()
        return callers.requests

    def check(self, requests):
        """Check that all that was passed on was answered, once and truly."""
        runs = [
            request.request_id
            for endpoint in self.endpoints
            for request in endpoint.requests
        ]
        begun_streams = set()
        for request in requests:
            n_runs = runs.count(request.request_id)
            answer = request.answer
            if answer.status in PROMISES_NOT_RUN:
                assert n_runs == 0, request
            if request.path == "/charge/":
                assert n_runs <= 1, request
            if answer.is_whole:
                continue
            if not n_runs:
                is_in_time = request.closed_after <= LOSS_SLACK_SECONDS
                assert is_in_time or request.is_behind_cut, request
                continue
            assert request.path == "/chat/", request
            assert answer.status == 200, request
            assert request.sent_at <= BALANCER_SECONDS, request
            begun_streams.add(request.request_id)
        endings = read_endings(map(_encode_line, self.site.log_events()))
        assert not endings.unended
        assert not endings.repeated
        assert not endings.unanswered
        assert set(endings.cut) <= begun_streams
        assert self.site.log_events(event="drain_finished")
        assert not self.site.log_events(event="internal_fault")


def _encode_line(line):
    return msgspec.json.encode(line).decode()


def moment_of(pair):
    return pair[0]


@pytest.fixture(params=[6.0, 8.0], ids=["grace6", "grace8"])
def stop(request):
    stop = Stop(request.param)
    yield stop
    stop.site.stop()


@pytest.fixture
def short_stop():
    stop = Stop(6.0)
    yield stop
    stop.site.stop()


def is_prompt(request):
    return request.target.startswith("/chat/")


def answer_after(seconds):
    """Return a script that answers so late; streams send events meanwhile."""

    def script(request, connection):
        if not is_prompt(request):
            pause(seconds)
            answer_all(request, connection)
            return
        connection.sendall(stream_head(request.request_id))
        for number in range(1, 5):
            connection.sendall(chunk(event(number)))
            pause(seconds / 4)
        connection.sendall(chunk(b""))

    return script


def silent_until(stop, seconds_after_end, *, silence):
    """Return a script that is silent once, until a moment near the end of a stop."""

    def script(request, connection):
        goes_on_at = stop.ends_at + seconds_after_end
        if is_prompt(request):
            connection.sendall(stream_head(request.request_id) + chunk(event(1)))
        while time.monotonic() < goes_on_at - silence:
            pause(0.1)
            if is_prompt(request):
                connection.sendall(chunk(event(1)))
        wait_until_moment(goes_on_at)
        if is_prompt(request):
            connection.sendall(chunk(event(2)) + chunk(b""))
        else:
            answer_all(request, connection)

    return script


@pytest.mark.parametrize("run_seconds", [0.4, 2.0, 4.0])
@pytest.mark.parametrize("deadline_ms", [4_000, LONG_MS])
def test_requests_that_run_for_as_long_or_longer_than_the_stop(
    stop, run_seconds, deadline_ms
):
    stop.check(stop.run(answer_after(run_seconds), deadline_ms=deadline_ms))


@pytest.mark.parametrize("silence", [1.2, 1.6, 2.2])
@pytest.mark.parametrize("goes_on", [-0.3, 0.6], ids=["before", "after"])
def test_an_endpoint_that_is_silent_near_the_end_of_the_stop(stop, silence, goes_on):
    script = silent_until(stop, goes_on, silence=silence)
    stop.check(stop.run(script, deadline_ms=LONG_MS))


CHANGES = {
    "route": {"routes": long_routes(service=MODEL_SERVICE, model=PLAIN_SERVICE)},
    "idle_limit": {"limits": {"idle_timeout_ms": 300}},
    "key": {"tenants": [{"name": "others", "api_keys": ["key-2"], "priority": 1}]},
    "service": {
        "routes": long_routes()[:2],
        "services": [{"name": PLAIN_SERVICE, "max_connections": 100}],
    },
}


@pytest.mark.parametrize("offset", [-0.5, -0.1, 0.0, 0.5])
@pytest.mark.parametrize("change", CHANGES)
def test_a_configuration_beside_the_stop(short_stop, change, offset):
    configuration = make_configuration(
        2, **({"routes": long_routes()} | CHANGES[change])
    )
    beside = [(offset, lambda: short_stop.site.publish(configuration))]
    script = answer_after(1.0)
    short_stop.check(short_stop.run(script, deadline_ms=4_000, beside=beside))


@pytest.mark.parametrize("offset", [-0.2, 0.0, 0.2])
def test_reloads_and_a_second_signal_beside_the_stop(short_stop, offset):
    def reload():
        short_stop.site.process("gateway-1").send_sighup()

    def terminate():
        short_stop.site.process("gateway-1").terminate()

    beside = [(offset, reload), (offset, reload), (0.1, terminate)]
    script = answer_after(1.0)
    short_stop.check(short_stop.run(script, deadline_ms=4_000, beside=beside))
