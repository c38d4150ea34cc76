"""A connection to an HTTP channel without a network, and what the channel holds of it.

The transport applies backpressure as a TCP connection of the reactor does: it pauses
its producer while more than `BUFFER_BYTES` are unread by the client, and delivers
nothing while the channel does not read.
"""

import gc
import sys
import types
from collections.abc import Iterable

from twisted.internet.error import ConnectionAborted, ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from bilberryring.testing.silent_descriptor import silent_descriptor

READ_BYTES = 65_536
"""The most bytes that the reactor reads at once."""
BUFFER_BYTES = 65_536
"""Unsent bytes above which the reactor pauses the producer of a connection."""
_SHARED_TYPES = (
    type,
    types.ModuleType,
    types.FunctionType,
    types.BuiltinFunctionType,
    types.CodeType,
    types.FrameType,
)


class PlayedConnection(StringTransport):
    """Delivers bytes to a channel and keeps its output until the client reads it."""

    def __init__(self, *, channel, clock: Clock):
        super().__init__(lenient=True)
        self._channel = channel
        self._clock = clock
        self._undelivered = bytearray()
        self._unread = bytearray()
        self._read = bytearray()
        self._is_producer_paused = False
        self._is_closing = False
        self._is_write_closed = False
        self._is_lost = False
        # Objects that are kept, since the id of one that is freed is used again.
        shared = [self, clock, channel.factory]
        self._baseline = [*shared, *reachable_objects(channel, shared)]
        channel.makeConnection(self)

    @property
    def is_lost(self) -> bool:
        """Whether the connection has ended."""
        return self._is_lost

    @property
    def n_unread(self) -> int:
        """The bytes that the channel has written and the client has not read."""
        return len(self._unread)

    @property
    def output(self) -> bytes:
        """What the client has read so far."""
        return bytes(self._read)

    def held_bytes(self) -> int:
        """Return the memory of what the channel refers to, less that of a new one."""
        return sum(map(sys.getsizeof, reachable_objects(self._channel, self._baseline)))

    def send(self, data: bytes) -> None:
        """Let the client send bytes, which arrive while the channel reads."""
        self._undelivered += data
        self.deliver()

    def deliver(self) -> None:
        """Let the channel read what has arrived, in as many reads as it takes."""
        while self._undelivered and self._is_reading:
            data = bytes(self._undelivered[:READ_BYTES])
            del self._undelivered[:READ_BYTES]
            self._channel.dataReceived(data)
            self._clock.advance(0)

    def read(self, n_bytes: int) -> None:
        """Let the client read that much of the output."""
        self._read += self._unread[:n_bytes]
        del self._unread[:n_bytes]
        if self._unread:
            return
        if self._is_producer_paused and self.producer is not None:
            self._is_producer_paused = False
            self.producer.resumeProducing()
        self._close_if_flushed()
        self.deliver()

    def write(self, data: bytes) -> None:
        if self._is_lost or self._is_write_closed:
            return
        self._unread += data
        if len(self._unread) > BUFFER_BYTES and self.producer is not None:
            self._is_producer_paused = True
            self.producer.pauseProducing()

    def writeSequence(self, data) -> None:
        self.write(b"".join(data))

    def unregisterProducer(self) -> None:
        self.producer = None
        self._close_if_flushed()

    def pauseProducing(self) -> None:
        self.producerState = "paused"

    def resumeProducing(self) -> None:
        self.producerState = "producing"
        self._clock.callLater(0, self.deliver)

    def loseConnection(self) -> None:
        self._is_closing = True
        self._close_if_flushed()

    def loseWriteConnection(self) -> None:
        self._is_write_closed = True
        self._close_if_flushed()

    def abortConnection(self) -> None:
        self._clock.callLater(0, self._lose, ConnectionAborted())

    def connectionLost(self, reason: Failure) -> None:
        self._lose(reason.value)

    def doWrite(self) -> Exception | None:
        return ConnectionDone() if self._is_closing and not self._unread else None

    def end_sending(self) -> None:
        """Let the client end its side of the connection."""
        if not self._is_lost and not self._undelivered:
            self._channel.readConnectionLost()
            self._clock.advance(0)

    def getHandle(self):
        return self

    def fileno(self) -> int:
        return silent_descriptor()

    def setsockopt(self, level: int, option: int, value: bytes) -> None:
        """Accept any option; a reset is not told from an end here."""

    @property
    def _is_reading(self) -> bool:
        return not (self._is_lost or self._is_closing or self.producerState == "paused")

    def _close_if_flushed(self) -> None:
        if self._unread or self._is_lost:
            return
        if self._is_closing and self.producer is None:
            self._clock.callLater(0, self._lose, ConnectionDone())
        elif self._is_write_closed:
            self._clock.callLater(0, self._channel.writeConnectionLost)

    def _lose(self, error: Exception) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._channel.connectionLost(Failure(error))


def reachable_objects(root: object, excluded: Iterable[object] = ()) -> list[object]:
    """Return what `root` refers to, directly or not, but for excluded objects.

    Classes, modules and functions are shared by all connections, and are left out.
    """
    seen = {id(item) for item in excluded}
    found = []
    to_visit = gc.get_referents(root, getattr(root, "__dict__", None))
    while to_visit:
        item = to_visit.pop()
        if id(item) in seen or isinstance(item, _SHARED_TYPES):
            continue
        seen.add(id(item))
        found.append(item)
        to_visit.extend(gc.get_referents(item))
    return found
