"""Settings of the memory allocator of the C library."""

import contextlib
import ctypes

M_MMAP_THRESHOLD = -3
"""The number of the parameter in the interface of glibc."""
LARGE_BYTES = 256 * 1024
"""Size from which a block is mapped by itself. Blocks of each read stay below it."""


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


def return_free_pages() -> None:
    """Return free pages between blocks that are in use to the system."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).malloc_trim(0)
