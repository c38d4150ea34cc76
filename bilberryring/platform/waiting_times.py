"""Reads the header in which an endpoint says when it wants requests again."""

import math
from datetime import timedelta
from email.utils import parsedate_to_datetime

from bilberryring.admission import MAX_REST_SECONDS

UNREADABLE_SECONDS = 1.0
"""Seconds that count for a value that cannot be read: its sender wants some time."""


def parse_retry_after(values: list[bytes], *, date: bytes = b"") -> float | None:
    """Return the seconds in a response's `Retry-After` headers, `None` without any.

    Values are seconds, also fractions. A date counts from the response's own `date`,
    because the clocks of VMs differ. Of several values the longest counts. The result
    is at least 0 and at most `MAX_REST_SECONDS`.

    >>> parse_retry_after([b"0.5"]), parse_retry_after([b"-3"]), parse_retry_after([])
    (0.5, 0.0, None)
    >>> parse_retry_after([b"2", b"7"]), parse_retry_after([b"soon"])
    (7.0, 1.0)
    """
    parts = [part.strip() for part in _split(values)]
    seconds = [_parse_seconds(part, date) for part in parts if part]
    if not seconds:
        return None
    return min(max(0.0, *seconds), MAX_REST_SECONDS)


def _split(values: list[bytes]) -> list[bytes]:
    """Return the values in comma-separated lists; a date has a comma of its own."""
    return [
        part
        for value in values
        for part in (value.split(b",") if value[:1].isdigit() else [value])
    ]


def _parse_seconds(value: bytes, date: bytes) -> float:
    try:
        seconds = float(value)
    except ValueError:
        return _seconds_until(value, date)
    return UNREADABLE_SECONDS if math.isnan(seconds) else seconds


def _seconds_until(value: bytes, date: bytes) -> float:
    try:
        until, sent = (
            parsedate_to_datetime(text.decode("latin-1")) for text in (value, date)
        )
        return (until - sent) / timedelta(seconds=1)
    except (ValueError, TypeError, OverflowError):
        return UNREADABLE_SECONDS
