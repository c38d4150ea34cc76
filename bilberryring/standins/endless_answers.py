"""Answers that an endpoint sends without end, until its connection is closed."""

import threading
import time

from bilberryring.standins.scripted_endpoint import (
    STAMP_HEADER,
    chunk,
    stream_head,
)

BLOCK = b"x" * 65_536
MAX_SENT_BYTES = 64 * 1024 * 1024
"""Bytes after which an endpoint's connection must have been closed. A gateway's VM has
200 MB."""


class Endless:
    """Sends a prefix and then a block again and again, until it is closed."""

    def __init__(self, prefix, block=BLOCK, every=0.0):
        self.sent = 0
        self.is_closed = threading.Event()
        self._prefix = prefix
        self._block = block
        self._every = every

    def again(self):
        """Return one that has sent nothing yet."""
        return Endless(self._prefix, self._block, self._every)

    def __call__(self, request, connection):
        try:
            connection.sendall(self._prefix(request))
            while self.sent < 2 * MAX_SENT_BYTES:
                connection.sendall(self._block)
                self.sent += len(self._block)
                if self._every:
                    time.sleep(self._every)
        except OSError:
            self.is_closed.set()
            raise


def unending_head(request) -> bytes:
    """The start of a header line."""
    return b"HTTP/1.1 200 OK\r\nX-Filler: "


def unending_body(request) -> bytes:
    """A whole head without a length."""
    head = f"HTTP/1.1 200 OK\r\nBilberryring-Request-Id: {request.request_id}\r\n"
    return f"{head}{STAMP_HEADER}\r\n\r\n".encode()


def body_of_another_request(request) -> bytes:
    """A whole head with another request's id."""
    head = "HTTP/1.1 200 OK\r\nBilberryring-Request-Id: z\r\n"
    return f"{head}{STAMP_HEADER}\r\n\r\n".encode()


def unending_event(request) -> bytes:
    """A stream that has begun an event."""
    return stream_head(request.request_id) + chunk(b"id: 1\ndata: ")


def head_of(request, *, status: str = "200 OK", extra: str) -> bytes:
    """Return the head of an answer with one more header line."""
    head = f"HTTP/1.1 {status}\r\nBilberryring-Request-Id: {request.request_id}\r\n"
    return f"{head}{STAMP_HEADER}\r\n{extra}\r\n\r\n".encode()


def unending_chunk_extension(request) -> bytes:
    """A head and the start of a chunk extension."""
    return head_of(request, extra="Transfer-Encoding: chunked") + b"1;name="


def unending_trailer(request) -> bytes:
    """A chunked answer up to its trailer."""
    head = head_of(request, extra="Transfer-Encoding: chunked")
    return head + chunk(b"ok") + b"0\r\n"


def nothing(request) -> bytes:
    """Nothing."""
    return b""


INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 1_000
HEADERS = b"X-Filler: some text\r\n" * 2_000
REFUSALS = (
    b"HTTP/1.1 503 Busy\r\nBilberryring-Request-Id: z\r\nContent-Length: 0\r\n\r\n"
)
ENDLESS_ANSWERS = {
    "header line": Endless(unending_head),
    "headers": Endless(lambda request: b"HTTP/1.1 200 OK\r\n", block=HEADERS),
    "interim answers": Endless(nothing, block=INTERIM),
    "bytes that are no answer": Endless(nothing),
    "body": Endless(unending_body),
    "body of another request": Endless(body_of_another_request),
    "answers to another request": Endless(nothing, block=REFUSALS * 1_000),
    "chunk extension": Endless(unending_chunk_extension),
    "trailer": Endless(unending_trailer, block=HEADERS),
}
