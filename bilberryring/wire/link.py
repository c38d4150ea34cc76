"""A link between two processes: framed Envelopes over one TCP connection."""

import typing
from collections.abc import Callable

from twisted.internet.interfaces import IDelayedCall
from twisted.internet.protocol import Protocol, connectionDone

from bilberryring.core import has_unread, set_tcp_options
from bilberryring.wire.codec import (
    MAX_STRING_BYTES,
    FrameError,
    decode_message,
    encode_message,
)

PREFIX_BYTES = 4
"""Bytes of the length that precedes each frame."""
CONNECTION_BYTES = 8 * 1024
"""Memory of a link that holds no data."""
FRAME_SECONDS = 60.0
"""Seconds within which a frame that has begun has to be complete."""


class LinkAccount(typing.Protocol):
    """What a link holds, as its budget counts it."""

    is_evictable: bool

    def hold(self, n_bytes: int) -> None:
        """Hold `n_bytes` in all."""

    def advance(self, n_bytes: int, *, now: float) -> None:
        """Record that the peer has sent `n_bytes`."""


class LinkBudget(typing.Protocol):
    """What all clients of a process may occupy together."""

    def open(self, connection: object, *, address: str) -> LinkAccount:
        """Return the account of a new connection."""

    def admit(self, account: LinkAccount) -> None:
        """Close a connection if a new one is too many."""

    def make_room(self, account: LinkAccount, n_bytes: int) -> bool:
        """Whether a connection may hold `n_bytes` more."""

    def close(self, account: LinkAccount) -> None:
        """Forget a connection that was closed."""


class LinkProtocol(Protocol):
    """Sends messages and passes each received message to `on_message`.

    The connection is closed at once after a frame that is malformed or larger than
    `max_frame_bytes`, or that is not complete in time. Messages of unknown types are
    dropped. With a `budget` what is received counts for it, and the link may be closed
    for others until `keep` is called.
    """

    def __init__(
        self,
        *,
        clock,
        on_open: Callable[["LinkProtocol"], None],
        on_message: Callable[["LinkProtocol", object], None],
        on_closed: Callable[["LinkProtocol"], None],
        max_frame_bytes: int = MAX_STRING_BYTES,
        budget: LinkBudget | None = None,
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
        self._budget = budget
        self._account: LinkAccount | None = None

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._is_open and not self._is_ended

    @property
    def is_receiving(self) -> bool:
        """Whether something has arrived that was not read, or a part of a message."""
        return self.is_open and (bool(self._unread) or has_unread(self.transport))

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

    def keep(self) -> None:
        """Keep the link whatever others need: its peer has said who it is."""
        if self._account is not None:
            self._account.is_evictable = False

    def evict(self, cause: object) -> None:
        """Close the link, so that others have what it holds; called by the budget."""
        self._close_account()
        self._abort()

    def update_output(self) -> None:
        """Count what an unknown peer has not read; called by the budget."""
        if self._account.is_evictable:
            output = self._output_bytes()
            self._account.hold(CONNECTION_BYTES + len(self._unread) + output)

    def send(self, message: object) -> bool:
        """Send one message, or return `False` when the link is closed or ended."""
        if not self.is_open:
            return False
        frame = encode_message(message)
        self._bytes_sent += PREFIX_BYTES + len(frame)
        self.transport.write(len(frame).to_bytes(PREFIX_BYTES, "big") + frame)
        if self._account is not None and self._account.is_evictable:
            self._count(0)
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
        if self._budget is not None:
            address = self.transport.getPeer().host
            self._account = self._budget.open(self, address=address)
            self._account.hold(CONNECTION_BYTES)
            self._budget.admit(self._account)

    def dataReceived(self, data: bytes):
        if self._is_aborted:
            return
        # Appending in place: a copy of what was received, at each read, would cost
        # seconds for a large frame, and for ever for one that comes byte by byte.
        self._unread += data
        self._read_frames()
        if self._account is not None:
            self._count(len(data))
        if self._unread and self._frame_timer is None:
            self._frame_timer = self._clock.callLater(FRAME_SECONDS, self._frame_is_due)

    def _count(self, n_bytes: int) -> None:
        """Count what is held, and close an unknown peer's link if that is too much."""
        account = self._account
        account.advance(n_bytes, now=self._clock.seconds())
        account.hold(CONNECTION_BYTES + len(self._unread) + self._output_bytes())
        if account.is_evictable and not self._budget.make_room(account, 0):
            self._abort()

    def _output_bytes(self) -> int:
        """Return the bytes that the peer has not read."""
        in_buffer = len(getattr(self.transport, "dataBuffer", b""))
        return in_buffer + getattr(self.transport, "_tempDataLen", 0)

    def _close_account(self) -> None:
        if self._account is not None:
            self._budget.close(self._account)

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
        self._close_account()
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
