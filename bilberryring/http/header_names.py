"""A bound on the header names that the HTTP library remembers.

It keeps the canonical form of up to 10,000 names of any length, twice, for as long as
the process runs. Names of 16 KiB would take 320 MB.
"""

from twisted.web import http_headers

MAX_NAMES = 1_000
MAX_NAME_BYTES = 64


class _BoundedNames(dict):
    """The canonical forms of the first short names; others are computed each time."""

    def __setitem__(self, name: str | bytes, canonical: bytes) -> None:
        if len(name) <= MAX_NAME_BYTES and len(self) < MAX_NAMES:
            super().__setitem__(name, canonical)


def bound_header_names() -> None:
    """Let the library remember few and short header names."""
    encoder = http_headers._nameEncoder
    if not isinstance(encoder._canonicalHeaderCache, _BoundedNames):
        encoder._canonicalHeaderCache = _BoundedNames()
