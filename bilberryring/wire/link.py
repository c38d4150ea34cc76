"""A link between two processes: framed Envelopes over one TCP connection."""

from collections.abc import Callable

from twisted.internet.interfaces import IDelayedCall
from twisted.internet.protocol import Protocol, connectionDone

from bilberryring.core import set_tcp_options
from bilberryring.wire.codec import (
    MAX_STRING_BYTES,
    FrameError,
    decode_message,
    encode_message,
)

PREFIX_BYTES = 4
"""Bytes of the length that precedes each frame."""
FRAME_SECONDS = 60.0
"""Seconds within which a frame that has begun has to be complete."""


class LinkProtocol(Protocol):
    """Sends messages and passes each received message to `on_message`.

    The connection is closed at once after a frame that is malformed or larger than
    `max_frame_bytes`, or that is not complete in time. Messages of unknown types are
    dropped.
    """

    def __init__(
        self,
        *,
        clock,
        on_open: Callable[["LinkProtocol"], None],
        on_message: Callable[["LinkProtocol", object], None],
        on_closed: Callable[["LinkProtocol"], None],
        max_frame_bytes: int = MAX_STRING_BYTES,
    ):
        self._clock = clock
        self._max_frame_bytes = max_frame_bytes
        self._on_open = on_open
        self._on_message = on_message
        self._on_closed = on_closed
        self._is_open = False
        self._is_ended = False
        self._is_aborted = False
        self._unread = bytearray()
        self._frame_timer: IDelayedCall | None = None
        self._bytes_sent = 0
        self._bytes_received = 0

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._is_open and not self._is_ended

    @property
    def bytes_sent(self) -> int:
        """The bytes sent on this connection, including length prefixes."""
        return self._bytes_sent

    @property
    def bytes_received(self) -> int:
        """The bytes received on this connection, including length prefixes."""
        return self._bytes_received

    def set_max_frame(self, n_bytes: int) -> None:
        """Close the connection from now on only after a frame larger than this."""
        self._max_frame_bytes = n_bytes

    def send(self, message: object) -> bool:
        """Send one message, or return `False` when the link is closed or ended."""
        if not self.is_open:
            return False
        frame = encode_message(message)
        self._bytes_sent += PREFIX_BYTES + len(frame)
        self.transport.write(len(frame).to_bytes(PREFIX_BYTES, "big") + frame)
        return True

    def end(self) -> None:
        """Send nothing more after what was sent; the peer closes once it has read all.

        What the peer has sent is still received: closing a connection with unread data
        would drop what the peer has not read yet.
        """
        if self.is_open:
            self._is_ended = True
            self.transport.loseWriteConnection()

    def connectionMade(self):
        self._is_open = True
        set_tcp_options(self.transport)
        self._on_open(self)

    def dataReceived(self, data: bytes):
        if self._is_aborted:
            return
        # Appending in place: a copy of what was received, at each read, would cost
        # seconds for a large frame, and for ever for one that comes byte by byte.
        self._unread += data
        self._read_frames()
        if self._unread and self._frame_timer is None:
            self._frame_timer = self._clock.callLater(FRAME_SECONDS, self._frame_is_due)

    def _read_frames(self) -> None:
        while not self._is_aborted:
            if len(self._unread) < PREFIX_BYTES:
                return
            length = int.from_bytes(self._unread[:PREFIX_BYTES], "big")
            if length > self._max_frame_bytes:
                self._abort()
                return
            end = PREFIX_BYTES + length
            if len(self._unread) < end:
                return
            with memoryview(self._unread) as unread:
                frame = bytes(unread[PREFIX_BYTES:end])
            del self._unread[:end]
            self._stop_frame_timer()
            self._bytes_received += end
            self._receive_frame(frame)

    def connectionLost(self, reason=connectionDone):
        self._unread.clear()
        self._stop_frame_timer()
        if self._is_open:
            self._is_open = False
            self._on_closed(self)

    def _receive_frame(self, frame: bytes) -> None:
        try:
            message = decode_message(frame)
        except FrameError:
            self._abort()
            return
        if message is not None:
            self._on_message(self, message)

    def _abort(self) -> None:
        """Close the connection at once, and read nothing more from it."""
        self._is_aborted = True
        self._unread.clear()
        self._stop_frame_timer()
        self.transport.abortConnection()

    def _frame_is_due(self) -> None:
        """Close the link, once what has arrived meanwhile was read."""
        self._frame_timer = self._clock.callLater(0, self._abort)

    def _stop_frame_timer(self) -> None:
        timer, self._frame_timer = self._frame_timer, None
        if timer is not None and timer.active():
            timer.cancel()
