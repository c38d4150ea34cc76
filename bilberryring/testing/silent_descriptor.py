"""A descriptor for played transports, whose users may ask what waits to be read."""

import functools
import os


@functools.cache
def silent_descriptor() -> int:
    """Return a file descriptor on which neither data nor an end ever waits."""
    return os.pipe()[0]
