"""HTTP queries of many processes at once, in one thread.

A thread for each query is slow on a busy machine, where each start waits for a
processor: with several hundred processes the starts took longer than the timeout.
"""

import os
import selectors
import socket
import time
import urllib.parse
from collections import deque
from collections.abc import Iterable
from http import HTTPStatus

import h11
import msgspec

READ_BYTES = 65_536
MAX_ANSWER_BYTES = 1024 * 1024
"""Bytes of the body of an answer; a process lists at most some hundred names."""
HTTP_PORT = 80


class FetchFailure(msgspec.Struct, frozen=True, kw_only=True):
    """The reason why a query has no answer; `detail` is the text of the error."""

    detail: str


FetchResult = bytes | FetchFailure


class _FetchError(Exception):
    """Raised inside this module for a query that has failed."""


class _Query:
    """One connection, from its start until the whole body of the answer is read."""

    def __init__(self, *, index: int, address: str, path: str, deadline: float):
        self.index = index
        self.deadline = deadline
        self._address = address
        self._path = path
        self._http = h11.Connection(h11.CLIENT)
        self._unsent = b""
        self._body = bytearray()
        self._socket: socket.socket | None = None

    def fileno(self) -> int:
        """Return the number of the socket, by which a selector knows it."""
        return -1 if self._socket is None else self._socket.fileno()

    def connect(self) -> None:
        """Start to connect, without blocking."""
        host, port = _split_address(self._address)
        family, kind, protocol, _, target = min(
            socket.getaddrinfo(host, port, type=socket.SOCK_STREAM),
            key=lambda found: found[0] != socket.AF_INET,
        )
        self._socket = socket.socket(family, kind, protocol)
        self._socket.setblocking(False)
        # Errors of the connection are raised by the first use after it.
        self._socket.connect_ex(target)
        request = h11.Request(
            method="GET",
            target=self._path,
            headers=[("Host", self._address), ("Connection", "close")],
        )
        self._unsent = self._http.send(request) + self._http.send(h11.EndOfMessage())

    def send(self) -> bool:
        """Send what the socket takes, and return whether everything is sent."""
        error = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, os.strerror(error))
        self._unsent = self._unsent[self._socket.send(self._unsent) :]
        return not self._unsent

    def receive(self) -> bytes | None:
        """Read what has arrived; return the body of the answer once it is whole."""
        self._http.receive_data(self._socket.recv(READ_BYTES))
        while True:
            event = self._http.next_event()
            match event:
                case h11.Response(status_code=status) if status != HTTPStatus.OK:
                    raise _FetchError(f"HTTP status {status}")
                case h11.Data(data=data):
                    self._body += data
                    if len(self._body) > MAX_ANSWER_BYTES:
                        raise _FetchError(f"longer than {MAX_ANSWER_BYTES} bytes")
                case h11.EndOfMessage():
                    return bytes(self._body)
                case h11.NEED_DATA:
                    return None

    def close(self) -> None:
        """Close the socket, if there is one."""
        if self._socket is not None:
            self._socket.close()


class _Fetcher:
    """Runs queries, at most `max_parallel` at once, and keeps their results."""

    def __init__(
        self, *, addresses: Iterable[str], path: str, timeout: float, max_parallel: int
    ):
        self._waiting = deque(enumerate(addresses))
        self._path = path
        self._timeout = timeout
        self._max_parallel = max_parallel
        self._selector = selectors.DefaultSelector()
        self._results: list[FetchResult] = [FetchFailure(detail="")] * len(
            self._waiting
        )
        # In the order of their starts, which is also that of their deadlines.
        self._open: dict[int, _Query] = {}

    def run(self) -> list[FetchResult]:
        with self._selector:
            while self._waiting or self._open:
                self._start_queries()
                self._advance()
        return self._results

    def _start_queries(self) -> None:
        while self._waiting and len(self._open) < self._max_parallel:
            index, address = self._waiting.popleft()
            query = _Query(
                index=index,
                address=address,
                path=self._path,
                deadline=time.monotonic() + self._timeout,
            )
            try:
                query.connect()
            except (OSError, ValueError) as error:
                self._results[index] = FetchFailure(detail=str(error))
                query.close()
                continue
            self._selector.register(query, selectors.EVENT_WRITE, query)
            self._open[index] = query

    def _advance(self) -> None:
        """Handle what is ready, then end the queries that were due before.

        An answer that arrived in time counts, however late it is read.
        """
        now = time.monotonic()
        first = next(iter(self._open.values()), None)
        if first is None:
            return
        for key, _ in self._selector.select(max(0.0, first.deadline - now)):
            self._step(key.data, key.events)
        for query in list(self._open.values()):
            if query.deadline > now:
                return
            self._end(query, FetchFailure(detail="timed out"))

    def _step(self, query: _Query, events: int) -> None:
        try:
            if events == selectors.EVENT_WRITE:
                if query.send():
                    self._selector.modify(query, selectors.EVENT_READ, query)
                return
            body = query.receive()
            if body is not None:
                self._end(query, body)
        except BlockingIOError:
            return
        except (OSError, h11.ProtocolError, _FetchError) as error:
            self._end(query, FetchFailure(detail=str(error)))

    def _end(self, query: _Query, result: FetchResult) -> None:
        self._results[query.index] = result
        del self._open[query.index]
        self._selector.unregister(query)
        query.close()


def fetch_all(
    addresses: Iterable[str], *, path: str, timeout: float, max_parallel: int
) -> list[FetchResult]:
    """Return the body of each answer, or why there is none, in the given order.

    `timeout` is the seconds from the start of a query to the end of its answer.

    >>> fetch_all([], path="/status", timeout=1.0, max_parallel=1)
    []
    """
    return _Fetcher(
        addresses=addresses, path=path, timeout=timeout, max_parallel=max_parallel
    ).run()


def _split_address(address: str) -> tuple[str, int]:
    """Return host and port; `ValueError` names the remedy for other text."""
    try:
        parts = urllib.parse.urlsplit(f"//{address}")
        if parts.hostname is not None:
            return parts.hostname, parts.port or HTTP_PORT
    except ValueError:
        pass
    raise ValueError(f"address {address!r} is malformed. Remedy: write it as host:port")
