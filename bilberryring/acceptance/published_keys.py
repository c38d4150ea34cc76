"""Which of several manifests under one number was published first."""

from collections import OrderedDict
from dataclasses import dataclass

NUMBERS_KEPT = 512


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedKey:
    """A manifest's key with the revisions of its first and last write."""

    key: str
    number: int
    created: int
    modified: int


class PublishedKeys:
    """Remembers the first key of each number, in the platform's own order.

    >>> keys = PublishedKeys()
    >>> first = PublishedKey(key="set/7-a", number=7, created=10, modified=10)
    >>> second = PublishedKey(key="set/7-b", number=7, created=11, modified=11)
    >>> keys.add(first), keys.add(second)
    (None, None)
    >>> keys.is_first(first), keys.is_first(second)
    (True, False)
    """

    def __init__(self):
        self._first: OrderedDict[int, PublishedKey] = OrderedDict()

    def add(self, key: PublishedKey) -> None:
        """Take a key that a read showed."""
        known = self._first.get(key.number)
        if known is None or key.created <= known.created:
            self._first[key.number] = key
        while len(self._first) > NUMBERS_KEPT:
            self._first.popitem(last=False)

    def is_first(self, key: PublishedKey) -> bool:
        """Whether a key counts: created first, and never written again."""
        known = self._first.get(key.number)
        is_created_first = known is None or known.key == key.key
        return is_created_first and key.created == key.modified
