"""Many gateways that read a store which loses answers or comes back from a copy.

The gateways run what they read from the store and copy from each other; time and
network are simulated.
"""

import json
from collections.abc import Callable
from io import StringIO

from twisted.internet.task import deferLater

from bilberryring.fleet import FleetState, PublishedItem
from bilberryring.platform.loss_rules import PlatformLossRules
from bilberryring.platform.names import CONFIGURATION_KEY, ENDPOINT_PREFIX
from bilberryring.platform.store import (
    READ_TIMEOUT_SECONDS,
    HistoryLost,
    Listing,
    StoreError,
    StoreRestored,
)
from bilberryring.platform.translation import PREFIXES, Translator
from bilberryring.platform.watch import StoreHealth, StoreWatch
from bilberryring.standins.gateway_site import make_configuration
from bilberryring.standins.operator_store import OperatorStore, StoreChange
from bilberryring.telemetry import EventLog
from bilberryring.testing.peer_network import PeerNetwork, SimulatedGateway
from bilberryring.wire import GatewayReport, decode_message, encode_message

STORE_SECONDS = 0.004
WATCH_STEP_SECONDS = 0.05
EXPIRE_SECONDS = 0.25
SERVICE = "model"


class _GatewayStoreClient:
    """The store as one gateway reaches it."""

    def __init__(self, *, fleet: "RestoredStoreFleet", gateway: SimulatedGateway):
        self._fleet = fleet
        self._gateway = gateway
        self._lost_until = 0.0

    def lose_watch(self) -> None:
        """Let a watch that waits now get no answer."""
        self._lost_until = self._fleet.network.now

    async def list(self, prefix: str) -> Listing:
        """Return the items in pages of the fleet, which are no snapshot."""
        store, page_items = self._fleet.store, self._fleet.page_items
        items: list[PublishedItem] = []
        revision = None
        while True:
            self._fleet.store_calls += 1
            await self._answer(self._fleet.network.now + READ_TIMEOUT_SECONDS)
            revision = store.revision if revision is None else revision
            left = store.items(prefix, after=items[-1].key if items else "")
            items.extend(_to_item(item) for item in left[:page_items])
            if page_items is None or len(left) <= page_items:
                return Listing(items=tuple(items), revision=revision, era=store.era)
            self._fleet.on_page(prefix, items[-1].key)

    async def watch(
        self, prefix: str, *, after: int, era: int, wait: float, patience: float
    ) -> Listing:
        store, clock = self._fleet.store, self._fleet.network.clock
        self._fleet.store_calls += 1
        began_at = clock.seconds()
        until = began_at + wait
        await self._answer(until + patience)
        while True:
            self._check_up()
            if began_at < self._lost_until:
                await deferLater(clock, max(0.0, until + patience - clock.seconds()))
                raise StoreError("store_unreachable: simulated, no answer")
            changes = store.changes(prefix, after=after)
            if changes is None:
                raise HistoryLost("status 410")
            if changes or clock.seconds() >= until:
                break
            await deferLater(clock, WATCH_STEP_SECONDS)
        await self._answer(until + patience)
        if store.era != era:
            raise StoreRestored("another era")
        items = tuple(_to_item(item) for item in changes)
        return Listing(items=items, revision=max(after, store.revision), era=era)

    async def _answer(self, until: float) -> None:
        """Wait for an answer; one that the store loses is awaited until a time."""
        fleet = self._fleet
        await deferLater(fleet.network.clock, fleet.answer_seconds)
        if fleet.is_store_silent:
            await deferLater(fleet.network.clock, max(0.0, until - fleet.network.now))
            raise StoreError("store_unreachable: simulated, no answer")
        self._check_up()

    def _check_up(self) -> None:
        if self._fleet.is_store_down or self._gateway.is_down:
            raise StoreError("store_unreachable: simulated")


class _EarlierTransport:
    """Sends reports as a gateway of an earlier version does, without eras."""

    def __init__(self, transport):
        self._transport = transport

    def write(self, datagram: bytes, address: tuple[str, int]) -> None:
        message = decode_message(datagram)
        if isinstance(message, GatewayReport):
            for revision in message.revisions:
                revision.era = revision.lost_era = revision.lost_revision = None
            datagram = encode_message(message)
        self._transport.write(datagram, address)


