"""Keeps copies of the published items up to date: one list, then watches.

Only gateways with the duty to read watch the store; see `gateway.store_readers`. The
others copy the changes from them.
"""

import random
from collections.abc import Callable

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import deferLater

from bilberryring.fleet import EraOrder, FleetState, Revision, compare_era
from bilberryring.gateway.peer_view import PeerView
from bilberryring.gateway.published_copies import PublishedCopies
from bilberryring.gateway.store_readers import ReadingDuty, StoreAccess
from bilberryring.platform.store import (
    READ_TIMEOUT_SECONDS,
    HistoryLost,
    Listing,
    StoreClient,
    StoreError,
    StoreRestored,
)
from bilberryring.telemetry import EventLog, LogEvent

WATCH_SECONDS_PER_ENTRY = 1.2
"""Seconds that a watch lasts, multiplied by the number of gateways."""
MIN_WATCH_SECONDS = 3.0
MAX_WATCH_SECONDS = 8.0
FIRST_WATCH_SECONDS = 1.0
"""Seconds that a watch of the first reader lasts.

A lost watch is noticed only when its time is over. All readers may lose theirs
together, since all watch again after the same change. The bounds hold 3 s after the end
of a disruption. Gateways forward changes to each other, so one reader has to notice."""
FIRST_PATIENCE_SECONDS = 1.0
"""Seconds after its end for which the first reader awaits the response to a watch."""
DUTY_CHECK_SECONDS = 0.25
"""Seconds between two checks of a gateway without the duty to read."""
INITIAL_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.8
STALE_AFTER_SECONDS = 1.0
"""Seconds of failed reads after which the fleet state counts as stale."""
BATCH_SECONDS = 0.1
"""Seconds between a watch that returned changes and the next one.

Every call to the store has a price, so changes in quick succession are collected
into one call."""


class _WatchReplacedError(Exception):
    """A pending watch was cancelled because this gateway now has to read sooner."""


class StoreHealth:
    """Tracks whether the reads of all watches of a process succeed.

    A process that does not read goes by what its peers report of an outage.
    """

    def __init__(
        self,
        *,
        reactor,
        fleet: FleetState,
        peers: PeerView,
        duty: ReadingDuty,
        log: EventLog,
    ):
        self._reactor = reactor
        self._fleet = fleet
        self._peers = peers
        self._duty = duty
        self._log = log
        self._failing_since: dict[str, float] = {}
        self._recovered_at: float | None = None

    def record_success(self, prefix: str) -> None:
        """Record that a read of a prefix succeeded."""
        if not self._failing_since.keys() - {prefix}:
            self._duty.record(StoreAccess.WORKING)
        if self._failing_since.pop(prefix, None) is None:
            return
        self._recovered_at = self._reactor.seconds()
        self._log.write(LogEvent.PLATFORM_REACHABLE, prefix=prefix)
        if not self._failing_since:
            self._fleet.set_stale_since(None)

    def record_failure(self, prefix: str, error: StoreError) -> None:
        """Record that a read failed.

        The fleet state counts as stale if reads keep failing and no live peer that is
        relied on can read either; otherwise the changes come from that peer.
        """
        now = self._reactor.seconds()
        self._duty.record(StoreAccess.FAILING)
        if prefix not in self._failing_since:
            self._failing_since[prefix] = now
            self._log.write(
                LogEvent.PLATFORM_UNREACHABLE, prefix=prefix, detail=str(error)
            )
        since = min(self._failing_since.values())
        is_cut_off = now - since >= STALE_AFTER_SECONDS
        accesses = self._peers.store_access(now=now).values()
        if is_cut_off and StoreAccess.WORKING not in accesses:
            self._fleet.set_stale_since(since)
        else:
            self._fleet.set_stale_since(None)

    def record_idle(self, prefix: str) -> None:
        """Record that a prefix is not read any more: its copies come from peers."""
        if self._failing_since.pop(prefix, None) is not None:
            self._recovered_at = self._reactor.seconds()
        if not self._failing_since:
            self._fleet.set_stale_since(None)
            if self._duty.access is StoreAccess.WORKING:
                self._duty.record(StoreAccess.UNUSED)

    def is_failing(self, prefix: str) -> bool:
        """Whether the last read of a prefix failed."""
        return prefix in self._failing_since

    def is_recovering(self, grace: float) -> bool:
        """Whether the store is unreachable, or was within the last `grace` seconds."""
        if self._failing_since:
            return True
        outages = (self._recovered_at, self._peers.outage_seen_at)
        ended_at = max((at for at in outages if at is not None), default=None)
        if ended_at is None:
            return False
        return self._reactor.seconds() - ended_at < grace


