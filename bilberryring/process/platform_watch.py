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
    ManifestChanges,
    PlatformError,
    PlatformReader,
    parse_set_key,
    set_key,
)
from bilberryring.fleet import EraOrder, Revision, compare_era
from bilberryring.objects import SetError, decode_manifest
from bilberryring.process.set_keeper import SetKeeper
from bilberryring.telemetry import EventLog, LogEvent

START_GRACE_SECONDS = 2.0
"""Seconds that a starting process waits for a set from a peer before it uses the
platform's. After a return of the platform every process waits as long: a set that was
lost is still in force at peers, and another can have its number."""
PEER_CHECK_SECONDS = 0.1


class PlatformWatch:
    """Reads manifests and parts, and passes them to the keeper.

    `is_reader` returns whether this process is chosen to watch the platform,
    `announced_number` the highest number that a linked peer has in force.
    """

    def __init__(
        self,
        *,
        reactor,
        platform: PlatformReader,
        log: EventLog,
        keeper: SetKeeper,
        is_reader: Callable[[], bool],
        announced_number: Callable[[], int],
    ):
        self._reactor = reactor
        self._platform = platform
        self._log = log
        self._keeper = keeper
        self._sets = keeper.sets
        self._is_reader = is_reader
        self._announced_number = announced_number
        self._published = PublishedKeys()
        self._peers_awaited_until = reactor.seconds() + START_GRACE_SECONDS
        self._revision = Revision()
        self._is_restored = False
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
        may_wait = self._is_reader() and is_settled and self._is_platform_up
        answer = await self._read_changes(WATCH_TIMEOUT_SECONDS if may_wait else 0.0)
        await self._wait_for_peers()
        if self._is_restored:
            await self._drop_lost_set()
            self._is_restored = False
        keys = _published_keys(answer)
        for key in keys:
            self._published.add(key)
        await self._read_duplicates(keys)
        await self._read_newest(keys)
        await self._read_parts()
        if self._sets.pending is None:
            # It can be lower, from a stale platform or one that lost its history;
            # keys that are read again change nothing.
            self._revision = answer.revision

    async def _read_changes(self, wait: float) -> ManifestChanges:
        """Return the changes since the last read; all keys when an era begins."""
        answer = await self._watch_manifests(wait, after=self._revision.number)
        known = self._revision.era
        if compare_era(answer.revision.era, known=known) is EraOrder.SAME:
            return answer
        # One answer is not enough: no later answer could take an era back.
        copy = await self._watch_manifests(0.0, after=0)
        if compare_era(copy.revision.era, known=answer.revision.era) is EraOrder.SAME:
            self._begin_era(copy.revision)
            return copy
        raise PlatformError(
            "platform_restored: another era during a read. "
            "Remedy: none, the read is repeated later"
        )

    async def _watch_manifests(self, wait: float, *, after: int) -> ManifestChanges:
        """Return the changes after a revision, unless they are of an earlier era."""
        answer = await self._platform.watch_manifests(after=after, wait=wait)
        era, known = answer.revision.era, self._revision.era
        if compare_era(era, known=known) is EraOrder.EARLIER:
            raise PlatformError(
                f"platform_outdated: era {era}, known is {known}. "
                "Remedy: none, the read is repeated later"
            )
        return answer

    def _begin_era(self, revision: Revision) -> None:
        """Forget the order of writes in the era before.

        The set in force stays, since only a later set replaces it.
        """
        if self._revision != Revision():
            self._log.write(
                LogEvent.STORE_RESTORED,
                era=revision.era,
                revision=revision.number,
                lost_era=self._revision.era,
                lost_revision=self._revision.number,
            )
            self._is_restored = True
            self._peers_awaited_until = self._reactor.seconds() + START_GRACE_SECONDS
        self._published = PublishedKeys()
        self._revision = Revision(era=revision.era)

    async def _wait_for_peers(self) -> None:
        """Wait for what peers have in force before a set of the platform counts."""
        while self._reactor.seconds() < self._peers_awaited_until and (
            self._is_restored or self._sets.in_force is None
        ):
            await deferLater(self._reactor, PEER_CHECK_SECONDS)

    async def _drop_lost_set(self) -> None:
        """Forget a half-published set that the platform has lost.

        Its parts can come from no one unless a peer has it in force, and its number
        may be published again.
        """
        pending = self._sets.pending
        if pending is None or self._announced_number() >= pending.number:
            return
        value = await self._platform.read(set_key(pending.number, pending.digest))
        if value is None and self._sets.pending is pending:
            self._keeper.drop_incomplete()

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


def _published_keys(answer: ManifestChanges) -> list[PublishedKey]:
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
