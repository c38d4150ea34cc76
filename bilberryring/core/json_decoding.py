"""JSON from outside the process, decoded with one type of error.

>>> decode_json(b"[1, 2]", list[int])
[1, 2]
"""

from typing import TypeVar

import msgspec

T = TypeVar("T")


class MalformedJsonError(ValueError):
    """Raised for content that is no JSON of the expected type, or nests too deeply."""


def decode_json(content: bytes, expected: type[T]) -> T:
    """Return the decoded content, or raise `MalformedJsonError`."""
    try:
        return msgspec.json.decode(content, type=expected)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedJsonError(str(error))
