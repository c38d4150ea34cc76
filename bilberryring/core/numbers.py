"""Numbers in headers from outside the process.

Python's own conversions accept more than headers may have (underscores, NaN), and
raise `ValueError` for whole numbers of thousands of digits.
"""

import math

MAX_DIGITS = 20
"""Most characters of a whole number that is looked at."""


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
