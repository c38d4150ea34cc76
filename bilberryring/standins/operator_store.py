"""The state of the simulated operators' store: items, revisions and a history.

>>> store = OperatorStore()
>>> store.put("a", b"1"), store.put("a", b"2"), store.remove("a")
(1, 2, 3)
>>> [change.revision for change in store.changes("", after=1)]
[2, 3]
>>> store.drop_history()
>>> store.changes("", after=1) is None
True
"""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreChange:
    """One write of a key; `value` is `None` for a removal.

    `created` is the revision that created the key.
    """

    key: str
    revision: int
    created: int
    value: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreCopy:
    """The items of a store at one revision."""

    items: Mapping[str, StoreChange]
    revision: int


class OperatorStore:
    """A key-value store in which every write increments one revision counter.

    >>> store = OperatorStore()
    >>> copy = store.put("a", b"1") and store.save()
    >>> _ = store.put("a", b"2")
    >>> store.restore(copy)
    >>> store.era, store.revision, store.changes("", after=2) is None
    (2, 1, True)
    """

    def __init__(self):
        self._items: dict[str, StoreChange] = {}
        self._history: list[StoreChange] = []
        self._compacted_revision = 0
        self._revision = 0
        self._era = 1

    @property
    def era(self) -> int:
        """A number that rises each time the store is restored from a copy."""
        return self._era

    @property
    def revision(self) -> int:
        """The revision of the last write, or 0 before the first one."""
        return self._revision

    def put(self, key: str, value: bytes) -> int:
        """Write a value and return the revision of this write."""
        existing = self._items.get(key)
        self._revision += 1
        change = StoreChange(
            key=key,
            revision=self._revision,
            created=existing.created if existing else self._revision,
            value=value,
        )
        self._items[key] = change
        self._history.append(change)
        return self._revision

    def remove(self, key: str) -> int:
        """Remove a key and return the last revision, also when there is no such key."""
        existing = self._items.pop(key, None)
        if existing is None:
            return self._revision
        self._revision += 1
        self._history.append(
            StoreChange(
                key=key, revision=self._revision, created=existing.created, value=None
            )
        )
        return self._revision

    def items(self, prefix: str, *, after: str = "") -> tuple[StoreChange, ...]:
        """Return the items whose keys have a prefix, in the order of their keys.

        Only keys that sort after `after` are returned.
        """
        return tuple(
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(prefix) and key > after
        )

    def changes(self, prefix: str, *, after: int) -> tuple[StoreChange, ...] | None:
        """Return the writes after a revision to keys with a prefix.

        `None` is returned when the history does not have that revision.
        """
        if not self._compacted_revision <= after <= self._revision:
            return None
        return tuple(
            change
            for change in self._history
            if change.revision > after and change.key.startswith(prefix)
        )

    def save(self) -> StoreCopy:
        """Return a copy of all items, from which the store can be restored."""
        return StoreCopy(
            items=MappingProxyType(dict(self._items)), revision=self._revision
        )

    def restore(self, copy: StoreCopy) -> None:
        """Return to a copy: later writes are lost, and their revisions used again."""
        self._items = dict(copy.items)
        self._revision = copy.revision
        self._history = [
            change for change in self._history if change.revision <= copy.revision
        ]
        self._compacted_revision = min(self._compacted_revision, copy.revision)
        self._era += 1

    def drop_history(self) -> None:
        """Drop the history, as the real store may do at any time."""
        self._history.clear()
        self._compacted_revision = self._revision
