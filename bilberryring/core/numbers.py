"""Numbers in headers from outside the process.

Python's own conversions accept more than headers may have (underscores, NaN), and
raise `ValueError` for whole numbers of thousands of digits.
"""

import math

MAX_DIGITS = 20
"""Most characters of a whole number that is looked at."""

BYTES_PER_MEGABYTE = 1_000_000
"""The smaller of the two usual meanings, so that a process stays within either one."""
MAX_MEGABYTES = 1e9
"""The largest size that is taken for a real one."""


def bytes_from_megabytes(megabytes: float | None) -> int | None:
    """Return a size in bytes; 0 if it is implausible, `None` if it is missing.

    >>> bytes_from_megabytes(1.5), bytes_from_megabytes(math.nan)
    (1500000, 0)
    """
    if megabytes is None:
        return None
    is_plausible = 0.0 < megabytes <= MAX_MEGABYTES
    return int(megabytes * BYTES_PER_MEGABYTE) if is_plausible else 0


def parse_whole_number(text: bytes, *, most: int) -> int | None:
    """Return a whole number from 0 to `most`, or `None` if the text is none.

    >>> parse_whole_number(b" 12 ", most=99), parse_whole_number(b"-1", most=99)
    (12, None)
    >>> parse_whole_number(b"100", most=99), parse_whole_number(b"9" * 5000, most=99)
    (None, None)
    """
    digits = text.strip()
    if not digits.isdigit() or len(digits) > MAX_DIGITS:
        return None
    number = int(digits)
    return number if number <= most else None


def parse_number(text: bytes) -> float | None:
    """Return a number, which may be infinite, or `None` if the text is none.

    >>> parse_number(b"2.5"), parse_number(b"nan"), parse_number(b"1_000")
    (2.5, None, None)
    """
    try:
        number = float(text)
    except ValueError:
        return None
    return None if math.isnan(number) or b"_" in text else number
