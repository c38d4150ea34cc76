"""The log lines and counters of requests."""

from bilberryring.core import ServingError
from bilberryring.gateway.counters import GatewayCounters
from bilberryring.gateway.endpoint_choice import Choice
from bilberryring.gateway.messages import CallerFacts
from bilberryring.gateway.request_run import RequestRun
from bilberryring.telemetry import EventLog, LogEvent


class RequestLog:
    """Writes one line for each decision that touches a request."""

    def __init__(self, *, clock, log: EventLog, counters: GatewayCounters, observe):
        self._clock = clock
        self._log = log
        self._counters = counters
        self._observe = observe

    def write(self, event: LogEvent, facts: CallerFacts, **fields: object) -> None:
        """Write one event of a request."""
        self._log.write(event, request=facts.request_id, **fields)

    def send(self, run: RequestRun, choice: Choice, left: float, version: int) -> None:
        """A request goes to an endpoint with `left` seconds."""
        self._log.write(
            LogEvent.ATTEMPT_STARTED,
            request=run.request_id,
            route=run.route.name,
            endpoint=choice.endpoint.id,
            attempt=run.sends,
            helpers=[helper.id for helper in choice.helpers],
            part_ms=round(choice.placed.part_ms),
            prompt_tokens=run.facts.prompt_tokens,
            predicted_ms=round(choice.predicted_ms),
            left_ms=round(left * 1_000),
            configuration=version,
        )

    def attempt_failed(
        self, run: RequestRun, choice: Choice, reason: str, culprit: str = ""
    ) -> None:
        """An attempt ended without a whole answer."""
        self._counters.count_failed_attempt(reason)
        self._log.write(
            LogEvent.ATTEMPT_FAILED,
            request=run.request_id,
            endpoint=choice.endpoint.id,
            attempt=run.sends,
            reason=reason,
            culprit=culprit,
            helpers=[helper.id for helper in choice.helpers],
        )

    def end(self, run: RequestRun) -> None:
        """The caller got a whole answer."""
        now = self._clock.seconds()
        first = run.first_answer_at or now
        first_seconds = first - run.request.received_at
        self._observe(run.route.name, run.workspace, first_seconds)
        self._counters.count_request(run.route.name, str(run.status))
        self._log.write(
            LogEvent.REQUEST_FINISHED,
            request=run.request_id,
            status=run.status,
            first_ms=round(first_seconds * 1_000),
            gap_ms=round(run.longest_gap * 1_000),
            total_ms=round((now - run.request.received_at) * 1_000),
        )

    def failure(
        self, facts: CallerFacts, run: RequestRun | None, error: ServingError
    ) -> None:
        """The caller got an error."""
        route = run.route.name if run else ""
        self._counters.count_request(route, error.code.value)
        self._log.write(
            LogEvent.REQUEST_FAILED,
            request=facts.request_id,
            route=route,
            code=error.code.value,
            outcome=error.outcome.value,
            sends=run.sends if run else 0,
            retry_after=error.retry_after,
            detail=error.detail,
        )
