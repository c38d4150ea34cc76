"""Answers whose end the endpoint marks by the end of its connection.

A gateway or an endpoint that ends in their middle must not end them like a complete
answer, and a sound end must not look cut: neither to a caller that is connected to the
gateway, nor to one behind a balancer that closes its connections in the ordinary way
however the gateway's connection ended. Without a length or chunks, as in answers to
callers that speak HTTP/1.0, only a reset tells, and only a direct caller sees it.
"""

import itertools
import socket
from dataclasses import dataclass

import pytest

from bilberryring.process.settings import host_and_port
from bilberryring.standins.gateway_site import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    GatewaySite,
    make_configuration,
    make_route,
    request_headers,
)
from bilberryring.standins.scripted_endpoint import (
    STAMP_HEADER,
    chunk,
    event,
    stream_head,
)
from bilberryring.testing.processes import pause, wait_until
from bilberryring.testing.soak_fleet import SoakRelay

EVENTS = [event(number) for number in range(1, 5)]
EVENT_SECONDS = 0.1
GRACE_SECONDS = 3.0
END_SECONDS = 10.0
LARGE_BODY = b"x" * (12 * 1024 * 1024)
"""More than the kernel buffers of a connection hold."""


def unframed_head(request):
    fields = f"Bilberryring-Request-Id: {request.request_id}\r\n{STAMP_HEADER}\r\n"
    return f"HTTP/1.1 200 OK\r\n{fields}\r\n".encode()


@dataclass(slots=True, kw_only=True)
class StreamScript:
    """Sends events until `is_held` is set; then waits, or ends if `is_crashing`."""

    is_framed: bool
    endpoint: object = None
    n_held: int = len(EVENTS)
    is_crashing: bool = False
    is_going_on: bool = True

    def __call__(self, request, connection):
        if request.headers.get("last-event-id"):
            return
        frame = chunk if self.is_framed else bytes
        head = stream_head if self.is_framed else None
        connection.sendall(head(request.request_id) if head else unframed_head(request))
        for item in EVENTS[: self.n_held]:
            connection.sendall(frame(item))
            pause(EVENT_SECONDS)
        if self.is_crashing:
            self.endpoint.stop_listening()
        elif self.n_held < len(EVENTS):
            while self.is_going_on:
                pause(EVENT_SECONDS)
            return
        elif self.is_framed:
            connection.sendall(chunk(b""))
        connection.shutdown(socket.SHUT_WR)


class SocketCaller:
    """A caller that reads an answer and tells how its connection ended."""

    def __init__(self, connection, path, *, version="1.1"):
        self._socket = connection
        self._version = version
        fields = [f"{name}: {text}" for name, text in request_headers().items()]
        lines = [f"POST {path} HTTP/{version}", *fields, "Content-Length: 1", "", "x"]
        self._socket.sendall("\r\n".join(lines).encode())
        self.received = b""

    def read_until(self, text):
        while text not in self.received:
            data = self._socket.recv(65_536)
            assert data, "the answer ended"
            self.received += data

    def read_to_end(self):
        """Return whether the answer looks complete (RFC 9112, section 6.3)."""
        try:
            while data := self._socket.recv(65_536):
                self.received += data
        except ConnectionResetError:
            return False
        head, _, body = self.received.partition(b"\r\n\r\n")
        if b"transfer-encoding: chunked" in head.lower():
            return body.endswith(b"0\r\n\r\n")
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                return len(body) == int(line.partition(b":")[2])
        return bool(head)


@pytest.fixture
def site():
    site = GatewaySite(grace=GRACE_SECONDS).start()
    once = make_route("/once/", "streaming", MODEL_SERVICE, stream_resume=False)
    routes = [*make_configuration()["routes"], once]
    site.publish(make_configuration(routes=routes))
    yield site
    site.stop()


@pytest.fixture
def connect(request, site):
    """A function that connects a caller to the gateway, or to a balancer before it.

    The balancer closes its connections in the ordinary way, whatever ended the other
    one, so it hides a reset.
    """
    if request.param == DIRECT:
        return site.caller_socket
    process = site.start_process("balancer", ["bilberryring.testing.main"])
    relay = SoakRelay(address=f"127.0.0.1:{process.listening_port()}")
    gateway = site.connect()
    address = relay.add("callers", f"{gateway.host}:{gateway.port}")
    return lambda: socket.create_connection(host_and_port(address), timeout=END_SECONDS)


def start(site, script, service=MODEL_SERVICE):
    endpoint = site.add_endpoint("a", script, service=service)
    site.start_gateway()
    return endpoint


def kill(gateway):
    gateway.kill()


def kill_frozen(gateway):
    gateway.suspend()
    pause(0.2)
    gateway.kill()


def stop(gateway):
    """The answer does not end within the grace."""
    gateway.terminate()
    gateway.wait(GRACE_SECONDS + 2.0)


ENDS = [kill, kill_frozen, stop]
ANSWERS = [
    pytest.param("/once/", False, "1.1", id="unframed"),
    pytest.param("/once/", False, "1.0", id="unframed, HTTP 1.0"),
    pytest.param("/once/", True, "1.0", id="chunks, HTTP 1.0"),
    pytest.param("/once/", True, "1.1", id="chunks"),
    pytest.param("/chat/", False, "1.0", id="unframed and resumable, HTTP 1.0"),
    pytest.param("/chat/", True, "1.0", id="chunks and resumable, HTTP 1.0"),
]


