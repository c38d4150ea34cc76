"""The platform as the gateway sees it: its store, its names, its settings."""

import os
from pathlib import Path

from bilberryring.core import ErrorCode, SettingsError
from bilberryring.fleet import FleetState
from bilberryring.gateway.messages import (
    AnswerFacts,
    CallerFacts,
    HeaderPairs,
    MemoryOrder,
    SendFacts,
)
from bilberryring.gateway.published_copies import PublishedCopies
from bilberryring.gateway.settings import GatewaySettings
from bilberryring.http import HttpClient
from bilberryring.platform import headers as header_codec
from bilberryring.platform.names import READY_PATH, SETTINGS_VARIABLE
from bilberryring.platform.settings import read_settings
from bilberryring.platform.store import StoreClient
from bilberryring.platform.translation import PREFIXES, Translator
from bilberryring.platform.watch import StoreHealth, StoreWatch
from bilberryring.telemetry import EventLog


def settings_path() -> Path:
    """Return where the platform placed the settings file."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            code=ErrorCode.SETTINGS_INVALID,
            key=SETTINGS_VARIABLE,
            detail="the variable does not name the settings file",
        )
    return Path(path)


def settings_version() -> int:
    """Return a number that changes with the settings file; 0 when it is gone."""
    try:
        return settings_path().stat().st_mtime_ns
    except OSError:
        return 0


def load_settings() -> GatewaySettings:
    """Return the settings of this process."""
    return read_settings(settings_path())


class HttpHeaderCodec:
    """The platform's headers."""

    def decode_caller(self, headers: HeaderPairs) -> CallerFacts:
        """Return what a caller's headers say."""
        return header_codec.decode_caller(headers)

    def encode_send(self, headers: HeaderPairs, send: SendFacts) -> HeaderPairs:
        """Return the headers of a request to an endpoint."""
        return header_codec.encode_send(headers, send)

    def encode_order(self, order: MemoryOrder) -> tuple[bytes, HeaderPairs, bytes]:
        """Return the target, headers and body of an order about memory."""
        return header_codec.encode_order(order)

    def decode_answer(self, status: int, headers: HeaderPairs) -> AnswerFacts:
        """Return what an endpoint's headers say."""
        return header_codec.decode_answer(status, headers)

    def encode_answer(self, headers: HeaderPairs) -> HeaderPairs:
        """Return the headers of an answer to a caller."""
        return header_codec.encode_answer(headers)


class PlatformAdapter:
    """Keeps copies of what is published and translates it."""

    ready_path = READY_PATH
    prefixes = PREFIXES

    def __init__(
        self,
        *,
        reactor,
        settings: GatewaySettings,
        fleet: FleetState,
        copies: PublishedCopies,
        log: EventLog,
        entry_count,
        on_gone,
    ):
        self._store = StoreClient(
            client=HttpClient(
                reactor=reactor, base=f"http://{settings.platform_address}"
            )
        )
        self._health = StoreHealth(reactor=reactor, fleet=fleet, log=log)
        self._translator = Translator(
            reactor=reactor,
            fleet=fleet,
            health=self._health,
            log=log,
            on_gone=on_gone,
        )
        copies.on_changed(self._translator.on_changed)
        self._watches = [
            StoreWatch(
                reactor=reactor,
                store=self._store,
                prefix=prefix,
                copies=copies,
                health=self._health,
                log=log,
                entry_count=entry_count,
            )
            for prefix in PREFIXES
        ]

    @property
    def store_calls(self) -> int:
        """The calls made to the store."""
        return self._store.calls

    def start(self) -> None:
        """Begin to read."""
        for watch in self._watches:
            watch.start()

    def stop(self) -> None:
        """Read nothing more."""
        for watch in self._watches:
            watch.stop()

    def refresh(self) -> None:
        """Ask the store anew: this process was paused."""
        for watch in self._watches:
            watch.refresh()

    def expire(self) -> None:
        """Drop what has not been renewed; called regularly."""
        self._translator.expire()
