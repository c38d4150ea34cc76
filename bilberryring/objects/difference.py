"""Comparison of two sets, object by object."""

from dataclasses import dataclass
from enum import Enum

from bilberryring.objects.kinds import Kind
from bilberryring.objects.object_set import ObjectSet


class ChangeKind(Enum):
    """How an object differs between the old and the new set."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One object that differs between two sets.

    `fields` holds the fields with different values; it is empty for an object that
    was added or removed.
    """

    change: ChangeKind
    kind: Kind
    name: str
    fields: tuple[str, ...] = ()


def difference(old: ObjectSet, new: ObjectSet) -> tuple[Change, ...]:
    """Return the changes from `old` to `new`, sorted by kind and name."""
    changes: list[Change] = []
    for kind in Kind:
        before, after = old.of_kind(kind), new.of_kind(kind)
        for name in sorted(before.keys() | after.keys()):
            change = _compare_objects(kind, name, before.get(name), after.get(name))
            if change is not None:
                changes.append(change)
    return tuple(changes)


def _compare_objects(kind: Kind, name: str, before, after) -> Change | None:
    if before == after:
        return None
    if before is None:
        return Change(change=ChangeKind.ADDED, kind=kind, name=name)
    if after is None:
        return Change(change=ChangeKind.REMOVED, kind=kind, name=name)
    fields = tuple(
        field
        for field in kind.struct.__struct_fields__
        if getattr(before, field) != getattr(after, field)
    )
    return Change(change=ChangeKind.CHANGED, kind=kind, name=name, fields=fields)
