"""Requests of callers that are malformed, or that come without end."""

import contextlib
import socket
import threading
from collections.abc import Callable, Iterable, Iterator

MAX_SENT_BYTES = 64 * 1024 * 1024

Head = Callable[..., bytes]
"""Returns the head of a request with the given header lines added."""

ENDLESS_REQUESTS = {
    "headers": 431,
    "header line": 431,
    "request line": 431,
    "chunked body": 413,
    "chunk extension": 400,
    "body": 413,
}
"""The kinds of requests without end, and the status of the answer to each."""

UNCLEAR_LENGTHS = (
    ("Content-Length: -1",),
    ("Content-Length: 1", "Content-Length: 2"),
    ("Content-Length: 1x",),
    ("Content-Length: 5", "Transfer-Encoding: chunked"),
    ("Transfer-Encoding: chunked, gzip",),
    ("X Y: z",),
)
"""Header lines with which the length of a request is not clear."""


def endless_request(kind: str, *, target: bytes, head: Head) -> Iterator[bytes]:
    """Return the parts of a request, which ends after `MAX_SENT_BYTES` only."""
    first, block = {
        "headers": (
            b"POST %s HTTP/1.1\r\n" % target,
            b"X-Filler: some text\r\n" * 500,
        ),
        "header line": (
            b"POST %s HTTP/1.1\r\nX-Filler: " % target,
            b"x" * 65_536,
        ),
        "request line": (b"POST " + target, b"x" * 65_536),
        "chunked body": (head("Transfer-Encoding: chunked"), _chunk_block(65_536)),
        "chunk extension": (
            head("Transfer-Encoding: chunked") + b"1;",
            b"x" * 8_192,
        ),
        "body": (head("Content-Length: 9999999999"), b"x" * 65_536),
    }[kind]
    return _repeat(first, block)


def send_all(caller: socket.socket, parts: Iterable[bytes]) -> tuple[int, bytes]:
    """Send parts until the connection ends; return the bytes sent and the answer."""
    answer = []
    reader = threading.Thread(target=lambda: answer.append(read_all(caller)))
    reader.start()
    n_sent = 0
    with contextlib.suppress(OSError):
        for part in parts:
            caller.sendall(part)
            n_sent += len(part)
            if not reader.is_alive():
                break
    reader.join()
    return n_sent, answer[0]


def read_all(caller: socket.socket) -> bytes:
    """Return what is received until the connection ends."""
    received = b""
    with contextlib.suppress(OSError):
        while data := caller.recv(65_536):
            received += data
    return received


def _repeat(first: bytes, block: bytes) -> Iterator[bytes]:
    yield first
    for _ in range(MAX_SENT_BYTES // len(block)):
        yield block


def _chunk_block(size: int) -> bytes:
    return b"%x\r\n%s\r\n" % (size, b"x" * size)
