"""Connections of HTTP clients that are closed when an answer does not end."""

import re
from functools import partial

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import (
    IHalfCloseableProtocol,
    IReactorTCP,
    IStreamClientEndpoint,
)
from twisted.internet.protocol import connectionDone
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.python.failure import Failure
from twisted.web.client import URI
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from bilberryring.http.connection_end import ConnectionEnd
from bilberryring.http.read_end import close_after_read_end

CONNECT_TIMEOUT_SECONDS = 2.0
MAX_HEAD_BYTES = 64 * 1024
"""Bytes of an answer within which its head must end, with interim heads before it."""
MAX_ANSWER_BYTES = 32 * 1024 * 1024
"""Bytes of one answer, from its status line to its end."""
HEAD_END = b"\n\n"
INTERIM_STATUS = re.compile(rb"HTTP/1\.[01] 1\d\d")


@implementer(IHalfCloseableProtocol)
class _BoundedConnection(ProtocolWrapper):
    """Aborts the connection when the answer to the latest request is too long."""

    def __init__(self, factory, wrapped, *, end: ConnectionEnd):
        super().__init__(factory, wrapped)
        self._end = end
        self._begin_answer()

    def write(self, data: bytes) -> None:
        self._begin_answer()
        super().write(data)

    def writeSequence(self, data) -> None:
        self._begin_answer()
        super().writeSequence(data)

    def dataReceived(self, data: bytes) -> None:
        self._n_received += len(data)
        if not self._has_head:
            self._heads += data.replace(b"\r", b"")
            self._skip_interim_heads()
        limit = MAX_ANSWER_BYTES if self._has_head else MAX_HEAD_BYTES
        if self._n_received > limit:
            self.transport.abortConnection()
            return
        super().dataReceived(data)

    def readConnectionLost(self) -> None:
        """Close the connection; its end may be that of an answer without a length."""
        close_after_read_end(self.transport.reactor, self.transport, awaits_rest=True)

    def writeConnectionLost(self) -> None:
        """Do nothing: this side is never ended before the other one."""

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._end.record(reason, is_closed_here=bool(self.disconnecting))
        super().connectionLost(reason)

    def _begin_answer(self) -> None:
        self._n_received = 0
        self._has_head = False
        self._heads = b""

    def _skip_interim_heads(self) -> None:
        """Find out whether the head of the answer is complete."""
        while (end := self._heads.find(HEAD_END)) >= 0:
            if not INTERIM_STATUS.match(self._heads):
                self._has_head = True
                self._heads = b""
                return
            self._heads = self._heads[end + len(HEAD_END) :]


@implementer(IStreamClientEndpoint)
class _BoundedEndpoint:
    def __init__(self, endpoint: IStreamClientEndpoint, *, end: ConnectionEnd):
        self._endpoint = endpoint
        self._end = end

    def connect(self, protocolFactory) -> Deferred:
        factory = WrappingFactory(protocolFactory)
        factory.noisy = False
        factory.protocol = partial(_BoundedConnection, end=self._end)
        connecting = self._endpoint.connect(factory)
        return connecting.addCallback(lambda connection: connection.wrappedProtocol)


@implementer(IAgentEndpointFactory)
class BoundedEndpointFactory:
    """Connects an agent to hosts that are named by IPv4 address.

    The connections that it opens report to `end` how they end.
    """

    def __init__(self, *, reactor: IReactorTCP, end: ConnectionEnd):
        self._reactor = reactor
        self._end = end

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:
        """Return the endpoint of a URI, whose connections are bounded."""
        return _BoundedEndpoint(
            TCP4ClientEndpoint(
                self._reactor,
                uri.host.decode("ascii"),
                uri.port,
                timeout=CONNECT_TIMEOUT_SECONDS,
            ),
            end=self._end,
        )
