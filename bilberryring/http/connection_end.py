"""What the end of a connection says about an answer that nothing else ends.

A body without a length or chunks ends with its connection (RFC 9112, section 6.3).
The HTTP client of Twisted reports such an end in the same way, `PotentialDataLoss`,
whether the connection was closed in order or reset. The connection itself is told.
"""

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure


class ConnectionEnd:
    """How the connection of one request ended.

    It is not in order until the peer has closed it so. A connection that was opened
    for an earlier request reports to that one.
    """

    def __init__(self):
        self._is_in_order = False

    @property
    def is_in_order(self) -> bool:
        """Whether the peer closed the connection in order, and this side did not."""
        return self._is_in_order

    def record(self, reason: Failure, *, is_closed_here: bool) -> None:
        """Record why the connection ended, before its protocol learns it."""
        is_done = reason.check(ConnectionDone) is not None
        self._is_in_order = is_done and not is_closed_here


class _Probe(Protocol):
    """Closes its connection as soon as it is open."""

    def connectionMade(self) -> None:
        self.transport.abortConnection()


async def accepts_connection(
    reactor: IReactorTCP, address: tuple[str, int], *, timeout: float
) -> bool:
    """Return whether a peer accepts a new connection within `timeout` seconds."""
    host, port = address
    peer = TCP4ClientEndpoint(reactor, host, port, timeout=timeout)
    connecting: Deferred[Protocol] = peer.connect(Factory.forProtocol(_Probe))
    try:
        await connecting
    except Exception:
        return False
    return True
