"""A link between two processes: framed Envelopes over one TCP connection."""

from collections.abc import Callable

from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import Int32StringReceiver

from bilberryring.wire.codec import (
    MAX_STRING_BYTES,
    FrameError,
    decode_message,
    encode_message,
)


class LinkProtocol(Int32StringReceiver):
    """Sends messages and passes each received message to `on_message`.

    The connection is closed at once after a frame that is malformed or too large.
    Messages of unknown types are dropped.
    """

    MAX_LENGTH = MAX_STRING_BYTES

    def __init__(
        self,
        *,
        on_open: Callable[["LinkProtocol"], None],
        on_message: Callable[["LinkProtocol", object], None],
        on_closed: Callable[["LinkProtocol"], None],
    ):
        self._on_open = on_open
        self._on_message = on_message
        self._on_closed = on_closed
        self._is_open = False
        self._bytes_sent = 0
        self._bytes_received = 0

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._is_open

    @property
    def bytes_sent(self) -> int:
        """The bytes sent on this connection, including length prefixes."""
        return self._bytes_sent

    @property
    def bytes_received(self) -> int:
        """The bytes received on this connection, including length prefixes."""
        return self._bytes_received

    def send(self, message: object) -> bool:
        """Send one message, or return `False` when the link is closed."""
        if not self._is_open:
            return False
        frame = encode_message(message)
        self._bytes_sent += len(frame) + self.prefixLength
        self.sendString(frame)
        return True

    def connectionMade(self):
        self._is_open = True
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self._on_open(self)

    def stringReceived(self, string: bytes):
        self._bytes_received += len(string) + self.prefixLength
        try:
            message = decode_message(string)
        except FrameError:
            self.transport.abortConnection()
            return
        if message is not None:
            self._on_message(self, message)

    def lengthLimitExceeded(self, length: int):
        self.transport.abortConnection()

    def connectionLost(self, reason=connectionDone):
        if self._is_open:
            self._is_open = False
            self._on_closed(self)
