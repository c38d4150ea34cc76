"""A peer that announces a large frame to a sidecar and sends it byte by byte."""

import contextlib
import os
import socket
import threading
import time
from pathlib import Path

import pytest

from bilberryring.testing.plan import SERVICE
from bilberryring.testing.processes import pause, wait_until
from bilberryring.wire import MAX_STRING_BYTES, Hello, encode_message

BEGUN_BYTES = MAX_STRING_BYTES - 4 * 1024 * 1024
"""Bytes of the frame that are sent at once."""
BYTE_SECONDS = 0.002
N_LOOK_UPS = 100
MOST_SECONDS = 1.0
"""Longest time that a look-up may take beside it."""
MOST_CPU_SECONDS = 5.0
"""Most processor time of the sidecar, from before the frame to the last look-up."""
MAX_GROWTH_BYTES = MAX_STRING_BYTES + 32 * 1024 * 1024


@pytest.fixture(scope="module")
def fleet(small_fleet):
    return small_fleet


class SlowPeer:
    """Says hello, and sends a frame that does not end before it is stopped."""

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self._socket = socket.create_connection((host, int(port)), timeout=10.0)
        self._is_over = threading.Event()
        hello = encode_message(Hello(process="e", role="entry", incarnation="slow"))
        self._socket.sendall(length_prefix(len(hello)) + hello)

    def begin(self):
        self._socket.sendall(length_prefix(MAX_STRING_BYTES))
        block = b"x" * 65_536
        for _ in range(BEGUN_BYTES // len(block)):
            self._socket.sendall(block)

    def trickle(self):
        with contextlib.suppress(OSError):
            while not self._is_over.wait(BYTE_SECONDS):
                self._socket.sendall(b"x")

    def stop(self):
        self._is_over.set()
        self._socket.close()


def length_prefix(n_bytes):
    return n_bytes.to_bytes(4, "big")


def peak_bytes(process):
    """Return the peak of a process's resident memory, from procfs."""
    for line in Path(f"/proc/{process.process_id}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) * 1024
    raise LookupError("VmHWM")


def cpu_seconds(process):
    """Return the processor time that a process has used, from procfs."""
    text = Path(f"/proc/{process.process_id}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def test_a_frame_that_comes_byte_by_byte_holds_up_no_call(fleet):
    endpoint = fleet.services[0]
    sidecar = fleet.process(f"sidecar-{endpoint}")
    peak_before = peak_bytes(sidecar)
    cpu_before = cpu_seconds(sidecar)
    caller = fleet.caller("entry-1", "bars")
    peer = SlowPeer(fleet.published_address(endpoint))
    peer.begin()
    trickling = threading.Thread(target=peer.trickle)
    trickling.start()
    seconds = []
    try:
        pause(0.5)
        for _ in range(N_LOOK_UPS):
            began_at = time.monotonic()
            assert caller.get(SERVICE, "effects").status == 200
            seconds.append(time.monotonic() - began_at)
    finally:
        peer.stop()
        trickling.join()
    cpu = cpu_seconds(sidecar) - cpu_before
    growth = peak_bytes(sidecar) - peak_before
    print(f"look-up at most {max(seconds):.3f} s, CPU {cpu:.1f} s, growth {growth} B")
    assert max(seconds) < MOST_SECONDS
    assert cpu < MOST_CPU_SECONDS
    assert growth < MAX_GROWTH_BYTES
    events = {line["event"] for line in fleet.log_events(sidecar.name)}
    assert "internal_fault" not in events
    wait_until(lambda: caller.get(SERVICE, "effects").status == 200, 5.0, "the sidecar")
