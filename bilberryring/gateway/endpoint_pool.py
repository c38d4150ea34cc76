"""Idle connections to endpoints, and new ones."""

from functools import partial

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientCreator

from bilberryring.gateway.endpoint_connection import EndpointConnection
from bilberryring.gateway.messages import AttemptBroken, BreakReason

CONNECT_SECONDS = 0.6
"""Seconds in which a connection must open. Source: failure domains are a few
milliseconds apart, and a lost packet costs a second either way."""
MAX_IDLE_PER_ENDPOINT = 8
"""Idle connections kept to one endpoint."""


class EndpointPool:
    """Opens connections and keeps idle ones; owns all of their sockets."""

    def __init__(self, *, reactor):
        self._reactor = reactor
        self._idle: dict[str, list[EndpointConnection]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """The connections opened so far."""
        return self._opened

    async def acquire(
        self, address: str, *, most_idle: float, timeout: float
    ) -> EndpointConnection:
        """Return a connection that was idle for `most_idle` seconds or less.

        `AttemptBroken` tells that none could be opened in `timeout` seconds.
        """
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.may_be_reused() and connection.idle_seconds() <= most_idle:
                return connection
            connection.abort()
        return await self._open(address, min(timeout, CONNECT_SECONDS))

    async def can_connect(self, address: str) -> bool:
        """Whether an endpoint takes a new connection, which is kept."""
        try:
            connection = await self._open(address, CONNECT_SECONDS)
        except AttemptBroken:
            return False
        self.give_back(connection)
        return True

    def give_back(self, connection: EndpointConnection) -> None:
        """Keep a connection on which no answer is due, or close it."""
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) >= MAX_IDLE_PER_ENDPOINT:
            connection.abort()
            return
        idle.append(connection)

    def close_address(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.abort()

    def close_expired(self) -> None:
        """Close the idle connections that the endpoint is about to close."""
        for address, idle in tuple(self._idle.items()):
            kept = [one for one in idle if one.may_be_reused()]
            for connection in idle:
                if connection not in kept:
                    connection.abort()
            if kept:
                self._idle[address] = kept
            else:
                self._idle.pop(address, None)

    async def _open(self, address: str, timeout: float) -> EndpointConnection:
        host, _, port = address.rpartition(":")
        creator = ClientCreator(
            self._reactor,
            partial(
                EndpointConnection,
                reactor=self._reactor,
                address=address,
                on_idle=self.give_back,
                on_closed=self._drop,
            ),
        )
        self._opened += 1
        opening: Deferred[EndpointConnection] = creator.connectTCP(
            host, int(port), timeout=timeout
        )
        try:
            return await opening
        except Exception:
            # The library raises many kinds for a connection that failed.
            raise AttemptBroken(reason=BreakReason.NOT_CONNECTED, was_sent=False)

    def _drop(self, connection: EndpointConnection) -> None:
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)
