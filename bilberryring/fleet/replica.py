"""A copy of the published items that processes can update from each other.

Each item carries the revision of its last change. A replica is complete up to one
revision, its position: no earlier change is missing. It can therefore be replaced with
the full copy of a process that is ahead, while the copy of a process that is behind
cannot undo newer changes. A replica may also hold single later changes, as lists come
in pages that are no snapshot; they do not move its position.

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

import math
from collections.abc import Iterable
from dataclasses import dataclass

from bilberryring.fleet.lost_writes import (
    LossRules,
    LostWrite,
    LostWrites,
    NoLossRules,
    PublishedItem,
    Revision,
)

MAX_TOMBSTONES = 2_048
"""The most removed keys that are remembered; the oldest are dropped first."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaPosition:
    """How far a replica is: the latest change up to which none is missing, and the
    latest that the store lost.

    `n_items` is the number of items, unless the replica holds later changes as well.

    >>> behind = ReplicaPosition(latest=Revision(era=1, number=90))
    >>> ReplicaPosition(latest=Revision(era=2, number=3)).is_ahead_of(behind)
    True
    """

    latest: Revision = Revision()
    latest_lost: Revision = Revision()
    n_items: int | None = None

    def is_ahead_of(self, other: "ReplicaPosition") -> bool:
        """Whether a replica here knows something that one there does not.

        With fewer items at the same position it knows of a later removal: it has listed
        the store since, and a list shows no removals.
        """
        if self.latest > other.latest:
            return True
        if self.latest.era != other.latest.era:
            return False
        if self.latest_lost > other.latest_lost:
            return True
        return self.is_level_with(other) and self.n_items < other.n_items

    def is_level_with(self, other: "ReplicaPosition") -> bool:
        """Whether two replicas have the same latest change.

        They hold the same items, but for what was removed after that.
        """
        if self.n_items is None or other.n_items is None:
            return False
        return (self.latest, self.latest_lost) == (other.latest, other.latest_lost)


