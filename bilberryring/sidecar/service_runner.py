"""The task that forwards calls to the one plain service beside the sidecar.

The ledger decides what happens to each copy of a call with a ticket. Such a call is
forwarded to the service at most once, and only after the ledger has decided to run it.
"""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import quote

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
from bilberryring.http import RESPONSE_TIMEOUT_SECONDS, HttpClient, HttpResponse
from bilberryring.process.loops import start_task
from bilberryring.sidecar.peer import PeerLink
from bilberryring.sidecar.service_answers import request_answer
from bilberryring.telemetry import EventLog, LogEvent
from bilberryring.wire import CallService, LinkProtocol, Refused, ServiceAnswer

CALLS_PREFIX = "/calls/"
PATH_CHARACTERS = "/!$&'()*+,;=:@"
"""What a path may contain besides letters, digits and `-._~` (RFC 3986, 3.3)."""
SPENT_DETAIL = "The ticket can no longer be used; take a new one."


FINAL_STATUSES = range(200, 600)


class MalformedAnswerError(Exception):
    """The service sent a status that no answer has."""


@dataclass(slots=True, kw_only=True, eq=False)
class _Waiter:
    """An entry's attempt that waits for the outcome of a running call."""

    peer: PeerLink
    message: CallService
    timer: object = None


