"""The task of one call to a plain service."""

from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import DeferredQueue

from bilberryring.core import (
    ErrorCode,
    RequestId,
    RunOutcome,
    ServingError,
    from_micros,
    to_micros,
)
from bilberryring.entry.attempt_channel import (
    AttemptChannel,
    CallerGone,
    DeadlinePassed,
    LinkLost,
    deadline_told,
)
from bilberryring.entry.sidecar_links import SidecarLinks, objects_endpoint
from bilberryring.execution import RetryBudget, Ticket, new_ticket, parse_ticket
from bilberryring.objects import ObjectSet, Service, Workspace
from bilberryring.telemetry import EventLog, LogEvent
from bilberryring.wire import CallService, Refused, ServiceAnswer

RECONNECT_WAIT_SECONDS = 0.5
RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerCall:
    """A caller's call; `ticket_text` is empty for repeatable methods."""

    request_id: RequestId
    workspace: Workspace
    service: Service
    method: str
    path: str
    content_type: str
    body: bytes
    ticket_text: str
    deadline: float


class ServiceRequest:
    """Owns one call from its arrival to its one answer."""

    def __init__(
        self,
        *,
        reactor,
        call: CallerCall,
        links: SidecarLinks,
        budget: RetryBudget,
        objects: Callable[[], ObjectSet],
        log: EventLog,
    ):
        self._reactor = reactor
        self._call = call
        self._links = links
        self._budget = budget
        self._objects = objects
        self._log = log
        self._mailbox = DeferredQueue()

    def caller_gone(self) -> None:
        """Note that the caller closed its connection."""
        self._mailbox.put(CallerGone())

    async def run(self) -> ServiceAnswer:
        """Return the service's answer; `ServingError` when there is none."""
        self._budget.record_request()
        with deadline_told(self._reactor, self._mailbox, at=self._call.deadline):
            if self._call.ticket_text:
                return await self._run_once(parse_ticket(self._call.ticket_text))
            return await self._run_repeatable()

    async def _run_once(self, ticket: Ticket) -> ServiceAnswer:
        """Ask the ledger that the ticket names, and no other.

        After a cut, the same ticket goes to the same incarnation again: its
        ledger knows whether the first copy arrived.
        """
        while True:
            channel = await self._open_named(ticket)
            try:
                answer = await self._exchange(channel)
            finally:
                channel.close()
            if answer is not None:
                return answer

    async def _open_named(self, ticket: Ticket) -> AttemptChannel:
        endpoint = objects_endpoint(self._objects(), ticket.endpoint)
        while self._reactor.seconds() < self._call.deadline:
            record = self._links.ensure(ticket.endpoint, endpoint)
            if record is None:
                raise _unknown("The ticket's endpoint is not in the fleet.")
            if record.incarnation == ticket.incarnation:
                channel = self._links.open_attempt(ticket.endpoint, self._mailbox)
                if channel is not None and record.receiver_time(0.0) is not None:
                    return channel
                if channel is not None:
                    channel.close()
            elif record.incarnation:
                raise _unknown("The ledger of the ticket ended with its process.")
            await self._links.next_greeting(RECONNECT_WAIT_SECONDS)
        raise _unknown("The ledger of the ticket cannot be reached.")

    async def _run_repeatable(self) -> ServiceAnswer:
        excluded: set[str] = set()
        last_error: ServingError | None = None
        while True:
            name = choose_service_endpoint(
                self._links, self._objects(), self._call.service, frozenset(excluded)
            )
            channel = None
            if name is not None:
                channel = self._links.open_attempt(name, self._mailbox)
            if channel is None:
                raise last_error or _not_run(ErrorCode.NO_ENDPOINT)
            excluded.add(name)
            try:
                answer = await self._exchange(channel)
                if answer is not None:
                    return answer
                last_error = _unknown("The link closed.")
            except ServingError as error:
                last_error = error
            finally:
                channel.close()
            is_over = self._reactor.seconds() >= self._call.deadline
            if is_over or not self._budget.try_spend():
                raise last_error

    async def _exchange(self, channel: AttemptChannel) -> ServiceAnswer | None:
        """Send the call on a channel; `None` when the link was cut."""
        call = self._call
        channel.send(
            CallService(
                attempt=channel.attempt,
                request=call.request_id,
                workspace=call.workspace.name,
                service_name=call.service.name,
                ticket=call.ticket_text,
                method=call.method,
                path=call.path,
                content_type=call.content_type,
                body=call.body,
                deadline=to_micros(channel.record.receiver_time(call.deadline)),
            )
        )
        self._log.write(
            LogEvent.ATTEMPT_STARTED,
            request=call.request_id,
            attempt=channel.attempt,
            endpoint=channel.record.endpoint.name,
        )
        while True:
            message = await self._mailbox.get()
            match message:
                case ServiceAnswer():
                    if message.attempt == channel.attempt:
                        return message
                case Refused():
                    if message.attempt == channel.attempt:
                        raise _refusal(message)
                case LinkLost():
                    if not channel.link.is_open:
                        return None
                case DeadlinePassed():
                    raise ServingError(
                        code=ErrorCode.DEADLINE_PASSED, outcome=RunOutcome.UNKNOWN
                    )
                case CallerGone():
                    raise ServingError(
                        code=ErrorCode.CANCELLED, outcome=RunOutcome.UNKNOWN
                    )


def choose_service_endpoint(
    links: SidecarLinks,
    objects: ObjectSet,
    service: Service,
    excluded: frozenset[str] = frozenset(),
) -> str | None:
    """Return the least laden endpoint of a service that takes new work."""
    names = [
        endpoint.name for endpoint in objects.endpoints_of_service.get(service.name, ())
    ]
    loads = links.loads(names, excluded=excluded)
    if not loads:
        return None
    chosen = min(loads, key=lambda load: (load.outstanding, load.distance_seconds))
    return chosen.endpoint


def issue_ticket(
    links: SidecarLinks, objects: ObjectSet, service: Service, *, now: float
) -> Ticket:
    """Return a ticket for a live endpoint; `ServingError` when there is none."""
    name = choose_service_endpoint(links, objects, service)
    record = links.record(name) if name is not None else None
    if record is None or not record.incarnation:
        raise _not_run(ErrorCode.NO_ENDPOINT)
    issued = record.receiver_time(now)
    return new_ticket(
        endpoint=name,
        incarnation=record.incarnation,
        issued_micros=to_micros(issued),
    )


def _refusal(message: Refused) -> ServingError:
    return ServingError(
        code=ErrorCode(message.code),
        outcome=RunOutcome(message.outcome),
        detail=message.detail,
        retry_after=from_micros(message.retry_after) or None,
    )


def _unknown(detail: str) -> ServingError:
    return ServingError(
        code=ErrorCode.OUTCOME_UNKNOWN, outcome=RunOutcome.UNKNOWN, detail=detail
    )


def _not_run(code: ErrorCode) -> ServingError:
    return ServingError(
        code=code, outcome=RunOutcome.NOT_RUN, retry_after=RETRY_AFTER_SECONDS
    )
