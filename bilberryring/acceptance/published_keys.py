"""Which of several manifests with the same number was published first."""

from collections import OrderedDict
from dataclasses import dataclass

MAX_NUMBERS = 512


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedKey:
    """A manifest's key on the platform, its number, and the revisions of its writes.

    `created` is the revision of the first write, `modified` of the last one.
    """

    key: str
    number: int
    created: int
    modified: int


class PublishedKeys:
    """Keeps the first key of each number, in the order of the platform's revisions.

    At most `MAX_NUMBERS` numbers are kept; those added first are dropped.

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
        """Add a key that was read from the platform."""
        known = self._first.get(key.number)
        if known is None or key.created <= known.created:
            self._first[key.number] = key
        while len(self._first) > MAX_NUMBERS:
            self._first.popitem(last=False)

    def is_first(self, key: PublishedKey) -> bool:
        """Whether a key was created first under its number and never overwritten."""
        known = self._first.get(key.number)
        is_created_first = known is None or known.key == key.key
        return is_created_first and key.created == key.modified
