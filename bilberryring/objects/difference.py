"""The difference between two sets, object by object."""

from dataclasses import dataclass
from enum import Enum

from bilberryring.objects.kinds import Kind
from bilberryring.objects.object_set import ObjectSet


class ChangeKind(Enum):
    """What happened to an object between two sets."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One object that differs, with the fields that do."""

    change: ChangeKind
    kind: Kind
    name: str
    fields: tuple[str, ...] = ()


def difference(old: ObjectSet, new: ObjectSet) -> tuple[Change, ...]:
    """Return what changes from `old` to `new`, by kind and name."""
    changes: list[Change] = []
    for kind in Kind:
        before, after = old.of_kind(kind), new.of_kind(kind)
        for name in sorted(before.keys() | after.keys()):
            change = _change_of(kind, name, before.get(name), after.get(name))
            if change is not None:
                changes.append(change)
    return tuple(changes)


def _change_of(kind: Kind, name: str, before, after) -> Change | None:
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
