"""A scripted endpoint that is closed answers nothing and reads nothing any more."""

import socket
import threading
import time
from datetime import UTC, datetime

import pytest

from bilberryring.platform import names
from bilberryring.process.settings import host_and_port
from bilberryring.standins.scripted_endpoint import (
    ScriptedEndpoint,
    TimedScript,
    answer_all,
)
from bilberryring.testing.processes import pause, wait_until

REQUEST = b"GET / HTTP/1.1\r\n%s: a\r\nContent-Length: 1\r\n\r\nx" % names.REQUEST_ID
WAIT_SECONDS = 5.0
DELAY_SECONDS = 0.3


@pytest.fixture
def endpoint():
    endpoint = ScriptedEndpoint(script=answer_all)
    yield endpoint
    endpoint.close()


def connect(endpoint):
    address = host_and_port(endpoint.address)
    return socket.create_connection(address, timeout=WAIT_SECONDS)


def test_an_idle_connection_is_reset_without_a_further_request(endpoint):
    with connect(endpoint) as connection:
        connection.sendall(REQUEST)
        assert b"200 OK" in connection.recv(4096)
        pause()
        endpoint.close()
        with pytest.raises(ConnectionResetError):
            connection.recv(1)
    assert len(endpoint.requests) == 1


def delay_accept(endpoint, monkeypatch):
    """Let the endpoint's thread fall behind after it has accepted a connection.

    The result holds the callers' addresses from then on.
    """
    accept = endpoint._listener.accept
    accepted_from = []

    class Listener:
        def __getattr__(self, name):
            return getattr(listener, name)

        def accept(self):
            connection, address = accept()
            accepted_from.append(address)
            time.sleep(DELAY_SECONDS)
            return connection, address

    listener = endpoint._listener
    monkeypatch.setattr(endpoint, "_listener", Listener())
    return accepted_from


def test_a_connection_that_is_accepted_during_the_close_is_reset(endpoint, monkeypatch):
    accepted_from = delay_accept(endpoint, monkeypatch)
    # The thread may wait in the accept of the listener itself until the first comes.
    with connect(endpoint), connect(endpoint) as late:
        wait_until(
            lambda: late.getsockname() in accepted_from,
            WAIT_SECONDS,
            "the connection to be accepted",
        )
        endpoint.close()
        # The reset may have arrived before the request is sent.
        with pytest.raises(ConnectionResetError):
            late.sendall(REQUEST)
            late.recv(1)
    assert not endpoint.requests


def test_a_timed_script_says_for_how_long_it_had_sent_nothing():
    has_sent, may_go_on, has_ended = (threading.Event() for _ in range(3))

    def send_twice(request, connection):
        connection.sendall(b"a")
        has_sent.set()
        may_go_on.wait(WAIT_SECONDS)
        connection.sendall(b"b")
        has_ended.set()

    def silence_at(seconds, request="a"):
        time_text = datetime.fromtimestamp(seconds, UTC).isoformat()
        return script.silence_seconds(
            {"request": request, "time": time_text, "sent_ago": 5.0}
        )

    script = TimedScript(send_twice)
    endpoint = ScriptedEndpoint(script=script)
    began_at = time.time()
    with connect(endpoint) as connection:
        connection.sendall(REQUEST)
        assert has_sent.wait(WAIT_SECONDS)
        between = time.time()
        may_go_on.set()
        assert has_ended.wait(WAIT_SECONDS)
    ended_at = time.time()
    endpoint.close()
    margin = 0.001
    assert silence_at(began_at - 1.0) == 5.0
    assert silence_at(between) <= between - began_at + margin
    assert 1.0 - margin <= silence_at(ended_at + 1.0)
    assert silence_at(ended_at + 1.0) <= 1.0 + ended_at - between + margin
    assert silence_at(ended_at + 9.0) == 5.0
    assert silence_at(ended_at, request="b") == 5.0
