"""Which requests may be retried, and which error the caller gets otherwise."""

import random

from bilberryring.core import ErrorCode, ServingError
from bilberryring.execution import RetryWindow, StreamEnd
from bilberryring.fleet import MS_PER_SECOND, ServiceName
from bilberryring.gateway.endpoint_choice import Choice
from bilberryring.gateway.messages import AttemptError, ResponseMetadata
from bilberryring.gateway.peer_view import PeerView
from bilberryring.gateway.refusals import RETRY_AFTER_SECONDS, not_run, outcome_unknown
from bilberryring.gateway.request_context import NotRun, RequestContext
from bilberryring.gateway.settings import GatewayBounds

MIN_SEND_SECONDS = 0.02
"""Seconds until the deadline below which a request is not sent to an endpoint."""
MAX_FIRST_TOKEN_FRACTION = 0.9
"""Fraction of the time until the deadline within which the first token must be
predicted; otherwise the request is refused."""

SPREAD_SHARE = 0.25
"""Largest share of the time until endpoints take requests again by which the callers'
retries are spread."""
CONFIRMATION_SHARE = 0.5
"""Share of the retry budget that may be spent to ask whether a stream has ended, if it
is presumed to. The rest is kept for requests that fail."""


class RetryPolicy:
    """Decides on the retries of all requests at one gateway.

    Retries are limited for each service by the operators' retry budget, which all
    gateways share.
    """

    def __init__(
        self,
        *,
        clock,
        bounds: GatewayBounds,
        peers: PeerView,
        seed: int | None = None,
    ):
        self._random = random.Random(seed)
        self._clock = clock
        self._bounds = bounds
        self._peers = peers
        self._windows: dict[ServiceName, RetryWindow] = {}

    def record_request(self, context: RequestContext) -> None:
        """Count a caller's request towards the retry budget of its service."""
        self._window(context.service.name).record_request(now=self._clock.seconds())

    def allows_another(self, context: RequestContext) -> bool:
        """Whether another attempt is allowed, regardless of the retry budget."""
        if context.sends >= context.route.max_endpoints:
            return False
        return self._can_repeat(context)

    def allows_return(self, context: RequestContext) -> bool:
        """Whether a stream may go on at the endpoint that another one has replaced.

        It has been sent there already, so that it reaches no further endpoint.
        """
        return context.replaced_endpoint is not None and self._can_repeat(context)

    def _can_repeat(self, context: RequestContext) -> bool:
        if context.exchange.is_closed:
            return False
        if context.stream is not None and not context.stream.can_resume:
            return False
        return context.deadline - self._clock.seconds() >= MIN_SEND_SECONDS

    def may_retry(self, context: RequestContext) -> bool:
        """Whether another attempt is allowed and within the retry budget.

        The first send of a request costs nothing. One that only confirms the end of a
        stream finds a smaller budget.
        """
        if not self.allows_another(context) and not self.allows_return(context):
            return False
        if context.sends == 0:
            return True
        now = self._clock.seconds()
        entries = self._peers.entry_count(now=now)
        is_presumed = context.known_end.end is StreamEnd.PRESUMED
        return self._window(context.service.name).can_spend(
            now=now, entries=entries, share=CONFIRMATION_SHARE if is_presumed else 1.0
        )

    def try_spend(self, context: RequestContext) -> bool:
        """Spend a retry for a request that is about to be sent, unless it is the first.

        Returns whether it may be sent.
        """
        if context.sends == 0:
            return True
        now = self._clock.seconds()
        entries = self._peers.entry_count(now=now)
        return self._window(context.service.name).try_spend(now=now, entries=entries)

    def check_retry(
        self,
        context: RequestContext,
        *,
        cause: Exception,
        seconds: float | None = None,
    ) -> None:
        """Return if the request may be retried after `cause`.

        Otherwise raises the `ServingError` to send to the caller. `seconds` is the time
        until an endpoint takes requests again by what the endpoints say of themselves.
        """
        match cause:
            case NotRun():
                if not self.may_retry(context):
                    raise self._refusal_error(context, cause.metadata, seconds)
            case AttemptError():
                is_safe = context.route.may_repeat or not context.may_have_run
                if not is_safe or not self.may_retry(context):
                    raise self._failed_attempt_error(context, cause)

    def deadline_error(self, context: RequestContext) -> ServingError:
        """Return the error for a request whose deadline has passed."""
        if context.may_have_run:
            return outcome_unknown(ErrorCode.DEADLINE_PASSED)
        return not_run(ErrorCode.TOO_LATE)

    def no_endpoint_error(
        self, context: RequestContext, *, seconds: float | None = None
    ) -> ServingError:
        """Return the error for a request that no endpoint can serve.

        `seconds` is the time until one may get requests again by what the endpoints say
        of themselves, if that is what it waits for.
        """
        if context.may_have_run:
            return outcome_unknown(ErrorCode.ENDPOINT_FAILED)
        if not seconds:
            return not_run(ErrorCode.NO_ENDPOINT, retry_after=2 * RETRY_AFTER_SECONDS)
        return not_run(
            ErrorCode.NO_ENDPOINT,
            detail="endpoints rest, leave or are at the limits that they state",
            retry_after=self._spread(seconds),
        )

    def _refusal_error(
        self,
        context: RequestContext,
        metadata: ResponseMetadata,
        seconds: float | None,
    ) -> ServingError:
        """Return the error for a request that its last endpoint refused.

        The rest that this endpoint wants is no reason to wait if others are free.
        """
        if context.may_have_run:
            return outcome_unknown(ErrorCode.ENDPOINT_FAILED)
        retry_after = 2 * RETRY_AFTER_SECONDS
        if seconds:
            retry_after = self._spread(seconds)
        elif metadata.retry_after and metadata.rest is None:
            retry_after = metadata.retry_after
        return not_run(ErrorCode.QUEUE_FULL, retry_after=retry_after)

    def _spread(self, seconds: float) -> float:
        """Return when a caller may retry, so that not all of them come at once."""
        spread = self._random.uniform(0.0, SPREAD_SHARE * seconds)
        return max(RETRY_AFTER_SECONDS, seconds) + spread

    def _failed_attempt_error(
        self, context: RequestContext, error: AttemptError
    ) -> ServingError:
        if self._clock.seconds() >= context.deadline - MIN_SEND_SECONDS:
            return self.deadline_error(context)
        if not context.may_have_run:
            return self.no_endpoint_error(context)
        if context.route.may_repeat:
            return outcome_unknown(ErrorCode.ENDPOINT_FAILED, detail=error.reason.value)
        return outcome_unknown(ErrorCode.OUTCOME_UNKNOWN, detail=error.reason.value)

    def _window(self, service: ServiceName) -> RetryWindow:
        window = self._windows.get(service)
        if window is None:
            window = RetryWindow(
                ratio=self._bounds.retry_ratio,
                slack=self._bounds.retry_slack,
                window_seconds=self._bounds.retry_window,
            )
            self._windows[service] = window
        return window


def min_seconds_left(choice: Choice) -> float:
    """Return the time until the deadline that a choice needs to be in time."""
    predicted = choice.predicted_ms / MS_PER_SECOND
    return max(predicted / MAX_FIRST_TOKEN_FRACTION, MIN_SEND_SECONDS)


def is_in_time(choice: Choice, seconds_left: float) -> bool:
    """Whether the first token is predicted to come well before the deadline."""
    predicted = choice.predicted_ms / MS_PER_SECOND
    return predicted <= MAX_FIRST_TOKEN_FRACTION * seconds_left


def check_deadline(choice: Choice, seconds_left: float) -> None:
    """Raise `ServingError` if the first token is predicted to come too late."""
    if is_in_time(choice, seconds_left):
        return
    predicted = choice.predicted_ms / MS_PER_SECOND
    backlog = choice.backlog_ms / MS_PER_SECOND
    raise not_run(
        ErrorCode.TOO_LATE,
        detail=f"the first token would come in {predicted:.1f} s",
        retry_after=max(RETRY_AFTER_SECONDS, backlog) if backlog else None,
    )
