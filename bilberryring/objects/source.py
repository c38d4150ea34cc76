"""Reading of operators' object files.

A file is JSON with comments and holds objects of one or more kinds.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec
import pyjson5

from bilberryring.objects.check import list_findings
from bilberryring.objects.findings import Finding, FindingCode
from bilberryring.objects.kinds import Kind, PublishedObject
from bilberryring.objects.object_set import ObjectSet, build_set

FILE_SUFFIXES = (".json", ".json5", ".jsonc")
MAX_DIRECTORY_BYTES = 32 * 1024 * 1024
"""Bytes of all files of a directory that are read. A set of 4,400 endpoints has less
than 2 MB."""
_KINDS = {kind.value: kind for kind in Kind}


@dataclass(frozen=True, slots=True, kw_only=True)
class SourceResult:
    """The objects that were read from files, and all findings about them."""

    objects: ObjectSet
    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class _LocatedObject:
    kind: Kind
    item: PublishedObject
    file: str


def read_directory(directory: Path) -> SourceResult:
    """Read and check all object files in a directory, sorted by file name.

    A file that cannot be read, or with which the files have too many bytes, is a
    finding.
    """
    paths = sorted(path for path in directory.iterdir() if path.suffix in FILE_SUFFIXES)
    texts: dict[str, str] = {}
    unread: list[Finding] = []
    n_left = MAX_DIRECTORY_BYTES
    for path in paths:
        try:
            with path.open("rb") as file:
                content = file.read(n_left + 1)
            if len(content) > n_left:
                raise ValueError(f"all files have over {MAX_DIRECTORY_BYTES} bytes")
            texts[path.name] = content.decode("utf-8")
            n_left -= len(content)
        except (OSError, ValueError) as error:
            unread.append(
                _finding_in_file(FindingCode.FILE_UNREADABLE, path.name, "", str(error))
            )
    result = read_texts(texts)
    return replace(result, findings=(*unread, *result.findings))


def read_texts(texts: dict[str, str]) -> SourceResult:
    """Read and check object files that are given as a mapping of name to content.

    >>> result = read_texts({"a.json5": "{priorities: [{name: 'p', rank: -1}]}"})
    >>> [finding.code.value for finding in result.findings]
    ['field_invalid']
    """
    located: list[_LocatedObject] = []
    findings: list[Finding] = []
    for file, text in texts.items():
        for result in _read_file(file, text):
            match result:
                case Finding():
                    findings.append(result)
                case _LocatedObject():
                    located.append(result)
    files: dict[str, str] = {}
    for entry in located:
        object_name = f"{entry.kind.value}/{entry.item.name}"
        if object_name in files:
            findings.append(
                _duplicate_name(object_name, entry.file, files[object_name])
            )
        files.setdefault(object_name, entry.file)
    objects = build_set((entry.kind, entry.item) for entry in located)
    for finding in list_findings(objects):
        file = files.get(finding.object_name, "")
        findings.append(replace(finding, file=file))
    return SourceResult(objects=objects, findings=tuple(findings))


def _duplicate_name(object_name: str, file: str, first_file: str) -> Finding:
    return Finding(
        code=FindingCode.NAME_TWICE,
        file=file,
        object_name=object_name,
        field="name",
        detail=f"the name is already used in '{first_file}'",
    )


def _read_file(file: str, text: str) -> Iterator[Finding | _LocatedObject]:
    try:
        content = pyjson5.decode(text, maxdepth=16)
    except (pyjson5.Json5Exception, ValueError, RecursionError) as error:
        detail = str(error).replace("\n", " ")[:200]
        yield _finding_in_file(FindingCode.FILE_UNREADABLE, file, "", detail)
        return
    if not isinstance(content, dict):
        yield _finding_in_file(
            FindingCode.FILE_UNREADABLE,
            file,
            "",
            "the top-level value must be a JSON object",
        )
        return
    for kind_name, entries in content.items():
        yield from _read_kind(file, kind_name, entries)


def _read_kind(
    file: str, kind_name: str, entries: object
) -> Iterator[Finding | _LocatedObject]:
    kind = _KINDS.get(kind_name)
    if kind is None:
        known = ", ".join(_KINDS)
        yield _finding_in_file(
            FindingCode.KIND_UNKNOWN,
            file,
            kind_name[:63],
            f"the known kinds are {known}",
        )
        return
    if not isinstance(entries, list):
        yield _finding_in_file(
            FindingCode.FIELD_INVALID,
            file,
            kind_name,
            "the value of a kind must be a list of objects",
        )
        return
    for index, entry in enumerate(entries):
        yield _read_object(file, kind, index, entry)


def _read_object(file: str, kind: Kind, index: int, entry: object):
    name = entry.get("name") if isinstance(entry, dict) else None
    object_name = f"{kind.value}/{name if isinstance(name, str) else f'[{index}]'}"
    try:
        item = msgspec.convert(entry, kind.struct)
    except msgspec.ValidationError as error:
        return Finding(
            code=FindingCode.FIELD_INVALID,
            file=file,
            object_name=object_name,
            field=_extract_field(str(error)),
            detail=str(error),
        )
    return _LocatedObject(kind=kind, item=item, file=file)


def _extract_field(message: str) -> str:
    """Return the field that an error message of msgspec or `require` names.

    The result is empty if the message names no field.
    """
    if " - at `$." in message:
        return message.rsplit("`$.", 1)[1].rstrip("`").split("[")[0]
    if "`" in message:
        return message.split("`")[1]
    return message.split(":")[0] if ":" in message else ""


def _finding_in_file(code: FindingCode, file: str, name: str, detail: str) -> Finding:
    return Finding(code=code, file=file, object_name=name, field="", detail=detail)
