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

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreChange:
    """One write of a key; `value` is `None` for a removal.

    `created` is the revision that created the key.
    """

    key: str
    revision: int
    created: int
    value: bytes | None


class OperatorStore:
    """A key-value store in which every write increments one revision counter."""

    def __init__(self):
        self._items: dict[str, StoreChange] = {}
        self._history: list[StoreChange] = []
        self._compacted_revision = 0
        self._revision = 0

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

        `None` is returned when the history no longer reaches back to that revision.
        """
        if after < self._compacted_revision:
            return None
        return tuple(
            change
            for change in self._history
            if change.revision > after and change.key.startswith(prefix)
        )

    def drop_history(self) -> None:
        """Drop the history, as the real store may do at any time."""
        self._history.clear()
        self._compacted_revision = self._revision
