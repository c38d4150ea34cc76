"""Writes that the store has lost, and what holds until they are written again.

The store can come back from an older copy of itself. What it acknowledged meanwhile is
gone from it, and its revisions are given out again in a new era. Processes that saw the
lost writes keep them: a write is remembered until the store has one of the new era that
supersedes it. `LossRules` say for each key what that is.

Nothing here does I/O or reads a clock; times are in seconds and passed in.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Protocol as Interface

MAX_LOST_WRITES = 8_192
"""The most lost writes that are remembered under one prefix; twice the endpoints of a
large fleet. The oldest are dropped first."""


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Revision:
    """A revision of the store, which counts only within its era.

    >>> Revision(era=1, number=90) < Revision(era=2, number=3)
    True
    """

    era: int = 0
    number: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedItem:
    """The last write of a key; `value` is `None` when the key was removed.

    `revision` is its number within the era of the replica that holds it.
    """

    key: str
    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class LostWrite:
    """The last write of a key before the store came back without it.

    For a removal `value` is `None`, and `removed` is the item that it removed, which
    an older copy of the store can still have. It holds for at most `left_seconds`.
    """

    key: str
    revision: Revision
    value: bytes | None
    removed: PublishedItem | None = None
    left_seconds: float = math.inf


class LossRules(Interface):
    """How long lost writes hold, by key."""

    def supersedes(self, key: str, stored: bytes, lost: bytes) -> bool:
        """Whether the value in the store is as new as the lost one, or newer."""
        ...

    def is_same(self, key: str, stored: bytes, removed: bytes) -> bool:
        """Whether the store has again what had been removed."""
        ...

    def keeps_missing(self, key: str) -> bool:
        """Whether a lost item holds while the store has no item under its key."""
        ...

    def hold_seconds(self, key: str) -> float:
        """Return for how long a lost write holds at most."""
        ...


class NoLossRules:
    """The store is always right."""

    def supersedes(self, key: str, stored: bytes, lost: bytes) -> bool:
        return True

    def is_same(self, key: str, stored: bytes, removed: bytes) -> bool:
        return False

    def keeps_missing(self, key: str) -> bool:
        return False

    def hold_seconds(self, key: str) -> float:
        return 0.0


class LostWrites:
    """The lost writes that still hold, by key."""

    def __init__(self, *, rules: LossRules):
        self._rules = rules
        self._writes: dict[str, LostWrite] = {}
        self._until: dict[str, float] = {}

    def remaining(self, *, now: float) -> tuple[LostWrite, ...]:
        """Return all of them with the time that each has left."""
        return tuple(
            replace(write, left_seconds=self._until[write.key] - now)
            for write in self.all
        )

    @property
    def all(self) -> tuple[LostWrite, ...]:
        """All of them, the oldest first."""
        return tuple(self._writes.values())

    def get(self, key: str) -> LostWrite | None:
        """Return the lost write of a key, if it still holds."""
        return self._writes.get(key)

    def add(
        self,
        write: LostWrite,
        *,
        stored: PublishedItem | None,
        is_removed: bool,
        now: float,
    ) -> bool:
        """Remember a write unless it is superseded; return whether it holds.

        `stored` is what the store has under the key, and `is_removed` tells whether it
        removed the key in the current era.
        """
        known = self._writes.get(write.key)
        if known is not None and known.revision >= write.revision:
            return False
        if is_removed or not self._holds(write, stored):
            return False
        self._writes[write.key] = write
        seconds = min(write.left_seconds, self._rules.hold_seconds(write.key))
        self._until[write.key] = now + seconds
        while len(self._writes) > MAX_LOST_WRITES:
            self._drop(next(iter(self._writes)))
        return True

    def drop_ended(
        self, held: Iterable[LostWrite], *, latest_lost: Revision
    ) -> tuple[str, ...]:
        """Forget the writes that a peer knew and holds no more; return their keys.

        `held` are all that the peer holds, and `latest_lost` is the latest write that
        it knows to be lost. It knows each value of that era up to there, but not each
        removal, since a full copy has none. A write that holds without a time limit
        ends only with a value that supersedes it.
        """
        held_keys = {write.key for write in held}
        ended = tuple(
            write.key
            for write in self.all
            if write.key not in held_keys
            and write.value is not None
            and self._until[write.key] < math.inf
            and write.revision.era == latest_lost.era
            and write.revision <= latest_lost
        )
        for key in ended:
            self._drop(key)
        return ended

    def check(self, key: str, stored: PublishedItem | None) -> None:
        """Forget the lost write of a key that was written again or removed."""
        write = self._writes.get(key)
        if write is None:
            return
        if stored is None or not self._holds_against_write(write, stored):
            self._drop(key)

    def expire(self, *, now: float) -> tuple[str, ...]:
        """Forget the writes whose time is over; return their keys."""
        expired = tuple(key for key, until in self._until.items() if until <= now)
        for key in expired:
            self._drop(key)
        return expired

    def begin_era(
        self,
        writes: Iterable[tuple[LostWrite, PublishedItem | None]],
        *,
        now: float,
    ) -> None:
        """Begin a new era with the writes that its first list may lack.

        Each comes with what the list has under its key.
        """
        self._writes, self._until = {}, {}
        for write, stored in writes:
            self.add(write, stored=stored, is_removed=False, now=now)

    def _holds(self, write: LostWrite, stored: PublishedItem | None) -> bool:
        """Whether a write holds against what a list of the store has."""
        if stored is None:
            return write.value is not None and self._rules.keeps_missing(write.key)
        if write.value is not None:
            return not self._rules.supersedes(write.key, stored.value, write.value)
        return write.removed is not None and (
            stored.revision == write.removed.revision
            or self._rules.is_same(write.key, stored.value, write.removed.value)
        )

    def _holds_against_write(self, write: LostWrite, stored: PublishedItem) -> bool:
        """Whether a write holds although the key was written in the new era."""
        if write.value is None:
            return False
        return not self._rules.supersedes(write.key, stored.value, write.value)

    def _drop(self, key: str) -> None:
        self._writes.pop(key, None)
        self._until.pop(key, None)


NO_LIMIT = math.inf
