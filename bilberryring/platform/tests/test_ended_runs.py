"""Endpoints that fall silent with a request and start again without it."""

import json
import threading
import time

import pytest

from bilberryring.standins.gateway_site import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    make_configuration,
    make_route,
)
from bilberryring.standins.scripted_endpoint import (
    chunk,
    event,
    stream_head,
    whole_answer,
)
from bilberryring.testing.processes import pause, wait_until

LARGE = "340000,800"
"""Tokens of a prompt that needs the memory of several engines."""
FREE_SECONDS = 4.0
"""Seconds after the end of the request in which its memory must be free."""
DEADLINE_MS = "9000"
BORN_MS = 1_700_000_000_000


class Engines:
    """Engines of which the one that gets the prompt falls silent after `n_events`."""

    def __init__(self, site, *, n_events):
        self._n_events = n_events
        self.lead = None
        self.orders = []
        self.names = {}
        self.endpoints = {}
        for number in range(8):
            name = f"e{number}"
            self.endpoints[name] = site.add_endpoint(
                name, self._script, service=MODEL_SERVICE, born=BORN_MS
            )
            self.names[self.endpoints[name].address] = name

    def _script(self, request, connection):
        if request.target == "/v1/order":
            order = json.loads(request.body) | {"at": time.monotonic()}
            self.orders.append(order)
            connection.sendall(whole_answer("", b'{"free":1}', extra=""))
            return
        self.lead = request.headers["bilberryring-target-instance"]
        if self._n_events:
            connection.sendall(stream_head(request.request_id))
        for number in range(self._n_events):
            connection.sendall(chunk(event(number + 1)))

    def ids(self, operation):
        return {order["id"] for order in self.orders if order["op"] == operation}


@pytest.fixture
def once_site(site):
    once = make_route("/once/", "streaming", MODEL_SERVICE, stream_resume=False)
    routes = [*make_configuration()["routes"], once]
    site.publish(make_configuration(version=2, routes=routes))
    return site


def call_in_background(site, path, **headers):
    answers = []

    def call():
        answer = site.call(path, Bilberryring_Deadline_Ms=DEADLINE_MS, **headers)
        answers.append((time.monotonic(), answer))

    thread = threading.Thread(target=call, daemon=True)
    thread.start()
    return thread, answers


@pytest.mark.parametrize("is_lapsed", [False, True], ids=["listed", "removed before"])
@pytest.mark.parametrize("id_of_return", ["same", "new"])
@pytest.mark.parametrize("n_events", [0, 2])
def test_memory_is_released_when_the_lead_has_started_again(
    once_site, n_events, id_of_return, is_lapsed
):
    # Guards against memory that is renewed for a prompt that its engine has lost.
    site = once_site
    engines = Engines(site, n_events=n_events)
    site.start_gateway()
    thread, answers = call_in_background(site, "/once/", Bilberryring_Token_Usage=LARGE)
    wait_until(lambda: engines.lead, 3.0, "the prompt")
    pause(0.3)
    lead = engines.lead
    if is_lapsed:
        site.remove(f"servers/{lead}")
        pause(0.3)
    name = lead if id_of_return == "same" else f"{lead}-again"
    address = engines.endpoints[lead].address
    returned_at = time.monotonic()
    site.announce(name, address, service=MODEL_SERVICE, born=BORN_MS + 5_000)
    wait_until(
        lambda: engines.ids("release") >= engines.ids("reserve"),
        FREE_SECONDS,
        "the release of all memory",
    )
    thread.join(FREE_SECONDS)
    ended_at, answer = answers[0]
    assert ended_at - returned_at < FREE_SECONDS
    assert answer.is_cut or answer.status in (502, 503)


@pytest.mark.parametrize("path", ["/look/", "/charge/"])
def test_a_request_at_a_run_that_has_ended_is_tried_again_or_unknown(site, path):
    def script(request, connection):
        if request.headers["bilberryring-target-instance"] == "b":
            connection.sendall(whole_answer(request.request_id, b"ok"))

    silent = site.add_endpoint("a", script, service=PLAIN_SERVICE, born=BORN_MS)
    site.start_gateway()
    thread, answers = call_in_background(site, path)
    wait_until(lambda: silent.requests, 3.0, "the request")
    site.announce("b", silent.address, service=PLAIN_SERVICE, born=BORN_MS + 5_000)
    thread.join(3.0)
    _, answer = answers[0]
    assert answer.status == (200 if path == "/look/" else 502)


@pytest.mark.parametrize("born", [BORN_MS, BORN_MS - 5_000, 0])
def test_an_announcement_that_shows_no_later_run_ends_nothing(site, born):
    # Guards against entries that name an address twice, and against clock steps.
    def script(request, connection):
        pause(1.5)
        connection.sendall(whole_answer(request.request_id, b"ok"))

    slow = site.add_endpoint("a", script, service=PLAIN_SERVICE, born=BORN_MS)
    site.start_gateway()
    thread, answers = call_in_background(site, "/charge/")
    wait_until(lambda: slow.requests, 3.0, "the request")
    site.announce("b", slow.address, service=PLAIN_SERVICE, born=born)
    thread.join(3.0)
    assert answers[0][1].status == 200
    assert len(slow.requests) == 1


def test_an_answer_that_has_arrived_is_delivered_though_its_run_has_ended(site):
    # Guards against a connection that is aborted before it is read.
    answers_now = threading.Event()

    def script(request, connection):
        answers_now.wait(5.0)
        connection.sendall(whole_answer(request.request_id, b"ok"))

    endpoint = site.add_endpoint("a", script, service=PLAIN_SERVICE, born=BORN_MS)
    site.start_gateway()
    thread, answers = call_in_background(site, "/charge/")
    wait_until(lambda: endpoint.requests, 3.0, "the request")
    gateway = site.process("gateway-1")
    gateway.suspend()
    answers_now.set()
    site.announce("b", endpoint.address, service=PLAIN_SERVICE, born=BORN_MS + 5_000)
    pause(1.0)
    gateway.resume()
    thread.join(3.0)
    assert answers[0][1].status == 200


def test_connections_to_a_run_that_has_started_stay_when_the_earlier_entry_goes(site):
    # Guards against connections that are closed as those of another run.
    def script(request, connection):
        connection.sendall(whole_answer(request.request_id, b"ok"))

    endpoint = site.add_endpoint("a", script, service=PLAIN_SERVICE, born=BORN_MS)
    site.start_gateway()
    assert site.call("/look/").status == 200
    site.announce("b", endpoint.address, service=PLAIN_SERVICE, born=BORN_MS + 5_000)
    site.wait_for_standing("b", "ready")
    assert site.call("/look/").status == 200
    opened = set(endpoint.connections)
    assert len(opened) == 2
    site.remove("servers/a")
    site.wait_for_standing("a", "gone")
    assert site.call("/look/").status == 200
    assert set(endpoint.connections) == opened
