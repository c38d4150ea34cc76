"""The era of published state, in which its revisions count.

The platform states it with each answer. It rises each time the platform comes back
from an older copy of itself. All readers of published state go by these rules.
"""

from enum import Enum

from bilberryring.core import parse_whole_number

MAX_REVISION = 2**63 - 1
"""Highest revision and era; messages between processes hold no higher ones."""


class EraOrder(Enum):
    """The place of an answer's era, compared with the latest that is known."""

    EARLIER = "earlier"
    """The answer is of a state that is gone; it changes nothing."""
    SAME = "same"
    LATER = "later"
    """The platform came back from an older copy; a full copy begins the era."""


def parse_era(stated: str | None) -> int | None:
    """Return the era that a platform states; `None` if it is malformed.

    A platform that states no era is believed to have one history, the era 0.

    >>> parse_era("7"), parse_era(None), parse_era("-1")
    (7, 0, None)
    """
    if not stated:
        return 0
    return parse_whole_number(stated.encode(), most=MAX_REVISION)


def compare_era(era: int, *, known: int) -> EraOrder:
    """Return the place of an answer's era.

    >>> compare_era(2, known=1).value, compare_era(1, known=2).value
    ('later', 'earlier')
    """
    if era == known:
        return EraOrder.SAME
    return EraOrder.LATER if era > known else EraOrder.EARLIER
