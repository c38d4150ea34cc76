"""The task that handles one call to a plain service."""

from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import DeferredQueue

from bilberryring.core import (
    ErrorCode,
    RequestId,
    RunOutcome,
    ServingError,
    to_micros,
)
from bilberryring.entry.attempt_channel import (
    AttemptChannel,
    CallerDisconnected,
    DeadlinePassed,
    LinkLost,
    deadline_timer,
)
from bilberryring.entry.refusals import error_from_refusal
from bilberryring.entry.sidecar_links import SidecarLinks, find_endpoint
from bilberryring.execution import RetryBudget, Ticket, new_ticket, parse_ticket
from bilberryring.objects import ObjectSet, Service, Workspace
from bilberryring.telemetry import EventLog, LogEvent
from bilberryring.wire import CallService, Refused, ServiceAnswer

RECONNECT_WAIT_SECONDS = 0.5
RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceCall:
    """A caller's call to a service.

    `ticket_text` is the caller's `Idempotency-Key` header; it is empty for a
    call that may be repeated. `deadline` is in seconds of this process's clock.
    """

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
    """Handles one call from its arrival to its single answer.

    Sidecars, links and timers put their messages into the mailbox, and `run`
    reads them one at a time.
    """

    def __init__(
        self,
        *,
        reactor,
        call: ServiceCall,
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
        self._channel: AttemptChannel | None = None

    def caller_disconnected(self) -> None:
        """Record that the caller closed its connection."""
        self._mailbox.put(CallerDisconnected())

    async def run(self) -> ServiceAnswer:
        """Return the service's answer, or raise `ServingError` when there is none."""
        self._budget.record_request()
        with deadline_timer(
            self._reactor,
            self._mailbox,
            at=self._call.deadline,
            is_receiving=self._is_receiving,
        ):
            if self._call.ticket_text:
                return await self._run_with_ticket(parse_ticket(self._call.ticket_text))
            return await self._run_repeatable()

    def _is_receiving(self) -> bool:
        return self._channel is not None and self._channel.link.is_receiving

    async def _run_with_ticket(self, ticket: Ticket) -> ServiceAnswer:
        """Send the call to the ledger that issued the ticket, and to no other.

        When the link closes before the answer arrives, the same ticket is sent
        to the same incarnation again, because its ledger knows whether the
        first copy arrived.
        """
        while True:
            channel = await self._open_ticket_channel(ticket)
            try:
                answer = await self._exchange(channel)
            finally:
                channel.close()
            if answer is not None:
                return answer

    async def _open_ticket_channel(self, ticket: Ticket) -> AttemptChannel:
        """Wait for a link to the incarnation that the ticket names.

        Raises `ServingError` when that incarnation has ended or cannot be
        reached before the deadline.
        """
        endpoint = find_endpoint(self._objects(), ticket.endpoint)
        while self._reactor.seconds() < self._call.deadline:
            record = self._links.ensure_tracked(ticket.endpoint, endpoint)
            if record is None:
                raise _unknown_outcome_error(
                    "The ticket's endpoint is not in the fleet."
                )
            channel = self._links.open_attempt(
                ticket.endpoint, self._mailbox, incarnation=ticket.incarnation
            )
            if channel is not None:
                if channel.record.receiver_time(0.0) is not None:
                    return channel
                channel.close()
            elif record.incarnation not in ("", ticket.incarnation):
                raise _unknown_outcome_error(
                    "The process that kept the ticket's ledger has ended."
                )
            await self._links.next_hello(RECONNECT_WAIT_SECONDS)
        raise _unknown_outcome_error(
            "The process that keeps the ticket's ledger cannot be reached."
        )

    async def _run_repeatable(self) -> ServiceAnswer:
        """Try one endpoint after another while the retry budget allows it.

        The outcome of an error covers all attempts.
        """
        excluded: set[str] = set()
        last_error: ServingError | None = None
        while True:
            name = choose_service_endpoint(
                self._links, self._objects(), self._call.service, frozenset(excluded)
            )
            if name is None:
                raise last_error or _not_run_error(ErrorCode.NO_ENDPOINT)
            if last_error is not None and not self._budget.try_spend():
                raise last_error
            channel = self._links.open_attempt(name, self._mailbox)
            if channel is None:
                raise last_error or _not_run_error(ErrorCode.NO_ENDPOINT)
            excluded.add(name)
            try:
                answer = await self._exchange(channel)
                if answer is not None:
                    return answer
                error = _unknown_outcome_error("The link closed.")
            except ServingError as refusal:
                error = refusal
            finally:
                channel.close()
            last_error = _after(last_error, error)
            is_past_deadline = self._reactor.seconds() >= self._call.deadline
            if is_past_deadline or error.code is ErrorCode.CANCELLED:
                raise last_error

    async def _exchange(self, channel: AttemptChannel) -> ServiceAnswer | None:
        """Send the call and return its answer, or `None` when the link closed.

        Raises `ServingError` when the sidecar refuses the call, the deadline
        passes or the caller disconnects.
        """
        call = self._call
        self._channel = channel
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
                        raise error_from_refusal(message)
                case LinkLost():
                    if not channel.link.is_open:
                        return None
                case DeadlinePassed():
                    raise ServingError(
                        code=ErrorCode.DEADLINE_PASSED, outcome=RunOutcome.UNKNOWN
                    )
                case CallerDisconnected():
                    raise ServingError(
                        code=ErrorCode.CANCELLED, outcome=RunOutcome.UNKNOWN
                    )


def choose_service_endpoint(
    links: SidecarLinks,
    objects: ObjectSet,
    service: Service,
    excluded: frozenset[str] = frozenset(),
) -> str | None:
    """Return the least loaded endpoint of a service that takes new work.

    The endpoint with the fewest outstanding attempts is chosen, and among equals
    the one with the shortest round trip. `None` when no endpoint takes new work.
    """
    names = [
        endpoint.name for endpoint in objects.endpoints_by_service.get(service.name, ())
    ]
    loads = links.loads(names, excluded=excluded)
    if not loads:
        return None
    chosen = min(loads, key=lambda load: (load.outstanding, load.round_trip_seconds))
    return chosen.endpoint


def issue_ticket(
    links: SidecarLinks, objects: ObjectSet, service: Service, *, now: float
) -> Ticket:
    """Return a ticket that names an endpoint which takes new work.

    Raises `ServingError` when there is none.
    """
    name = choose_service_endpoint(links, objects, service)
    record = links.record(name) if name is not None else None
    if record is None or not record.incarnation:
        raise _not_run_error(ErrorCode.NO_ENDPOINT)
    issued = record.receiver_time(now)
    return new_ticket(
        endpoint=name,
        incarnation=record.incarnation,
        issued_micros=to_micros(issued),
    )


def _after(earlier: ServingError | None, error: ServingError) -> ServingError:
    """Return an error whose outcome covers the attempts before it as well."""
    is_not_run = error.outcome is RunOutcome.NOT_RUN
    if earlier is None or earlier.outcome is RunOutcome.NOT_RUN or not is_not_run:
        return error
    return ServingError(
        code=error.code,
        outcome=RunOutcome.UNKNOWN,
        detail=error.detail,
        retry_after=error.retry_after,
    )


def _unknown_outcome_error(detail: str) -> ServingError:
    return ServingError(
        code=ErrorCode.OUTCOME_UNKNOWN, outcome=RunOutcome.UNKNOWN, detail=detail
    )


def _not_run_error(code: ErrorCode) -> ServingError:
    return ServingError(
        code=code, outcome=RunOutcome.NOT_RUN, retry_after=RETRY_AFTER_SECONDS
    )
