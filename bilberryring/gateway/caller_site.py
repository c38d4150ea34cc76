"""The HTTP server for callers. Requests are read completely before they are handled."""

from collections.abc import Callable
from functools import partial

from twisted.internet.error import ConnectionAborted
from twisted.internet.interfaces import IPushProducer
from twisted.web import http
from twisted.web.http_headers import Headers
from zope.interface import implementer

from bilberryring.core import ClosedBy, Delivery
from bilberryring.fleet import CallerLimits
from bilberryring.gateway.messages import CallerRequest, HeaderPairs
from bilberryring.http import (
    MIN_IDLE_SECONDS,
    BoundedRequest,
    CallerChannel,
    CheckHead,
    ClientBudget,
    OnRefused,
    make_client_budget,
)

LINGER_BYTES = 8 * 1024 * 1024
"""Bytes of a refused request that are read and dropped, so that its caller, which may
write all of it first, gets the answer."""
LINGER_SECONDS = 2.0
"""Seconds for which they are."""

OnRequest = Callable[["CallerExchange"], None]


@implementer(IPushProducer)
class _BackpressureProducer:
    """Pauses the endpoint's connection while the caller reads the response slowly."""

    def __init__(self, *, clock):
        self._clock = clock
        self._source = None
        self._is_paused = False
        self._resumed_at = 0.0

    @property
    def held_until(self) -> float:
        """The time until which data was last held back; now while it is."""
        return self._clock.seconds() if self._is_paused else self._resumed_at

    def hold(self, source) -> None:
        """Pause and resume the transport `source` from now on."""
        self._source = source
        if self._is_paused:
            source.pauseProducing()

    def release_source(self) -> None:
        """Let the transport be read, whatever the caller does; it may be reused."""
        if self._source is not None and self._is_paused:
            self._source.resumeProducing()
        self._source = None

    def pauseProducing(self) -> None:
        self._is_paused = True
        if self._source is not None:
            self._source.pauseProducing()

    def resumeProducing(self) -> None:
        self._is_paused = False
        self._resumed_at = self._clock.seconds()
        if self._source is not None:
            self._source.resumeProducing()

    def stopProducing(self) -> None:
        self.release_source()


