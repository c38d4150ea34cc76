"""Options of TCP connections between hosts that may vanish, and of listeners."""

import ctypes
import select
import socket
import struct

TCP_USER_TIMEOUT_MS = 5_000
"""Milliseconds after which a connection is closed whose data or keep-alive probes the
other host does not acknowledge, or whose data the other process does not read once the
buffers are full. Both may pause for about two seconds and go on."""
KEEPALIVE_SECONDS = 1
"""Seconds without data before a keep-alive probe, and between two of them."""

SO_ATTACH_FILTER = 26
"""The socket option of Linux for a packet filter; `socket` does not name it."""
_FLAGS_OFFSET = 13
_SYN_FLAG = 0x02
_DROP_SYN_SEGMENTS = (
    # Load the byte of the flags.
    (0x30, 0, 0, _FLAGS_OFFSET),
    # Skip one instruction unless the flag is set.
    (0x45, 0, 1, _SYN_FLAG),
    # Return the number of bytes to keep: none, or all.
    (0x06, 0, 0, 0),
    (0x06, 0, 0, 0xFFFFFFFF),
)
"""Instructions of a classic BPF filter: code, jump if true, jump if false, operand."""


def set_tcp_options(transport) -> None:
    """Disable Nagle's algorithm and end connections to hosts that are gone.

    Without a limit a connection to an unreachable host stays open for minutes, and
    without probes for ever if no data is under way to it.
    """
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    raw = transport.getHandle()
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        raw.setsockopt(socket.IPPROTO_TCP, option, value)


def set_reset_on_close(transport, is_on: bool) -> None:
    """Let the kernel reset a connection when it is closed, instead of ending it.

    That holds also for the close of a process that is killed. What the peer has not
    received yet is discarded then.
    """
    transport.getHandle().setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", int(is_on), 0)
    )


def has_unread(descriptor) -> bool:
    """Whether data, connections or an end wait to be read on a socket or transport.

    Timers run before sockets are read, so that they may wait for as long as the process
    was busy.
    """
    poll = select.poll()
    poll.register(descriptor.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def drop_handshakes(listener: socket.socket) -> None:
    """Let no new connection begin on a listening socket; those that wait are kept.

    A caller that connects is refused by its retransmission, a second later, if the
    socket is closed by then. Without this the kernel completes connections until the
    socket is closed, and resets those that were not accepted.
    """
    program = b"".join(struct.pack("=HBBI", *item) for item in _DROP_SYN_SEGMENTS)
    instructions = ctypes.create_string_buffer(program, len(program))
    address = ctypes.addressof(instructions)
    descriptor = struct.pack("@HP", len(_DROP_SYN_SEGMENTS), address)
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, descriptor)
