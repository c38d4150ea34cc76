"""Keeps the garbage collector away from what a process imports."""

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def no_collection() -> Iterator[None]:
    """Collect no garbage in the block, and never visit later what it has made.

    It is for imports: they make many objects, which stay until the process ends.
    """
    gc.disable()
    try:
        yield
        gc.freeze()
    finally:
        gc.enable()
