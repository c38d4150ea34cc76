"""The queries of the tool, which read files or ask processes and change nothing."""

import urllib.parse
from collections.abc import Iterable
from pathlib import Path

import msgspec

from bilberryring.core import MalformedJsonError, decode_json
from bilberryring.objects import (
    MAX_PART_BYTES,
    Change,
    Manifest,
    ObjectSet,
    SetError,
    SourceResult,
    build_set,
    decode_manifest,
    decode_part,
    difference,
    read_directory,
)
from bilberryring.process.explanations import Explanation
from bilberryring.process.operator_site import ProcessStatus
from bilberryring.tool.fetching import FetchFailure, FetchResult, fetch_all
from bilberryring.tool.files import read_bounded

QUERY_TIMEOUT_SECONDS = 0.7
MAX_PARALLEL_QUERIES = 500
"""Processes that are asked at once, each on a connection of its own."""
MANIFEST_FILE = "manifest.json"
PARTS_DIRECTORY = "part"


class Unreachable(msgspec.Struct, frozen=True, kw_only=True):
    """A process that returned no status; operators should look at its VM.

    `detail` is the text of the error.
    """

    address: str
    detail: str


class DomainStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The sums over the processes of one role in one failure domain."""

    failure_domain: str
    role: str
    processes: int
    live: int
    readers: int
    in_progress: int


class StatusReport(msgspec.Struct, frozen=True, kw_only=True):
    """The status of several processes, and the anomalies among them.

    `behind` holds the processes whose set is older than `newest_set`, the highest
    number of a set in force. `forked` holds the processes that have the newest
    number if they have different sets under it.
    """

    newest_set: int
    processes: tuple[ProcessStatus, ...]
    unreachable: tuple[Unreachable, ...]
    behind: tuple[str, ...]
    forked: tuple[str, ...]
    domains: tuple[DomainStatus, ...] = ()


class RenderedSet(msgspec.Struct, frozen=True, kw_only=True):
    """A summary of a rendered set that was read from a directory."""

    manifest: Manifest
    objects_count: int


def check_directory(directory: Path) -> SourceResult:
    """Return the objects in the files of a directory and all findings."""
    return read_directory(directory)


def read_rendered(directory: Path) -> tuple[Manifest, ObjectSet]:
    """Return the manifest and the objects of a rendered set.

    `SetError` is raised if a file is missing or malformed.
    """
    try:
        manifest = decode_manifest(read_bounded(directory / MANIFEST_FILE))
        contents = [
            read_bounded(directory / PARTS_DIRECTORY / part.digest, MAX_PART_BYTES)
            for part in manifest.parts
        ]
    except OSError as error:
        raise SetError(
            f"set_unreadable: {error}. Remedy: name the directory of a rendered set"
        )
    objects = build_set(item for part in contents for item in decode_part(part))
    return manifest, objects


def changes_between(old: ObjectSet, new: ObjectSet) -> tuple[Change, ...]:
    """Return the changes from `old` to `new`."""
    return difference(old, new)


def fetch_statuses(addresses: Iterable[str]) -> list[ProcessStatus | Unreachable]:
    """Return the status of the process at each operators' address.

    An item is `Unreachable` if its process does not return a valid status in time.
    """
    asked = tuple(addresses)
    results = fetch_all(
        asked,
        path="/status",
        timeout=QUERY_TIMEOUT_SECONDS,
        max_parallel=MAX_PARALLEL_QUERIES,
    )
    return [
        _decode_status(address, result)
        for address, result in zip(asked, results, strict=True)
    ]


def _decode_status(address: str, result: FetchResult) -> ProcessStatus | Unreachable:
    match result:
        case FetchFailure(detail=detail):
            return Unreachable(address=address, detail=detail)
        case bytes(body):
            try:
                return decode_json(body, ProcessStatus)
            except MalformedJsonError as error:
                return Unreachable(address=address, detail=str(error))


def collect_status(addresses: Iterable[str]) -> StatusReport:
    """Return the status of all processes, and which of them are behind or forked.

    All are asked at once, so that silent ones delay the report by one timeout only.
    """
    answers = fetch_statuses(addresses)
    processes = tuple(item for item in answers if isinstance(item, ProcessStatus))
    unreachable = tuple(item for item in answers if isinstance(item, Unreachable))
    newest = max((item.set_number for item in processes), default=0)
    digests = {item.set_digest for item in processes if item.set_number == newest}
    behind = tuple(item.process for item in processes if item.set_number < newest)
    is_forked = len(digests) > 1
    forked = tuple(
        item.process for item in processes if is_forked and item.set_number == newest
    )
    return StatusReport(
        newest_set=newest,
        processes=processes,
        unreachable=unreachable,
        behind=behind,
        forked=forked,
        domains=_sum_by_domain(processes),
    )


def _sum_by_domain(processes: Iterable[ProcessStatus]) -> tuple[DomainStatus, ...]:
    groups: dict[tuple[str, str], list[ProcessStatus]] = {}
    for item in processes:
        groups.setdefault((item.failure_domain, item.role), []).append(item)
    return tuple(
        DomainStatus(
            failure_domain=failure_domain,
            role=role,
            processes=len(items),
            live=sum(item.state == "live" for item in items),
            readers=sum(item.is_reader for item in items),
            in_progress=sum(item.in_progress for item in items),
        )
        for (failure_domain, role), items in sorted(groups.items())
    )


def explain_prompt(
    address: str, *, model: str, prompt_tokens: int, max_tokens: int
) -> Explanation:
    """Return where an entry or a gateway would send a prompt now, and why.

    `OSError` is raised if the process cannot be reached or does not support the
    query, and `MalformedJsonError` if its answer is malformed.
    """
    query = urllib.parse.urlencode(
        {"model": model, "prompt_tokens": prompt_tokens, "max_tokens": max_tokens}
    )
    (result,) = fetch_all(
        [address],
        path=f"/explain?{query}",
        timeout=QUERY_TIMEOUT_SECONDS,
        max_parallel=1,
    )
    match result:
        case FetchFailure(detail=detail):
            raise OSError(detail)
        case body:
            return decode_json(body, Explanation)
