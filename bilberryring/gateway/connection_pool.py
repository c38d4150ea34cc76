"""A pool of connections to endpoints."""

from functools import partial

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientCreator
from twisted.internet.task import deferLater

from bilberryring.core import RequestId
from bilberryring.gateway.endpoint_connection import EndpointConnection
from bilberryring.gateway.messages import AttemptError, FailureReason

CONNECT_TIMEOUT_SECONDS = 0.6
"""Seconds within which a connection must open. Failure domains are a few milliseconds
apart, and the retransmission of a lost packet takes a second, so any timeout between
the two has the same effect."""
N_CHECKS = 3
"""Handshakes that a check of an endpoint sends within `CONNECT_TIMEOUT_SECONDS`. One
that finds the queue of new connections full is dropped, and the kernel repeats it after
a second."""
LISTENER_SECONDS = 0.03
"""Seconds for which a new connection to an endpoint has to stay open, as proof that it
runs. The kernel may close the connections of a process that ends before its listener.
"""
MAX_IDLE_PER_ENDPOINT = 8
"""Number of idle connections that are kept for one endpoint."""


class ConnectionPool:
    """Opens connections, keeps idle ones for reuse and owns all their sockets."""

    def __init__(self, *, reactor):
        self._reactor = reactor
        self._idle: dict[str, list[EndpointConnection]] = {}
        self._n_opened = 0

    @property
    def n_opened(self) -> int:
        """The number of connections that were opened or attempted so far."""
        return self._n_opened

    async def acquire(
        self,
        address: str,
        *,
        max_idle: float,
        timeout: float,
        request_id: RequestId | None,
    ) -> EndpointConnection:
        """Return an idle connection or a new one.

        An idle connection is reused if it was idle for at most `max_idle` seconds and
        the answer to the request `request_id` cannot be mistaken there for another.
        Raises `AttemptError` if no new one opens within `timeout` seconds.
        """
        idle = self._idle.get(address, [])
        for connection in reversed(tuple(idle)):
            if not connection.may_be_reused() or connection.idle_seconds() > max_idle:
                idle.remove(connection)
                connection.abort()
            elif connection.can_identify_answers(request_id):
                idle.remove(connection)
                return connection
        return await self._open(address, min(timeout, CONNECT_TIMEOUT_SECONDS))

    async def connection_failure(
        self, address: str, *, lasting: float = 0.0
    ) -> FailureReason | None:
        """Return why no new connection can be opened; one that opens is kept.

        Unless one is refused, several are tried within `CONNECT_TIMEOUT_SECONDS`, also
        after one that does not stay open for `lasting` seconds.
        """
        failure = None
        for _ in range(N_CHECKS):
            try:
                connection = await self._open(
                    address, CONNECT_TIMEOUT_SECONDS / N_CHECKS
                )
            except AttemptError as error:
                failure = error.reason
                if failure is FailureReason.REFUSED:
                    break
                continue
            failure = None
            if lasting:
                await deferLater(self._reactor, lasting)
            if connection.is_open:
                self.release(connection)
                break
        return failure

    def release(self, connection: EndpointConnection) -> None:
        """Keep a connection without a pending response, unless there are enough."""
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) >= MAX_IDLE_PER_ENDPOINT:
            connection.abort()
            return
        idle.append(connection)

    def close_address(self, address: str) -> None:
        """Close all idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.abort()

    def close_expired(self) -> None:
        """Close the idle connections that their endpoints may be about to close."""
        for address, idle in tuple(self._idle.items()):
            kept = [connection for connection in idle if connection.may_be_reused()]
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
                on_idle=self.release,
                on_closed=self._remove_idle,
            ),
        )
        self._n_opened += 1
        opening: Deferred[EndpointConnection] = creator.connectTCP(
            host, int(port), timeout=timeout
        )
        try:
            return await opening
        except CancelledError:
            raise
        except ConnectionRefusedError:
            raise AttemptError(reason=FailureReason.REFUSED, was_sent=False)
        except Exception:
            # Twisted raises many kinds of exceptions for a failed connection attempt.
            raise AttemptError(reason=FailureReason.NOT_CONNECTED, was_sent=False)

    def _remove_idle(self, connection: EndpointConnection) -> None:
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)
