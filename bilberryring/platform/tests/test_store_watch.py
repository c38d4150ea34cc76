"""A watch of the store goes on after an unexpected exception, and is not hasty."""

import json
from io import StringIO
from types import SimpleNamespace

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock, deferLater

from bilberryring.fleet import FleetState, Revision
from bilberryring.gateway.peer_view import PeerView
from bilberryring.gateway.store_readers import ReadingDuty
from bilberryring.platform.store import READ_TIMEOUT_SECONDS, Listing, StoreError
from bilberryring.platform.watch import (
    FIRST_PATIENCE_SECONDS,
    FIRST_WATCH_SECONDS,
    MAX_RETRY_SECONDS,
    StoreHealth,
    StoreWatch,
)
from bilberryring.telemetry import EventLog

STEP_SECONDS = 0.05


class CountingStore:
    """Answers each list, and no watch."""

    def __init__(self):
        self.n_lists = 0

    async def list(self, prefix):
        self.n_lists += 1
        return await succeed(Listing(items=(), revision=self.n_lists))

    async def watch(self, prefix, *, after, era, wait, patience):
        await Deferred()


class FailingCopies:
    """Raises an exception for the first list that it gets."""

    def __init__(self):
        self.replaced = []

    def replica(self, prefix):
        latest = Revision(era=0, number=0)
        return SimpleNamespace(era=0, position=SimpleNamespace(latest=latest))

    def replace(self, prefix, items, *, revision, era):
        self.replaced.append(revision)
        if len(self.replaced) == 1:
            raise KeyError("unexpected")
        return 0

    def apply(self, prefix, items, *, era):
        pass


def make_watch(clock, output, *, store, copies):
    """Return the watch of a gateway without peers."""
    log = EventLog(process="p", role="gateway", stream=output)
    view = PeerView(own_host="h1", seed_hosts=())
    duty = ReadingDuty(
        clock=clock,
        own_host="h1",
        is_alone=True,
        peers=lambda: view.store_access(now=clock.seconds()),
    )
    return StoreWatch(
        reactor=clock,
        store=store,
        prefix="op/",
        copies=copies,
        health=StoreHealth(
            reactor=clock, fleet=FleetState(), peers=view, duty=duty, log=log
        ),
        duty=duty,
        log=log,
        entry_count=lambda: 1,
    )


def events(output):
    return [json.loads(line)["event"] for line in output.getvalue().splitlines()]


def advance(clock, seconds):
    for _ in range(round(seconds / STEP_SECONDS)):
        clock.advance(STEP_SECONDS)


def test_an_unexpected_exception_is_logged_and_the_store_is_listed_again():
    clock, output = Clock(), StringIO()
    copies = FailingCopies()
    watch = make_watch(clock, output, store=CountingStore(), copies=copies)
    watch.start()
    clock.advance(2 * MAX_RETRY_SECONDS)
    assert copies.replaced == [1, 2]
    lines = [json.loads(line) for line in output.getvalue().splitlines()]
    faults = [event for event in lines if event["event"] == "internal_fault"]
    assert len(faults) == 1
    assert "unexpected" in faults[0]["detail"]


class SlowStore:
    """Answers each call after some seconds; a watch that is not awaited so long fails.

    `watches` are the waiting time and the patience of each watch.
    """

    def __init__(self, clock):
        self.seconds = 0.0
        self.watches = []
        self._clock = clock

    async def list(self, prefix):
        return Listing(items=(), revision=1)

    async def watch(self, prefix, *, after, era, wait, patience):
        self.watches.append((wait, patience))
        await deferLater(self._clock, wait + min(self.seconds, patience))
        if self.seconds > patience:
            raise StoreError("store_unreachable: too slow")
        return Listing(items=(), revision=after)


def test_the_first_reader_awaits_a_slow_store_longer():
    clock, output = Clock(), StringIO()
    store = SlowStore(clock)
    watch = make_watch(clock, output, store=store, copies=FailingCopies())
    watch.start()
    advance(clock, 6.0)
    usual = (FIRST_WATCH_SECONDS, FIRST_PATIENCE_SECONDS)
    assert set(store.watches[1:]) == {usual}
    store.seconds = 1.5
    advance(clock, 12.0)
    assert store.watches[-1] == (FIRST_WATCH_SECONDS, READ_TIMEOUT_SECONDS)
    assert events(output).count("platform_unreachable") == 1
    store.seconds = 0.0
    advance(clock, 6.0)
    assert store.watches[-1] == usual
