"""Closes a connection whose peer has ended its side, for the reason that holds.

An answer without a length or chunks ends with its connection (RFC 9112, section 6.3).
The epoll reactor of Twisted takes an error without input for an end in order. A reset
shows so while the kernel drops what was still to be written. The socket itself tells.
"""

import select
import socket

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure


def close_after_read_end(transport) -> None:
    """Close a connection that the reactor has found at its end.

    `ConnectionDone` is the reason if the peer has ended its side in order, and
    `ConnectionLost` otherwise.
    """
    is_in_order = _is_ended_in_order(transport.getHandle())
    reason = ConnectionDone() if is_in_order else ConnectionLost()
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
