"""A copy of published items that processes can bring up to date from each other.

Each item carries the revision of its last change. A replica is complete up to
one revision, so a whole copy from a process that is ahead can replace it, and
one from a process that is behind cannot take anything back.

>>> replica = Replica()
>>> replica.apply((PublishedItem(key="a", revision=3, value=b"1"),))
('a',)
>>> replica.apply((PublishedItem(key="a", revision=2, value=b"0"),))
()
>>> replica.replace((), revision=4)
('a',)
>>> replica.value("a") is None, replica.revision
(True, 4)
"""

from collections.abc import Iterable
from dataclasses import dataclass

MAX_TOMBSTONES = 2_048
"""Removed keys that are remembered; the oldest go first."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedItem:
    """A key as it was last written; `value` is `None` when it was removed."""

    key: str
    revision: int
    value: bytes | None


class Replica:
    """Items by key; `revision` is that of the latest change applied."""

    def __init__(self):
        self._items: dict[str, PublishedItem] = {}
        self._removed: dict[str, int] = {}
        self._revision = 0
        self._complete_to = 0

    @property
    def revision(self) -> int:
        """The revision of the latest change that was applied."""
        return self._revision

    @property
    def items(self) -> tuple[PublishedItem, ...]:
        """The items that exist."""
        return tuple(self._items.values())

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, or `None` when it does not exist."""
        item = self._items.get(key)
        return item.value if item else None

    def apply(self, items: Iterable[PublishedItem]) -> tuple[str, ...]:
        """Apply changes in any order; return the keys that changed."""
        changed = []
        for item in items:
            self._revision = max(self._revision, item.revision)
            if item.revision <= self._known_revision(item.key):
                continue
            if self._put(item):
                changed.append(item.key)
        return tuple(changed)

    def replace(
        self, items: Iterable[PublishedItem], *, revision: int
    ) -> tuple[str, ...]:
        """Take a whole copy, complete up to `revision`; return changed keys.

        A key that the copy lacks is removed, unless it changed here later. From
        then on an unknown key with a change up to `revision` is one that was removed.
        """
        whole = tuple(items)
        present = {item.key for item in whole}
        removals = tuple(
            PublishedItem(key=item.key, revision=revision, value=None)
            for item in self.items
            if item.key not in present and item.revision < revision
        )
        changed = self.apply(whole + removals)
        self._complete_to = max(self._complete_to, revision)
        return changed

    def take_copy(
        self, items: Iterable[PublishedItem], *, revision: int
    ) -> tuple[str, ...]:
        """Take another replica's items, whose latest change is `revision`.

        That change may be a removal, which left no item to tell its revision.
        """
        changed = self.replace(items, revision=revision)
        self._revision = max(self._revision, revision)
        return changed

    def _known_revision(self, key: str) -> int:
        item = self._items.get(key)
        if item is not None:
            return item.revision
        return max(self._removed.get(key, 0), self._complete_to)

    def _put(self, item: PublishedItem) -> bool:
        if item.value is not None:
            self._removed.pop(item.key, None)
            self._items[item.key] = item
            return True
        was_known = self._items.pop(item.key, None) is not None
        self._removed[item.key] = item.revision
        while len(self._removed) > MAX_TOMBSTONES:
            del self._removed[next(iter(self._removed))]
        return was_known
