"""Keeping the published items up to date: a list, then watches from there."""

import random

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import deferLater

from bilberryring.fleet import FleetState
from bilberryring.gateway.published_copies import PublishedCopies
from bilberryring.platform.store import HistoryLost, Listing, StoreClient, StoreError
from bilberryring.telemetry import EventLog, LogEvent

WATCH_SECONDS_PER_ENTRY = 1.2
"""Seconds of a watch for each entry: a silent connection is noticed when its
watch ends, and entries tell each other of changes, so one watch that ends in
time is enough for all."""
SHORTEST_WATCH_SECONDS = 3.0
LONGEST_WATCH_SECONDS = 10.0
FIRST_RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 0.8
STALE_AFTER_SECONDS = 1.0
"""Seconds of failed reads after which the own view counts as old."""
QUICK_WATCH_SECONDS = 0.02
"""Seconds to gather changes before the next watch, since each call is priced."""


class StoreHealth:
    """Whether reads of the store succeed, for all watches of a process."""

    def __init__(self, *, reactor, fleet: FleetState, log: EventLog):
        self._reactor = reactor
        self._fleet = fleet
        self._log = log
        self._failing: dict[str, float] = {}
        self._returned_at: float | None = None

    def record_success(self, prefix: str) -> None:
        """Note an answer."""
        if self._failing.pop(prefix, None) is None:
            return
        self._returned_at = self._reactor.seconds()
        self._log.write(LogEvent.PLATFORM_REACHABLE, prefix=prefix)
        if not self._failing:
            self._fleet.mark_stale(None)

    def record_failure(self, prefix: str, error: StoreError) -> None:
        """Note a read that failed."""
        now = self._reactor.seconds()
        if prefix not in self._failing:
            self._failing[prefix] = now
            self._log.write(
                LogEvent.PLATFORM_UNREACHABLE, prefix=prefix, detail=str(error)
            )
        since = min(self._failing.values())
        if now - since >= STALE_AFTER_SECONDS:
            self._fleet.mark_stale(since)

    def is_failing(self, prefix: str) -> bool:
        """Whether the last read of a prefix failed."""
        return prefix in self._failing

    def is_returning(self, grace: float) -> bool:
        """Whether the store is out of reach, or was in the last `grace` seconds."""
        if self._failing:
            return True
        if self._returned_at is None:
            return False
        return self._reactor.seconds() - self._returned_at < grace


class StoreWatch:
    """Watches one prefix; owns the calls that it makes."""

    def __init__(
        self,
        *,
        reactor,
        store: StoreClient,
        prefix: str,
        copies: PublishedCopies,
        health: StoreHealth,
        log: EventLog,
        entry_count,
    ):
        self._reactor = reactor
        self._store = store
        self._prefix = prefix
        self._copies = copies
        self._health = health
        self._log = log
        self._entry_count = entry_count
        self._revision: int | None = None
        self._task: Deferred | None = None
        self._call: Deferred[Listing] | None = None
        self._is_stopped = False

    def start(self) -> None:
        """Begin to list and watch."""
        self._task = Deferred.fromCoroutine(self._run())

    def stop(self) -> None:
        """Make no more calls."""
        self._is_stopped = True
        if self._task is not None:
            self._task.cancel()

    def refresh(self) -> None:
        """Give the present watch up and ask anew: it may have gone silent."""
        if self._call is not None:
            self._call.cancel()

    async def _run(self) -> None:
        delay = FIRST_RETRY_SECONDS
        while not self._is_stopped:
            try:
                await self._read_once()
                delay = FIRST_RETRY_SECONDS
            except HistoryLost:
                self._log.write(LogEvent.HISTORY_LOST, prefix=self._prefix)
                self._revision = None
            except StoreError as error:
                if self._is_stopped:
                    return
                self._health.record_failure(self._prefix, error)
                await self._pause(delay * random.uniform(0.7, 1.3))
                delay = min(delay * 2, LONGEST_RETRY_SECONDS)
            except CancelledError:
                return

    async def _read_once(self) -> None:
        if self._revision is None:
            listing = await self._store.list(self._prefix)
            self._health.record_success(self._prefix)
            changed = self._copies.replace(
                self._prefix, listing.items, revision=listing.revision
            )
            self._log.write(
                LogEvent.ITEMS_LISTED,
                prefix=self._prefix,
                revision=listing.revision,
                items=len(listing.items),
                changed=changed,
            )
        else:
            listing = await self._watch(self._revision)
        self._revision = listing.revision

    async def _watch(self, after: int) -> Listing:
        wait = 0.0 if self._health.is_failing(self._prefix) else self._wait_seconds()
        self._call = Deferred.fromCoroutine(
            self._store.watch(self._prefix, after=after, wait=wait)
        )
        try:
            listing = await self._call
        finally:
            self._call = None
        self._health.record_success(self._prefix)
        self._copies.apply(self._prefix, listing.items)
        if listing.items:
            await self._pause(QUICK_WATCH_SECONDS)
        return listing

    def _wait_seconds(self) -> float:
        wait = WATCH_SECONDS_PER_ENTRY * self._entry_count()
        wait = min(max(wait, SHORTEST_WATCH_SECONDS), LONGEST_WATCH_SECONDS)
        return wait * random.uniform(0.8, 1.0)

    async def _pause(self, seconds: float) -> None:
        await deferLater(self._reactor, seconds)
