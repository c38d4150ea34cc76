"""An endpoint on plain sockets whose behaviour is a function that a test passes.

The script is called with each request and the connection on which it arrived. It
writes the answer to the connection itself, so it can also write a part or nothing.
"""

import contextlib
import os
import socket
import threading
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime

from bilberryring.standins.loopback import BACKLOG, process_network

STAMP_HEADER = "Bilberryring-Response-Stamp: s-1"
NOT_EXECUTED_HEADER = "Bilberryring-Not-Executed: 1"
MAX_LINE_BYTES = 65_536
QUEUE_FILLERS = 4
"""Connections that fill a queue of length 0, which holds one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedRequest:
    """A request as it arrived, with header names in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The request id from the headers."""
        return self.headers["bilberryring-request-id"]


Script = Callable[[ReceivedRequest, socket.socket], None]


class TimedScript:
    """A script that records when it has sent something.

    Scripts run in the process of their test. On a busy machine that process may be
    late, and then it is the endpoint that is silent, for as long as this one says.
    """

    def __init__(self, script: Script):
        self._script = script
        self._sent_at: defaultdict[str, list[float]] = defaultdict(list)

    def __call__(self, request: ReceivedRequest, connection: socket.socket) -> None:
        sent_at = self._sent_at[request.request_id]
        self._script(request, _TimedConnection(connection, sent_at))

    def silence_seconds(self, line: dict) -> float:
        """Return for how long nothing was sent before an `attempt_silent` log line."""
        at = datetime.fromisoformat(line["time"]).timestamp()
        sent_ago = (at - sent_at for sent_at in self._sent_at[line["request"]])
        return min((line["sent_ago"], *(ago for ago in sent_ago if ago >= 0.0)))


class _TimedConnection:
    def __init__(self, connection: socket.socket, sent_at: list[float]):
        self._connection = connection
        self._sent_at = sent_at

    def sendall(self, data: bytes) -> None:
        self._connection.sendall(data)
        self._sent_at.append(time.time())


class ScriptedEndpoint:
    """Listens on an address of its own and runs the script on each request.

    Each connection is served by its own thread. With `listener` that socket is used.
    """

    def __init__(self, *, script: Script, listener: socket.socket | None = None):
        self._script = script
        self._listener = listener or process_network().listen()
        self._seen: list[ReceivedRequest] = []
        self._connections: list[socket.socket] = []
        self._is_closed = False
        self._is_held = threading.Event()
        self._may_accept = threading.Event()
        self._may_accept.set()
        self._fillers: list[socket.socket] = []
        self._acceptor = threading.Thread(target=self._accept, daemon=True)
        self._acceptor.start()

    @property
    def address(self) -> str:
        """The `host:port` on which the endpoint listens."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    @property
    def requests(self) -> tuple[ReceivedRequest, ...]:
        """All requests that have arrived so far."""
        return tuple(self._seen)

    @property
    def connections(self) -> tuple[socket.socket, ...]:
        """All connections that were accepted, also closed ones."""
        return tuple(self._connections)

    def set_script(self, script: Script) -> None:
        """Use another script from the next request on."""
        self._script = script

    def hold_connections(self) -> None:
        """Accept no connection until `resume_connections`, and refuse none.

        The queue of new connections is full: the kernel drops further handshakes.
        """
        self._is_held.clear()
        self._may_accept.clear()
        # The acceptor takes one connection more, before the queue fills.
        self._fillers.append(socket.create_connection(self._listener.getsockname()))
        self._is_held.wait()
        self._listener.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())
            self._fillers.append(filler)

    def resume_connections(self) -> None:
        """Accept connections again, unless the endpoint listens no more."""
        with contextlib.suppress(OSError):
            self._listener.listen(BACKLOG)
        while self._fillers:
            self._fillers.pop().close()
        self._may_accept.set()

    def stop_listening(self) -> None:
        """Accept no new connections; the open ones stay open and silent.

        A connection that is being accepted is in `connections` afterwards.
        """
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._may_accept.set()
        self._acceptor.join()
        while self._fillers:
            self._fillers.pop().close()
        self._listener.close()

    def close(self) -> None:
        """Stop listening, reset the open connections and run no further request."""
        self._is_closed = True
        self.stop_listening()
        for connection in self._connections:
            reset(connection)

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            if not self._may_accept.is_set():
                self._is_held.set()
                self._may_accept.wait()
            self._connections.append(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            stream = connection.makefile("rb")
            while (request := _read_request(stream)) is not None:
                if self._is_closed:
                    return
                self._seen.append(request)
                self._script(request, connection)


def _read_request(stream) -> ReceivedRequest | None:
    request_line = stream.readline(MAX_LINE_BYTES).decode("latin-1").split()
    if len(request_line) != 3:
        return None
    headers = {}
    while (
        header_line := stream.readline(MAX_LINE_BYTES).decode("latin-1").strip()
    ) != "":
        name, _, value = header_line.partition(":")
        headers[name.lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", "0")))
    return ReceivedRequest(
        method=request_line[0], target=request_line[1], headers=headers, body=body
    )


def whole_answer(
    request_id: str, body: bytes, *, status: str = "200 OK", extra: str = STAMP_HEADER
) -> bytes:
    """Return a complete answer with a `Content-Length`.

    `extra` is one more header line, or several joined by CRLF.
    """
    head = f"HTTP/1.1 {status}\r\nBilberryring-Request-Id: {request_id}\r\n"
    head += f"{extra}\r\n" if extra else ""
    head += f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def stream_head(request_id: str) -> bytes:
    """Return the head of an event stream in chunked transfer coding."""
    return (
        f"HTTP/1.1 200 OK\r\nBilberryring-Request-Id: {request_id}\r\n"
        f"{STAMP_HEADER}\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()


def unmarked_stream_head(request_id: str) -> bytes:
    """Return the head of an event stream that ends with its connection."""
    return (
        f"HTTP/1.1 200 OK\r\nBilberryring-Request-Id: {request_id}\r\n"
        f"{STAMP_HEADER}\r\nContent-Type: text/event-stream\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Return the data as one chunk; a chunk without data ends the stream."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int) -> bytes:
    """Return the server-sent event with a number as its id."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def reset(connection: socket.socket) -> None:
    """Close a connection so that its peer gets a TCP reset.

    A thread that waits for data of the connection would keep it open: the end of the
    receiving side, of which the peer learns nothing, ends that wait.
    """
    with contextlib.suppress(OSError):
        linger_zero = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_zero)
        with contextlib.suppress(OSError):
            connection.shutdown(socket.SHUT_RD)
        os.close(connection.detach())


def answer_all(request: ReceivedRequest, connection: socket.socket) -> None:
    """Answer with status 200 and `ok` followed by the body of the request."""
    connection.sendall(whole_answer(request.request_id, b"ok " + request.body))