class RestoredStoreFleet:
    """A network of gateways, their store, and the fleet state of each.

    The store lists all items at once, or in pages of `page_items`; `on_page` is called
    with the prefix and the last key of each page but the last one. Each answer takes
    `answer_seconds`.
    """

    def __init__(self, *, gateways: int, seed: int, page_items: int | None = None):
        self.store = OperatorStore()
        self.page_items = page_items
        self.answer_seconds = STORE_SECONDS
        self.on_page: Callable[[str, str], None] = lambda prefix, key: None
        self.is_store_down = False
        self.is_store_silent = False
        self.store_calls = 0
        self._fleets: dict[str, FleetState] = {}
        self._translators: dict[str, Translator] = {}
        self._clients: dict[str, _GatewayStoreClient] = {}
        self.network = PeerNetwork(
            gateways=gateways,
            endpoints=10,
            seed=seed,
            loss=0.01,
            prefixes=PREFIXES,
            rules=PlatformLossRules(),
            on_start=self._start,
        )

    def fall_silent(self, seconds: float) -> None:
        """Let the store lose all answers for some seconds from now."""
        self.is_store_silent = True
        self.network.advance(seconds)
        self.is_store_silent = False

    def lose_watches(self, gateway: SimulatedGateway) -> None:
        """Let the watches of a gateway that wait now get no answer."""
        self._clients[gateway.host].lose_watch()

    def state(self, gateway: SimulatedGateway) -> FleetState:
        """Return what a gateway believes."""
        return self._fleets[gateway.host]

    def publish(self, version: int) -> None:
        """Write a configuration."""
        content = json.dumps(make_configuration(version)).encode()
        self.store.put(CONFIGURATION_KEY, content)

    def announce(self, name: str, *, state: str = "ready", born: int = 1) -> None:
        """Write the announcement of an endpoint."""
        entry = {
            "service": SERVICE,
            "address": "10.9.9.9:1",
            "zone": "d1",
            "slots": 5,
            "state": state,
            "born": born,
        }
        self.store.put(f"{ENDPOINT_PREFIX}{name}", json.dumps(entry).encode())

    def restore(self, copy, *, away: float, is_compacted: bool = False) -> None:
        """Take the store away for some seconds; it comes back from the copy."""
        self.is_store_down = True
        self.network.advance(away)
        self.store.restore(copy)
        if is_compacted:
            self.store.drop_history()
        self.is_store_down = False

    def make_earlier(self, gateway: SimulatedGateway) -> None:
        """Let a gateway send reports as an earlier version does."""
        gateway.exchange.transport = _EarlierTransport(gateway.exchange.transport)

    def _start(self, gateway: SimulatedGateway) -> None:
        clock = self.network.clock
        log = EventLog(process=gateway.host, role="gateway", stream=StringIO())
        fleet = self._fleets[gateway.host] = FleetState()
        health = StoreHealth(
            reactor=clock, fleet=fleet, peers=gateway.view, duty=gateway.duty, log=log
        )
        translator = self._translators[gateway.host] = Translator(
            reactor=clock,
            fleet=fleet,
            health=health,
            log=log,
            on_endpoint_removed=lambda endpoint: None,
        )
        store = _GatewayStoreClient(fleet=self, gateway=gateway)
        self._clients[gateway.host] = store
        gateway.copies.add_era_listener(translator.begin_era)
        gateway.copies.add_listener(translator.update_fleet)
        gateway.copies.add_listener(
            lambda replica, keys: gateway.exchange.report_change(is_urgent=True)
        )
        watches = []
        for prefix in PREFIXES:
            watch = StoreWatch(
                reactor=clock,
                store=store,
                prefix=prefix,
                copies=gateway.copies,
                health=health,
                duty=gateway.duty,
                log=log,
                entry_count=lambda: gateway.view.entry_count(now=clock.seconds()),
                generator=gateway.generator,
            )
            watch.start()
            watches.append(watch)
        gateway.exchange.set_doubt_listener(
            lambda: [watch.refresh() for watch in watches]
        )
        self._expire(gateway)

    def _expire(self, gateway: SimulatedGateway) -> None:
        gateway.copies.expire()
        self._translators[gateway.host].expire()
        self.network.call_later(EXPIRE_SECONDS, self._expire, gateway)


def _to_item(change: StoreChange) -> PublishedItem:
    return PublishedItem(key=change.key, revision=change.revision, value=change.value)
