"""Settings of the memory allocator of the C library."""

import contextlib
import ctypes
import resource
from pathlib import Path

M_MMAP_THRESHOLD = -3
"""The number of the parameter in the interface of glibc."""
LARGE_BYTES = 256 * 1024
"""Size from which a block is mapped by itself. Blocks of each read stay below it."""

WORTHWHILE_BYTES = 2 * 1024 * 1024
USELESS_SECONDS = 5.0
"""Seconds until free pages are looked for again when fewer than `WORTHWHILE_BYTES` were
found, as in a process whose tables are large. One look takes 0.1 to 1.3 ms."""


def return_large_blocks() -> bool:
    """Let large blocks go back to the system as soon as they are freed.

    By default the C library raises the size from which it does so up to 32 MiB, after
    the first large block was freed; later ones then leave gaps between smaller ones.
    Returns whether the library has this parameter.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return bool(mallopt(M_MMAP_THRESHOLD, LARGE_BYTES))


class FreePages:
    """Returns free pages between blocks that are in use to the system.

    Reads of 64 KiB leave such pages when small objects are made in between: 1,000
    callers whose bodies were dropped as they came left 130 MB.
    """

    def __init__(self, *, clock, above_bytes: int):
        self._clock = clock
        self._above_bytes = above_bytes
        self._returns_from = 0.0

    def update(self) -> None:
        """Return free pages if the process takes more than `above_bytes`."""
        now = self._clock.seconds()
        if now < self._returns_from:
            return
        before = resident_bytes()
        if before <= self._above_bytes:
            return
        with contextlib.suppress(OSError, AttributeError):
            ctypes.CDLL(None).malloc_trim(0)
        if before - resident_bytes() < WORTHWHILE_BYTES:
            self._returns_from = now + USELESS_SECONDS


def resident_bytes() -> int:
    """Return the memory that the process takes, or 0 if the system does not tell."""
    try:
        text = Path("/proc/self/statm").read_bytes()
    except OSError:
        return 0
    return int(text.split()[1]) * resource.getpagesize()
