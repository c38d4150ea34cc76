"""Reservation of KV cache memory on several engines for one prompt.

A reservation expires after a short time unless it is renewed, so that the memory is
freed if the gateway crashes. An engine may still execute an order after it has timed
out. The memory is therefore released repeatedly for as long as that can happen.

An engine that answers no order for a while may be sound. It is reported as silent, and
its answer is awaited all the same.
"""

import itertools
import math
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol as Interface

from twisted.internet.defer import (
    CancelledError,
    Deferred,
    FirstError,
    gatherResults,
)
from twisted.internet.interfaces import IDelayedCall
from twisted.internet.task import LoopingCall, deferLater

from bilberryring.core import RequestId
from bilberryring.execution import AnswerEnd, Place, Proof, proof_of_end
from bilberryring.fleet import AnnouncedEndpoint, EndpointId
from bilberryring.gateway.connection_pool import ConnectionPool
from bilberryring.gateway.endpoint_connection import (
    EndpointConnection,
    EndpointResponse,
)
from bilberryring.gateway.messages import (
    AttemptError,
    FailureReason,
    HeaderPairs,
    MemoryOrder,
    ResponseEnd,
    ResponseHead,
    ResponseMetadata,
)
from bilberryring.gateway.statement_recorder import StatementRecorder
from bilberryring.telemetry import EventLog, LogEvent

RESERVATION_SECONDS = 3.5
"""Seconds after which a reservation expires. Memory must be free four seconds after the
last request that used it."""
RENEWAL_INTERVAL_SECONDS = 0.6
"""Seconds between renewals. With the last one that old, a reservation outlives a pause
of 2.2 s of an engine, and the timeout of the connection that was opened in it."""
REFUSED_CHECK_SECONDS = 0.1
"""Seconds after which a lead that refused a connection is checked again, and after
which an order that got no response is sent again."""
ORDER_TIMEOUT_SECONDS = 0.5
"""Timeout in seconds, both for connecting to an engine and for its response. Orders for
a new prompt are awaited for longer; their engine counts as silent from then on."""
REPEAT_DELAYS_SECONDS = (2.5, 5.0, 8.0, 12.5)
"""Seconds after the first release at which memory is released again if an order got no
response. Engines execute such an order up to twelve seconds later."""
MAX_PROMPT_CHARS = 64
"""Characters of a request id that are kept in the ids of its reservations."""
UNSAFE_CHARACTER = re.compile(r"[^0-9A-Za-z_-]")
MAX_IDLE_SECONDS = 30.0
"""Longest idle time in seconds after which a connection is reused for an order."""


NextWait = Callable[[FailureReason | None], float | None]
"""Returns for how many seconds an order is awaited, first with `None` and then with why
it timed out. An order is given up if it returns `None`."""


def _wait_once(reason: FailureReason | None) -> float | None:
    """Give an order up at its first timeout."""
    return ORDER_TIMEOUT_SECONDS if reason is None else None


class OrderCodec(Interface):
    """Encodes memory orders for the platform."""

    def encode_order(self, order: MemoryOrder) -> tuple[bytes, HeaderPairs, bytes]: ...

    def decode_response_headers(
        self, status: int, headers: HeaderPairs
    ) -> ResponseMetadata: ...


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderWait:
    """How long the orders for a new prompt are awaited, and who learns of silences.

    `on_silence` is called with the engines that have not answered, at each
    `ORDER_TIMEOUT_SECONDS`, and `on_answer` with each one that answers. The prompt may
    do without an engine that accepts no connection if `has_another` returns true.
    """

    gives_up_at: float
    on_silence: Callable[[frozenset[EndpointId]], None]
    on_answer: Callable[[EndpointId], None]
    has_another: Callable[[], bool]


