"""The operators' store as pure state: items, revisions and a bounded history.

>>> store = OperatorStore()
>>> store.put("a", b"1"), store.put("a", b"2"), store.remove("a")
(1, 2, 3)
>>> [change.revision for change in store.changes("", after=1)]
[2, 3]
>>> store.forget_history()
>>> store.changes("", after=1) is None
True
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreChange:
    """One write; `value` is `None` for a removal."""

    key: str
    revision: int
    created: int
    value: bytes | None


class OperatorStore:
    """Keys under one revision counter."""

    def __init__(self):
        self._items: dict[str, StoreChange] = {}
        self._history: list[StoreChange] = []
        self._forgotten = 0
        self._revision = 0

    @property
    def revision(self) -> int:
        """The revision of the last write."""
        return self._revision

    def put(self, key: str, value: bytes) -> int:
        """Write a value and return its revision."""
        known = self._items.get(key)
        self._revision += 1
        change = StoreChange(
            key=key,
            revision=self._revision,
            created=known.created if known else self._revision,
            value=value,
        )
        self._items[key] = change
        self._history.append(change)
        return self._revision

    def remove(self, key: str) -> int:
        """Remove a key and return the revision of that."""
        known = self._items.pop(key, None)
        if known is None:
            return self._revision
        self._revision += 1
        self._history.append(
            StoreChange(
                key=key, revision=self._revision, created=known.created, value=None
            )
        )
        return self._revision

    def items(self, prefix: str, *, after: str = "") -> tuple[StoreChange, ...]:
        """Return the items with a prefix, in the order of their keys."""
        return tuple(
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(prefix) and key > after
        )

    def changes(self, prefix: str, *, after: int) -> tuple[StoreChange, ...] | None:
        """Return the writes after a revision, or `None` when they are forgotten."""
        if after < self._forgotten:
            return None
        return tuple(
            change
            for change in self._history
            if change.revision > after and change.key.startswith(prefix)
        )

    def forget_history(self) -> None:
        """Drop the history, as the store may do at any time."""
        self._history.clear()
        self._forgotten = self._revision
