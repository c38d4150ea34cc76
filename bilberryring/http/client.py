"""HTTP towards endpoints and the platform: whole answers and line streams."""

from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    ResponseDone,
    readBody,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

CONNECT_SECONDS = 2.0
CONNECTIONS_PER_HOST = 64
ANSWER_SECONDS = 60.0


@implementer(IBodyProducer)
class _BytesProducer:
    """Sends a body that is in memory."""

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
class HttpAnswer:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty text."""
        values = self.headers.getRawHeaders(name, [""])
        return values[0]


class _LineReceiver(Protocol):
    """Hands over whole lines; the end tells whether the body was complete."""

    def __init__(
        self, *, on_lines: Callable[[list[bytes]], None], done: Deferred[bool]
    ):
        self._on_lines = on_lines
        self._done = done
        self._rest = b""

    def dataReceived(self, data: bytes) -> None:
        lines = (self._rest + data).split(b"\n")
        self._rest = lines.pop()
        if lines:
            self._on_lines(lines)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if not self._done.called:
            self._done.callback(reason.check(ResponseDone) is not None)


class LineStream:
    """An answer that arrives line by line."""

    def __init__(self, *, response, on_lines: Callable[[list[bytes]], None]):
        self._done: Deferred[bool] = Deferred()
        self._protocol = _LineReceiver(on_lines=on_lines, done=self._done)
        self._status = response.code
        response.deliverBody(self._protocol)

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._status

    @property
    def done(self) -> Deferred[bool]:
        """Fires at the end with whether the body was complete."""
        return self._done

    def abort(self) -> None:
        """Close the connection at once."""
        transport = self._protocol.transport
        if transport is not None and not self._done.called:
            getattr(transport, "abortConnection", transport.loseConnection)()


class HttpClient:
    """Speaks HTTP to one base address with pooled connections."""

    def __init__(self, *, reactor: IReactorTCP, base: str, persistent: bool = True):
        self._reactor = reactor
        pool = HTTPConnectionPool(reactor, persistent=persistent)
        pool.maxPersistentPerHost = CONNECTIONS_PER_HOST
        pool.retryAutomatically = False
        self._pool = pool
        self._agent = Agent(reactor, connectTimeout=CONNECT_SECONDS, pool=pool)
        self._base = base

    async def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        content_type: str = "application/json",
        timeout: float = ANSWER_SECONDS,
    ) -> HttpAnswer:
        """Send a request and return the whole answer; the timeout is in seconds."""
        sending = self._send(method, path, body, content_type)
        sending.addTimeout(timeout, self._reactor)
        response = await sending
        reading = readBody(response)
        reading.addTimeout(timeout, self._reactor)
        content = await reading
        return HttpAnswer(status=response.code, headers=response.headers, body=content)

    async def open_lines(
        self,
        path: str,
        *,
        body: bytes,
        on_lines: Callable[[list[bytes]], None],
    ) -> LineStream:
        """Post a request and hand over the answer's lines as they arrive."""
        response = await self._send("POST", path, body, "application/json")
        return LineStream(response=response, on_lines=on_lines)

    def close(self) -> Deferred[None]:
        """Close the idle connections."""
        return self._pool.closeCachedConnections()

    def _send(self, method: str, path: str, body: bytes, content_type: str):
        headers = Headers({"content-type": [content_type]})
        producer = _BytesProducer(body) if body else None
        url = (self._base + path).encode()
        return self._agent.request(method.encode(), url, headers, producer)