class MemoryReservation:
    """The memory reserved for one prompt; owned by the task of the prompt's request."""

    def __init__(
        self,
        *,
        manager: "ReservationManager",
        prompt: str,
        tokens: int,
        lead: AnnouncedEndpoint,
        wait: OrderWait | None = None,
    ):
        self._manager = manager
        self._lead = lead
        self._wait = wait
        self._unanswered: set[EndpointId] = set()
        self._is_refused = False
        self._reservation_ids: dict[AnnouncedEndpoint, str] = {}
        self._prompt = prompt
        self._tokens = tokens
        self._has_unanswered_order = False
        self._is_over = False
        self._has_logged_fault = False
        self._in_renewal: set[AnnouncedEndpoint] = set()
        self._renewal = LoopingCall(lambda: Deferred.fromCoroutine(self._renew()))

    @property
    def reservation_ids(self) -> dict[str, str]:
        """The id of the reservation at each engine's address."""
        return {
            endpoint.address: reservation_id
            for endpoint, reservation_id in self._reservation_ids.items()
        }

    async def acquire(self, endpoints: tuple[AnnouncedEndpoint, ...]) -> None:
        """Reserve the memory on all endpoints and start to renew it.

        If one of them refuses, releases all of them and raises `AttemptError`. Nothing
        is sent if one of them rests or leaves. Such an endpoint still gets renewals, as
        the prompt that uses the memory would break off without them, and releases.
        """
        wanted = (self._manager.wants_prompt(item, self._prompt) for item in endpoints)
        if not all(wanted):
            raise AttemptError(reason=FailureReason.WITHDRAWN, was_sent=False)
        for endpoint in endpoints:
            self._reservation_ids[endpoint] = self._manager.new_reservation_id(
                self._prompt
            )
        self._unanswered.update(endpoint.id for endpoint in endpoints)
        orders = [
            Deferred.fromCoroutine(self._reserve_on(endpoint)) for endpoint in endpoints
        ]
        results = await gatherResults(orders, consumeErrors=True)
        if not all(results):
            self.release()
            raise AttemptError(reason=FailureReason.NO_MEMORY, was_sent=False)
        self._renewal.clock = self._manager.clock
        self._renewal.start(RENEWAL_INTERVAL_SECONDS, now=False)

    def release(self) -> None:
        """Stop renewing and release the memory on all endpoints in the background."""
        self._is_over = True
        if self._renewal.running:
            self._renewal.stop()
        for endpoint, reservation_id in self._reservation_ids.items():
            self._manager.release(
                endpoint,
                reservation_id,
                has_unanswered_order=(
                    self._has_unanswered_order or endpoint in self._in_renewal
                ),
            )
        self._reservation_ids = {}

    async def _reserve_on(self, endpoint: AnnouncedEndpoint) -> bool:
        status = await self._send_order(endpoint, next_wait=self._next_wait)
        self._unanswered.discard(endpoint.id)
        if status is not None and self._wait is not None:
            self._wait.on_answer(endpoint.id)
        is_reserved = status is not None and status < 300
        self._is_refused = self._is_refused or not is_reserved
        return is_reserved

    def _next_wait(self, reason: FailureReason | None) -> float | None:
        """Report the engines that have not answered; return for how long to go on.

        All engines are needed: once one has refused, the others are not awaited.
        """
        wait = self._wait
        if wait is None:
            return _wait_once(reason)
        seconds_left = wait.gives_up_at - self._manager.clock.seconds()
        if reason is not None:
            if self._is_refused or seconds_left <= 0.0:
                return None
            if reason is not FailureReason.SILENT and wait.has_another():
                return None
            wait.on_silence(frozenset(self._unanswered))
        return max(0.0, min(seconds_left, ORDER_TIMEOUT_SECONDS))

    async def _send_order(
        self,
        endpoint: AnnouncedEndpoint,
        next_wait: NextWait = _wait_once,
    ) -> int | None:
        order = MemoryOrder(
            endpoint=endpoint.id,
            reservation_id=self._reservation_ids[endpoint],
            tokens=self._tokens,
            hold_seconds=RESERVATION_SECONDS,
        )
        status = None
        try:
            status = await self._manager.send_order(
                endpoint, order, next_wait=next_wait
            )
        finally:
            if status is None:
                self._has_unanswered_order = True
        return status

    async def _renew(self) -> None:
        """Renew unless the lead is unreachable: its end is not seen on a silent link.

        A reservation that is not renewed expires before the memory must be free. The
        lead may only pause: it is checked until it accepts a connection. An unknown
        error ends neither the renewals nor the prompt.
        """
        try:
            while not await self._manager.can_connect(self._lead):
                await deferLater(self._manager.clock, REFUSED_CHECK_SECONDS)
                if self._is_over:
                    return
        except Exception as error:
            self._record_fault(error)
        for endpoint in tuple(self._reservation_ids):
            if endpoint not in self._in_renewal:
                Deferred.fromCoroutine(self._renew_on(endpoint))

    async def _renew_on(self, endpoint: AnnouncedEndpoint) -> None:
        """Send the order until the engine answers it, which may pause."""
        self._in_renewal.add(endpoint)
        try:
            while not self._is_over and await self._send_order(endpoint) is None:
                await deferLater(self._manager.clock, REFUSED_CHECK_SECONDS)
        except Exception as error:
            self._record_fault(error)
        finally:
            self._in_renewal.discard(endpoint)

    def _record_fault(self, error: Exception) -> None:
        """Log the first unknown error of the renewals, which are tried again."""
        if not self._has_logged_fault:
            self._has_logged_fault = True
            self._manager.record_fault(error, request=self._prompt)


