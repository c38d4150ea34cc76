"""HTTP client for endpoints and the platform: whole responses and line streams."""

from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import (
    URI,
    Agent,
    HTTPConnectionPool,
    ResponseDone,
)
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from bilberryring.http.bounded_endpoint import (
    CONNECT_TIMEOUT_SECONDS,
    BoundedEndpointFactory,
)
from bilberryring.http.connection_end import ConnectionEnd, accepts_connection

MAX_LINE_BYTES = 1024 * 1024
"""Longest line of a stream of lines."""
MAX_HELD_BYTES = 64 * 1024 * 1024
"""Bytes of all bodies that one client holds until they are complete. Beyond it the
longest one is given up."""
MAX_IDLE_CONNECTIONS_PER_HOST = 64
RESPONSE_TIMEOUT_SECONDS = 60.0
MIN_STATUS, MAX_STATUS = 100, 599
"""The status codes of HTTP (RFC 9110, section 15)."""


class InvalidStatusError(Exception):
    """The response has a status that is none of HTTP; the server is at fault."""


class ResponseTimeoutError(Exception):
    """The server has not sent a complete response in time; it may be sound."""


@implementer(IBodyProducer)
class _BytesProducer:
    """Sends a request body that is held in memory."""

    def __init__(self, body: bytes):
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer) -> Deferred[None]:
        consumer.write(self._body)
        done: Deferred[None] = Deferred()
        done.callback(None)
        return done

    def pauseProducing(self) -> None:
        pass

    def resumeProducing(self) -> None:
        pass

    def stopProducing(self) -> None:
        pass


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpResponse:
    """A complete HTTP response; the body is as it was sent, encoded or not."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty string."""
        values = self.headers.getRawHeaders(name.encode(), [b""])
        return values[0].decode("latin-1")

    def list_header(self, name: str) -> str:
        """Return all values of a header that is a list, joined by commas."""
        values = self.headers.getRawHeaders(name.encode(), [])
        return b", ".join(values).decode("latin-1")


class UnmarkedAnswerError(Exception):
    """The body ended with its connection, which the server closed in order.

    It had neither a length nor chunks. `answer` is whole if the server is sound, and a
    part if it crashed.
    """

    def __init__(self, answer: HttpResponse):
        super().__init__("nothing but the end of the connection ended the body")
        self._answer = answer

    @property
    def answer(self) -> HttpResponse:
        """The answer with the body that has arrived."""
        return self._answer


class _LineReceiver(Protocol):
    """Passes complete lines to `on_lines`, without their line ends.

    `done` fires at the end with whether the body was complete. Data after the
    last line end is dropped. A line that is too long closes the connection.
    """

    def __init__(
        self, *, on_lines: Callable[[list[bytes]], None], done: Deferred[bool]
    ):
        self._on_lines = on_lines
        self._done = done
        self._partial_line = b""

    def dataReceived(self, data: bytes) -> None:
        lines = (self._partial_line + data).split(b"\n")
        self._partial_line = lines.pop()
        if lines:
            self._on_lines(lines)
        if len(self._partial_line) > MAX_LINE_BYTES:
            self.abort()

    def abort(self) -> None:
        """Close the connection at once, unless the response has ended."""
        transport = self.transport
        if transport is not None and not self._done.called:
            getattr(transport, "abortConnection", transport.loseConnection)()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if not self._done.called:
            self._done.callback(reason.check(ResponseDone) is not None)


class _HeldBodies:
    """The bodies that one client holds until they are complete."""

    def __init__(self):
        self._bodies: set[_BodyReader] = set()
        self._n_bytes = 0

    @property
    def n_bytes(self) -> int:
        """The number of bytes that are held."""
        return self._n_bytes

    def add(self, body: "_BodyReader", n_bytes: int) -> None:
        """Count bytes of a body, and give up the longest if there are too many."""
        self._bodies.add(body)
        self._n_bytes += n_bytes
        if self._n_bytes > MAX_HELD_BYTES:
            max(self._bodies, key=lambda held: held.n_bytes).give_up()

    def remove(self, body: "_BodyReader") -> None:
        """Count a body no longer."""
        if body in self._bodies:
            self._bodies.remove(body)
            self._n_bytes -= body.n_bytes


class _BodyReader(Protocol):
    """Collects a body; `done` fires with it, or fails if it broke off.

    `end` is that of its connection, which alone may end it; see `is_unmarked`.
    """

    def __init__(self, *, bodies: _HeldBodies, end: ConnectionEnd):
        self.done: Deferred[bytes] = Deferred(lambda _: self.give_up())
        self._bodies = bodies
        self._end = end
        self._is_unmarked = False
        self._parts: list[bytes] = []
        self._n_bytes = 0

    @property
    def n_bytes(self) -> int:
        """The number of bytes that are held."""
        return self._n_bytes

    @property
    def is_unmarked(self) -> bool:
        """Whether nothing but an end in order of its connection ended the body."""
        return self._is_unmarked

    def dataReceived(self, data: bytes) -> None:
        if not self.done.called:
            self._parts.append(data)
            self._n_bytes += len(data)
            self._bodies.add(self, len(data))

    def give_up(self) -> None:
        """Close the connection and drop what has arrived."""
        self._release()
        if self.transport is not None:
            getattr(self.transport, "abortConnection", self.transport.loseConnection)()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        body = b"".join(self._parts)
        self._release()
        if self.done.called:
            return
        self._is_unmarked = bool(
            reason.check(PotentialDataLoss) and self._end.is_in_order
        )
        if self._is_unmarked or reason.check(ResponseDone):
            self.done.callback(body)
        else:
            self.done.errback(reason)

    def _release(self) -> None:
        self._bodies.remove(self)
        self._parts.clear()


