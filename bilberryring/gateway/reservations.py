"""Memory kept on engines for one prompt, and given back on every way out.

A reservation is short and renewed, so that one whose owner died ends by itself.
An order without an answer may still be carried out later, so memory that such an
order concerned is given back again for as long as that can happen.
"""

import itertools
from typing import Protocol as Interface

from twisted.internet.defer import CancelledError, Deferred, gatherResults
from twisted.internet.task import LoopingCall, deferLater

from bilberryring.fleet import AnnouncedEndpoint
from bilberryring.gateway.endpoint_pool import EndpointPool
from bilberryring.gateway.messages import (
    AnswerEnd,
    AnswerHead,
    AttemptBroken,
    BreakReason,
    HeaderPairs,
    MemoryOrder,
)
from bilberryring.telemetry import EventLog, LogEvent

HOLD_SECONDS = 3.5
"""Seconds that a reservation lasts. Source: memory without a request must be free
four seconds after the last one that used it."""
RENEW_SECONDS = 1.2
"""Seconds between renewals, so that two may fail."""
ORDER_SECONDS = 0.5
"""Seconds in which an order must be answered."""
RELEASE_AGAIN_SECONDS = (0.0, 2.5, 5.0, 8.0, 12.5)
"""When memory is given back after an order without an answer. Source: such an
order is carried out up to twelve seconds later."""
IDLE_SECONDS = 30.0


class OrderCodec(Interface):
    """Translates orders about memory."""

    def encode_order(self, order: MemoryOrder) -> tuple[bytes, HeaderPairs, bytes]: ...


class Hold:
    """The memory kept for one prompt; owned by the prompt's task."""

    def __init__(self, *, reservations: "Reservations", prompt: str, tokens: int):
        self._reservations = reservations
        self._tickets: dict[AnnouncedEndpoint, str] = {}
        self._prompt = prompt
        self._tokens = tokens
        self._has_unanswered = False
        self._renewal = LoopingCall(self._renew)

    @property
    def tickets(self) -> dict[str, str]:
        """The name of the reservation at each address."""
        return {endpoint.address: ticket for endpoint, ticket in self._tickets.items()}

    async def take(self, endpoints: tuple[AnnouncedEndpoint, ...]) -> None:
        """Reserve on all endpoints, or on none and raise `AttemptBroken`."""
        for endpoint in endpoints:
            self._tickets[endpoint] = self._reservations.new_ticket(self._prompt)
        orders = [Deferred.fromCoroutine(self._reserve(one)) for one in endpoints]
        results = await gatherResults(orders)
        if not all(results):
            self.release()
            raise AttemptBroken(reason=BreakReason.NO_MEMORY, was_sent=False)
        self._renewal.clock = self._reservations.clock
        self._renewal.start(RENEW_SECONDS, now=False)

    def release(self) -> None:
        """Give the memory back, again and again where an order was not answered."""
        if self._renewal.running:
            self._renewal.stop()
        for endpoint, ticket in self._tickets.items():
            self._reservations.give_back(
                endpoint, ticket, is_doubtful=self._has_unanswered
            )
        self._tickets = {}

    async def _reserve(self, endpoint: AnnouncedEndpoint) -> bool:
        ticket = self._tickets[endpoint]
        status = await self._reservations.order(
            endpoint,
            MemoryOrder(
                endpoint=endpoint.id,
                ticket=ticket,
                tokens=self._tokens,
                hold_seconds=HOLD_SECONDS,
            ),
        )
        if status is None:
            self._has_unanswered = True
        return status is not None and status < 300

    def _renew(self) -> None:
        for endpoint in tuple(self._tickets):
            Deferred.fromCoroutine(self._reserve(endpoint))


class Reservations:
    """Sends the orders about memory of one process."""

    def __init__(
        self, *, reactor, pool: EndpointPool, codec: OrderCodec, log: EventLog, run: str
    ):
        self._reactor = reactor
        self._pool = pool
        self._codec = codec
        self._log = log
        self._run = run
        self._numbers = itertools.count()

    @property
    def clock(self):
        """The runtime's clock."""
        return self._reactor

    def new_ticket(self, prompt: str) -> str:
        """Return a name that no other reservation has."""
        return f"{prompt}-{self._run}-{next(self._numbers)}"

    async def hold(
        self, prompt: str, endpoints: tuple[AnnouncedEndpoint, ...], tokens: int
    ) -> Hold:
        """Reserve the same memory on all endpoints, or raise `AttemptBroken`."""
        hold = Hold(reservations=self, prompt=prompt, tokens=tokens)
        try:
            await hold.take(endpoints)
        except CancelledError:
            hold.release()
            raise
        return hold

    def give_back(
        self, endpoint: AnnouncedEndpoint, ticket: str, *, is_doubtful: bool
    ) -> None:
        """Release a reservation; `is_doubtful` when an order was not answered."""
        Deferred.fromCoroutine(self._give_back(endpoint, ticket, is_doubtful))

    async def _give_back(
        self, endpoint: AnnouncedEndpoint, ticket: str, is_doubtful: bool
    ) -> None:
        order = MemoryOrder(endpoint=endpoint.id, ticket=ticket)
        waited = 0.0
        for at in RELEASE_AGAIN_SECONDS:
            await deferLater(self._reactor, max(0.0, at - waited))
            waited = max(waited, at)
            status = await self.order(endpoint, order)
            if status is not None and not is_doubtful:
                return

    async def order(
        self, endpoint: AnnouncedEndpoint, order: MemoryOrder
    ) -> int | None:
        """Send an order; return its status, or `None` without an answer."""
        status: int | None = None
        answer = None
        try:
            connection = await self._pool.acquire(
                endpoint.address, most_idle=IDLE_SECONDS, timeout=ORDER_SECONDS
            )
            target, headers, body = self._codec.encode_order(order)
            answer = connection.send(
                method=b"POST",
                target=target,
                headers=((b"Host", endpoint.address.encode()), *headers),
                body=body,
                is_expected=lambda head: True,
            )
            status = await self._status(answer)
        except AttemptBroken as broken:
            self._log.write(
                LogEvent.MEMORY_ORDER_FAILED,
                endpoint=endpoint.id,
                ticket=order.ticket,
                reason=broken.reason.value,
            )
        finally:
            if answer is not None:
                answer.abort()
        if status is not None:
            self._log.write(
                LogEvent.MEMORY_ORDERED,
                endpoint=endpoint.id,
                ticket=order.ticket,
                tokens=order.tokens,
                status=status,
            )
        return status

    async def _status(self, answer) -> int:
        status = 0
        while True:
            match await answer.receive(timeout=ORDER_SECONDS):
                case AnswerHead(status=status):
                    pass
                case AnswerEnd():
                    return status
