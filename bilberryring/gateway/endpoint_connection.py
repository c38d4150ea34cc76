"""Connections to endpoints, each with one request at a time."""

import socket
from collections import deque
from collections.abc import Callable

import h11
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from bilberryring.gateway.messages import (
    AnswerData,
    AnswerEnd,
    AnswerHead,
    AttemptBroken,
    BreakReason,
    HeaderPairs,
)

TCP_USER_TIMEOUT_MS = 2_000
"""Milliseconds after which bytes without acknowledgement end a connection."""
DEFAULT_IDLE_SECONDS = 2.0
"""Idle time in seconds for which a connection is kept when the endpoint does
not say how long it keeps one."""
IDLE_SHARE = 0.6
"""Share of the endpoint's own idle time for which a connection is kept."""
MAX_EVENT_BYTES = 256 * 1024
"""Bytes of one incomplete head that are accepted."""

Event = AnswerHead | AnswerData | AnswerEnd
IsExpected = Callable[[AnswerHead], bool]


def set_tcp_options(transport) -> None:
    """Make a connection notice a peer that is gone."""
    transport.setTcpNoDelay(True)
    raw = transport.getHandle()
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


class EndpointAnswer:
    """The answer to one request, event by event.

    Owned by the task that made the request. `abort` may be called at any time;
    it closes the connection unless the answer is whole.
    """

    def __init__(self, *, connection: "EndpointConnection", reactor):
        self._connection = connection
        self._reactor = reactor
        self._events: deque[Event] = deque()
        self._failure: AttemptBroken | None = None
        self._waiting: Deferred[None] | None = None
        self._is_whole = False

    @property
    def transport(self):
        """The connection's transport, to pause and resume it."""
        return self._connection.transport

    async def receive(self, *, timeout: float) -> Event:
        """Return the next event; `AttemptBroken` when there is none in time."""
        if not self._events and self._failure is None:
            await self._wait(timeout)
        if self._events:
            return self._events.popleft()
        if self._failure is not None:
            raise self._failure
        raise AttemptBroken(reason=BreakReason.SILENT, was_sent=True)

    def abort(self) -> None:
        """Give the request up; the endpoint sees its connection close."""
        if not self._is_whole:
            self._connection.abort()

    def add(self, event: Event) -> None:
        """Take an event from the connection."""
        self._is_whole = isinstance(event, AnswerEnd)
        self._events.append(event)
        self._wake()

    def fail(self, failure: AttemptBroken) -> None:
        """Take the end of the connection."""
        self._failure = failure
        self._wake()

    async def _wait(self, timeout: float) -> None:
        waiting: Deferred[None] = Deferred()
        self._waiting = waiting
        timer = self._reactor.callLater(max(0.0, timeout), self._wake)
        try:
            await waiting
        finally:
            self._waiting = None
            if timer.active():
                timer.cancel()

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is not None:
            waiting.callback(None)