class ServiceRunner:
    """Holds the ledger, the running calls, and the attempts that wait for them."""

    def __init__(
        self,
        *,
        reactor,
        client: HttpClient,
        log: EventLog,
        incarnation: str,
        concurrency: Callable[[], int],
        sidecar_refusal: Callable[[], ErrorCode | None],
    ):
        self._reactor = reactor
        self._client = client
        self._log = log
        self._concurrency = concurrency
        self._sidecar_refusal = sidecar_refusal
        self._ledger = Ledger(incarnation=incarnation)
        self._waiters: dict[str, list[_Waiter]] = {}
        self._running = 0

    @property
    def running(self) -> int:
        """The number of calls that the service has not answered yet."""
        return self._running

    @property
    def ledger_size(self) -> int:
        """The number of tickets in the ledger."""
        return self._ledger.size

    def call(self, peer: PeerLink, message: CallService) -> None:
        """Run, join, replay or refuse one copy of a call."""
        if not message.ticket:
            start_task(self._run_without_ticket(peer, message), log=self._log)
            return
        try:
            ticket = parse_ticket(message.ticket)
        except ServingError as error:
            _refuse(peer, message, error.code, error.outcome)
            return
        call = Call(
            ticket=ticket, workspace=message.workspace, digest=_call_digest(message)
        )
        decision = self._ledger.receive(
            call,
            now=self._reactor.seconds(),
            deadline=from_micros(message.deadline),
            refusal=self._find_refusal(),
        )
        match decision:
            case Run():
                self._add_waiter(peer, message)
                start_task(self._run(call, message), log=self._log)
            case Join():
                self._add_waiter(peer, message)
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
        """Remove the waiters on a closed link; the calls themselves go on."""
        for waiters in self._waiters.values():
            for waiter in tuple(waiters):
                if waiter.peer.link is link:
                    self._remove_waiter(waiters, waiter)

    def _find_refusal(self) -> ErrorCode | None:
        refusal = self._sidecar_refusal()
        if refusal is None and self._running >= self._concurrency():
            return ErrorCode.QUEUE_FULL
        return refusal

    def _add_waiter(self, peer: PeerLink, message: CallService) -> None:
        waiter = _Waiter(peer=peer, message=message)
        waiters = self._waiters.setdefault(message.ticket, [])
        waiters.append(waiter)
        seconds_left = from_micros(message.deadline) - self._reactor.seconds()
        waiter.timer = self._reactor.callLater(
            max(0.0, seconds_left), self._waiter_timed_out, waiters, waiter
        )

    def _waiter_timed_out(self, waiters: list[_Waiter], waiter: _Waiter) -> None:
        self._remove_waiter(waiters, waiter)
        _refuse(
            waiter.peer, waiter.message, ErrorCode.DEADLINE_PASSED, RunOutcome.UNKNOWN
        )

    def _remove_waiter(self, waiters: list[_Waiter], waiter: _Waiter) -> None:
        if waiter.timer is not None and waiter.timer.active():
            waiter.timer.cancel()
        if waiter in waiters:
            waiters.remove(waiter)

    def _pop_waiters(self, ticket: str) -> list[_Waiter]:
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
            answer = await self._forward_call(message)
        except ConnectError:
            self._ledger.mark_not_run(call, ErrorCode.NO_ENDPOINT)
            self._refuse_waiters(message, ErrorCode.NO_ENDPOINT, RunOutcome.NOT_RUN)
            return
        except Exception as error:
            self._ledger.mark_unknown(call)
            self._log.write(
                LogEvent.CALL_UNKNOWN, request=message.request, detail=repr(error)
            )
            self._refuse_waiters(message, ErrorCode.OUTCOME_UNKNOWN, RunOutcome.UNKNOWN)
            return
        finally:
            self._running -= 1
        kept = _to_answer(answer)
        self._ledger.complete(call, kept)
        self._log.write(
            LogEvent.CALL_FINISHED, request=message.request, status=answer.status
        )
        self._answer_waiters(
            message,
            lambda waiter: _send_answer(
                waiter.peer, waiter.message, kept, replayed=False
            ),
        )

    def _refuse_waiters(
        self, message: CallService, code: ErrorCode, outcome: RunOutcome
    ) -> None:
        self._answer_waiters(
            message, lambda waiter: _refuse(waiter.peer, waiter.message, code, outcome)
        )

    def _answer_waiters(
        self, message: CallService, answer: Callable[[_Waiter], None]
    ) -> None:
        """Answer all copies of a call; an unknown error for one ends no other."""
        for waiter in self._pop_waiters(message.ticket):
            try:
                answer(waiter)
            except Exception as error:
                self._log.write(
                    LogEvent.INTERNAL_FAULT,
                    request=waiter.message.request,
                    detail=repr(error),
                )

    async def _run_without_ticket(self, peer: PeerLink, message: CallService) -> None:
        refusal = self._find_refusal()
        if refusal is not None:
            _refuse(peer, message, refusal, RunOutcome.NOT_RUN)
            return
        self._running += 1
        try:
            answer = await self._forward_call(message)
        except ConnectError:
            _refuse(peer, message, ErrorCode.NO_ENDPOINT, RunOutcome.NOT_RUN)
            return
        except Exception as error:
            self._log.write(
                LogEvent.CALL_UNKNOWN, request=message.request, detail=repr(error)
            )
            _refuse(peer, message, ErrorCode.ENDPOINT_FAILED, RunOutcome.UNKNOWN)
            return
        finally:
            self._running -= 1
        _send_answer(peer, message, _to_answer(answer), replayed=False)

    async def _forward_call(self, message: CallService) -> HttpResponse:
        """Return the service's answer; any error but `ConnectError` is one after which
        the call may have run.
        """
        seconds_left = from_micros(message.deadline) - self._reactor.seconds()
        answer = await request_answer(
            self._client,
            message.method,
            CALLS_PREFIX + quote(message.path, safe=PATH_CHARACTERS),
            body=message.body,
            content_type=message.content_type,
            timeout=max(RESPONSE_TIMEOUT_SECONDS, seconds_left),
        )
        if answer.status not in FINAL_STATUSES:
            raise MalformedAnswerError(f"status {answer.status}")
        return answer


def _to_answer(answer: HttpResponse) -> Answer:
    return Answer(
        status=answer.status,
        content_type=answer.header("content-type"),
        body=answer.body,
        content_encoding=answer.list_header("content-encoding"),
    )


def _call_digest(message: CallService) -> str:
    hasher = hashlib.blake2b(digest_size=16)
    for part in (message.service_name, message.method, message.path):
        hasher.update(part.encode() + b"\0")
    hasher.update(message.body)
    return hasher.hexdigest()


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
            content_encoding=answer.content_encoding or None,
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
