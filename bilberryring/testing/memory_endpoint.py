"""An HTTP endpoint in memory, whose answers end in every way."""

from twisted.internet.error import (
    ConnectionAborted,
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
)
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from bilberryring.execution import Close, Framing
from bilberryring.http import HttpClient


class MemoryConnection:
    """One of several connections of a client."""

    def __init__(self, *, protocol):
        self._protocol = protocol
        self._is_open = True
        transport = StringTransport()
        transport.abortConnection = transport.loseConnection = self._close
        protocol.makeConnection(transport)

    @property
    def is_open(self) -> bool:
        """Whether the client has the connection open."""
        return self._is_open

    def send(self, data: bytes) -> None:
        """Send bytes to the client, unless it has closed the connection."""
        if self._is_open:
            self._protocol.dataReceived(data)

    def _close(self) -> None:
        if self._is_open:
            self._is_open = False
            self._protocol.connectionLost(Failure(ConnectionLost()))


class MemoryEndpoint:
    """Answers the requests of its client on the connection that was opened last.

    `options` are those of `HttpClient`.
    """

    def __init__(self, **options):
        self._reactor = MemoryReactorClock()
        self._protocol = None
        self._is_closed = False
        self._client = HttpClient(
            reactor=self._reactor,
            base_url="http://127.0.0.1:9",
            **options,
        )

    @property
    def client(self) -> HttpClient:
        """The client that sends its requests here."""
        return self._client

    @property
    def is_open(self) -> bool:
        """Whether the client has a connection here."""
        return self._protocol is not None and not self._is_closed

    @property
    def is_closed(self) -> bool:
        """Whether the client has closed its connection."""
        return self._is_closed

    @property
    def connections(self) -> int:
        """The number of connections that the client has tried to open."""
        return len(self._reactor.tcpClients)

    def open_another(self) -> "MemoryConnection":
        """Accept the connection that the client opens, beside earlier ones."""
        factory = self._reactor.tcpClients[-1][2]
        return MemoryConnection(protocol=factory.buildProtocol(None))

    def open(self) -> None:
        """Accept the connection that the client opens."""
        factory = self._reactor.tcpClients[-1][2]
        self._protocol = factory.buildProtocol(None)
        self._is_closed = False
        transport = StringTransport()
        transport.abortConnection = lambda: self._close(ConnectionAborted())
        transport.loseConnection = lambda: self._close(ConnectionDone())
        self._protocol.makeConnection(transport)

    def send(self, data: bytes) -> None:
        """Send bytes to the client, unless it has closed the connection."""
        if not self._is_closed:
            self._protocol.dataReceived(data)
        self._reactor.advance(0)

    def refuse(self) -> None:
        """Refuse the connection that the client opens."""
        factory = self._reactor.tcpClients[-1][2]
        factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))

    def break_off(self, data: bytes, close: Close) -> None:
        """Accept the connection, send a part of an answer and end the connection."""
        self.open()
        self.send(data)
        self.end(close)

    def pass_time(self, seconds: float) -> None:
        """Let time pass on the client's clock."""
        self._reactor.advance(seconds)

    def answer(self, body: bytes, *, framing: Framing, close: Close) -> None:
        """Send status 200 and the body, and end the answer.

        With a length or chunks, the end mark is sent only if `close` is `AT_END`.
        """
        self.open()
        self.send(_frame(body, framing, has_mark=close is Close.AT_END))
        self.end(close)

    def end(self, close: Close) -> None:
        """End the connection, unless `close` is `AT_END`."""
        if close is not Close.AT_END and not self._is_closed:
            reason = ConnectionLost() if close is Close.RESET else ConnectionDone()
            self._protocol.connectionLost(Failure(reason))
        self._reactor.advance(0)

    def _close(self, reason: Exception) -> None:
        if not self._is_closed:
            self._is_closed = True
            self._protocol.connectionLost(Failure(reason))


def _frame(body: bytes, framing: Framing, *, has_mark: bool) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    match framing:
        case Framing.LENGTH:
            length = len(body) if has_mark else len(body) + 1
            return head + b"Content-Length: %d\r\n\r\n" % length + body
        case Framing.CHUNKS:
            mark = b"0\r\n\r\n" if has_mark else b""
            head += b"Transfer-Encoding: chunked\r\n\r\n"
            return head + b"%x\r\n%s\r\n" % (len(body), body) + mark
        case Framing.CONNECTION:
            return head + b"\r\n" + body