class EndpointConnection(Protocol):
    """HTTP to one endpoint over one connection.

    Bytes that belong to no request end the connection. An answer that
    `is_expected` rejects is skipped, and the one after it is awaited.
    """

    def __init__(self, *, reactor, address: str, on_idle, on_closed):
        self._reactor = reactor
        self._address = address
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_EVENT_BYTES
        )
        self._answer: EndpointAnswer | None = None
        self._is_expected: IsExpected = lambda head: True
        self._request: h11.Request | None = None
        self._is_skipping = False
        self._is_open = False
        self._idle_seconds = DEFAULT_IDLE_SECONDS
        self._used = 0
        self._idle_since = 0.0

    @property
    def address(self) -> str:
        """The endpoint's address."""
        return self._address

    @property
    def is_open(self) -> bool:
        """Whether the connection can take a request."""
        return self._is_open

    @property
    def is_reused(self) -> bool:
        """Whether an earlier request was answered on it."""
        return self._used > 1

    def idle_seconds(self) -> float:
        """Return how long the connection has been idle."""
        return self._reactor.seconds() - self._idle_since

    def may_be_reused(self) -> bool:
        """Whether the endpoint will not have closed it for being idle."""
        return self._is_open and self.idle_seconds() < self._idle_seconds

    def connectionMade(self) -> None:
        self._is_open = True
        self._idle_since = self._reactor.seconds()
        set_tcp_options(self.transport)

    def send(
        self,
        *,
        method: bytes,
        target: bytes,
        headers: HeaderPairs,
        body: bytes,
        is_expected: IsExpected,
    ) -> EndpointAnswer:
        """Write a whole request and return its answer to come."""
        self._used += 1
        self._is_expected = is_expected
        framed = [*headers, (b"Content-Length", b"%d" % len(body))]
        if not body and method in (b"GET", b"HEAD"):
            framed = list(headers)
        self._request = h11.Request(method=method, target=target, headers=framed)
        self._answer = EndpointAnswer(connection=self, reactor=self._reactor)
        self.transport.write(self._frame(body))
        return self._answer

    def abort(self) -> None:
        """Close at once."""
        self._is_open = False
        if self.transport is not None:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        if self._answer is None:
            self.abort()
            return
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError:
            self._fail(BreakReason.MALFORMED)
            self.abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._is_open = False
        if self._answer is not None:
            self._end_of_stream(is_clean=reason.check(ConnectionDone) is not None)
        self._on_closed(self)

    def _frame(self, body: bytes) -> bytes:
        parts = [self._http.send(self._request)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    def _end_of_stream(self, *, is_clean: bool) -> None:
        """An answer without a length ends with a connection that closed well."""
        if is_clean:
            try:
                self._http.receive_data(b"")
                self._read_events()
            except h11.RemoteProtocolError:
                self._fail(BreakReason.CLOSED)
                return
        self._fail(BreakReason.CLOSED)

    def _read_events(self) -> None:
        while self._answer is not None:
            event = self._http.next_event()
            match event:
                case h11.NEED_DATA | h11.PAUSED:
                    return
                case h11.InformationalResponse():
                    continue
                case h11.Response():
                    self._take_head(event)
                case h11.Data():
                    if not self._is_skipping:
                        self._answer.add(AnswerData(bytes(event.data)))
                case h11.EndOfMessage():
                    self._take_end()
                case h11.ConnectionClosed():
                    self._fail(BreakReason.CLOSED)

    def _take_head(self, response: h11.Response) -> None:
        head = AnswerHead(
            status=response.status_code,
            reason=bytes(response.reason),
            headers=tuple(
                (bytes(name), bytes(value))
                for name, value in response.headers.raw_items()
            ),
        )
        self._note_idle_time(head)
        self._is_skipping = not self._is_expected(head)
        if not self._is_skipping:
            self._answer.add(head)

    def _note_idle_time(self, head: AnswerHead) -> None:
        for name, value in head.headers:
            if name.lower() != b"keep-alive":
                continue
            for part in value.split(b","):
                key, _, number = part.strip().partition(b"=")
                if key.strip().lower() == b"timeout" and number.strip().isdigit():
                    self._idle_seconds = int(number) * IDLE_SHARE

    def _take_end(self) -> None:
        if self._is_skipping:
            self._restart()
            return
        answer, self._answer = self._answer, None
        is_clean = self._http.trailing_data[0] == b""
        may_go_on = self._http.our_state is h11.DONE and is_clean
        may_go_on = may_go_on and self._http.their_state is h11.DONE
        if may_go_on and self._is_open:
            self._http.start_next_cycle()
            self._idle_since = self._reactor.seconds()
            self._on_idle(self)
        elif self._is_open:
            self.abort()
        answer.add(AnswerEnd())

    def _restart(self) -> None:
        """Await the next answer after one that belonged to another request."""
        rest = self._http.trailing_data[0]
        self._is_skipping = False
        if self._http.their_state is not h11.DONE:
            self._fail(BreakReason.MALFORMED)
            self.abort()
            return
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_EVENT_BYTES
        )
        self._http.send(self._request)
        if any(name == b"content-length" for name, _ in self._request.headers):
            length = int(dict(self._request.headers)[b"content-length"])
            self._http.send(h11.Data(data=b"\0" * length))
        self._http.send(h11.EndOfMessage())
        if rest:
            self._http.receive_data(rest)

    def _fail(self, reason: BreakReason) -> None:
        answer, self._answer = self._answer, None
        if answer is not None:
            answer.fail(AttemptBroken(reason=reason, was_sent=True))
