"""Operators' files: JSON with comments, one or several kinds in each file."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec
import pyjson5

from bilberryring.objects.check import findings_of
from bilberryring.objects.findings import Finding, FindingCode
from bilberryring.objects.kinds import Kind, PublishedObject
from bilberryring.objects.object_set import ObjectSet, build_set

FILE_SUFFIXES = (".json", ".json5", ".jsonc")
_KINDS = {kind.value: kind for kind in Kind}


@dataclass(frozen=True, slots=True, kw_only=True)
class SourceReading:
    """The objects of some files, with every finding of one run."""

    objects: ObjectSet
    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class _Located:
    kind: Kind
    item: PublishedObject
    file: str


def read_directory(directory: Path) -> SourceReading:
    """Read and check every object file of a directory, in the order of names."""
    paths = sorted(path for path in directory.iterdir() if path.suffix in FILE_SUFFIXES)
    return read_texts({path.name: path.read_text("utf-8") for path in paths})


def read_texts(texts: dict[str, str]) -> SourceReading:
    """Read and check the object files given by name and content.

    >>> reading = read_texts({"a.json5": "{priorities: [{name: 'p', rank: -1}]}"})
    >>> [finding.code.value for finding in reading.findings]
    ['field_invalid']
    """
    located: list[_Located] = []
    findings: list[Finding] = []
    for file, text in texts.items():
        for result in _read_file(file, text):
            match result:
                case Finding():
                    findings.append(result)
                case _Located():
                    located.append(result)
    files: dict[str, str] = {}
    for entry in located:
        place = f"{entry.kind.value}/{entry.item.name}"
        if place in files:
            findings.append(_name_twice(place, entry.file, files[place]))
        files.setdefault(place, entry.file)
    objects = build_set((entry.kind, entry.item) for entry in located)
    for finding in findings_of(objects):
        file = files.get(finding.object_name, "")
        findings.append(replace(finding, file=file))
    return SourceReading(objects=objects, findings=tuple(findings))


def _name_twice(place: str, file: str, first_file: str) -> Finding:
    return Finding(
        code=FindingCode.NAME_TWICE,
        file=file,
        object_name=place,
        field="name",
        detail=f"the name stands in '{first_file}' already",
    )


def _read_file(file: str, text: str) -> Iterator[Finding | _Located]:
    try:
        content = pyjson5.decode(text, maxdepth=16)
    except (pyjson5.Json5Exception, ValueError, RecursionError) as error:
        detail = str(error).replace("\n", " ")[:200]
        yield _file_finding(FindingCode.FILE_UNREADABLE, file, "", detail)
        return
    if not isinstance(content, dict):
        yield _file_finding(
            FindingCode.FILE_UNREADABLE, file, "", "the file must hold one object"
        )
        return
    for kind_name, entries in content.items():
        yield from _read_kind(file, kind_name, entries)


def _read_kind(
    file: str, kind_name: str, entries: object
) -> Iterator[Finding | _Located]:
    kind = _KINDS.get(kind_name)
    if kind is None:
        known = ", ".join(_KINDS)
        yield _file_finding(
            FindingCode.KIND_UNKNOWN, file, kind_name[:63], f"the kinds are {known}"
        )
        return
    if not isinstance(entries, list):
        yield _file_finding(
            FindingCode.FIELD_INVALID, file, kind_name, "a kind holds a list"
        )
        return
    for index, entry in enumerate(entries):
        yield _read_object(file, kind, index, entry)


def _read_object(file: str, kind: Kind, index: int, entry: object):
    name = entry.get("name") if isinstance(entry, dict) else None
    place = f"{kind.value}/{name if isinstance(name, str) else f'[{index}]'}"
    try:
        item = msgspec.convert(entry, kind.struct)
    except msgspec.ValidationError as error:
        return Finding(
            code=FindingCode.FIELD_INVALID,
            file=file,
            object_name=place,
            field=_field_of(str(error)),
            detail=str(error),
        )
    return _Located(kind=kind, item=item, file=file)


def _field_of(message: str) -> str:
    """Return the field that a message of msgspec or of a rule names."""
    if " - at `$." in message:
        return message.rsplit("`$.", 1)[1].rstrip("`").split("[")[0]
    if "`" in message:
        return message.split("`")[1]
    return message.split(":")[0] if ":" in message else ""


def _file_finding(code: FindingCode, file: str, name: str, detail: str) -> Finding:
    return Finding(code=code, file=file, object_name=name, field="", detail=detail)
