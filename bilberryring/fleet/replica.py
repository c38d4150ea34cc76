"""A copy of the published items that processes can update from each other.

Each item carries the revision of its last change. A replica is complete up to one
revision. It can therefore be replaced with the full copy of a process that is ahead,
while the copy of a process that is behind cannot undo newer changes.

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
"""The most removed keys that are remembered; the oldest are dropped first."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedItem:
    """The last write of a key; `value` is `None` when the key was removed."""

    key: str
    revision: int
    value: bytes | None


class Replica:
    """The published items by key, updated by single changes or full copies."""

    def __init__(self):
        self._items: dict[str, PublishedItem] = {}
        self._removed_revisions: dict[str, int] = {}
        self._revision = 0
        self._complete_revision = 0
        self._dropped_revision = 0

    @property
    def revision(self) -> int:
        """The revision of the latest change applied; 0 before the first one."""
        return self._revision

    @property
    def items(self) -> tuple[PublishedItem, ...]:
        """The items that exist, without removed ones."""
        return tuple(self._items.values())

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, or `None` when it does not exist."""
        item = self._items.get(key)
        return item.value if item else None

    def changes_since(self, revision: int) -> tuple[PublishedItem, ...] | None:
        """Return the last write of each key that changed after `revision`.

        Returns `None` if the removals since then are not all known; another replica
        then needs a full copy.

        >>> replica = Replica()
        >>> _ = replica.replace((PublishedItem(key="a", revision=3, value=b"1"),),
        ...     revision=4)
        >>> _ = replica.apply((PublishedItem(key="a", revision=5, value=None),))
        >>> [item.revision for item in replica.changes_since(4)]
        [5]
        >>> replica.changes_since(3) is None
        True
        """
        if revision < max(self._complete_revision, self._dropped_revision):
            return None
        written = [item for item in self._items.values() if item.revision > revision]
        removed = [
            PublishedItem(key=key, revision=at, value=None)
            for key, at in self._removed_revisions.items()
            if at > revision
        ]
        return tuple(written + removed)

    def apply(self, items: Iterable[PublishedItem]) -> tuple[str, ...]:
        """Apply changes in any order; return the keys that changed."""
        changed = []
        for item in items:
            self._revision = max(self._revision, item.revision)
            if item.revision <= self._known_revision(item.key):
                continue
            if self._store_item(item):
                changed.append(item.key)
        return tuple(changed)

    def replace(
        self, items: Iterable[PublishedItem], *, revision: int
    ) -> tuple[str, ...]:
        """Apply a full copy, complete up to `revision`; return the keys that changed.

        A key that the copy lacks is removed, unless it changed here later. From then
        on, a change up to `revision` of an unknown key is ignored: the key was removed
        since.
        """
        copied = tuple(items)
        present = {item.key for item in copied}
        removals = tuple(
            PublishedItem(key=item.key, revision=revision, value=None)
            for item in self.items
            if item.key not in present and item.revision < revision
        )
        changed = self.apply(copied + removals)
        self._complete_revision = max(self._complete_revision, revision)
        return changed

    def take_copy(
        self, items: Iterable[PublishedItem], *, revision: int
    ) -> tuple[str, ...]:
        """Apply a full copy of another replica; return the keys that changed.

        `revision` is that of the other replica's latest change. It is passed
        separately, since that change may be a removal, which leaves no item.
        """
        changed = self.replace(items, revision=revision)
        self._revision = max(self._revision, revision)
        return changed

    def take_changes(
        self, items: Iterable[PublishedItem], *, revision: int
    ) -> tuple[str, ...]:
        """Apply another replica's changes since this one's revision, up to `revision`.

        Returns the keys that changed.
        """
        changed = self.apply(items)
        self._revision = max(self._revision, revision)
        return changed

    def _known_revision(self, key: str) -> int:
        """Return the revision up to which changes of a key are already known."""
        item = self._items.get(key)
        if item is not None:
            return item.revision
        return max(self._removed_revisions.get(key, 0), self._complete_revision)

    def _store_item(self, item: PublishedItem) -> bool:
        """Store or remove an item; return whether that changed the items."""
        if item.value is not None:
            self._removed_revisions.pop(item.key, None)
            self._items[item.key] = item
            return True
        existed = self._items.pop(item.key, None) is not None
        self._removed_revisions[item.key] = item.revision
        while len(self._removed_revisions) > MAX_TOMBSTONES:
            dropped = self._removed_revisions.pop(next(iter(self._removed_revisions)))
            self._dropped_revision = max(self._dropped_revision, dropped)
        return existed
