"""An endpoint whose behaviour a test scripts, over plain sockets.

A script is called with each request that arrives and the connection that it
arrived on; it writes what it likes, or nothing.
"""

import contextlib
import os
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass

STAMP = "Bilberryring-Response-Stamp: s-1"
NOT_EXECUTED = "Bilberryring-Not-Executed: 1"
MAX_HEAD = 65_536


@dataclass(frozen=True, slots=True, kw_only=True)
class SeenRequest:
    """A request as it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The caller's id for the request."""
        return self.headers["bilberryring-request-id"]


Script = Callable[[SeenRequest, socket.socket], None]


class ScriptedEndpoint:
    """Listens on a loopback port; each connection has a thread."""

    def __init__(self, *, script: Script, host: str = "127.0.0.1"):
        self._script = script
        self._listener = socket.create_server((host, 0))
        self._seen: list[SeenRequest] = []
        self._connections: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Where the endpoint listens."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    @property
    def seen(self) -> tuple[SeenRequest, ...]:
        """The requests that arrived so far."""
        return tuple(self._seen)

    @property
    def connections(self) -> tuple[socket.socket, ...]:
        """The connections that were accepted."""
        return tuple(self._connections)

    def set_script(self, script: Script) -> None:
        """Behave in another way from the next request on."""
        self._script = script

    def close(self) -> None:
        """Refuse connections and reset the open ones."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in self._connections:
            reset(connection)

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._connections.append(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            stream = connection.makefile("rb")
            while (request := _read_request(stream)) is not None:
                self._seen.append(request)
                self._script(request, connection)


def _read_request(stream) -> SeenRequest | None:
    line = stream.readline(MAX_HEAD).decode("latin-1").split()
    if len(line) != 3:
        return None
    headers = {}
    while (raw := stream.readline(MAX_HEAD).decode("latin-1").strip()) != "":
        name, _, value = raw.partition(":")
        headers[name.lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", "0")))
    return SeenRequest(method=line[0], target=line[1], headers=headers, body=body)


def whole_answer(
    request_id: str, body: bytes, *, status: str = "200 OK", extra: str = STAMP
) -> bytes:
    """Return an answer with a length."""
    head = f"HTTP/1.1 {status}\r\nBilberryring-Request-Id: {request_id}\r\n"
    head += f"{extra}\r\n" if extra else ""
    head += f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def stream_head(request_id: str) -> bytes:
    """Return the head of a stream in chunks."""
    return (
        f"HTTP/1.1 200 OK\r\nBilberryring-Request-Id: {request_id}\r\n{STAMP}\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Return one chunk; an empty one ends the stream."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def reset(connection: socket.socket) -> None:
    """Close a connection with a reset."""
    with contextlib.suppress(OSError):
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        os.close(connection.detach())


def answer_all(request: SeenRequest, connection: socket.socket) -> None:
    """Answer every request with its own id."""
    connection.sendall(whole_answer(request.request_id, b"ok " + request.body))
