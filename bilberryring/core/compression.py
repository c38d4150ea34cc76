"""Compression of what processes send each other, with a bound on what is unpacked.

>>> packed = compress(b"a" * 10_000)
>>> len(packed) < 100, len(decompress(packed, most=10_000))
(True, 10000)
>>> decompress(packed, most=9_999)
Traceback (most recent call last):
    ...
ValueError: more than 9999 bytes are compressed
"""

import zlib

LEVEL = 1
"""The fastest level: the content is small and read at once by many processes."""


def compress(content: bytes) -> bytes:
    """Return the content compressed."""
    return zlib.compress(content, LEVEL)


def decompress(content: bytes, *, most: int) -> bytes:
    """Return the content decompressed.

    `ValueError` is raised if it is malformed or has more than `most` bytes.
    """
    decompressor = zlib.decompressobj()
    try:
        result = decompressor.decompress(content, most + 1)
    except zlib.error as error:
        raise ValueError(str(error))
    if len(result) > most:
        raise ValueError(f"more than {most} bytes are compressed")
    if not decompressor.eof:
        raise ValueError("compressed content is cut off")
    return result
