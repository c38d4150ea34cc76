"""Comparison of two versions of a configuration, entry by entry."""

import dataclasses
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from bilberryring.fleet import Route, Service
from bilberryring.objects import ChangeKind
from bilberryring.validation.findings import NO_NAMES, printable
from bilberryring.validation.listing import (
    ConfigurationListing,
    ListedWorkspace,
    Section,
    UnreadableRoute,
)

KEYS_FIELD = "key_digests"
Entry = Route | UnreadableRoute | Service | ListedWorkspace


@dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """One entry that differs between two versions.

    `fields` holds the fields with different values; it is empty for an entry that was
    added or removed. `detail` has the numbers that differ, but never an API key.
    """

    change: ChangeKind
    section: Section
    name: str = ""
    fields: tuple[str, ...] = ()
    detail: str = ""

    def text(self, *, names: Mapping[str, str] = NO_NAMES) -> str:
        """Return the difference as one line; `names` are the format's names."""
        section = names.get(self.section.value, self.section.value)
        entry = f"{section}/{printable(self.name)}" if self.name else section
        shown = [names.get(field, field) for field in self.fields]
        if self.detail:
            shown.append(self.detail)
        fields = f" ({', '.join(shown)})" if shown else ""
        return f"{self.change.value} {entry}{fields}"


def compare_configurations(
    old: ConfigurationListing | None, new: ConfigurationListing
) -> tuple[Difference, ...]:
    """Return the differences from `old`, or from nothing, to `new`.

    Entries are compared by name, and those of one name in their order. Routes that
    are unreadable have no name and are left out.
    """
    return tuple(_list_differences(old, new))


def _list_differences(
    old: ConfigurationListing | None, new: ConfigurationListing
) -> Iterator[Difference]:
    if old is None:
        yield _added_version(new)
    elif old.version != new.version:
        yield Difference(
            change=ChangeKind.CHANGED,
            section=Section.VERSION,
            detail=f"{old.version} to {new.version}",
        )
    yield from _compare_entries(Section.ROUTES, old.routes if old else (), new.routes)
    yield from _compare_entries(
        Section.SERVICES, old.services if old else (), new.services
    )
    yield from _compare_workspaces(old, new)
    if old is not None:
        yield from _compare_limits(old, new)


def _added_version(new: ConfigurationListing) -> Difference:
    return Difference(
        change=ChangeKind.ADDED, section=Section.VERSION, detail=str(new.version)
    )


def _compare_workspaces(
    old: ConfigurationListing | None, new: ConfigurationListing
) -> Iterator[Difference]:
    if old is not None:
        before = old.workspaces
    else:
        before = None if new.workspaces is None else ()
    if (before is None) != (new.workspaces is None):
        is_added = before is None
        yield Difference(
            change=ChangeKind.ADDED if is_added else ChangeKind.REMOVED,
            section=Section.WORKSPACES,
            detail="callers need a key" if is_added else "callers need no key",
        )
    yield from _compare_entries(Section.WORKSPACES, before or (), new.workspaces or ())


def _compare_limits(
    old: ConfigurationListing, new: ConfigurationListing
) -> Iterator[Difference]:
    for field in _changed_fields(old.limits, new.limits):
        yield Difference(
            change=ChangeKind.CHANGED,
            section=Section.LIMITS,
            fields=(field,),
            detail=(
                f"{getattr(old.limits, field):.15g} to "
                f"{getattr(new.limits, field):.15g} {_unit_of(field)}"
            ),
        )


def _unit_of(limit: str) -> str:
    return "bytes" if limit.endswith("_bytes") else "s"


def _compare_entries(
    section: Section, before: Iterable[Entry], after: Iterable[Entry]
) -> Iterator[Difference]:
    old, new = _number_names(before), _number_names(after)
    for key in sorted(old.keys() | new.keys()):
        name = key[0]
        if key not in old:
            yield Difference(change=ChangeKind.ADDED, section=section, name=name)
        elif key not in new:
            yield Difference(change=ChangeKind.REMOVED, section=section, name=name)
        elif fields := _changed_fields(old[key], new[key]):
            yield Difference(
                change=ChangeKind.CHANGED,
                section=section,
                name=name,
                fields=fields,
                detail=_count_keys(old[key], new[key]) if KEYS_FIELD in fields else "",
            )


def _number_names(entries: Iterable[Entry]) -> dict[tuple[str, int], Entry]:
    counts: Counter[str] = Counter()
    numbered = {}
    for entry in entries:
        if isinstance(entry, UnreadableRoute):
            continue
        numbered[entry.name, counts[entry.name]] = entry
        counts[entry.name] += 1
    return numbered


def _changed_fields(old: object, new: object) -> tuple[str, ...]:
    return tuple(
        field.name
        for field in dataclasses.fields(old)
        if getattr(old, field.name) != getattr(new, field.name)
    )


def _count_keys(old: ListedWorkspace, new: ListedWorkspace) -> str:
    before, after = Counter(old.key_digests), Counter(new.key_digests)
    added, removed = (after - before).total(), (before - after).total()
    if not added and not removed:
        return "keys in another order"
    return f"{added} keys added, {removed} removed"
