"""The task that hands calls to the one plain service beside it.

The ledger decides; this task only carries out. A call is handed to the service
at most once, and only after the ledger said so.
"""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError

from bilberryring.core import ErrorCode, RunOutcome, ServingError, from_micros
from bilberryring.execution import (
    Answer,
    Call,
    Join,
    Ledger,
    Refuse,
    Replay,
    Run,
    parse_ticket,
)
from bilberryring.http import HttpAnswer, HttpClient
from bilberryring.sidecar.peer import PeerLink
from bilberryring.telemetry import EventLog, LogEvent
from bilberryring.wire import CallService, LinkProtocol, Refused, ServiceAnswer

CALLS_PREFIX = "/calls/"
SPENT_DETAIL = "The ticket is spent; take a new one."


@dataclass(slots=True, kw_only=True, eq=False)
class _Waiter:
    """An attempt that waits for the outcome of a call."""

    peer: PeerLink
    message: CallService
    timer: object = None


class ServiceRunner:
    """Owns the ledger and the calls that run."""

    def __init__(
        self,
        *,
        reactor,
        client: HttpClient,
        log: EventLog,
        incarnation: str,
        concurrency: Callable[[], int],
        refusal: Callable[[], ErrorCode | None],
    ):
        self._reactor = reactor
        self._client = client
        self._log = log
        self._concurrency = concurrency
        self._refusal = refusal
        self._ledger = Ledger(incarnation=incarnation)
        self._waiters: dict[str, list[_Waiter]] = {}
        self._running = 0

    @property
    def running(self) -> int:
        """The calls that the service has in hand."""
        return self._running

    @property
    def ledger_size(self) -> int:
        """The tickets on record."""
        return self._ledger.size

    def call(self, peer: PeerLink, message: CallService) -> None:
        """Take one copy of a call."""
        if not message.ticket:
            Deferred.fromCoroutine(self._run_repeatable(peer, message))
            return
        try:
            ticket = parse_ticket(message.ticket)
        except ServingError as error:
            _refuse(peer, message, error.code, error.outcome)
            return
        call = Call(
            ticket=ticket, workspace=message.workspace, digest=_digest_of(message)
        )
        decision = self._ledger.receive(
            call,
            now=self._reactor.seconds(),
            deadline=from_micros(message.deadline),
            refusal=self._refusal_now(),
        )
        match decision:
            case Run():
                self._wait(peer, message)
                Deferred.fromCoroutine(self._run(call, message))
            case Join():
                self._wait(peer, message)
            case Replay(answer=answer):
                self._log.write(LogEvent.CALL_REPLAYED, request=message.request)
                _send_answer(peer, message, answer, replayed=True)
            case Refuse(code=code, outcome=outcome):
                self._log.write(
                    LogEvent.CALL_REFUSED,
                    request=message.request,
                    code=code.value,
                    outcome=outcome.value,
                )
                _refuse(peer, message, code, outcome)

    def drop_link(self, link: LinkProtocol) -> None:
        """Forget who waits on a closed link; the calls themselves go on."""
        for waiters in self._waiters.values():
            for waiter in tuple(waiters):
                if waiter.peer.link is link:
                    self._forget(waiters, waiter)

    def _refusal_now(self) -> ErrorCode | None:
        refusal = self._refusal()
        if refusal is None and self._running >= self._concurrency():
            return ErrorCode.QUEUE_FULL
        return refusal

    def _wait(self, peer: PeerLink, message: CallService) -> None:
        waiter = _Waiter(peer=peer, message=message)
        waiters = self._waiters.setdefault(message.ticket, [])
        waiters.append(waiter)
        left = from_micros(message.deadline) - self._reactor.seconds()
        waiter.timer = self._reactor.callLater(
            max(0.0, left), self._waited_too_long, waiters, waiter
        )

    def _waited_too_long(self, waiters: list[_Waiter], waiter: _Waiter) -> None:
        self._forget(waiters, waiter)
        _refuse(
            waiter.peer, waiter.message, ErrorCode.DEADLINE_PASSED, RunOutcome.UNKNOWN
        )

    def _forget(self, waiters: list[_Waiter], waiter: _Waiter) -> None:
        if waiter.timer is not None and waiter.timer.active():
            waiter.timer.cancel()
        if waiter in waiters:
            waiters.remove(waiter)

    def _take_waiters(self, ticket: str) -> list[_Waiter]:
        waiters = self._waiters.pop(ticket, [])
        for waiter in waiters:
            if waiter.timer.active():
                waiter.timer.cancel()
        return waiters

    async def _run(self, call: Call, message: CallService) -> None:
        self._running += 1
        self._log.write(
            LogEvent.CALL_STARTED, request=message.request, ticket=message.ticket
        )
        try:
            answer = await self._hand_over(message)
        except ConnectError:
            self._ledger.withdraw(call, ErrorCode.NO_ENDPOINT)
            self._refuse_waiters(message, ErrorCode.NO_ENDPOINT, RunOutcome.NOT_RUN)
            return
        except Exception as error:
            self._ledger.lose(call)
            self._log.write(
                LogEvent.CALL_UNKNOWN, request=message.request, detail=repr(error)
            )
            self._refuse_waiters(message, ErrorCode.OUTCOME_UNKNOWN, RunOutcome.UNKNOWN)
            return
        finally:
            self._running -= 1
        kept = _kept_answer(answer)
        self._ledger.complete(call, kept)
        self._log.write(
            LogEvent.CALL_FINISHED, request=message.request, status=answer.status
        )
        for waiter in self._take_waiters(message.ticket):
            _send_answer(waiter.peer, waiter.message, kept, replayed=False)

    def _refuse_waiters(
        self, message: CallService, code: ErrorCode, outcome: RunOutcome
    ) -> None:
        for waiter in self._take_waiters(message.ticket):
            _refuse(waiter.peer, waiter.message, code, outcome)

    async def _run_repeatable(self, peer: PeerLink, message: CallService) -> None:
        refusal = self._refusal_now()
        if refusal is not None:
            _refuse(peer, message, refusal, RunOutcome.NOT_RUN)
            return
        self._running += 1
        try:
            answer = await self._hand_over(message)
        except Exception:
            _refuse(peer, message, ErrorCode.ENDPOINT_FAILED, RunOutcome.UNKNOWN)
            return
        finally:
            self._running -= 1
        _send_answer(peer, message, _kept_answer(answer), replayed=False)

    async def _hand_over(self, message: CallService) -> HttpAnswer:
        return await self._client.request(
            message.method,
            CALLS_PREFIX + message.path,
            body=message.body,
            content_type=message.content_type,
        )


def _kept_answer(answer: HttpAnswer) -> Answer:
    return Answer(
        status=answer.status,
        content_type=answer.header("content-type"),
        body=answer.body,
    )


def _digest_of(message: CallService) -> str:
    mixed = hashlib.blake2b(digest_size=16)
    for part in (message.service_name, message.method, message.path):
        mixed.update(part.encode() + b"\0")
    mixed.update(message.body)
    return mixed.hexdigest()


def _send_answer(
    peer: PeerLink, message: CallService, answer: Answer, *, replayed: bool
) -> None:
    peer.link.send(
        ServiceAnswer(
            attempt=message.attempt,
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body,
            replayed=replayed,
        )
    )


def _refuse(
    peer: PeerLink, message: CallService, code: ErrorCode, outcome: RunOutcome
) -> None:
    is_spent = bool(message.ticket) and outcome is RunOutcome.NOT_RUN
    peer.link.send(
        Refused(
            attempt=message.attempt,
            code=code.value,
            detail=SPENT_DETAIL if is_spent else "",
            outcome=outcome.value,
            retry_after=0,
        )
    )
