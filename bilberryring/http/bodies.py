"""HTTP requests whose bodies stay in memory and are limited in size."""

from io import BytesIO

from twisted.python.failure import Failure
from twisted.web.http import NO_BODY_CODES, HTTPChannel
from twisted.web.server import Request, Site

from bilberryring.core import Delivery, ServingError
from bilberryring.http.caller_channel import (
    MIN_IDLE_SECONDS,
    CallerChannel,
    CheckHead,
    OnRefused,
)
from bilberryring.http.client_budget import ClientBudget, make_client_budget

MAX_BODY_BYTES = 24 * 1024 * 1024
IDLE_TIMEOUT_SECONDS = 60.0
"""How long a connection may send nothing before or during a request."""


class _BoundedBody(BytesIO):
    """A buffer that drops every write which would exceed its limit.

    It records that this happened, so that the request can be refused.
    """

    def __init__(self, limit: int):
        super().__init__()
        self._limit = limit
        self._is_limit_exceeded = False
        self._n_dropped: int | None = None

    @property
    def is_limit_exceeded(self) -> bool:
        """Whether a write was dropped."""
        return self._is_limit_exceeded

    def write(self, data: bytes) -> int:
        if self._n_dropped is not None:
            self._n_dropped += len(data)
            self._is_limit_exceeded |= self._n_dropped > self._limit
            return len(data)
        if self.tell() + len(data) > self._limit:
            self._is_limit_exceeded = True
            return len(data)
        return super().write(data)

    def discard(self) -> None:
        """Drop what was written and what will be; its size counts for the limit."""
        if self._n_dropped is None:
            self._n_dropped = self.tell()
            self.seek(0)
            self.truncate()


class BoundedRequest(Request):
    """A request that keeps its body in memory, for VMs without a disk.

    The request class of Twisted writes large bodies to a temporary file. `refusal` is
    why the request is refused whatever its body is, which is dropped then.
    """

    refusal: ServingError | None = None
    _body_buffer: _BoundedBody | None = None

    @property
    def max_body_bytes(self) -> int:
        """The size of the largest body that is kept."""
        return MAX_BODY_BYTES

    def gotLength(self, length: int | None) -> None:
        self._body_buffer = _BoundedBody(self.max_body_bytes)
        self.content = self._body_buffer

    def parseCookies(self) -> None:
        """Leave cookies in their header: a table of many short ones is large."""

    def discard_body(self) -> None:
        """Drop what has arrived of the body, and what follows."""
        if self._body_buffer is not None:
            self._body_buffer.discard()

    @property
    def is_body_too_large(self) -> bool:
        """Whether the body is larger than `max_body_bytes`."""
        return self._body_buffer.is_limit_exceeded

    @property
    def delivery(self) -> Delivery:
        """What the caller has got of the response."""
        if not self.startedWriting:
            return Delivery.NOTHING
        return Delivery.WHOLE if self.finished else Delivery.CUT

    @property
    def has_caller_left(self) -> bool:
        """Whether the connection was closed before the response was complete."""
        return self._disconnected and not self.finished

    def write(self, data: bytes) -> None:
        """Send body bytes; the first ones follow the status line and headers."""
        is_first = not self.startedWriting
        super().write(data)
        if is_first and self.startedWriting and self._ends_with_connection:
            self.channel.begin_response_until_close()

    def finish(self) -> None:
        """Complete the response."""
        if not self.startedWriting:
            self.write(b"")
        if self._ends_with_connection:
            self.channel.end_response_by_close()
        super().finish()

    @property
    def _ends_with_connection(self) -> bool:
        """Whether only the end of the connection marks the end of the response."""
        is_framed = self.chunked or self.responseHeaders.hasHeader(b"content-length")
        has_body = self.method != b"HEAD" and self.code not in NO_BODY_CODES
        is_caller = isinstance(self.channel, CallerChannel)
        return is_caller and has_body and not is_framed

    def read_body(self) -> bytes:
        """Return the body, which is incomplete when `is_body_too_large`.

        Raises `refusal` if the body was dropped for it.
        """
        if self.refusal is not None:
            raise self.refusal
        # Unlike `read` this makes no copy.
        return self.content.getvalue()


class _TrackedChannel(HTTPChannel):
    """A connection that its site knows of while it is open."""

    def connectionMade(self) -> None:
        self.factory.channel_opened(self)
        super().connectionMade()

    def connectionLost(self, reason: Failure) -> None:
        self.factory.channel_closed(self)
        super().connectionLost(reason)


class DrainableCallerChannel(_TrackedChannel, CallerChannel):
    """A caller's connection that its site knows of while it is open."""


class DrainableSite(Site):
    """A site that counts its open connections and can close them after their output.

    With `limits`, connections are those of callers: `channel` is their class, and
    `on_refused` is called with the code of each request that is refused unread,
    `check_head` with each request that has a body, before it arrives.
    """

    protocol = _TrackedChannel
    is_always_served = False
    """Whether requests are served also while no memory is left."""

    def __init__(
        self,
        *args,
        channel: type[DrainableCallerChannel] = DrainableCallerChannel,
        limits: object = None,
        on_refused: OnRefused | None = None,
        check_head: CheckHead | None = None,
        client_budget: ClientBudget | None = None,
        is_always_served: bool = False,
        **kwargs,
    ):
        super().__init__(*args, **kwargs)
        self._channels: set[HTTPChannel] = set()
        self._limits = limits
        self._on_refused = on_refused
        self.check_head = check_head
        self.client_budget = client_budget
        self.is_always_served = is_always_served
        if client_budget is None and limits is not None:
            self.client_budget = make_client_budget(
                clock=self.reactor, largest_request_bytes=limits.max_body_bytes
            )
        self.timeOut = IDLE_TIMEOUT_SECONDS
        if limits is not None:
            self.protocol = channel
            self.timeOut = limits.idle_timeout

    @property
    def limits(self):
        """The limits on callers' requests."""
        return self._limits

    def buildProtocol(self, addr):
        channel = super().buildProtocol(addr)
        channel.on_refused = self._on_refused
        return channel

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        return len(self._channels)

    def channel_opened(self, channel: HTTPChannel) -> None:
        """Count a connection that was accepted."""
        self._channels.add(channel)

    def channel_closed(self, channel: HTTPChannel) -> None:
        """Forget a connection that was closed."""
        self._channels.discard(channel)

    def close_idle(self) -> None:
        """Close the callers' connections that were just idle, after their output.

        One that was opened a moment ago has its request still under way.
        """
        now = self.reactor.seconds()
        for channel in tuple(self._channels):
            if channel.idle_seconds(now=now) >= MIN_IDLE_SECONDS:
                channel.close_after_output(seconds=MIN_IDLE_SECONDS)

    def close_connections(self) -> None:
        """Close each connection once its written data has been sent."""
        for channel in tuple(self._channels):
            channel.loseConnection()


def make_site(resource, **options) -> DrainableSite:
    """Return a site whose requests keep their bodies in memory.

    `options` are those of `DrainableSite`.
    """
    site = DrainableSite(
        resource,
        requestFactory=BoundedRequest,
        parsePOSTFormSubmission=False,
        **options,
    )
    site.displayTracebacks = False
    return site
