"""Log events and metrics of requests."""

import math
from dataclasses import replace

from bilberryring.core import ClosedBy, Delivery, ServingError
from bilberryring.execution import AnswerEnd, SilenceDecision, proof_of_end
from bilberryring.fleet import MS_PER_SECOND, AnnouncedEndpoint, EndpointId
from bilberryring.gateway.counters import CALLER_LEFT, GatewayCounters
from bilberryring.gateway.endpoint_choice import Choice
from bilberryring.gateway.messages import CallerMetadata, ResponseMetadata
from bilberryring.gateway.request_context import (
    NO_SILENCE,
    Attempt,
    RequestContext,
    Silence,
)
from bilberryring.quarantine import PartAction, PartDecision
from bilberryring.telemetry import EventLog, LogEvent

PART_EVENTS = {
    PartAction.QUARANTINED: LogEvent.PART_QUARANTINED,
    PartAction.RELEASED: LogEvent.PART_RELEASED,
}


class RequestLog:
    """Writes the log events of requests and updates their metrics."""

    def __init__(
        self, *, clock, log: EventLog, counters: GatewayCounters, observe_first_response
    ):
        self._clock = clock
        self._log = log
        self._counters = counters
        self._observe_first_response = observe_first_response
        self._stop_signalled_at: float | None = None

    def begin_stop(self, *, signalled_at: float) -> None:
        """Log from now on with each last record how long ago the stop signal came."""
        self._stop_signalled_at = signalled_at

    def write(
        self, event: LogEvent, metadata: CallerMetadata, **fields: object
    ) -> None:
        """Log another event of a request."""
        self._log.write(event, request=metadata.request_id, **fields)

    def attempt_started(
        self,
        context: RequestContext,
        attempt: Attempt,
        seconds_left: float,
        version: int,
    ) -> None:
        """Log that a request is sent, `seconds_left` before its deadline.

        Its prompt is counted as read again unless all earlier sends were refused.
        """
        if context.sends - 1 > context.not_run_sends:
            self._counters.count_reread(
                context.route.name, context.metadata.prompt_tokens
            )
        choice = attempt.choice
        self._log.write(
            LogEvent.ATTEMPT_STARTED,
            request=context.request_id,
            route=context.route.name,
            endpoint=attempt.endpoint,
            attempt=attempt.number,
            helpers=[helper.id for helper in choice.helpers],
            part_ms=round(choice.placed.part_ms),
            prompt_tokens=context.metadata.prompt_tokens,
            shared_parts=context.metadata.shared_parts,
            predicted_ms=round(choice.predicted_ms),
            left_ms=round(seconds_left * 1_000),
            configuration=version,
        )

    def streams_stopped(self, context: RequestContext, choice: Choice) -> None:
        """Log that a prompt is read although callers of other streams leave by it."""
        self._log.write(
            LogEvent.STREAMS_STOPPED,
            request=context.request_id,
            endpoints=list(choice.stopped),
            leaving_callers=choice.leaving_callers,
            part_ms=round(choice.placed.part_ms),
            parts=1 + len(choice.helpers),
            prompt_tokens=context.metadata.prompt_tokens,
            predicted_ms=round(choice.predicted_ms),
        )

    def attempt_failed(
        self, context: RequestContext, attempt: Attempt, reason: str, culprit: str = ""
    ) -> None:
        """Log and count an attempt that failed.

        `culprit` is the address of the endpoint at fault if it is another one.
        """
        self._counters.count_failed_attempt(reason)
        self._log.write(
            LogEvent.ATTEMPT_FAILED,
            request=context.request_id,
            endpoint=attempt.endpoint,
            attempt=attempt.number,
            reason=reason,
            culprit=culprit,
            helpers=[helper.id for helper in attempt.choice.helpers],
            writing_ms=self._writing_ms(attempt),
            answer_end=_describe_end(attempt.answer_end),
        )

    def attempt_silent(
        self, context: RequestContext, attempt: Attempt, decision: SilenceDecision
    ) -> None:
        """Log that an endpoint is silent, and what follows from it.

        The first decision for an attempt counts it.
        """
        if attempt.silence_decision is None:
            self._counters.count_silent_attempt(context.route.name)
        self._log.write(
            LogEvent.ATTEMPT_SILENT,
            request=context.request_id,
            endpoint=attempt.endpoint,
            attempt=attempt.number,
            sent_ago=self._sent_ago(attempt),
            writing_ms=self._writing_ms(attempt),
            left_ms=round((context.deadline - self._clock.seconds()) * 1_000),
            busy_ms=round(attempt.busy_seconds * 1_000),
            decision=decision.value,
        )

    def silence_ended(self, context: RequestContext, attempt: Attempt) -> None:
        """Log that a silent endpoint goes on."""
        self._log.write(
            LogEvent.SILENCE_ENDED,
            request=context.request_id,
            endpoint=attempt.endpoint,
            attempt=attempt.number,
            sent_ago=self._sent_ago(attempt),
        )

    def earlier_run_ended(self, endpoint: AnnouncedEndpoint, *, attempts: int) -> None:
        """Log that attempts were ended with the run of their endpoint."""
        self._log.write(
            LogEvent.ENDED_RUN_ABORTED,
            endpoint=endpoint.id,
            started_at_ms=endpoint.started_at_ms,
            attempts=attempts,
        )

    def answer_skipped(
        self, context: RequestContext, attempt: Attempt, metadata: ResponseMetadata
    ) -> None:
        """Log an answer that is not known to belong to the request it came for."""
        self._log.write(
            LogEvent.ANSWER_SKIPPED,
            request=context.request_id,
            endpoint=attempt.endpoint,
            attempt=attempt.number,
            status=metadata.status,
            answered_request=metadata.request_id,
            has_not_run=metadata.has_not_run,
            sent_ago=round(self._clock.seconds() - attempt.sent_at, 3),
        )

    def prompt_suspected(
        self,
        context: RequestContext,
        endpoint: EndpointId,
        *,
        crashes: int,
        memory_seconds: float,
        sent_before: float,
    ) -> None:
        """Log that a request was running when its endpoint crashed.

        `crashes` are the known ones under such requests, at all gateways, and
        `memory_seconds` the time for which this gateway knows of crashes. The request
        was sent `sent_before` seconds before its connection was closed.
        """
        self._log.write(
            LogEvent.PROMPT_SUSPECTED,
            request=context.request_id,
            endpoint=endpoint,
            sends=context.sends,
            fingerprint=context.fingerprint,
            crashes=crashes,
            memory_s=round(memory_seconds, 3),
            sent_before_ms=round(sent_before * MS_PER_SECOND, 1),
            shared_parts=context.metadata.shared_parts,
        )

    def request_finished(self, context: RequestContext) -> None:
        """Log and count a request that got the response of an endpoint.

        This, `request_failed` or `caller_left` is the last record of each request.
        """
        now = self._clock.seconds()
        attempt = context.attempt
        first_response_at = context.first_response_at or now
        first_seconds = first_response_at - context.request.received_at
        self._observe_first_response(
            context.route.name, context.workspace, first_seconds
        )
        delivery = context.exchange.delivery
        self._counters.count_request(context.route.name, str(context.status), delivery)
        self._log.write(
            LogEvent.REQUEST_FINISHED,
            request=context.request_id,
            status=context.status,
            first_ms=round(first_seconds * 1_000),
            gap_ms=round(context.longest_gap * 1_000),
            total_ms=round((now - context.request.received_at) * 1_000),
            silence_ms=round(context.longest_silence.seconds * 1_000),
            silence_cause=_describe_cause(context, context.longest_silence),
            attempt=attempt.number if attempt else None,
            stated_limit=attempt.stated_limit if attempt else None,
            answer_end=_describe_end(attempt.answer_end if attempt else None),
            stream_end=context.known_end.end.value if context.stream else None,
            sends=context.sends,
            configuration=context.configuration,
            delivered=delivery.value,
            stop_ms=self._stop_ms(),
        )

    def request_failed(
        self,
        metadata: CallerMetadata,
        context: RequestContext | None,
        error: ServingError,
        delivery: Delivery,
    ) -> None:
        """Log and count a request that got an error from the gateway."""
        route = context.route.name if context else ""
        self._counters.count_request(route, error.code.value, delivery)
        self._log.write(
            LogEvent.REQUEST_FAILED,
            request=metadata.request_id,
            route=route,
            code=error.code.value,
            outcome=error.outcome.value,
            sends=context.sends if context else 0,
            retry_after=error.retry_after,
            detail=error.detail,
            answer_end=_describe_end(
                context.attempt.answer_end if context and context.attempt else None
            ),
            configuration=context.configuration if context else None,
            delivered=delivery.value,
            stop_ms=self._stop_ms(),
        )

    def caller_left(
        self,
        metadata: CallerMetadata,
        context: RequestContext | None,
        delivery: Delivery,
        closed_by: ClosedBy | None,
    ) -> None:
        """Log and count a request whose connection was closed.

        `closed_by` is its caller, or the gateway if clients held too much memory.
        `silent_ms` is for how long the caller had got no event, and `silence_cause` is
        that of the longest time without one.
        """
        route = context.route.name if context else ""
        silent_ms = patience_ms = None
        last, longest = NO_SILENCE, NO_SILENCE
        if context is not None:
            silent_seconds = self._clock.seconds() - context.silent_since
            silent_ms = round(silent_seconds * 1_000)
            if math.isfinite(context.route.patience_seconds):
                patience_ms = round(context.route.patience_seconds * 1_000)
            last = replace(context.last_silence, seconds=silent_seconds)
            longest = max(last, context.longest_silence, key=lambda item: item.seconds)
        self._counters.count_request(route, CALLER_LEFT, delivery)
        self._log.write(
            LogEvent.CALLER_LEFT,
            request=metadata.request_id,
            route=route,
            sends=context.sends if context else 0,
            configuration=context.configuration if context else None,
            closed_by=closed_by.value if closed_by else None,
            has_event=context is not None and context.last_data_at is not None,
            silent_ms=silent_ms,
            patience_ms=patience_ms,
            busy_ms=round(last.busy_seconds * 1_000),
            silence_ms=round(longest.seconds * 1_000),
            silence_cause=_describe_cause(context, longest),
            delivered=delivery.value,
            stop_ms=self._stop_ms(),
        )

    def _stop_ms(self) -> int | None:
        """Return the milliseconds since the stop signal, if one has come."""
        if self._stop_signalled_at is None:
            return None
        return round((self._clock.seconds() - self._stop_signalled_at) * 1_000)

    def _sent_ago(self, attempt: Attempt) -> float | None:
        """Return the seconds since the sending, if the attempt has sent the request."""
        if not attempt.number:
            return None
        return round(self._clock.seconds() - attempt.sent_at, 3)

    def _writing_ms(self, attempt: Attempt) -> int | None:
        """Return for how long the endpoint had been writing its answer."""
        if attempt.answer_began_at is None:
            return None
        return round((self._clock.seconds() - attempt.answer_began_at) * 1_000)


def _describe_cause(context: RequestContext | None, silence: Silence) -> str | None:
    """Return the cause of a silence that made a stream late."""
    if context is None or context.stream is None:
        return None
    route = context.route
    if silence.seconds <= (route.gap_objective or route.first_answer_objective):
        return None
    return silence.cause.value


def _describe_end(end: AnswerEnd | None) -> dict[str, object] | None:
    """Return the fields that say how an answer ended and what that proves."""
    if end is None:
        return None
    return {
        "framing": end.framing.value,
        "close": end.close.value,
        "place": end.place.value,
        "is_resumed": end.is_resumed,
        "proof": proof_of_end(end).value,
    }


def log_part_decision(log: EventLog, decision: PartDecision) -> None:
    """Log that a part of prompts is refused, or served again, and why."""
    served_ago = decision.served_ago
    log.write(
        PART_EVENTS[decision.action],
        part=decision.part,
        crashes=decision.crashes,
        crashed_ago=round(decision.crashed_ago, 2),
        served_ago=None if served_ago is None else round(served_ago, 2),
        is_from_peer=decision.is_from_peer,
    )
