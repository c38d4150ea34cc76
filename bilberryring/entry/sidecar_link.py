"""The connection to one sidecar, which is reopened whenever it closes."""

import random
from typing import Protocol

from twisted.internet.protocol import ClientFactory

from bilberryring.core import AttemptId
from bilberryring.entry.attempt_channel import AttemptChannel, LinkLost
from bilberryring.entry.endpoint_record import EndpointRecord
from bilberryring.entry.suspect_queries import SuspectQueries
from bilberryring.process.engine_death_broadcaster import EngineDeathBroadcaster
from bilberryring.process.settings import host_and_port
from bilberryring.wire import (
    Beat,
    EngineDeath,
    Finished,
    Heartbeat,
    Hello,
    LinkProtocol,
    PromptCleared,
    Refused,
    ServiceAnswer,
    SuspectAnswer,
    TokenBatch,
)

CONNECT_TIMEOUT_SECONDS = 1.0
RECONNECT_MIN_SECONDS = 0.1
RECONNECT_MAX_SECONDS = 1.0
RECONNECT_BACKOFF_FACTOR = 1.6


class LinkOwner(Protocol):
    """What a `SidecarLink` needs of its owner: callbacks, and crashes it knows of."""

    @property
    def suspects(self) -> SuspectQueries:
        """The questions to sidecars about suspected prompts."""

    @property
    def deaths(self) -> EngineDeathBroadcaster:
        """The engine deaths that this process knows of."""

    def link_opened(self, link: LinkProtocol) -> None:
        """Handle an opened connection."""

    def link_closed(self, sidecar: "SidecarLink", link: LinkProtocol) -> None:
        """Handle a closed connection."""

    def message_failed(self, sidecar: "SidecarLink", error: Exception) -> None:
        """Handle an exception in the handling of a message."""

    def hello_received(self, sidecar: "SidecarLink", hello: Hello) -> None:
        """Handle the first message of a sidecar, which names its incarnation."""

    def heartbeat_received(
        self, sidecar: "SidecarLink", link: LinkProtocol, heartbeat: Heartbeat
    ) -> None:
        """Handle a full report."""

    def beat_received(self) -> None:
        """Handle a beat."""

    def set_message_received(self, link: LinkProtocol, message: object) -> None:
        """Handle a message about sets."""


class SidecarLink:
    """Keeps one connection to a sidecar open.

    It reconnects with exponential backoff and jitter, and hands the messages of
    each attempt to the attempt's channel.
    """

    def __init__(self, *, reactor, owner: LinkOwner, record: EndpointRecord):
        self._reactor = reactor
        self._owner = owner
        self._record = record
        self._protocol: LinkProtocol | None = None
        self._reconnect_delay = RECONNECT_MIN_SECONDS
        self._is_stopped = False
        self._connector = None
        self._channels: dict[AttemptId, AttemptChannel] = {}

    @property
    def record(self) -> EndpointRecord:
        """The endpoint's record."""
        return self._record

    @property
    def protocol(self) -> LinkProtocol | None:
        """The open link, or `None` until the sidecar's hello has arrived."""
        if self._protocol is not None and self._record.incarnation:
            return self._protocol
        return None

    @property
    def channels(self) -> tuple[AttemptChannel, ...]:
        """The channels of the open attempts."""
        return tuple(self._channels.values())

    def add_channel(self, channel: AttemptChannel) -> None:
        """Deliver the attempt's messages to this channel from now on."""
        self._channels[channel.attempt] = channel

    def remove_channel(self, channel: AttemptChannel) -> None:
        """Drop the attempt's messages from now on."""
        self._channels.pop(channel.attempt, None)

    def connect(self) -> None:
        """Open the connection, unless the link was stopped."""
        if self._is_stopped:
            return
        factory = ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda address: LinkProtocol(
            clock=self._reactor,
            on_open=self._opened,
            on_message=self._received,
            on_closed=self._closed,
        )
        factory.clientConnectionFailed = lambda connector, reason: (
            self._schedule_reconnect()
        )
        host, port = host_and_port(self._record.endpoint.sidecar)
        self._connector = self._reactor.connectTCP(
            host, port, factory, timeout=CONNECT_TIMEOUT_SECONDS
        )

    def retire(self) -> None:
        """Keep the connection for its attempts, but do not reconnect."""
        self._is_stopped = True

    def stop(self) -> None:
        """Close the connection and do not reconnect."""
        self._is_stopped = True
        if self._connector is not None:
            self._connector.disconnect()

    def _schedule_reconnect(self) -> None:
        if self._is_stopped:
            return
        self._reactor.callLater(
            self._reconnect_delay * random.uniform(0.7, 1.3), self.connect
        )
        self._reconnect_delay = min(
            self._reconnect_delay * RECONNECT_BACKOFF_FACTOR, RECONNECT_MAX_SECONDS
        )

    def _opened(self, link: LinkProtocol) -> None:
        self._protocol = link
        self._reconnect_delay = RECONNECT_MIN_SECONDS
        self._owner.link_opened(link)

    def _closed(self, link: LinkProtocol) -> None:
        self._protocol = None
        self._record.link_closed()
        self._owner.link_closed(self, link)
        for channel in tuple(self._channels.values()):
            channel.deliver(LinkLost())
        self._schedule_reconnect()

    def _received(self, link: LinkProtocol, message: object) -> None:
        """Handle a message; one that cannot be handled is dropped."""
        try:
            self._handle_message(link, message)
        except Exception as error:
            self._owner.message_failed(self, error)

    def _handle_message(self, link: LinkProtocol, message: object) -> None:
        match message:
            case TokenBatch():
                for tokens in message.items:
                    channel = self._channels.get(tokens.attempt)
                    if channel is not None:
                        channel.deliver(tokens)
            case Finished() | Refused() | ServiceAnswer():
                channel = self._channels.get(message.attempt)
                if channel is not None:
                    channel.deliver(message)
            case Beat():
                self._record.apply_beat(message, now=self._reactor.seconds())
                self._owner.beat_received()
            case Heartbeat():
                now = self._reactor.seconds()
                self._record.apply_heartbeat(message, now=now)
                self._owner.heartbeat_received(self, link, message)
            case Hello():
                self._record.link_opened(message.incarnation)
                self._owner.hello_received(self, message)
                self._owner.deaths.tell(link)
            case EngineDeath():
                self._owner.deaths.handle_death(message, link)
            case PromptCleared():
                self._owner.deaths.handle_cleared(message, link)
            case SuspectAnswer():
                self._owner.suspects.handle_answer(link, message)
            case _:
                self._owner.set_message_received(link, message)