class StoreWatch:
    """Keeps the copy of one prefix up to date, with one call to the store at a time.

    `on_list` is called with the prefix and each list of it.
    """

    def __init__(
        self,
        *,
        reactor,
        store: StoreClient,
        prefix: str,
        copies: PublishedCopies,
        health: StoreHealth,
        duty: ReadingDuty,
        log: EventLog,
        entry_count,
        on_list: Callable[[str, Listing], None] = lambda prefix, listing: None,
        generator: random.Random | None = None,
    ):
        self._on_list = on_list
        self._random = generator or random.Random()
        self._reactor = reactor
        self._store = store
        self._prefix = prefix
        self._copies = copies
        self._health = health
        self._log = log
        self._entry_count = entry_count
        self._duty = duty
        self._is_reading = False
        self._must_read = True
        self._revision: Revision | None = None
        self._listed_era: int | None = None
        self._task: Deferred | None = None
        self._call: Deferred[Listing] | None = None
        self._is_call_replaced = False
        self._last_overrun = 0.0
        self._is_stopped = False

    def start(self) -> None:
        """Start to list and watch the prefix."""
        self._task = Deferred.fromCoroutine(self._run())

    def stop(self) -> None:
        """Cancel the pending call and make no further ones."""
        self._is_stopped = True
        if self._task is not None:
            self._task.cancel()

    def refresh(self) -> None:
        """Read now, and replace a pending watch, whose connection may be dead."""
        self._must_read = True
        if self._call is not None:
            self._is_call_replaced = True
            self._call.cancel()

    async def _run(self) -> None:
        delay = INITIAL_RETRY_SECONDS
        while not self._is_stopped:
            began_at = self._reactor.seconds()
            try:
                if self._has_duty() or self._must_read:
                    await self._read_once()
                    self._must_read = False
                else:
                    self._health.record_idle(self._prefix)
                    await self._pause(DUTY_CHECK_SECONDS)
                delay = INITIAL_RETRY_SECONDS
            except HistoryLost as error:
                self._log.write(
                    LogEvent.HISTORY_LOST,
                    prefix=self._prefix,
                    era=self._revision and self._revision.era,
                    revision=self._revision and self._revision.number,
                    detail=str(error),
                )
                self._revision = None
            except _WatchReplacedError:
                self._must_read = True
            except StoreError as error:
                if self._is_stopped:
                    return
                self._health.record_failure(self._prefix, error)
                # The interval counts from the start of a call that took long to fail.
                rest = delay - (self._reactor.seconds() - began_at)
                rest = max(INITIAL_RETRY_SECONDS, rest)
                await self._pause(rest * self._random.uniform(0.7, 1.3))
                delay = min(delay * 2, MAX_RETRY_SECONDS)
            except CancelledError:
                return
            except Exception as error:
                # Without this the task would end, and its prefix be read no more.
                self._log.write(
                    LogEvent.INTERNAL_FAULT, prefix=self._prefix, detail=repr(error)
                )
                self._revision = None
                await self._pause(MAX_RETRY_SECONDS)

    def _has_duty(self) -> bool:
        """Whether to read now; log when that changes."""
        is_due = self._duty.is_due
        if is_due and not self._is_reading:
            self._skip_copied_changes()
        if is_due is not self._is_reading:
            self._is_reading = is_due
            self._log.write(
                LogEvent.READER_DUTY_CHANGED, prefix=self._prefix, is_reading=is_due
            )
        return is_due

    def _skip_copied_changes(self) -> None:
        """Let the next watch begin after the changes that were copied from peers."""
        replica = self._copies.replica(self._prefix)
        if self._revision is not None and replica is not None:
            self._revision = max(self._revision, replica.position.latest)

    async def _read_once(self) -> None:
        if self._revision is None:
            listing = await self._store.list(self._prefix)
            self._check_not_older(listing.era)
            await self._confirm_era(listing)
            self._check_not_older(listing.era)
            self._health.record_success(self._prefix)
            self._on_list(self._prefix, listing)
            changed = self._copies.replace(
                self._prefix,
                listing.items,
                revision=listing.revision,
                era=listing.era,
            )
            self._log.write(
                LogEvent.ITEMS_LISTED,
                prefix=self._prefix,
                revision=listing.revision,
                era=listing.era,
                items=len(listing.items),
                latest_item=max((item.revision for item in listing.items), default=0),
                position=self._copies.replica(self._prefix).position.latest.number,
                changed=changed,
            )
        else:
            listing = await self._watch(self._revision)
        self._revision = Revision(era=listing.era, number=listing.revision)

    def _check_not_older(self, era: int) -> None:
        """Raise `StoreError` if a peer knows of a later era than the store's answer."""
        known = self._copies.replica(self._prefix).era
        if compare_era(era, known=known) is EraOrder.EARLIER:
            raise StoreError(
                f"store_outdated: era {era}, known is {known}. Remedy: read again later"
            )

    async def _confirm_era(self, listing: Listing) -> None:
        """Raise `StoreError` unless a second answer states the era that a list begins.

        One answer is not enough: no later answer could take an era back.
        """
        known = self._copies.replica(self._prefix).era
        if compare_era(listing.era, known=known) is not EraOrder.LATER:
            self._listed_era = None
            return
        # A store may keep so little history that each watch fails.
        if listing.era == self._listed_era:
            return
        self._listed_era = listing.era
        try:
            await self._store.watch(
                self._prefix,
                after=listing.revision,
                era=listing.era,
                wait=0.0,
                patience=READ_TIMEOUT_SECONDS,
            )
        except StoreRestored as error:
            self._listed_era = None
            raise StoreError(f"store_unconfirmed: {error}")

    async def _watch(self, after: Revision) -> Listing:
        began_at = self._reactor.seconds()
        is_first = self._duty.is_first
        is_quick = self._must_read or self._health.is_failing(self._prefix)
        wait = 0.0 if is_quick else self._watch_seconds(is_first)
        self._call = call = Deferred.fromCoroutine(
            self._store.watch(
                self._prefix,
                after=after.number,
                era=after.era,
                wait=wait,
                patience=self._patience(wait, is_first),
            )
        )
        if wait > FIRST_WATCH_SECONDS:
            self._replace_if_first(call)
        try:
            listing = await call
        except (StoreError, CancelledError):
            if self._is_call_replaced and not self._is_stopped:
                raise _WatchReplacedError
            raise
        finally:
            self._call = None
            self._is_call_replaced = False
        self._check_not_older(listing.era)
        self._health.record_success(self._prefix)
        self._last_overrun = self._reactor.seconds() - began_at - wait
        self._copies.apply(self._prefix, listing.items, era=listing.era)
        if listing.items:
            await self._pause(BATCH_SECONDS)
        return listing

    def _watch_seconds(self, is_first: bool) -> float:
        wait = WATCH_SECONDS_PER_ENTRY * self._entry_count()
        wait = min(max(wait, MIN_WATCH_SECONDS), MAX_WATCH_SECONDS)
        wait *= self._random.uniform(0.8, 1.0)
        if is_first:
            wait = FIRST_WATCH_SECONDS
        return min(wait, self._duty.seconds_until_settled or wait)

    def _patience(self, wait: float, is_first: bool) -> float:
        """Return how long after its end a watch is awaited.

        A store that was slow to answer lately is awaited longer.
        """
        is_slow = self._last_overrun > FIRST_PATIENCE_SECONDS / 2
        if wait == 0.0 or not is_first or is_slow:
            return READ_TIMEOUT_SECONDS
        return FIRST_PATIENCE_SECONDS

    def _replace_if_first(self, call: Deferred[Listing]) -> None:
        """Cancel a pending long watch once this gateway is the first reader."""
        if call is not self._call or self._is_stopped:
            return
        if self._duty.is_first:
            self._is_call_replaced = True
            call.cancel()
            return
        self._reactor.callLater(DUTY_CHECK_SECONDS, self._replace_if_first, call)

    async def _pause(self, seconds: float) -> None:
        await deferLater(self._reactor, seconds)