class CallerExchange(BoundedRequest):
    """A caller's request and the response to it."""

    defaultContentType = None
    """`None` stops Twisted from adding a Content-Type to a response without one."""

    def __init__(self, channel, *args, on_request: OnRequest, reactor, **kwargs):
        super().__init__(channel, *args, **kwargs)
        self._on_request = on_request
        self._reactor = reactor
        self._backpressure: _BackpressureProducer | None = None
        self._is_disconnected = False
        self._closed_by: ClosedBy | None = None
        self._is_left_incomplete = False
        self._closes_after_response = False

    @property
    def max_body_bytes(self) -> int:
        """The size of the largest body that the operators allow."""
        return self.channel.factory.limits.max_body_bytes

    @property
    def is_closed(self) -> bool:
        """Whether the caller has disconnected or the response is complete."""
        return self._is_disconnected or bool(self.finished)

    @property
    def closed_by(self) -> ClosedBy | None:
        """Who closed the connection before the response was complete, if it is."""
        return self._closed_by

    @property
    def has_started(self) -> bool:
        """Whether the status line of the response has been sent."""
        return bool(self.startedWriting)

    @property
    def held_back_until(self) -> float:
        """The time until which the caller last held the answer back; now if it does."""
        return 0.0 if self._backpressure is None else self._backpressure.held_until

    @property
    def delivery(self) -> Delivery:
        """What the caller has got of the response."""
        if not self.has_started:
            return Delivery.NOTHING
        if not self.finished:
            return Delivery.UNMARKED if self._is_left_incomplete else Delivery.CUT
        return Delivery.WHOLE

    def read_headers(self) -> HeaderPairs:
        """Return the headers of the request."""
        return tuple(
            (name, value)
            for name, values in self.requestHeaders.getAllRawHeaders()
            for value in values
        )

    def read_request(self) -> CallerRequest:
        """Return the request with its complete body."""
        return CallerRequest(
            method=self.method,
            target=self.uri,
            headers=self.read_headers(),
            body=b"" if self.refusal else self.read_body(),
            received_at=self._reactor.seconds(),
            refusal=self.refusal,
        )

    def start(self, status: int, reason: bytes, headers: HeaderPairs) -> None:
        """Set the status line and headers, which are sent with the first body bytes.

        A second call before the first body bytes replaces the earlier values.
        """
        if self._closes_after_response and not self.channel.has_next_request:
            self.channel.persistent = False
        self.setResponseCode(status, reason or None)
        self.responseHeaders = Headers()
        for name, value in headers:
            self.responseHeaders.addRawHeader(name, value)
        if not self.channel.persistent:
            self.responseHeaders.setRawHeaders(b"Connection", [b"close"])

    def close_after_response(self) -> None:
        """Close the connection after this response, and send `Connection: close`.

        A connection on which another request has been received stays open for that one.
        """
        self._closes_after_response = True

    def apply_backpressure(self, source) -> None:
        """Pause the transport `source` while the caller reads too slowly.

        A later call replaces the source.
        """
        if self._backpressure is None:
            self._backpressure = _BackpressureProducer(clock=self._reactor)
            self.registerProducer(self._backpressure, True)
        self._backpressure.hold(source)

    def end(self) -> None:
        """Complete the response."""
        if self.is_closed:
            return
        self._remove_backpressure()
        self.finish()

    def abort(self) -> None:
        """Reset the connection, so that the caller notices the incomplete response."""
        if self.is_closed:
            return
        self._remove_backpressure()
        self.channel.transport.abortConnection()

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Handle the request without a table of its query, which may have many fields.

        The query is passed on as a part of the target.
        """
        self.method, self.uri, self.clientproto = command, path, version
        self.path = path.split(b"?", 1)[0]
        self.process()

    def process(self) -> None:
        self._on_request(self)

    def leave_incomplete(self) -> None:
        """Close the connection without the last chunk, once all data has been sent.

        Unlike after a reset, the caller gets all that was written.
        """
        if self.is_closed:
            return
        self._remove_backpressure()
        self._is_left_incomplete = True
        self.channel.loseConnection()

    def connectionLost(self, reason) -> None:
        self._is_disconnected = True
        is_closed_here = reason.check(ConnectionAborted) is not None or getattr(
            self.channel.transport, "disconnecting", False
        )
        self._closed_by = ClosedBy.SERVER if is_closed_here else ClosedBy.CALLER
        if self._backpressure is not None:
            self._backpressure.release_source()
        super().connectionLost(reason)

    def _remove_backpressure(self) -> None:
        if self._backpressure is not None:
            self._backpressure.release_source()
            self._backpressure = None
            self.unregisterProducer()


class GatewayChannel(CallerChannel):
    """Reads a part of what a caller still sends of a request that is refused."""

    linger_bytes = LINGER_BYTES
    linger_seconds = LINGER_SECONDS


class CallerSite(http.HTTPFactory):
    """Accepts callers' connections and keeps track of the open ones."""

    protocol = GatewayChannel
    """Only HTTP/1.1, because its channel lists the requests in progress."""

    def __init__(
        self,
        *,
        reactor,
        on_request: OnRequest,
        limits: Callable[[], CallerLimits] = CallerLimits,
        on_refused: OnRefused | None = None,
        check_head: CheckHead | None = None,
        client_budget: ClientBudget | None = None,
        is_always_served: bool = False,
    ):
        self.is_always_served = is_always_served
        self.check_head = check_head
        self.client_budget = client_budget or make_client_budget(
            clock=reactor, largest_request_bytes=limits().max_body_bytes
        )
        self._limits = limits
        self._on_refused = on_refused
        super().__init__(timeout=limits().idle_timeout, reactor=reactor)
        self._request_factory = partial(
            CallerExchange,
            on_request=on_request,
            reactor=reactor,
            parsePOSTFormSubmission=False,
        )
        self._channels: set = set()

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        return len(self._channels)

    @property
    def output_bytes(self) -> int:
        """The number of bytes that wait to be passed to the kernel."""
        return sum(channel.output_bytes for channel in self._channels)

    @property
    def limits(self) -> CallerLimits:
        """The limits on requests that are in force now."""
        return self._limits()

    def buildProtocol(self, addr):
        self.timeOut = self.limits.idle_timeout
        channel = super().buildProtocol(addr)
        channel.requestFactory = self._request_factory
        channel.on_refused = self._on_refused
        self._channels.add(channel)
        connection_lost_base = channel.connectionLost

        def connection_lost(reason):
            self._channels.discard(channel)
            # Without this the channel refers to itself, and stays until garbage is
            # collected.
            del channel.connectionLost
            connection_lost_base(reason)

        channel.connectionLost = connection_lost
        return channel

    def close_idle(self) -> int:
        """Close the connections that were just idle; return their number.

        One that was opened a moment ago has its request still under way.
        """
        now = self.reactor.seconds()
        idle = [
            channel
            for channel in self._channels
            if channel.idle_seconds(now=now) >= MIN_IDLE_SECONDS
        ]
        for channel in idle:
            channel.close_if_idle(seconds=MIN_IDLE_SECONDS)
        return len(idle)

    def log(self, request) -> None:
        """Write no access log, because the event log has a line for each request."""