class Replica:
    """The published items by key, updated by single changes or full copies.

    `rules` say how long writes hold that the store has lost.
    """

    def __init__(self, *, rules: LossRules | None = None):
        self._items: dict[str, PublishedItem] = {}
        self._removed: dict[str, PublishedItem] = {}
        self._removed_revisions: dict[str, int] = {}
        self._lost = LostWrites(rules=rules or NoLossRules())
        self._latest_lost = Revision()
        self._era = 0
        self._revision = 0
        self._latest = 0
        self._complete_revision = 0
        self._dropped_revision = 0

    @property
    def revision(self) -> int:
        """The latest change up to which none is missing; 0 before the first one."""
        return self._revision

    @property
    def era(self) -> int:
        """The era of the store in which the revisions count."""
        return self._era

    @property
    def position(self) -> ReplicaPosition:
        """How far the replica is, to compare it with that of a peer."""
        return ReplicaPosition(
            latest=Revision(era=self._era, number=self._revision),
            latest_lost=self._latest_lost,
            n_items=len(self._items) if self._latest <= self._revision else None,
        )

    @property
    def items(self) -> tuple[PublishedItem, ...]:
        """The items in the store, without removed ones."""
        return tuple(self._items.values())

    def lost_writes(self, *, now: float) -> tuple[LostWrite, ...]:
        """Return the writes that the store has lost and that still hold."""
        return self._lost.remaining(now=now)

    @property
    def keys(self) -> frozenset[str]:
        """The keys that have a value."""
        lost = {write.key: write.value is not None for write in self._lost.all}
        return frozenset(
            {key for key in self._items if lost.get(key, True)}
            | {key for key, has_value in lost.items() if has_value}
        )

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, or `None` when it does not exist.

        A lost write that still holds goes before what the store has.
        """
        lost = self._lost.get(key)
        if lost is not None:
            return lost.value
        item = self._items.get(key)
        return item.value if item else None

    def begin_era(
        self,
        items: Iterable[PublishedItem],
        *,
        revision: int,
        era: int,
        now: float,
        latest: int = 0,
        is_young: bool = False,
    ) -> tuple[str, ...]:
        """Start a later era with its first full copy; return the keys that changed.

        The copy is complete up to `revision`. `latest` is the position of the peer
        that it is from, whose latest change may be a removal. What the copy lacks of
        the era before holds for as long as the rules say. A replica that `is_young`
        does not know what was removed shortly before, so that any peer which is not
        knows more of the losses.
        """
        items = tuple(items)
        before = {key: self.value(key) for key in self.keys}
        known = self._known_writes()
        number = 0 if is_young else self._revision
        self._latest_lost = max(
            self._latest_lost, Revision(era=self._era, number=number)
        )
        self._items = {item.key: item for item in items}
        self._removed, self._removed_revisions = {}, {}
        self._era = era
        self._revision = latest
        self._latest = max((item.revision for item in items), default=0)
        self._advance_position(items, most=revision)
        self._complete_revision, self._dropped_revision = revision, 0
        self._lost.begin_era(
            ((write, self._items.get(write.key)) for write in known), now=now
        )
        return tuple(
            key
            for key in sorted(before.keys() | self.keys)
            if before.get(key) != self.value(key)
        )

    def add_lost_writes(
        self, writes: Iterable[LostWrite], *, latest_lost: Revision, now: float
    ) -> tuple[str, ...]:
        """Take over what a peer knows of lost writes; return the keys that changed.

        `writes` are all that the peer holds. One that it held before was written or
        removed again since, which the peer's copy of the items may not show.
        """
        writes = tuple(writes)
        ended = self._lost.drop_ended(writes, latest_lost=latest_lost)
        self._latest_lost = max(self._latest_lost, latest_lost)
        added = tuple(
            write.key
            for write in writes
            if self._lost.add(
                write,
                stored=self._items.get(write.key),
                is_removed=write.key in self._removed_revisions,
                now=now,
            )
        )
        return ended + added

    def expire_lost_writes(self, *, now: float) -> tuple[str, ...]:
        """Forget the lost writes whose time is over; return the keys that changed."""
        return self._lost.expire(now=now)

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
        """Apply all changes since the position, in any order.

        They may begin earlier. Returns the keys that changed, each once.
        """
        items = tuple(items)
        changed = self._store_items(items)
        self._advance_position(items)
        return changed

    def replace(
        self, items: Iterable[PublishedItem], *, revision: int
    ) -> tuple[str, ...]:
        """Apply a full copy, complete up to `revision`; return the keys that changed.

        A key that the copy lacks is removed, unless it changed here later. From then
        on, a change up to `revision` of an unknown key is ignored: the key was removed
        since. Later items of the copy are applied as well, but the position does not
        reach them: other changes between may be missing.
        """
        copied = tuple(items)
        present = {item.key for item in copied}
        removals = tuple(
            PublishedItem(key=item.key, revision=revision, value=None)
            for item in self.items
            if item.key not in present and item.revision <= revision
        )
        changed = self._store_items(copied) + self._store_removals(removals)
        self._advance_position(copied + removals, most=revision)
        self._complete_revision = max(self._complete_revision, revision)
        return changed

    def take_copy(
        self, items: Iterable[PublishedItem], *, revision: int
    ) -> tuple[str, ...]:
        """Apply a full copy of another replica; return the keys that changed.

        `revision` is the other replica's position. It is passed separately, since the
        change there may be a removal, which leaves no item.
        """
        changed = self.replace(items, revision=revision)
        self._revision = max(self._revision, revision)
        return changed

    def take_changes(
        self, items: Iterable[PublishedItem], *, revision: int
    ) -> tuple[str, ...]:
        """Apply another replica's changes since this one's position.

        `revision` is the other replica's position; it may also hold later changes.
        Returns the keys that changed.
        """
        changed = self._store_items(items)
        self._revision = max(self._revision, revision)
        return changed

    def _store_items(self, items: Iterable[PublishedItem]) -> tuple[str, ...]:
        changed: dict[str, None] = {}
        for item in items:
            if item.revision <= self._known_revision(item.key):
                continue
            if self._replace_item(item):
                changed[item.key] = None
        return tuple(changed)

    def _store_removals(self, removals: Iterable[PublishedItem]) -> tuple[str, ...]:
        """Remove items that a copy lacks, also those that were written last."""
        return tuple(item.key for item in removals if self._replace_item(item))

    def _replace_item(self, item: PublishedItem) -> bool:
        """Store or remove an item; return whether the value of its key changed."""
        before = self.value(item.key)
        is_changed = self._store_item(item)
        self._latest = max(self._latest, item.revision)
        self._lost.check(item.key, self._items.get(item.key))
        return is_changed or before != self.value(item.key)

    def _advance_position(
        self, items: Iterable[PublishedItem], *, most: float = math.inf
    ) -> None:
        """Move the position to the latest of the changes up to `most`."""
        revisions = (item.revision for item in items if item.revision <= most)
        self._revision = max(self._revision, max(revisions, default=0))

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
            self._removed.pop(item.key, None)
            self._items[item.key] = item
            return True
        removed = self._items.pop(item.key, None)
        if removed is not None:
            self._removed[item.key] = removed
        self._removed_revisions[item.key] = item.revision
        while len(self._removed_revisions) > MAX_TOMBSTONES:
            oldest = next(iter(self._removed_revisions))
            dropped = self._removed_revisions.pop(oldest)
            self._removed.pop(oldest, None)
            self._dropped_revision = max(self._dropped_revision, dropped)
        return removed is not None

    def _known_writes(self) -> tuple[LostWrite, ...]:
        """Return the last known write of each key, lost ones of earlier eras first."""
        written = (
            LostWrite(
                key=item.key,
                revision=Revision(era=self._era, number=item.revision),
                value=item.value,
            )
            for item in self._items.values()
        )
        removed = (
            LostWrite(
                key=key,
                revision=Revision(era=self._era, number=self._removed_revisions[key]),
                value=None,
                removed=item,
            )
            for key, item in self._removed.items()
        )
        latest = {write.key: write for write in (*written, *removed)}
        return tuple((latest | {write.key: write for write in self._lost.all}).values())