class ReservationManager:
    """Sends the memory orders of one process."""

    def __init__(
        self,
        *,
        reactor,
        pool: ConnectionPool,
        codec: OrderCodec,
        statements: StatementRecorder,
        log: EventLog,
        owner_id: str,
    ):
        self._reactor = reactor
        self._pool = pool
        self._codec = codec
        self._statements = statements
        self._log = log
        self._owner_id = owner_id
        self._numbers = itertools.count()
        self._n_releasing = 0
        self._repeats_until = -math.inf
        self._repeats: set[IDelayedCall] = set()

    @property
    def releases_in_progress(self) -> int:
        """The number of reservations that are being released for the first time.

        During a stop, those whose release got no response are among them.
        """
        return self._n_releasing

    @property
    def clock(self):
        """The reactor, used as the clock."""
        return self._reactor

    def new_reservation_id(self, prompt: str) -> str:
        """Return a unique id for a reservation that a list in a header can carry."""
        readable = UNSAFE_CHARACTER.sub("_", prompt[:MAX_PROMPT_CHARS])
        return f"{readable}-{self._owner_id}-{next(self._numbers)}"

    def wants_prompt(self, endpoint: AnnouncedEndpoint, prompt: str) -> bool:
        """Return whether an engine takes another prompt; it may rest or leave."""
        return self._statements.wants_requests(endpoint, request=RequestId(prompt))

    async def can_connect(self, endpoint: AnnouncedEndpoint) -> bool:
        """Return whether an engine still accepts connections."""
        return await self._pool.connection_failure(endpoint.address) is None

    async def reserve(
        self,
        prompt: str,
        endpoints: tuple[AnnouncedEndpoint, ...],
        tokens: int,
        *,
        lead: AnnouncedEndpoint,
        wait: OrderWait | None = None,
    ) -> MemoryReservation:
        """Reserve `tokens` of memory on each endpoint, or raise `AttemptError`.

        The reservations are renewed for as long as the engine `lead`, which uses the
        memory, accepts connections. Without `wait` the orders have a timeout.
        """
        reservation = MemoryReservation(
            manager=self, prompt=prompt, tokens=tokens, lead=lead, wait=wait
        )
        try:
            await reservation.acquire(endpoints)
        except FirstError as error:
            reservation.release()
            error.subFailure.raiseException()
        except CancelledError:
            reservation.release()
            raise
        return reservation

    def release(
        self,
        endpoint: AnnouncedEndpoint,
        reservation_id: str,
        *,
        has_unanswered_order: bool,
    ) -> None:
        """Release a reservation in the background.

        With `has_unanswered_order` the release is sent at each of the delays, otherwise
        only until an engine responds to it.
        """
        Deferred.fromCoroutine(
            self._release(endpoint, reservation_id, has_unanswered_order)
        )

    def drain(self, *, until: float) -> None:
        """Repeat releases that got no response at once, as the process exits `until`.

        That holds for later ones, and for those that wait to be repeated now.
        """
        self._repeats_until = until
        for repeat in tuple(self._repeats):
            repeat.reset(0)

    async def _release(
        self,
        endpoint: AnnouncedEndpoint,
        reservation_id: str,
        has_unanswered_order: bool,
    ) -> None:
        order = MemoryOrder(endpoint=endpoint.id, reservation_id=reservation_id)
        begun_at = self._reactor.seconds()
        expires_at = (
            math.inf if has_unanswered_order else begun_at + RESERVATION_SECONDS
        )
        has_logged_fault = False

        async def send() -> bool:
            nonlocal has_logged_fault
            try:
                return await self.send_order(endpoint, order) is not None
            except Exception as error:
                if not has_logged_fault:
                    has_logged_fault = True
                    self.record_fault(error, ticket=reservation_id)
                return False

        is_released = False
        for delay in (0.0, *REPEAT_DELAYS_SECONDS):
            if delay:
                await self._wait_for_repeat(begun_at + delay, is_released=is_released)
            if is_released:
                await send()
            else:
                is_released = await self._release_now(send, expires_at=expires_at)
            if is_released and not has_unanswered_order:
                return

    async def _release_now(
        self, send: Callable[[], Awaitable[bool]], *, expires_at: float
    ) -> bool:
        """Send a release, during a stop until an engine responds; return if one does.

        A reservation that has expired by itself is not worth the wait.
        """
        self._n_releasing += 1
        try:
            while not await send():
                until = min(self._repeats_until, expires_at)
                if self._reactor.seconds() + REFUSED_CHECK_SECONDS >= until:
                    return False
                await deferLater(self._reactor, REFUSED_CHECK_SECONDS)
            return True
        finally:
            self._n_releasing -= 1

    async def _wait_for_repeat(self, at: float, *, is_released: bool) -> None:
        """Wait until `at`; a stop ends the wait if memory is not released yet."""
        waiting: Deferred[None] = Deferred()
        delay = max(0.0, at - self._reactor.seconds())
        repeat = self._reactor.callLater(delay, waiting.callback, None)
        if not is_released:
            self._repeats.add(repeat)
        await waiting
        self._repeats.discard(repeat)

    def record_fault(self, error: Exception, **fields: object) -> None:
        """Log an unknown error of a task that nothing waits for."""
        self._log.write(LogEvent.INTERNAL_FAULT, detail=repr(error), **fields)

    async def send_order(
        self,
        endpoint: AnnouncedEndpoint,
        order: MemoryOrder,
        *,
        next_wait: NextWait = _wait_once,
    ) -> int | None:
        """Send an order; return the HTTP status, or `None` without a response."""
        status: int | None = None
        response = None
        try:
            connection = await self._connect(endpoint, next_wait)
            target, headers, body = self._codec.encode_order(order)
            sent_at = self._reactor.seconds()
            response = connection.send(
                method=b"POST",
                target=target,
                headers=((b"Host", endpoint.address.encode()), *headers),
                body=body,
                is_expected=lambda head: True,
            )
            head = await self._read_answer(response, next_wait)
            status = head.status
            self._statements.record_order_answer(
                endpoint,
                self._codec.decode_response_headers(status, head.headers),
                sent_at=sent_at,
            )
        except AttemptError as error:
            self._log.write(
                LogEvent.MEMORY_ORDER_FAILED,
                endpoint=endpoint.id,
                ticket=order.reservation_id,
                reason=error.reason.value,
            )
        finally:
            if response is not None:
                response.abort()
        if status is not None:
            self._log.write(
                LogEvent.MEMORY_ORDERED,
                endpoint=endpoint.id,
                ticket=order.reservation_id,
                tokens=order.tokens,
                status=status,
            )
        return status

    async def _connect(
        self,
        endpoint: AnnouncedEndpoint,
        next_wait: NextWait,
    ) -> EndpointConnection:
        timeout = next_wait(None)
        while True:
            try:
                return await self._pool.acquire(
                    endpoint.address,
                    max_idle=MAX_IDLE_SECONDS,
                    timeout=timeout,
                    request_id=None,
                )
            except AttemptError as error:
                if error.reason is not FailureReason.NOT_CONNECTED:
                    raise
                timeout = next_wait(error.reason)
                if timeout is None:
                    raise
            await deferLater(self._reactor, REFUSED_CHECK_SECONDS)

    async def _read_answer(
        self, response: EndpointResponse, next_wait: NextWait
    ) -> ResponseHead:
        head: ResponseHead | None = None
        timeout = next_wait(None)
        while True:
            try:
                received = await response.receive(timeout=timeout)
            except AttemptError as error:
                if error.reason is not FailureReason.SILENT:
                    raise
                timeout = next_wait(error.reason)
                if timeout is None:
                    raise
                continue
            match received:
                case ResponseHead() as head:
                    pass
                case ResponseEnd(framing=framing, close=close):
                    end = AnswerEnd(framing=framing, close=close, place=Place.IN_BODY)
                    if proof_of_end(end) is Proof.BROKEN_OFF:
                        raise AttemptError(reason=FailureReason.CLOSED, was_sent=True)
                    return head
