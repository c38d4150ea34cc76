"""Crowds of misbehaving clients, and checks that processes bear them.

A `Crowd` runs its clients without blocking, so that one thread drives them all.
"""

import contextlib
import itertools
import os
import socket
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

from bilberryring.standins.gateway_site import (
    CALLER_PORT,
    PEER_PORT,
    READY_PORT,
    make_configuration,
    make_route,
)
from bilberryring.standins.scripted_endpoint import (
    ReceivedRequest,
    answer_all,
    whole_answer,
)
from bilberryring.testing.misbehaving_requests import (
    BULK_PATH,
    HELD_PATH,
    HUGE_PATH,
    LARGE_PATH,
    ORDINARY_PATH,
    RUN_SECONDS,
    Kind,
)
from bilberryring.testing.processes import ManagedProcess, pause, wait_until

LARGE_ANSWER_BYTES = 2_000_000
HUGE_ANSWER_BYTES = 8_000_000
"""More than the kernel holds for a client that reads slowly."""
RECEIVE_BYTES = 4_096
OPENED_AT_ONCE = 25
"""Connections that are opened without a pause: fewer than fit in any backlog."""
QUIET_SECONDS = 3.0
"""A crowd has sent what it can after that long without progress of any client."""
SAMPLE_SECONDS = 0.05
STEADY_SECONDS = 1.5
"""A process has taken what was sent once its peak is the same for that long. It is
longer than a first retransmission, with which a full backlog is joined."""
STOP_FACTOR = 4
"""A crowd stops when a process has so many times the memory of its machine."""
ANSWERED_SECONDS = 60.0
"""For so long an ordinary request is repeated until it is answered."""
BULK_SERVICE = "bulk"
PORTS = {
    "caller": CALLER_PORT,
    "ready": READY_PORT,
    "operators": PEER_PORT + 1,
    "peers": PEER_PORT,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class MachineLimits:
    """What the machine of a process has, as its settings say it."""

    memory_mb: float
    max_descriptors: int

    @property
    def memory_bytes(self) -> int:
        """The memory; a megabyte has 1,000,000 bytes."""
        return int(self.memory_mb * 1_000_000)


class ProcessPeak:
    """The most memory and descriptors that a process had when it was looked at."""

    def __init__(self, process: ManagedProcess):
        self._process = process
        self._memory_bytes = 0
        self._n_descriptors = 0

    @property
    def memory_bytes(self) -> int:
        """The peak of resident memory since the start of the process."""
        return self._memory_bytes

    @property
    def n_descriptors(self) -> int:
        """The most descriptors that were open at once."""
        return self._n_descriptors

    def sample(self) -> None:
        """Look at the process, unless it has exited."""
        directory = Path(f"/proc/{self._process.process_id}")
        with contextlib.suppress(OSError):
            n_open = len(os.listdir(directory / "fd"))
            self._n_descriptors = max(self._n_descriptors, n_open)
            for line in (directory / "status").read_text().splitlines():
                if line.startswith(("VmHWM:", "VmRSS:")):
                    n_bytes = int(line.split()[1]) * 1_024
                    self._memory_bytes = max(self._memory_bytes, n_bytes)

    def wait_until_steady(self) -> None:
        """Sample until the peak no longer grows: the kernel holds what was sent."""
        started = grown = time.monotonic()
        before = None
        while (now := time.monotonic()) - grown < STEADY_SECONDS:
            if now - started > RUN_SECONDS:
                return
            self.sample()
            if before != (before := (self._memory_bytes, self._n_descriptors)):
                grown = now
            pause(SAMPLE_SECONDS)

    def check(self, limits: MachineLimits) -> None:
        """Assert that the process lives and stayed within the limits of its machine."""
        self.sample()
        print(
            f"{self._process.name}: peak {self._memory_bytes / 1e6:.0f} of "
            f"{limits.memory_mb:g} MB, {self._n_descriptors} of "
            f"{limits.max_descriptors} descriptors"
        )
        assert self._process.is_running
        assert self._memory_bytes <= limits.memory_bytes
        assert self._n_descriptors <= limits.max_descriptors


class _Client:
    """One connection; what cannot be sent at once is kept for the next round."""

    def __init__(self, address: tuple[str, int], parts: Iterable[bytes], kind: Kind):
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Otherwise the kernel takes megabytes of an answer that nobody reads.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        with contextlib.suppress(BlockingIOError):
            self._socket.connect(address)
        self._parts = iter(parts)
        self._read_bytes = kind.read_bytes
        self._unsent = memoryview(b"")
        self._is_complete = False
        self._is_closed = False

    @property
    def is_done(self) -> bool:
        """Whether nothing is left to be sent or read."""
        return self._is_closed or (self._is_complete and not self._read_bytes)

    def advance(self) -> bool:
        """Send and read once, and return whether a byte was sent or read."""
        try:
            return self._send() + self._read() > 0
        except OSError:
            self.close()
            return False

    def close(self) -> None:
        self._is_closed = True
        self._socket.close()

    def _send(self) -> int:
        if not self._unsent:
            part = next(self._parts, None)
            if part is None:
                self._is_complete = True
                return 0
            self._unsent = memoryview(part)
        try:
            n_sent = self._socket.send(self._unsent)
        except BlockingIOError:
            return 0
        self._unsent = self._unsent[n_sent:]
        return n_sent

    def _read(self) -> int:
        if not self._read_bytes:
            return 0
        try:
            data = self._socket.recv(self._read_bytes)
        except BlockingIOError:
            return 0
        if not data:
            self.close()
        return len(data)


class Crowd:
    """Clients of one kind that keep their connections until `close`."""

    def __init__(self, *, kind: Kind, addresses: Sequence[tuple[str, int]], n: int):
        self._kind = kind
        targets = itertools.islice(itertools.cycle(addresses), n)
        self._clients = []
        for number, target in enumerate(targets):
            self._clients.append(_Client(target, kind.parts(number), kind))
            if number % OPENED_AT_ONCE == 0:
                pause()

    def __enter__(self) -> "Crowd":
        return self

    def __exit__(self, *exception) -> None:
        self.close()

    def run(self, peaks: Sequence[ProcessPeak], *, stop_above: int) -> None:
        """Send until all is sent, no client gets on, or the time of the kind is over.

        It also ends once a process has more than `stop_above` bytes of memory, so that
        one without bounds does not take that of the machine which runs the test.
        The processes have taken what they read of it when this returns.

        A client whose connection is closed by the server does not come back.
        """
        started = progressed = time.monotonic()
        sampled = 0.0
        while any(not client.is_done for client in self._clients):
            has_progress = False
            for client in self._clients:
                if not client.is_done:
                    has_progress |= client.advance()
            now = time.monotonic()
            if has_progress:
                progressed = now
            if now - sampled >= SAMPLE_SECONDS:
                sampled = now
                for peak in peaks:
                    peak.sample()
            if now - progressed > QUIET_SECONDS or now - started > self._kind.seconds:
                break
            if any(peak.memory_bytes > stop_above for peak in peaks):
                return
            if self._kind.interval or not has_progress:
                pause(self._kind.interval or 0.001)
        for peak in peaks:
            peak.wait_until_steady()

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            client.close()


def crowd_configuration(version: int = 1, **changes) -> dict:
    """Return a configuration with a route for crowds beside the ordinary ones."""
    configuration = make_configuration(version)
    configuration["routes"].append(
        make_route(BULK_PATH, "idempotent", BULK_SERVICE, attempts=1)
    )
    configuration["services"].append({"name": BULK_SERVICE, "max_connections": 400})
    return configuration | changes


def answer_crowd(request: ReceivedRequest, connection: socket.socket) -> None:
    """Answer large and huge paths with many bytes, and held ones never; echo others."""
    if request.target.startswith(HELD_PATH):
        connection.recv(1)
    elif request.target.startswith(LARGE_PATH):
        connection.sendall(whole_answer(request.request_id, bytes(LARGE_ANSWER_BYTES)))
    elif request.target.startswith(HUGE_PATH):
        connection.sendall(whole_answer(request.request_id, bytes(HUGE_ANSWER_BYTES)))
    else:
        answer_all(request, connection)


def run_crowd(site, kind: Kind, n: int, limits: MachineLimits, numbers=(1,)) -> None:
    """Run a crowd against gateways of a site and check that they bear it.

    An ordinary request is answered, after some refusals if need be, while the crowd
    keeps its connections, and after it has closed them.
    """
    check_crowd(
        kind,
        n,
        addresses=[(site.host(number), PORTS[kind.port]) for number in numbers],
        processes=[site.process(f"gateway-{number}") for number in numbers],
        limits=limits,
        is_answered=lambda: all(is_answered(site, number) for number in numbers),
    )


def check_crowd(
    kind: Kind,
    n: int,
    *,
    addresses: Sequence[tuple[str, int]],
    processes: Sequence[ManagedProcess],
    limits: MachineLimits,
    is_answered: Callable[[], bool],
) -> None:
    """Run a crowd of `n` clients and check that the processes bear it."""
    peaks = [ProcessPeak(process) for process in processes]
    what = "an ordinary request to be answered"
    try:
        with Crowd(kind=kind, addresses=addresses, n=n) as crowd:
            crowd.run(peaks, stop_above=STOP_FACTOR * limits.memory_bytes)
            wait_until(is_answered, ANSWERED_SECONDS, what)
        wait_until(is_answered, ANSWERED_SECONDS, what)
    finally:
        for peak in peaks:
            peak.check(limits)


def is_answered(site, number: int = 1) -> bool:
    """Whether an ordinary request is answered as without a crowd."""
    try:
        answer = site.call(ORDINARY_PATH, number=number)
    except OSError:
        return False
    return (answer.status, answer.body) == (200, b"ok x")
