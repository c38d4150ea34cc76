"""The callers' side: whole requests in, whole answers out."""

from collections.abc import Callable
from functools import partial

from twisted.internet.interfaces import IPushProducer
from twisted.web import http
from twisted.web.http_headers import Headers
from zope.interface import implementer

from bilberryring.gateway.messages import CallerRequest, HeaderPairs
from bilberryring.http import BoundedRequest

OnRequest = Callable[["CallerExchange"], None]


@implementer(IPushProducer)
class _Throttle:
    """Pauses and resumes the endpoint whose answer a caller reads slowly."""

    def __init__(self):
        self.source = None

    def pauseProducing(self) -> None:
        if self.source is not None:
            self.source.pauseProducing()

    def resumeProducing(self) -> None:
        if self.source is not None:
            self.source.resumeProducing()

    def stopProducing(self) -> None:
        self.source = None


class CallerExchange(BoundedRequest):
    """One request of a caller and its answer."""

    defaultContentType = None
    """No type is added to an endpoint's answer that has none."""

    def __init__(self, channel, *args, on_request: OnRequest, reactor, **kwargs):
        super().__init__(channel, *args, **kwargs)
        self._on_request = on_request
        self._reactor = reactor
        self._throttle: _Throttle | None = None
        self._is_gone = False

    @property
    def is_gone(self) -> bool:
        """Whether the caller has left or was answered."""
        return self._is_gone or bool(self.finished)

    @property
    def has_started(self) -> bool:
        """Whether the status line was sent."""
        return bool(self.startedWriting)

    def read_request(self) -> CallerRequest:
        """Return the whole request."""
        return CallerRequest(
            method=self.method,
            target=self.uri,
            headers=tuple(
                (name, value)
                for name, values in self.requestHeaders.getAllRawHeaders()
                for value in values
            ),
            body=self.read_body(),
            received_at=self._reactor.seconds(),
        )

    def start(self, status: int, reason: bytes, headers: HeaderPairs) -> None:
        """Send the status line and the headers with the first bytes.

        A second call before those replaces what the first one set.
        """
        self.setResponseCode(status, reason or None)
        self.responseHeaders = Headers()
        for name, value in headers:
            self.responseHeaders.addRawHeader(name, value)
        if not self.channel.persistent:
            self.responseHeaders.setRawHeaders(b"Connection", [b"close"])

    def close_after(self) -> None:
        """Have the connection closed after this answer, and say so."""
        self.channel.persistent = False

    def throttle(self, source) -> None:
        """Have `source` pause while the caller does not read."""
        if self._throttle is None:
            self._throttle = _Throttle()
            self.registerProducer(self._throttle, True)
        self._throttle.source = source

    def end(self) -> None:
        """Mark the answer as whole."""
        if self.is_gone:
            return
        self._unthrottle()
        self.finish()

    def cut(self) -> None:
        """Reset the connection, so that the answer cannot look whole."""
        if self.is_gone:
            return
        self._unthrottle()
        self.channel.transport.abortConnection()

    def process(self) -> None:
        self._on_request(self)

    def connectionLost(self, reason) -> None:
        self._is_gone = True
        super().connectionLost(reason)

    def _unthrottle(self) -> None:
        if self._throttle is not None:
            self._throttle.source = None
            self._throttle = None
            self.unregisterProducer()


class CallerSite(http.HTTPFactory):
    """Listens for callers; knows its open connections."""

    protocol = http.HTTPChannel
    """HTTP/1.1 alone, whose channel tells the requests in progress."""

    def __init__(self, *, reactor, on_request: OnRequest, idle_timeout: float):
        super().__init__(timeout=idle_timeout, reactor=reactor)
        self._request_factory = partial(
            CallerExchange,
            on_request=on_request,
            reactor=reactor,
            parsePOSTFormSubmission=False,
        )
        self._channels: set = set()

    @property
    def open_connections(self) -> int:
        """The callers' connections that are open."""
        return len(self._channels)

    def set_idle_timeout(self, seconds: float) -> None:
        """Set the idle time of connections that open from now on."""
        self.timeOut = seconds

    def buildProtocol(self, addr):
        channel = super().buildProtocol(addr)
        channel.requestFactory = self._request_factory
        self._channels.add(channel)
        ended = channel.connectionLost

        def connection_lost(reason):
            self._channels.discard(channel)
            ended(reason)

        channel.connectionLost = connection_lost
        return channel

    def close_idle(self) -> int:
        """Close the connections on which no request is in progress."""
        idle = [channel for channel in self._channels if not channel.requests]
        for channel in idle:
            channel.transport.loseConnection()
        return len(idle)

    def log(self, request) -> None:
        """Write no access log: the event log has a line for each request."""
