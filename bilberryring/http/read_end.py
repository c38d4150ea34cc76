"""Closes a connection whose peer has ended its side, for the reason that holds.

An answer without a length or chunks ends with its connection (RFC 9112, section 6.3).
The epoll reactor of Twisted takes an error without input for an end in order. A reset
shows so while the kernel drops what was still to be written. The socket itself tells,
and so does a peer that ends its side and resets the connection as it gets the rest of
the request.
"""

import fcntl
import select
import socket
import struct
import termios

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

REST_SECONDS = 0.5
"""Longest time in seconds for which the rest of a request is written after the peer has
ended its side."""
CHECK_SECONDS = 0.01
"""Seconds between two checks whether the rest was written."""


def close_after_read_end(clock, transport, *, awaits_rest: bool) -> None:
    """Close a connection that the reactor has found at its end.

    `ConnectionDone` is the reason if the peer has ended its side in order, and
    `ConnectionLost` otherwise. With `awaits_rest` the rest of what was written goes to
    the peer before, for `REST_SECONDS` at most: it may reset the connection then.
    """
    if not _is_ended_in_order(transport.getHandle()):
        _close(transport, ConnectionLost())
    elif awaits_rest:
        _await_rest(clock, transport, until=clock.seconds() + REST_SECONDS)
    else:
        _close(transport, ConnectionDone())


def _await_rest(clock, transport, *, until: float) -> None:
    if not transport.connected:
        return
    if _has_failed(transport.getHandle()):
        _close(transport, ConnectionLost())
    elif clock.seconds() >= until or not _has_unsent(transport):
        _close(transport, ConnectionDone())
    else:
        clock.callLater(
            CHECK_SECONDS, lambda: _await_rest(clock, transport, until=until)
        )


def _close(transport, reason: Exception) -> None:
    transport.connectionLost(Failure(reason))


def _is_ended_in_order(handle: socket.socket) -> bool:
    """Whether the peer has ended its side, and everything before that was read."""
    if _has_failed(handle):
        return False
    try:
        return handle.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return False


def _has_failed(handle: socket.socket) -> bool:
    """Whether a connection was reset or timed out, without clearing the error."""
    poll = select.poll()
    poll.register(handle.fileno(), 0)
    return bool(poll.poll(0))


def _has_unsent(transport) -> bool:
    """Whether the peer has not acknowledged all that was written."""
    if transport.dataBuffer or transport._tempDataLen:
        return True
    answer = fcntl.ioctl(transport.getHandle().fileno(), termios.TIOCOUTQ, bytes(4))
    return struct.unpack("i", answer)[0] > 0