DIRECT = "direct"
BEHIND_BALANCER = "balancer"
NETWORK_PATHS = [DIRECT, BEHIND_BALANCER]
VISIBLE_ENDS = [
    *itertools.product([DIRECT], ["1.1", "1.0"]),
    (BEHIND_BALANCER, "1.1"),
]
"""Network paths and versions with which a caller can tell that a stream broke off.

An answer to HTTP/1.0 without a length has no end mark but the end of its connection.
"""


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize(
    ("connect", "path", "is_framed", "version"),
    [
        pytest.param(connect, *answer.values, id=f"{connect}, {answer.id}")
        for connect, answer in itertools.product(NETWORK_PATHS, ANSWERS)
        if (connect, answer.values[2]) in VISIBLE_ENDS
    ],
    indirect=["connect"],
)
def test_a_gateway_that_ends_never_completes_a_stream(
    site, connect, end, path, is_framed, version
):
    # Guards against connections that the end of a process closes like an answer's end.
    script = StreamScript(is_framed=is_framed, n_held=2)
    start(site, script)
    caller = SocketCaller(connect(), path, version=version)
    caller.read_until(b"piece 2")
    end(site.process("gateway-1"))
    assert not caller.read_to_end()
    script.is_going_on = False


@pytest.mark.parametrize("connect", NETWORK_PATHS, indirect=True)
@pytest.mark.parametrize(("path", "is_framed", "version"), [*ANSWERS[:4], ANSWERS[5]])
def test_a_sound_stream_looks_complete(site, connect, path, is_framed, version):
    start(site, StreamScript(is_framed=is_framed))
    caller = SocketCaller(connect(), path, version=version)
    assert caller.read_to_end()
    assert b"piece 4" in caller.received


@pytest.mark.parametrize(("connect", "version"), VISIBLE_ENDS, indirect=["connect"])
def test_an_endpoint_that_crashes_after_an_event_does_not_complete_a_stream(
    site, connect, version
):
    # Guards against a crash whose connections close in the same way as a sound end.
    script = StreamScript(is_framed=False, n_held=2, is_crashing=True)
    script.endpoint = start(site, script)
    caller = SocketCaller(connect(), "/once/", version=version)
    assert not caller.read_to_end()
    assert b"piece 2" in caller.received


@pytest.mark.parametrize("is_removed", [False, True], ids=["draining", "removed"])
@pytest.mark.parametrize("path", ["/once/", "/charge/"])
def test_the_last_answer_of_an_endpoint_that_leaves_is_passed_on(
    site, path, is_removed
):
    # Guards against planned ends of endpoints that are taken for crashes.
    service = MODEL_SERVICE if path == "/once/" else PLAIN_SERVICE

    def answer_and_exit(request, connection):
        if is_removed:
            site.remove("servers/a")
        else:
            site.announce("a", endpoint.address, service=service, state="draining")
        connection.sendall(unframed_head(request) + b"".join(EVENTS))
        pause(5 * EVENT_SECONDS)
        endpoint.stop_listening()
        connection.shutdown(socket.SHUT_WR)

    endpoint = start(site, answer_and_exit, service)
    answer = site.call(path)
    assert (answer.status, answer.is_cut) == (200, False)
    assert answer.body == b"".join(EVENTS)


@pytest.mark.parametrize("path", ["/look/", "/charge/"])
def test_an_endpoint_that_crashes_in_an_unframed_body_does_not_complete_it(site, path):
    def crash(request, connection):
        connection.sendall(unframed_head(request) + b"the first half")
        pause(EVENT_SECONDS)
        endpoint.stop_listening()
        connection.shutdown(socket.SHUT_WR)

    endpoint = start(site, crash, PLAIN_SERVICE)
    assert site.call(path).status == 502


@pytest.mark.parametrize("connect", NETWORK_PATHS, indirect=True)
@pytest.mark.parametrize("end", [kill, kill_frozen])
def test_a_gateway_that_ends_never_completes_an_unframed_body(site, connect, end):
    # Guards against the same while a caller reads a body slowly.
    def send_body(request, connection):
        connection.sendall(unframed_head(request) + LARGE_BODY)
        connection.shutdown(socket.SHUT_WR)

    start(site, send_body, PLAIN_SERVICE)
    caller = SocketCaller(connect(), "/look/")
    caller.read_until(b"xxx")
    wait_until(
        lambda: site.log_events(event="request_finished"), END_SECONDS, "the answer"
    )
    end(site.process("gateway-1"))
    assert not caller.read_to_end()


@pytest.mark.parametrize("connect", NETWORK_PATHS, indirect=True)
def test_an_unframed_body_that_is_read_slowly_arrives_whole(site, connect):
    # Guards against a reset that discards the end of an answer.
    def send_body(request, connection):
        connection.sendall(unframed_head(request) + LARGE_BODY)
        connection.shutdown(socket.SHUT_WR)

    start(site, send_body, PLAIN_SERVICE)
    caller = SocketCaller(connect(), "/look/")
    caller.read_until(b"xxx")
    pause(1.0)
    assert caller.read_to_end()
    assert caller.received.endswith(b"\r\n\r\n" + LARGE_BODY)
