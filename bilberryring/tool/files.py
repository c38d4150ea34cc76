"""Files of operators, read up to a limit."""

from pathlib import Path

MAX_FILE_BYTES = 16 * 1024 * 1024
"""Longest file that is read; a configuration of 1,400 routes has some 0.5 MB."""


def read_bounded(path: Path, limit: int = MAX_FILE_BYTES) -> bytes:
    """Return the content of a file; `OSError` says why it cannot be read."""
    with path.open("rb") as file:
        content = file.read(limit + 1)
    if len(content) > limit:
        raise OSError(f"{path} has more than {limit} bytes")
    return content
