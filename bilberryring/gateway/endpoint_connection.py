"""HTTP/1.1 connections to endpoints, each of which carries one request at a time."""

from collections import deque
from collections.abc import Callable

import h11
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from bilberryring.core import (
    ErrorCode,
    RequestId,
    RunOutcome,
    ServingError,
    has_unread,
    parse_whole_number,
    set_tcp_options,
)
from bilberryring.execution import Close, Framing
from bilberryring.gateway.messages import (
    AttemptError,
    FailureReason,
    HeaderPairs,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from bilberryring.http import MAX_STATUS, close_after_read_end

DEFAULT_IDLE_SECONDS = 2.0
"""Seconds for which an idle connection may be reused when the endpoint sends no
`Keep-Alive` timeout."""
IDLE_FRACTION = 0.6
"""Fraction of the endpoint's `Keep-Alive` timeout for which a connection may be reused,
so that it is not used while the endpoint closes it."""
MAX_KEEP_ALIVE_SECONDS = 2**31 - 1
"""Longest `Keep-Alive` timeout in seconds; a longer one counts as absent."""
MAX_HEAD_BYTES = 64 * 1024
"""Maximum size in bytes of a status line with headers."""
MAX_SKIPPED_BYTES = 1024 * 1024
"""Most bytes of interim responses and of responses to other requests that are skipped
before the response to a request."""
MAX_SKIPPED_HEADS = 16
"""Most interim responses and responses to other requests that are skipped before the
response to a request. Reading thousands of them would hold up other requests."""
MAX_DROPPED_BYTES = 16 * 1024 * 1024
"""Most bytes of a response that are dropped after its request has ended."""
MAX_REUSE_BODY_BYTES = 16 * 1024
"""Longest request body after which a connection is used again. An endpoint may answer
before it has read a longer one, and the next request would wait for it to read on."""
ABANDONED_SECONDS = 5.0
"""Seconds for which a response is read on after its request has ended."""
MAX_DETAIL_CHARS = 200
"""Characters of a parser's message that an error keeps; it can quote the value."""
MAX_REMEMBERED_IDS = 256
"""Request ids that are remembered for one connection."""
NO_BODY_STATUSES = frozenset({204, 304})

Event = ResponseHead | ResponseData | ResponseEnd
IsExpected = Callable[[ResponseHead], bool]


class EndpointResponse:
    """The response to one request, received as a sequence of events.

    Only the task that made the request may call `receive` and `abort`. `abort` may be
    called at any time and closes the connection unless the response is complete.
    """

    def __init__(self, *, connection: "EndpointConnection", reactor):
        self._connection = connection
        self._reactor = reactor
        self._events: deque[Event] = deque()
        self._failure: AttemptError | None = None
        self._waiting: Deferred[None] | None = None
        self._is_complete = False
        self._is_abandoned = False
        self._dropped_bytes = 0
        self._is_paused = False
        self._resumed_at = 0.0

    @property
    def transport(self):
        """The connection's transport, which can be paused and resumed."""
        return self._connection.transport

    @property
    def paused_until(self) -> float:
        """The time until which `pause` last kept events back; now if it does."""
        return self._reactor.seconds() if self._is_paused else self._resumed_at

    def pause(self) -> None:
        """Read no more from the connection until `resume`, nor see its end."""
        if self._failure is None and not self._is_complete:
            self._is_paused = True
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Read on if the connection is paused."""
        if self._is_paused:
            self._is_paused = False
            self._resumed_at = self._reactor.seconds()
            self.transport.resumeProducing()

    async def receive(self, *, timeout: float) -> Event:
        """Return the next event.

        Raises `AttemptError` if none arrives within `timeout` seconds or the connection
        has failed.
        """
        for seconds in (timeout, 0.0):
            # Timers run before sockets are read: the second wait lets data that has
            # arrived while the process was busy be read.
            if not self._events and self._failure is None:
                await self._wait(seconds)
        if self._events:
            return self._events.popleft()
        if self._failure is not None:
            raise self._failure
        raise AttemptError(reason=FailureReason.SILENT, was_sent=True)

    def abort(self) -> None:
        """Close the connection, unless the response is complete."""
        if not self._is_complete:
            self._connection.abort()

    def abandon(self) -> None:
        """Drop what is left of the response, so that the endpoint can finish it.

        The connection is closed if it does not within `ABANDONED_SECONDS`.
        """
        self._is_abandoned = True
        self._events.clear()
        if self._failure is None and not self._is_complete:
            self._reactor.callLater(ABANDONED_SECONDS, self._end_abandoned)

    def forbid_reuse(self) -> None:
        """Close the connection once the response is complete."""
        self._connection.forbid_reuse()

    def add(self, event: Event) -> None:
        """Queue an event for the task that receives the response."""
        self._is_complete = isinstance(event, ResponseEnd)
        if self._is_abandoned:
            self._drop(event)
            return
        self._events.append(event)
        self._wake()

    def fail(self, failure: AttemptError) -> None:
        """Raise `failure` from `receive` once the queued events have been received."""
        self._failure = failure
        self._wake()

    def _end_abandoned(self) -> None:
        if self._failure is None:
            self.abort()

    def _drop(self, event: Event) -> None:
        if isinstance(event, ResponseData):
            self._dropped_bytes += len(event.data)
            if self._dropped_bytes > MAX_DROPPED_BYTES:
                self._connection.abort()

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


@implementer(IHalfCloseableProtocol)
class EndpointConnection(Protocol):
    """An HTTP/1.1 client connection to one endpoint.

    Data received without a pending request closes the connection. A response that
    `is_expected` rejects belongs to another request: it is skipped, and the response
    after it is awaited.
    """

    def __init__(self, *, reactor, address: str, on_idle, on_closed):
        self._reactor = reactor
        self._address = address
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._response: EndpointResponse | None = None
        self._is_expected: IsExpected = lambda head: True
        self._request: h11.Request | None = None
        self._is_skipping = False
        self._framing: Framing | None = None
        self._skipped_bytes = 0
        self._skipped_heads = 0
        self._is_open = False
        self._max_idle_seconds = DEFAULT_IDLE_SECONDS
        self._n_requests = 0
        self._request_ids: deque[RequestId | None] = deque(maxlen=MAX_REMEMBERED_IDS)
        self._is_last_request = False
        self._has_long_body = False
        self._idle_since = 0.0

    @property
    def address(self) -> str:
        """The endpoint's address as `host:port`."""
        return self._address

    @property
    def is_open(self) -> bool:
        """Whether the connection is established."""
        return self._is_open

    @property
    def is_reused(self) -> bool:
        """Whether the connection carried another request before the current one."""
        return self._n_requests > 1

    def can_identify_answers(self, request_id: RequestId | None) -> bool:
        """Whether the answer to a request can be told from those to earlier ones.

        The answer to a request without an id can be told on an unused connection only.
        """
        if not self._n_requests:
            return True
        return bool(request_id) and request_id not in self._request_ids

    def forbid_reuse(self) -> None:
        """Close the connection once the current response is complete."""
        self._is_last_request = True

    def idle_seconds(self) -> float:
        """Return the seconds since the connection was opened or last got a response."""
        return self._reactor.seconds() - self._idle_since

    def may_be_reused(self) -> bool:
        """Whether the connection is open and the endpoint is not about to close it."""
        if not self._is_open or self.idle_seconds() >= self._max_idle_seconds:
            return False
        # The end of the connection may have arrived and not been read yet.
        return not has_unread(self.transport)

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
        request_id: RequestId | None = None,
    ) -> EndpointResponse:
        """Write a complete request and return its response, still to be received.

        Raises `ServingError` if HTTP does not allow the request; nothing is written
        then, and the connection stays idle.
        """
        framed_headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        if not body and method in (b"GET", b"HEAD"):
            framed_headers = list(headers)
        try:
            request = h11.Request(method=method, target=target, headers=framed_headers)
        except h11.LocalProtocolError as error:
            self._on_idle(self)
            raise ServingError(
                code=ErrorCode.REQUEST_MALFORMED,
                outcome=RunOutcome.NOT_RUN,
                detail=str(error)[:MAX_DETAIL_CHARS],
            )
        self._n_requests += 1
        self._has_long_body = len(body) > MAX_REUSE_BODY_BYTES
        self._request_ids.append(request_id)
        self._is_expected = is_expected
        self._request = request
        self._framing = None
        self._skipped_bytes = 0
        self._skipped_heads = 0
        self._response = EndpointResponse(connection=self, reactor=self._reactor)
        self.transport.write(self._encode_request(body))
        return self._response

    def abort(self) -> None:
        """Close the connection at once."""
        self._is_open = False
        if self.transport is not None:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        if self._response is None:
            self.abort()
            return
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError:
            self._fail(FailureReason.MALFORMED)
            self.abort()
        self._limit_skipped_bytes(len(data))

    def readConnectionLost(self) -> None:
        """Close the connection; its end may be that of an answer without a length."""
        self._is_open = False
        close_after_read_end(
            self._reactor,
            self.transport,
            awaits_rest=self._response is not None
            and self._framing is Framing.CONNECTION,
        )

    def writeConnectionLost(self) -> None:
        """Do nothing: this side is never ended before the other one."""

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._is_open = False
        if self._response is not None:
            self._handle_disconnect(is_clean=reason.check(ConnectionDone) is not None)
        self._on_closed(self)

    def _encode_request(self, body: bytes) -> bytes:
        parts = [self._http.send(self._request)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    def _handle_disconnect(self, *, is_clean: bool) -> None:
        """End the pending response, or fail it if not even its head has arrived."""
        if self._framing is None or self._is_skipping:
            self._fail(FailureReason.CLOSED)
            return
        response, self._response = self._response, None
        close = Close.CLEAN if is_clean else Close.RESET
        response.add(ResponseEnd(framing=self._framing, close=close))

    def _read_events(self) -> None:
        while self._response is not None:
            event = self._http.next_event()
            match event:
                case h11.NEED_DATA | h11.PAUSED:
                    return
                case h11.InformationalResponse():
                    self._count_skipped_head()
                case h11.Response():
                    self._handle_head(event)
                case h11.Data():
                    self._handle_data(bytes(event.data))
                case h11.EndOfMessage():
                    self._handle_end()

    def _count_skipped_head(self) -> None:
        self._skipped_heads += 1
        if self._skipped_heads > MAX_SKIPPED_HEADS:
            self._fail(FailureReason.MALFORMED)
            self.abort()

    def _limit_skipped_bytes(self, n_received: int) -> None:
        """Fail the response if too much was received before its head."""
        is_head_pending = self._framing is None or self._is_skipping
        if self._response is None or not is_head_pending:
            return
        self._skipped_bytes += n_received
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            self._fail(FailureReason.MALFORMED)
            self.abort()

    def _handle_data(self, data: bytes) -> None:
        if not self._is_skipping:
            self._response.add(ResponseData(data))

    def _handle_head(self, h11_response: h11.Response) -> None:
        if h11_response.status_code > MAX_STATUS:
            self._fail(FailureReason.MALFORMED)
            self.abort()
            return
        head = ResponseHead(
            status=h11_response.status_code,
            reason=bytes(h11_response.reason),
            headers=tuple(
                (bytes(name), bytes(value))
                for name, value in h11_response.headers.raw_items()
            ),
            framing=_framing_of(h11_response, self._request),
        )
        self._read_keep_alive(head)
        self._framing = head.framing
        if self._request.method == b"HEAD":
            # A later copy would be read with a body, as its length says.
            self.forbid_reuse()
        self._is_skipping = not self._is_expected(head)
        if self._is_skipping:
            self._count_skipped_head()
        else:
            self._response.add(head)

    def _read_keep_alive(self, head: ResponseHead) -> None:
        for name, value in head.headers:
            if name.lower() != b"keep-alive":
                continue
            for part in value.split(b","):
                key, _, number = part.strip().partition(b"=")
                seconds = parse_whole_number(number, most=MAX_KEEP_ALIVE_SECONDS)
                if key.strip().lower() == b"timeout" and seconds is not None:
                    self._max_idle_seconds = seconds * IDLE_FRACTION

    def _handle_end(self) -> None:
        if self._is_skipping:
            self._skip_response()
            return
        response, self._response = self._response, None
        is_clean = self._http.trailing_data[0] == b""
        can_reuse = self._http.our_state is h11.DONE and is_clean
        can_reuse = can_reuse and self._http.their_state is h11.DONE
        if can_reuse and self._is_open and self._has_long_body:
            # What the endpoint has not read yet still goes to it.
            self._is_open = False
            self.transport.loseConnection()
        elif can_reuse and self._is_open and not self._is_last_request:
            self._http.start_next_cycle()
            self._idle_since = self._reactor.seconds()
            self._on_idle(self)
        elif self._is_open:
            self.abort()
        response.add(ResponseEnd(framing=self._framing, close=Close.AT_END))

    def _skip_response(self) -> None:
        """Wait for the next response after one that belonged to another request.

        A new parser is needed for it. It is given the request again, with zeros as the
        body, only so that it expects a response; nothing is sent.
        """
        trailing_data = self._http.trailing_data[0]
        self._is_skipping = False
        self._framing = None
        if self._http.their_state is not h11.DONE:
            self._fail(FailureReason.MALFORMED)
            self.abort()
            return
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._http.send(self._request)
        if any(name == b"content-length" for name, _ in self._request.headers):
            length = int(dict(self._request.headers)[b"content-length"])
            self._http.send(h11.Data(data=b"\0" * length))
        self._http.send(h11.EndOfMessage())
        if trailing_data:
            self._http.receive_data(trailing_data)

    def _fail(self, reason: FailureReason) -> None:
        response, self._response = self._response, None
        if response is not None:
            response.fail(AttemptError(reason=reason, was_sent=True))


def _framing_of(response: h11.Response, request: h11.Request) -> Framing:
    """Return what marks the end of a response's body."""
    names = {bytes(name) for name, _ in response.headers}
    if request.method == b"HEAD" or response.status_code in NO_BODY_STATUSES:
        return Framing.LENGTH
    if b"transfer-encoding" in names:
        return Framing.CHUNKS
    return Framing.LENGTH if b"content-length" in names else Framing.CONNECTION
