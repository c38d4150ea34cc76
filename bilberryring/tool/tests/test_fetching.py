"""Queries of processes that answer in parts, late, wrongly or not at all."""

import selectors
import socket
import threading
import time

import pytest

from bilberryring.standins.scripted_endpoint import ScriptedEndpoint
from bilberryring.tool.fetching import FetchFailure, fetch_all

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
TIMEOUT_SECONDS = 0.5
PART_INTERVAL_SECONDS = 0.05


@pytest.fixture
def serve():
    endpoints = []

    def start(script):
        endpoints.append(ScriptedEndpoint(script=script))
        return endpoints[-1]

    yield start
    for endpoint in endpoints:
        endpoint.close()


def answer(content: bytes):
    return lambda request, connection: connection.sendall(content)


def drip(request, connection):
    """Send one byte after another, for longer than the timeout."""
    for byte in HEAD + b"body":
        connection.sendall(bytes((byte,)))
        time.sleep(PART_INTERVAL_SECONDS)


def fetch(*addresses, max_parallel=8):
    return fetch_all(
        addresses, path="/status", timeout=TIMEOUT_SECONDS, max_parallel=max_parallel
    )


def test_answers_come_in_the_order_of_the_addresses(serve):
    addresses = [serve(answer(HEAD + b"%04d" % n)).address for n in range(12)]
    assert fetch(*addresses, max_parallel=5) == [b"%04d" % n for n in range(12)]


def test_an_answer_in_parts_is_joined(serve):
    def script(request, connection):
        assert request.target == "/status"
        for part in (HEAD[:9], HEAD[9:] + b"bo", b"dy"):
            connection.sendall(part)
            time.sleep(PART_INTERVAL_SECONDS)

    assert fetch(serve(script).address) == [b"body"]


def test_an_answer_without_a_length_ends_with_its_connection(serve):
    def script(request, connection):
        connection.sendall(b"HTTP/1.1 200 OK\r\n\r\nbody")
        connection.shutdown(socket.SHUT_RDWR)

    assert fetch(serve(script).address) == [b"body"]


@pytest.mark.parametrize(
    ("content", "detail"),
    [
        (b"HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nbody", "HTTP status 404"),
        (b"no answer in the protocol\r\n\r\n", "illegal status line"),
    ],
)
def test_a_wrong_answer_is_a_failure(serve, content, detail):
    (result,) = fetch(serve(answer(content)).address)
    assert isinstance(result, FetchFailure)
    assert detail in result.detail


def test_a_cut_answer_is_a_failure(serve):
    def script(request, connection):
        connection.sendall(HEAD + b"bo")
        connection.shutdown(socket.SHUT_RDWR)

    (result,) = fetch(serve(script).address)
    assert isinstance(result, FetchFailure)


def test_an_answer_that_drips_ends_at_the_timeout(serve):
    started_at = time.monotonic()
    assert fetch(serve(drip).address) == [FetchFailure(detail="timed out")]
    assert TIMEOUT_SECONDS <= time.monotonic() - started_at < 2 * TIMEOUT_SECONDS


def test_an_answer_that_arrived_in_time_counts_however_late_it_is_read(
    serve, monkeypatch
):
    answered = threading.Event()

    def script(request, connection):
        connection.sendall(HEAD + b"body")
        answered.set()

    first, second = serve(script), serve(lambda request, connection: None)
    select = selectors.DefaultSelector.select
    held = []

    def select_late(selector, timeout):
        if first.requests and not held:
            answered.wait()
            time.sleep(2 * TIMEOUT_SECONDS)
            held.append(timeout)
        return select(selector, timeout)

    monkeypatch.setattr(selectors.DefaultSelector, "select", select_late)
    assert fetch(first.address, second.address) == [
        b"body",
        FetchFailure(detail="timed out"),
    ]
    assert held


@pytest.mark.parametrize("address", ["127.0.0.1:port", "127.0.0.1:99999", ":80", ""])
def test_a_malformed_address_is_a_failure_that_names_the_remedy(address):
    (result,) = fetch(address)
    assert "Remedy: write it as host:port" in result.detail


def test_a_refused_connection_is_a_failure_beside_answers(serve):
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        port = bound.getsockname()[1]
        refused, answered = fetch(
            f"127.0.0.1:{port}", serve(answer(HEAD + b"body")).address
        )
    assert "refused" in refused.detail
    assert answered == b"body"
