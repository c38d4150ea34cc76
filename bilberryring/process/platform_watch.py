"""Reads the published manifests and the parts of sets from the platform."""

import contextlib
from collections.abc import Callable

from twisted.internet.task import deferLater

from bilberryring.acceptance import (
    WATCH_TIMEOUT_SECONDS,
    Candidate,
    PublishedKey,
    PublishedKeys,
    Verdict,
)
from bilberryring.adapters import (
    PART_PREFIX,
    PlatformError,
    PlatformReader,
    WatchResponse,
    parse_set_key,
)
from bilberryring.objects import SetError, decode_manifest
from bilberryring.process.set_keeper import SetKeeper
from bilberryring.telemetry import EventLog, LogEvent

START_GRACE_SECONDS = 2.0
"""Seconds that a starting process waits for a set from a peer before it uses the
platform's."""
PEER_CHECK_SECONDS = 0.1


class PlatformWatch:
    """Reads manifests and parts, and passes them to the keeper.

    `is_reader` returns whether this process is chosen to watch the platform.
    """

    def __init__(
        self,
        *,
        reactor,
        platform: PlatformReader,
        log: EventLog,
        keeper: SetKeeper,
        is_reader: Callable[[], bool],
    ):
        self._reactor = reactor
        self._platform = platform
        self._log = log
        self._keeper = keeper
        self._sets = keeper.sets
        self._is_reader = is_reader
        self._published = PublishedKeys()
        self._started_at = reactor.seconds()
        self._revision = 0
        self._is_platform_up = True

    @property
    def is_platform_up(self) -> bool:
        """Whether the last read succeeded."""
        return self._is_platform_up

    async def read(self) -> None:
        """Read the platform once; a chosen reader waits for a change.

        Errors are logged and not raised.
        """
        try:
            await self._read_platform()
        except (PlatformError, SetError) as error:
            if self._is_platform_up:
                self._log.write(LogEvent.PLATFORM_UNREACHABLE, detail=str(error))
            self._is_platform_up = False
            return
        except Exception as error:
            self._log.write(LogEvent.INTERNAL_FAULT, detail=repr(error))
            self._is_platform_up = False
            return
        if not self._is_platform_up:
            self._log.write(LogEvent.PLATFORM_REACHABLE)
        self._is_platform_up = True

    async def _read_platform(self) -> None:
        is_settled = self._sets.in_force is not None and self._sets.pending is None
        wait = WATCH_TIMEOUT_SECONDS if self._is_reader() and is_settled else 0.0
        answer = await self._platform.watch_manifests(after=self._revision, wait=wait)
        await self._wait_for_peers()
        keys = _published_keys(answer)
        for key in keys:
            self._published.add(key)
        await self._read_duplicates(keys)
        await self._read_newest(keys)
        await self._read_parts()
        if self._sets.pending is None:
            self._revision = max(self._revision, answer.revision)

    async def _wait_for_peers(self) -> None:
        """Wait for a set from a peer if this process has just started and has none."""
        deadline = self._started_at + START_GRACE_SECONDS
        while self._sets.in_force is None and self._reactor.seconds() < deadline:
            await deferLater(self._reactor, PEER_CHECK_SECONDS)

    async def _read_duplicates(self, keys: list[PublishedKey]) -> None:
        """Record the digests of sets that were not the first under their number."""
        for key in keys:
            if self._published.is_first(key):
                continue
            value = await self._platform.read(key.key)
            if value is None:
                continue
            with contextlib.suppress(SetError):
                manifest = decode_manifest(value.content)
                self._keeper.consider(
                    Candidate(manifest=manifest, is_first_write=False)
                )

    async def _read_newest(self, keys: list[PublishedKey]) -> None:
        """Make the newest acceptable set the pending one, if one is newer than ours."""
        newer = [
            key
            for key in keys
            if key.number > self._sets.number and self._published.is_first(key)
        ]
        newer.sort(key=lambda key: key.number, reverse=True)
        for key in newer:
            if await self._read_manifest(key):
                return

    async def _read_manifest(self, key: PublishedKey) -> bool:
        """Read one manifest; return whether it is acceptable."""
        value = await self._platform.read(key.key)
        if value is None:
            return False
        try:
            manifest = decode_manifest(value.content)
        except SetError as error:
            self._keeper.refuse_malformed(key.number, str(error))
            return False
        if manifest.number != key.number:
            self._keeper.refuse_malformed(
                key.number,
                "the number in the manifest differs from the number in its key",
            )
            return False
        candidate = Candidate(manifest=manifest, is_first_write=value.is_written_once)
        return self._keeper.consider(candidate) is Verdict.ACCEPTABLE

    async def _read_parts(self) -> None:
        for digest in self._sets.missing_parts():
            value = await self._platform.read(PART_PREFIX + digest)
            if value is None:
                return
            if not self._keeper.add_part(digest, value.content):
                return
        await self._keeper.validate()


def _published_keys(answer: WatchResponse) -> list[PublishedKey]:
    """Return the keys of manifests among the items that changed."""
    keys = []
    for item in answer.items:
        number = parse_set_key(item.key)
        if number is not None:
            keys.append(
                PublishedKey(
                    key=item.key,
                    number=number,
                    created=item.created,
                    modified=item.modified,
                )
            )
    return keys
