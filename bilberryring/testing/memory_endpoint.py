"""An HTTP endpoint in memory, whose answers end in every way."""

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from bilberryring.execution import Close, Framing
from bilberryring.http import HttpClient


class MemoryEndpoint:
    """Answers the first request of its client."""

    def __init__(self):
        self._reactor = MemoryReactorClock()
        self._client = HttpClient(reactor=self._reactor, base_url="http://127.0.0.1:9")

    @property
    def client(self) -> HttpClient:
        """The client that sends its requests here."""
        return self._client

    def answer(self, body: bytes, *, framing: Framing, close: Close) -> None:
        """Send status 200 and the body, and end the answer.

        With a length or chunks, the end mark is sent only if `close` is `AT_END`.
        """
        factory = self._reactor.tcpClients[-1][2]
        protocol = factory.buildProtocol(None)
        transport = StringTransport()
        transport.abortConnection = transport.loseConnection
        protocol.makeConnection(transport)
        protocol.dataReceived(_frame(body, framing, has_mark=close is Close.AT_END))
        match close:
            case Close.CLEAN:
                protocol.connectionLost(Failure(ConnectionDone()))
            case Close.RESET:
                protocol.connectionLost(Failure(ConnectionLost()))
        self._reactor.advance(0)


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
