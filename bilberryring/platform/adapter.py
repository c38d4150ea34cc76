"""Implements the interfaces through which the gateway uses the platform."""

import os
from pathlib import Path

from bilberryring.core import ErrorCode, SettingsError
from bilberryring.fleet import FleetState
from bilberryring.gateway.messages import (
    AttemptMetadata,
    CallerMetadata,
    HeaderPairs,
    MemoryOrder,
    ResponseMetadata,
)
from bilberryring.gateway.peer_view import PeerView
from bilberryring.gateway.published_copies import PublishedCopies
from bilberryring.gateway.settings import GatewaySettings
from bilberryring.gateway.store_readers import ReadingDuty
from bilberryring.http import HttpClient
from bilberryring.platform import headers as header_codec
from bilberryring.platform.loss_rules import PlatformLossRules
from bilberryring.platform.names import READY_PATH, SETTINGS_VARIABLE
from bilberryring.platform.settings import read_settings
from bilberryring.platform.store import Listing, StoreClient
from bilberryring.platform.store_past import StorePast
from bilberryring.platform.translation import MAX_LOGGED_KEYS, PREFIXES, Translator
from bilberryring.platform.watch import StoreHealth, StoreWatch
from bilberryring.telemetry import EventLog, LogEvent


def settings_path() -> Path:
    """Return the path of the settings file, which an environment variable names."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            code=ErrorCode.SETTINGS_INVALID,
            key=SETTINGS_VARIABLE,
            detail="the environment variable that names the settings file is not set",
        )
    return Path(path)


def settings_version() -> int:
    """Return the modification time of the settings file in nanoseconds.

    The result is 0 when the file cannot be found.
    """
    try:
        return settings_path().stat().st_mtime_ns
    except OSError:
        return 0


def load_settings() -> GatewaySettings:
    """Read and check the settings file of this process."""
    return read_settings(settings_path())


class HttpHeaderCodec:
    """Translates between the platform's HTTP headers and the gateway's types."""

    def decode_request_headers(self, headers: HeaderPairs) -> CallerMetadata:
        """Return what the headers of a caller's request say."""
        return header_codec.decode_request_headers(headers)

    def encode_request_headers(
        self, headers: HeaderPairs, send: AttemptMetadata
    ) -> HeaderPairs:
        """Return the headers of a request to an endpoint."""
        return header_codec.encode_request_headers(headers, send)

    def encode_order(self, order: MemoryOrder) -> tuple[bytes, HeaderPairs, bytes]:
        """Return the target, headers and body that reserve or release memory."""
        return header_codec.encode_order(order)

    def decode_response_headers(
        self, status: int, headers: HeaderPairs
    ) -> ResponseMetadata:
        """Return what the headers of an endpoint's response say."""
        return header_codec.decode_response_headers(status, headers)

    def encode_response_headers(self, headers: HeaderPairs) -> HeaderPairs:
        """Return the headers of a response to a caller."""
        return header_codec.encode_response_headers(headers)


class PlatformAdapter:
    """Reads what the platform publishes and applies it to the fleet state.

    `duty` says whether this gateway reads the store or leaves that to its `peers`.

    `on_endpoint_removed` is called with an endpoint whose announcement was removed,
    unless the announcement may only have lapsed during an outage of the store, and
    `on_endpoint_started` with each run of an endpoint that is announced.
    `on_first_start` is called if the settings say nothing of a first start and the
    store shows that no endpoint has ended before.
    """

    ready_path = READY_PATH
    prefixes = PREFIXES
    loss_rules = PlatformLossRules()

    def __init__(
        self,
        *,
        reactor,
        settings: GatewaySettings,
        fleet: FleetState,
        copies: PublishedCopies,
        peers: PeerView,
        duty: ReadingDuty,
        log: EventLog,
        on_endpoint_removed,
        on_endpoint_started,
        on_first_start,
    ):
        is_asked = settings.is_first_start is None
        self._past = StorePast(prefixes=PREFIXES) if is_asked else None
        self._on_first_start = on_first_start
        self._stores = {
            prefix: _connect_store(reactor, settings) for prefix in PREFIXES
        }
        self._health = StoreHealth(
            reactor=reactor, fleet=fleet, peers=peers, duty=duty, log=log
        )
        self._translator = Translator(
            reactor=reactor,
            fleet=fleet,
            health=self._health,
            log=log,
            on_endpoint_removed=on_endpoint_removed,
            on_endpoint_started=on_endpoint_started,
        )
        self._copies = copies
        self._log = log
        copies.add_era_listener(self._translator.begin_era)
        copies.add_listener(self._translator.update_fleet)
        self._watches = [
            StoreWatch(
                reactor=reactor,
                store=store,
                prefix=prefix,
                copies=copies,
                health=self._health,
                duty=duty,
                log=log,
                entry_count=lambda: peers.entry_count(now=reactor.seconds()),
                on_list=self._record_list,
            )
            for prefix, store in self._stores.items()
        ]

    @property
    def store_calls(self) -> int:
        """The number of calls made to the store so far."""
        return sum(store.calls for store in self._stores.values())

    def start(self) -> None:
        """Start the watches of all prefixes."""
        for watch in self._watches:
            watch.start()

    def stop(self) -> None:
        """Stop all watches and cancel their calls."""
        for watch in self._watches:
            watch.stop()

    def refresh(self) -> None:
        """Restart the pending watches.

        This is called after the process was paused, when its connections may have
        been dropped without notice.
        """
        for watch in self._watches:
            watch.refresh()

    def expire(self) -> None:
        """Remove lapsed endpoints that were not announced again; called regularly.

        Lost writes that the store never got again end as well.
        """
        expired = self._copies.expire()
        if expired:
            self._log.write(
                LogEvent.LOST_WRITES_EXPIRED,
                keys=expired[:MAX_LOGGED_KEYS],
                n_keys=len(expired),
            )
        self._translator.expire()

    def _record_list(self, prefix: str, listing: Listing) -> None:
        if self._past is None:
            return
        self._past.record(prefix, listing)
        if self._past.is_known_empty:
            self._on_first_start()


def _connect_store(reactor, settings: GatewaySettings) -> StoreClient:
    """Return a client for the requests of one prefix.

    Answers name neither their request nor its prefix. A second copy of one, on a
    connection that is used again, then gives no items of another prefix, and no
    revision up to which other items were not read.
    """
    client = HttpClient(
        reactor=reactor,
        base_url=f"http://{settings.platform_address}",
        persistent=True,
    )
    return StoreClient(client=client)
