"""Opens a process's listener for callers before the imports of its start.

The imports take most of a start, from 0.2 s to 2 s by the processor of the VM, and the
kernel refuses connections until the listener is open. When all gateways start at once,
as after a loss of power, callers that retry find none that accepts. With an open
listener their connections wait for the process. While other gateways serve, a refused
caller is better off: it retries at one of them at once. So the listener is opened early
only if no other gateway is found to serve.

This module imports only small parts of the standard library.
"""

import contextlib
import select
import socket
import time
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

LISTEN_BACKLOG = 512
"""Connections that wait to be accepted. The handshake of one more is dropped, and its
retransmission comes after a second, when callers have given up."""
PROBE_SECONDS = 0.03
"""Seconds in which a gateway that serves accepts a connection; a round trip of a region
takes 10 ms."""


class EarlyDecision(Enum):
    """Why a listener was opened before the imports, or not."""

    NO_PEER_SERVES = "no_peer_serves"
    PEER_SERVES = "peer_serves"
    FAILED = "failed"
    """The settings or the address cannot be used; the start reports why."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EarlyListener:
    """The listening socket, or `None`, with the reason and, for a failure, a detail."""

    socket: socket.socket | None
    decision: EarlyDecision
    detail: str = ""


def open_early(
    address: tuple[str, int], *, ready_addresses: Iterable[tuple[str, int]]
) -> EarlyListener:
    """Listen on an address unless one of the peers' addresses accepts a connection.

    A gateway listens on its ready address once it has started, and never before.
    """
    try:
        if _accepts_any(ready_addresses):
            return EarlyListener(socket=None, decision=EarlyDecision.PEER_SERVES)
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setblocking(False)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(address)
            listener.listen(LISTEN_BACKLOG)
        except OSError:
            listener.close()
            raise
    except OSError as error:
        return failed(error)
    return EarlyListener(socket=listener, decision=EarlyDecision.NO_PEER_SERVES)


def failed(error: Exception) -> EarlyListener:
    """Return that no listener was opened because of an error."""
    return EarlyListener(socket=None, decision=EarlyDecision.FAILED, detail=repr(error))


def _accepts_any(addresses: Iterable[tuple[str, int]]) -> bool:
    """Whether one of the addresses accepts a connection within `PROBE_SECONDS`."""
    with contextlib.ExitStack() as stack:
        probes = []
        for address in addresses:
            probe = stack.enter_context(
                socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            )
            probe.setblocking(False)
            probe.connect_ex(address)
            probes.append(probe)
        until = time.monotonic() + PROBE_SECONDS
        while probes and (left := until - time.monotonic()) > 0:
            _, writable, _ = select.select([], probes, [], left)
            for probe in writable:
                if probe.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0:
                    return True
                probes.remove(probe)
    return False
