"""Options of TCP connections between hosts that may vanish."""

import socket

TCP_USER_TIMEOUT_MS = 5_000
"""Milliseconds after which a connection is closed whose data or keep-alive probes the
other host does not acknowledge, or whose data the other process does not read once the
buffers are full. Both may pause for about two seconds and go on."""
KEEPALIVE_SECONDS = 1
"""Seconds without data before a keep-alive probe, and between two of them."""


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
