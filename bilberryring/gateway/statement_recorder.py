"""What endpoints say of themselves: recorded, asked before each write, and logged."""

from collections import Counter

from bilberryring.admission import EndpointStatements, StatementKind, UserPlace
from bilberryring.core import RequestId
from bilberryring.fleet import AnnouncedEndpoint
from bilberryring.gateway.endpoint_choice import EndpointChooser
from bilberryring.gateway.messages import ResponseMetadata
from bilberryring.gateway.request_context import Attempt, RequestContext
from bilberryring.telemetry import EventLog, LogEvent

STATEMENT_EVENTS = {
    StatementKind.LIMIT: LogEvent.ENDPOINT_LIMIT_STATED,
    StatementKind.REST: LogEvent.ENDPOINT_REST_STATED,
    StatementKind.LEAVING: LogEvent.ENDPOINT_LEAVING_STATED,
}


class StatementRecorder:
    """Passes the statements in all kinds of answers to `EndpointStatements`."""

    def __init__(
        self,
        *,
        clock,
        statements: EndpointStatements,
        chooser: EndpointChooser,
        log: EventLog,
    ):
        self._clock = clock
        self._statements = statements
        self._chooser = chooser
        self._log = log

    def wants_requests(
        self, endpoint: AnnouncedEndpoint, *, request: RequestId
    ) -> bool:
        """Whether a request may be written to an endpoint chosen for it before.

        If not, that is logged with the age of the statement.
        """
        now = self._clock.seconds()
        if self._statements.wants_requests(endpoint.run, now=now):
            return True
        age = self._statements.stated_seconds_ago(endpoint.run, now=now)
        self._log.write(
            LogEvent.ENDPOINT_WITHDRAWN,
            request=request,
            endpoint=endpoint.id,
            standing=self._statements.standing(endpoint.run, now=now).value,
            stated_ago=age and round(age, 3),
        )
        return False

    def log_refusal(self, context: RequestContext, seconds: float | None) -> None:
        """Log how the endpoints stand when none can take a request.

        `seconds` is the time until one takes requests again, if it is known.
        """
        now = self._clock.seconds()
        standings = self._chooser.statements_of(
            route=context.route,
            service=context.service,
            workspace=context.workspace,
            now=now,
        )
        ages = [
            age
            for endpoint in standings
            if (age := self._statements.stated_seconds_ago(endpoint.run, now=now))
            is not None
        ]
        counts = Counter(standing.value for standing in standings.values())
        self._log.write(
            LogEvent.NO_ENDPOINT_FREE,
            request=context.request_id,
            service=context.service.name,
            standings=dict(sorted(counts.items())),
            tried=len(context.tried_endpoints),
            stated_ago=round(min(ages), 3) if ages else None,
            free_in=seconds and round(seconds, 3),
        )

    def record_answer(
        self,
        context: RequestContext,
        attempt: Attempt,
        metadata: ResponseMetadata,
    ) -> None:
        """Record what the answer to a request says of its endpoint."""
        attempt.stated_limit = metadata.requests_per_second
        endpoint = attempt.choice.endpoint
        is_relevant = not metadata.statement.is_empty
        if not is_relevant and not self._statements.is_limited(endpoint.run):
            return
        place = self._chooser.place_among_users(
            endpoint.id,
            route=context.route,
            service=context.service,
            workspace=context.workspace,
        )
        self._record(
            endpoint,
            metadata,
            place=place,
            sent_at=attempt.sent_at,
            request=context.request_id,
        )

    def record_order_answer(
        self,
        endpoint: AnnouncedEndpoint,
        metadata: ResponseMetadata,
        *,
        sent_at: float,
    ) -> None:
        """Record what the answer to a memory order says of its engine."""
        self._record(endpoint, metadata, place=None, sent_at=sent_at, request=None)

    def _record(
        self,
        endpoint: AnnouncedEndpoint,
        metadata: ResponseMetadata,
        *,
        place: UserPlace | None,
        sent_at: float,
        request: RequestId | None,
    ) -> None:
        now = self._clock.seconds()
        changes = self._statements.record_answer(
            endpoint.run, metadata.statement, place=place, sent_at=sent_at, now=now
        )
        for kind in changes:
            self._log.write(
                STATEMENT_EVENTS[kind],
                request=request,
                endpoint=endpoint.id,
                run=endpoint.run,
                status=metadata.status,
                stated_limit=metadata.requests_per_second,
                rest=metadata.rest,
                sent_ago=round(now - sent_at, 3),
                rank=place and place.rank,
                users=place and place.users,
            )
