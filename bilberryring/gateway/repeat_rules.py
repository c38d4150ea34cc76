"""What may be repeated, and what the caller is told when nothing may."""

from bilberryring.core import ErrorCode, ServingError
from bilberryring.execution import RetryWindow
from bilberryring.fleet import MILLISECONDS, ServiceName
from bilberryring.gateway.endpoint_choice import Choice
from bilberryring.gateway.messages import AnswerFacts, AttemptBroken
from bilberryring.gateway.peer_view import PeerView
from bilberryring.gateway.refusals import SOON_SECONDS, not_run, unknown
from bilberryring.gateway.request_run import NotRun, RequestRun
from bilberryring.gateway.settings import GatewayBounds

SHORTEST_SEND_SECONDS = 0.02
"""Time left below which a request is not sent."""
HOPELESS_SHARE = 0.9
"""Share of the time left after which a predicted first token is refused."""


class RepeatRules:
    """Decides on repeats of all requests of one entry; `clock` tells the time."""

    def __init__(self, *, clock, bounds: GatewayBounds, peers: PeerView):
        self._clock = clock
        self._bounds = bounds
        self._peers = peers
        self._windows: dict[ServiceName, RetryWindow] = {}

    def record_request(self, run: RequestRun) -> None:
        """Count a caller's request for its service."""
        self._window(run.service.name).record_request(now=self._clock.seconds())

    def could_repeat(self, run: RequestRun) -> bool:
        """Whether the route allows another send."""
        return run.route.may_repeat and run.sends < run.route.max_endpoints

    def may_repeat(self, run: RequestRun) -> bool:
        """Whether another send is allowed, and spend it."""
        now = self._clock.seconds()
        if run.exchange.is_gone or run.sends >= run.route.max_endpoints:
            return False
        if run.ends_at - now < SHORTEST_SEND_SECONDS:
            return False
        if run.sends == 0:
            return True
        entries = self._peers.entry_count(now=now)
        return self._window(run.service.name).try_spend(now=now, entries=entries)

    def check_repeat(self, run: RequestRun, *, cause: Exception) -> None:
        """Go on to another attempt, or raise the failure that the caller gets."""
        match cause:
            case NotRun():
                if not self.may_repeat(run):
                    raise self._refusal(run, cause.facts)
            case AttemptBroken():
                is_safe = run.route.may_repeat or not run.may_have_run
                if not is_safe or not self.may_repeat(run):
                    raise self._broken(run, cause)

    def out_of_time(self, run: RequestRun) -> ServingError:
        """Return the failure of a request whose time is over."""
        if run.may_have_run:
            return unknown(ErrorCode.DEADLINE_PASSED)
        return not_run(ErrorCode.TOO_LATE)

    def without_endpoint(self, run: RequestRun) -> ServingError:
        """Return the failure of a request that no endpoint can take."""
        if run.may_have_run:
            return unknown(ErrorCode.ENDPOINT_FAILED)
        return not_run(ErrorCode.NO_ENDPOINT, retry_after=2 * SOON_SECONDS)

    def _refusal(self, run: RequestRun, facts: AnswerFacts) -> ServingError:
        if run.may_have_run:
            return unknown(ErrorCode.ENDPOINT_FAILED)
        wait = facts.retry_after or 2 * SOON_SECONDS
        return not_run(ErrorCode.QUEUE_FULL, retry_after=wait)

    def _broken(self, run: RequestRun, broken: AttemptBroken) -> ServingError:
        if self._clock.seconds() >= run.ends_at - SHORTEST_SEND_SECONDS:
            return self.out_of_time(run)
        if not run.may_have_run:
            return self.without_endpoint(run)
        if run.route.may_repeat:
            return unknown(ErrorCode.ENDPOINT_FAILED, detail=broken.reason.value)
        return unknown(ErrorCode.OUTCOME_UNKNOWN, detail=broken.reason.value)

    def _window(self, service: ServiceName) -> RetryWindow:
        window = self._windows.get(service)
        if window is None:
            window = RetryWindow(
                ratio=self._bounds.retry_ratio,
                slack=self._bounds.retry_slack,
                seconds=self._bounds.retry_window,
            )
            self._windows[service] = window
        return window


def check_in_time(choice: Choice, seconds_left: float) -> None:
    """Refuse at once what would not begin before its caller gives up."""
    predicted = choice.predicted_ms / MILLISECONDS
    if predicted <= HOPELESS_SHARE * seconds_left:
        return
    backlog = choice.backlog_ms / MILLISECONDS
    raise not_run(
        ErrorCode.TOO_LATE,
        detail=f"the first token would come in {predicted:.1f} s",
        retry_after=max(SOON_SECONDS, backlog) if backlog else None,
    )
