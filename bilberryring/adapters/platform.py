"""Client that reads values, watches and the VM list of the platform.

It writes nothing to the platform.
"""

import re
from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from bilberryring.adapters.platform_protocol import (
    ListedVm,
    WatchItem,
    WatchResponse,
)
from bilberryring.core import MalformedJsonError, decode_json
from bilberryring.fleet import Revision, parse_era
from bilberryring.http import HttpClient, HttpResponse
from bilberryring.objects import NAME_PATTERN, is_address
from bilberryring.platform.names import STORE_ERA

SET_PREFIX = "set/"
PART_PREFIX = "part/"
SET_KEY_DIGITS = 12
SET_KEY = re.compile(rf"{SET_PREFIX}([0-9]{{1,18}})(?:-[0-9A-Za-z]*)?")
"""Keys of manifests; messages hold no numbers of more digits."""
READ_TIMEOUT_SECONDS = 5.0
"""Timeout of a read; a watch has it in addition to its own waiting time."""
SET_KEY_DIGEST_LENGTH = 16
MAX_DETAIL_CHARS = 200
"""Characters of a header that an error keeps."""


class PlatformError(Exception):
    """Raised when the platform gives no usable answer; callers read again later."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformValue:
    """A value, and whether its key was written only once."""

    content: bytes
    is_written_once: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ManifestChanges:
    """The keys of manifests that were written after a revision.

    `revision` is the newest one that the platform took into account, with its era.
    """

    revision: Revision
    items: tuple[WatchItem, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class VmList:
    """The VMs in the platform's list, and how many entries of it name none."""

    vms: tuple[ListedVm, ...]
    n_unreadable: int = 0


def set_key(number: int, digest: str) -> str:
    """Return the key under which operators publish a manifest.

    The key contains the start of the digest, so that two operators who choose the
    same number do not overwrite each other's manifest.

    >>> set_key(7, "0123456789abcdef0123")
    'set/000000000007-0123456789abcdef'
    """
    return f"{SET_PREFIX}{number:0{SET_KEY_DIGITS}d}-{digest[:SET_KEY_DIGEST_LENGTH]}"


def parse_set_key(key: str) -> int | None:
    """Return the set number in a manifest's key.

    The result is `None` if `key` is not the key of a manifest.
    """
    found = SET_KEY.fullmatch(key)
    return int(found.group(1)) if found else None


class PlatformReader:
    """Reads from the platform on behalf of one process.

    `reader` is the name of the process; the platform counts the calls of each reader.
    """

    def __init__(self, *, client: HttpClient, reader: str):
        self._client = client
        self._reader = quote(reader)
        self._calls = 0

    @property
    def calls(self) -> int:
        """The number of calls made so far, including watches."""
        return self._calls

    async def read(self, key: str) -> PlatformValue | None:
        """Return the value of a key, or `None` if the key does not exist."""
        answer = await self._get(f"/v1/values/{quote(key)}?reader={self._reader}")
        if answer.status == 404:
            return None
        created = answer.header("x-created")
        return PlatformValue(
            content=answer.body, is_written_once=created == answer.header("x-modified")
        )

    async def watch_manifests(self, *, after: int, wait: float) -> ManifestChanges:
        """Return the keys of manifests written after the revision `after`.

        If there are none, the platform waits up to `wait` seconds for one. The answer
        can be of another era than `after`, and then lacks keys of its own era.
        """
        answer = await self._get(
            f"/v1/watch?prefix={SET_PREFIX}&after={after}&wait={wait}"
            f"&reader={self._reader}",
            timeout=wait + READ_TIMEOUT_SECONDS,
        )
        changes = _decode(answer.body, WatchResponse)
        return ManifestChanges(
            revision=Revision(era=_era_of(answer), number=changes.revision),
            items=changes.items,
        )

    async def list_vms(self) -> VmList:
        """Return the platform's VM list, which may be out of date.

        An entry that names no VM with an address is left out and counted.
        """
        answer = await self._get(f"/v1/vms?reader={self._reader}")
        entries = _decode(answer.body, tuple[msgspec.Raw, ...])
        vms = tuple(vm for entry in entries if (vm := _decode_vm(entry)) is not None)
        return VmList(vms=vms, n_unreadable=len(entries) - len(vms))

    async def _get(self, path: str, *, timeout: float = READ_TIMEOUT_SECONDS):
        self._calls += 1
        try:
            answer = await self._client.request("GET", path, timeout=timeout)
        except Exception as error:
            raise PlatformError(
                f"platform_unreachable: {error}. "
                "Remedy: none, the read is repeated later"
            )
        if answer.status not in (200, 404):
            raise PlatformError(
                f"platform_refused: status {answer.status}. "
                "Remedy: none, the read is repeated later"
            )
        return answer


def _era_of(answer: HttpResponse) -> int:
    stated = answer.header(STORE_ERA)
    era = parse_era(stated)
    if era is None:
        raise PlatformError(
            f"platform_malformed: era {stated[:MAX_DETAIL_CHARS]!r}. "
            "Remedy: none, the read is repeated later"
        )
    return era


def _decode_vm(entry: msgspec.Raw) -> ListedVm | None:
    try:
        vm = decode_json(entry, ListedVm)
    except MalformedJsonError:
        return None
    return vm if NAME_PATTERN.match(vm.name) and is_address(vm.address) else None


def _decode(body: bytes, message_type):
    try:
        return decode_json(body, message_type)
    except MalformedJsonError as error:
        raise PlatformError(
            f"platform_malformed: {error}. Remedy: none, the read is repeated later"
        )
