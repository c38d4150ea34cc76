"""Requests whose bodies stay in memory and within a limit and a time."""

from io import BytesIO

from twisted.web.server import Request, Site

MAX_BODY_BYTES = 24 * 1024 * 1024
UPLOAD_SECONDS = 60.0


class _BoundedBody(BytesIO):
    """Stops storing at the limit; the excess is counted and dropped."""

    def __init__(self, limit: int):
        super().__init__()
        self._limit = limit
        self._is_over = False

    @property
    def is_over(self) -> bool:
        """Whether more bytes came than the limit allows."""
        return self._is_over

    def write(self, data: bytes) -> int:
        if self.tell() + len(data) > self._limit:
            self._is_over = True
            return len(data)
        return super().write(data)


class BoundedRequest(Request):
    """A request that never uses a disk, for VMs that have none.

    The library's own request spools large bodies to a temporary file.
    """

    def gotLength(self, length: int | None) -> None:
        self._body_buffer = _BoundedBody(MAX_BODY_BYTES)
        self.content = self._body_buffer

    @property
    def is_body_over(self) -> bool:
        """Whether the body is larger than the limit."""
        return self._body_buffer.is_over

    def read_body(self) -> bytes:
        """Return the whole body."""
        self.content.seek(0)
        return self.content.read()


class DrainableSite(Site):
    """A site that knows its open connections and can close them in peace."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._channels: set = set()

    @property
    def open_connections(self) -> int:
        """The connections that have not closed."""
        return len(self._channels)

    def buildProtocol(self, addr):
        channel = super().buildProtocol(addr)
        self._channels.add(channel)
        ended = channel.connectionLost

        def connection_lost(reason):
            self._channels.discard(channel)
            ended(reason)

        channel.connectionLost = connection_lost
        return channel

    def close_connections(self) -> None:
        """Close every connection once what was written has gone out."""
        for channel in tuple(self._channels):
            channel.transport.loseConnection()


def make_site(resource) -> DrainableSite:
    """Return a site whose requests keep their bodies in memory."""
    site = DrainableSite(
        resource, requestFactory=BoundedRequest, parsePOSTFormSubmission=False
    )
    site.timeOut = UPLOAD_SECONDS
    site.displayTracebacks = False
    return site
