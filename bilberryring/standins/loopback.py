"""Addresses on loopback networks that one process at a time has on a machine.

A port that was drawn and closed again, to be given to a process that is started later,
can be taken meanwhile: on 127.0.0.1 by any listener or outgoing connection. Here each
holder has a network of its own, whose addresses no outgoing connection is given, and
ports below those that the kernel assigns. An address is returned once only, so that
one whose listener has closed is not given to another one.
"""

import contextlib
import functools
import itertools
import random
import socket

CLAIM_HOST_NUMBER = 254
CLAIM_PORT = 20_000
"""A holder keeps a socket bound here; the kernel gives it to one process at a time."""
MAX_CLAIMS = 1_000
FIRST_LISTENER_HOST_NUMBER = 200
FIRST_LISTENER_PORT = 20_001
LISTENER_PORTS = 10_000
BACKLOG = 512


class LoopbackNetwork:
    """256 loopback IP addresses that nobody else has until `close` or the exit.

    >>> with LoopbackNetwork() as network:
    ...     network.host(1).startswith("127.")
    True
    """

    def __init__(self):
        self._prefix, self._claim = _claim_network()
        self._numbers = itertools.count()

    def __enter__(self) -> "LoopbackNetwork":
        return self

    def __exit__(self, *exception) -> None:
        self.close()

    def host(self, number: int) -> str:
        """Return the IP address with a number; those from 200 on are for `allocate`."""
        return f"{self._prefix}.{number}"

    def allocate(self) -> str:
        """Return `host:port`, never the same twice, for a process to listen on."""
        with self.listen() as listener:
            host, port = listener.getsockname()
        return f"{host}:{port}"

    def listen(self) -> socket.socket:
        """Return a listener on an address that was not returned before."""
        for number in self._numbers:
            host_offset, port_offset = divmod(number, LISTENER_PORTS)
            host_number = FIRST_LISTENER_HOST_NUMBER + host_offset
            if host_number >= CLAIM_HOST_NUMBER:
                break
            address = (self.host(host_number), FIRST_LISTENER_PORT + port_offset)
            # A listener on all IP addresses may have this port.
            with contextlib.suppress(OSError):
                return socket.create_server(address, backlog=BACKLOG)
        raise RuntimeError("all addresses of the network were used")

    def close(self) -> None:
        """Let others have the network."""
        self._claim.close()


@functools.cache
def process_network() -> LoopbackNetwork:
    """Return the network that this process keeps until it exits."""
    return LoopbackNetwork()


def _claim_network() -> tuple[str, socket.socket]:
    numbers = random.SystemRandom()
    for _ in range(MAX_CLAIMS):
        prefix = f"127.{numbers.randrange(1, 255)}.{numbers.randrange(1, 255)}"
        claim = socket.socket()
        try:
            claim.bind((f"{prefix}.{CLAIM_HOST_NUMBER}", CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        return prefix, claim
    raise RuntimeError(
        f"no loopback network could be claimed. Remedy: free port {CLAIM_PORT}"
    )