class LineStream:
    """A response whose lines are passed on as they arrive."""

    def __init__(self, *, response, on_lines: Callable[[list[bytes]], None]):
        self._done: Deferred[bool] = Deferred()
        self._protocol = _LineReceiver(on_lines=on_lines, done=self._done)
        self._status = response.code
        response.deliverBody(self._protocol)

    @property
    def status(self) -> int:
        """The HTTP status code."""
        return self._status

    @property
    def done(self) -> Deferred[bool]:
        """Fires when the response ends, with whether its body was complete."""
        return self._done

    def abort(self) -> None:
        """Close the connection at once, unless the response has ended."""
        self._protocol.abort()


class HttpClient:
    """Sends requests to one base URL.

    Requests are never repeated, not even on a reused connection that the server
    has closed. The connection of an answer that is too long is closed.

    Each request has its own connection unless `persistent` is true. On a connection
    that is used again, a second copy of an answer counts as the answer to the next
    request, since answers do not name the request that they belong to.
    """

    def __init__(
        self, *, reactor: IReactorTCP, base_url: str, persistent: bool = False
    ):
        self._reactor = reactor
        pool = HTTPConnectionPool(reactor, persistent=persistent)
        pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS_PER_HOST
        pool.retryAutomatically = False
        self._pool = pool
        self._base_url = base_url
        self._bodies = _HeldBodies()

    @property
    def held_bytes(self) -> int:
        """The number of bytes of bodies that are not complete yet."""
        return self._bodies.n_bytes

    async def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        content_type: str = "application/json",
        timeout: float = RESPONSE_TIMEOUT_SECONDS,
    ) -> HttpResponse:
        """Send a request and return the complete response.

        `timeout` is in seconds. It limits the time until the headers, including
        the connection, and once more the time for the body. `ResponseTimeoutError` is
        raised when it has passed, `InvalidStatusError` for a status that is none of
        HTTP, and `UnmarkedAnswerError` when it is not known whether the body is
        complete although its connection was closed in order.
        """
        end = ConnectionEnd()
        started_at = self._reactor.seconds()
        try:
            sending = self._send(method, path, body, content_type, end)
            sending.addTimeout(timeout, self._reactor)
            response = await sending
            reader = _BodyReader(bodies=self._bodies, end=end)
            reader.done.addTimeout(timeout, self._reactor)
            response.deliverBody(reader)
            content = await reader.done
        except Exception as error:
            if self._reactor.seconds() - started_at >= timeout:
                raise ResponseTimeoutError(f"no response in {timeout} s: {error}")
            raise
        if not MIN_STATUS <= response.code <= MAX_STATUS:
            raise InvalidStatusError(f"status {response.code}")
        answer = HttpResponse(
            status=response.code, headers=response.headers, body=content
        )
        if reader.is_unmarked:
            raise UnmarkedAnswerError(answer)
        return answer

    async def accepts_connection(self) -> bool:
        """Return whether the server accepts a new connection now."""
        uri = URI.fromBytes(self._base_url.encode())
        return await accepts_connection(
            self._reactor,
            (uri.host.decode("ascii"), uri.port),
            timeout=CONNECT_TIMEOUT_SECONDS,
        )

    async def open_line_stream(
        self,
        path: str,
        *,
        body: bytes,
        on_lines: Callable[[list[bytes]], None],
    ) -> LineStream:
        """Send a POST request and return its response as a stream of lines.

        It returns once the headers have arrived. Only connecting has a time limit.
        """
        end = ConnectionEnd()
        response = await self._send("POST", path, body, "application/json", end)
        return LineStream(response=response, on_lines=on_lines)

    def close(self) -> Deferred[None]:
        """Close the idle connections of the pool."""
        return self._pool.closeCachedConnections()

    def _send(
        self,
        method: str,
        path: str,
        body: bytes,
        content_type: str,
        end: ConnectionEnd,
    ):
        """Send a request; a connection that is opened for it reports to `end`."""
        agent = Agent.usingEndpointFactory(
            self._reactor,
            BoundedEndpointFactory(reactor=self._reactor, end=end),
            pool=self._pool,
        )
        headers = Headers({"content-type": [content_type]})
        producer = _BytesProducer(body) if body else None
        url = (self._base_url + path).encode()
        return agent.request(method.encode(), url, headers, producer)
