"""Samples of endpoints' speed, taken from the attempts of this gateway.

What an endpoint did is compared with what its known work explains. Times in which this
process was stalled or a caller read too slowly are no samples, and neither are those of
endpoints in cold start, which are slow by themselves.
"""

from bilberryring.capacity import (
    EndpointSpeeds,
    Interval,
    LinkDelays,
    PaceWindow,
    StallRecord,
)
from bilberryring.fleet import MS_PER_SECOND, AnnouncedEndpoint
from bilberryring.gateway.endpoint_choice import EndpointChooser
from bilberryring.gateway.request_context import SUCCESS, Attempt, RequestContext
from bilberryring.routing import EndpointWork, EngineFigures

LONG_PREFILL_MS = 100.0
"""Predicted time of a prefill from which a first token is a sample of the prefill. With
a shorter one the token steps and the wait for a pass take as long."""
FIRST_TOKEN_MARGIN_MS = 60.0
"""Milliseconds beyond the prediction and one more pass that a first token may take. Of
sound engines' first tokens, 90% came within 89 ms of their prediction."""
MIN_WAIT_RATIO = 2.0
"""Slowdown from which an awaited first token counts before it comes."""


class CapacitySamples:
    """Feeds the learned speeds; does nothing unless `is_on`."""

    def __init__(
        self,
        *,
        clock,
        chooser: EndpointChooser,
        speeds: EndpointSpeeds,
        is_on: bool = True,
    ):
        self._clock = clock
        self._chooser = chooser
        self._speeds = speeds
        self._is_on = is_on
        self._stalls = StallRecord()
        self._links = LinkDelays()

    def tick(self) -> None:
        """Note that this process runs; called every `TICK_SECONDS`."""
        self._stalls.tick(now=self._clock.seconds())

    def forget(self, endpoint: AnnouncedEndpoint) -> None:
        """Forget an endpoint that is no longer announced."""
        self._links.forget(endpoint.id)
        self._speeds.forget(endpoint.id)

    def connected(self, endpoint: AnnouncedEndpoint, *, since: float) -> None:
        """Record that a new connection has opened that was begun at `since`."""
        if not self._stalls.has_stalled(since=since):
            self._links.record(endpoint.id, self._clock.seconds() - since)

    def first_event(self, context: RequestContext, attempt: Attempt) -> None:
        """Take a sample of the time to the first event of a stream."""
        now = self._clock.seconds()
        attempt.pace = PaceWindow(now=now) if self._is_on else None
        if not self._is_sound(context, attempt, since=attempt.sent_at):
            return
        bounds = self._first_token_bounds(context, attempt)
        if bounds is None:
            return
        at_least, at_most = bounds
        observed = self._observed_ms(attempt, now)
        sample = Interval.of(observed=observed, at_least=at_least, at_most=at_most)
        endpoint = attempt.choice.endpoint
        if attempt.choice.placed.part_ms >= LONG_PREFILL_MS:
            self._speeds.observe_prefill(endpoint.id, endpoint.run, sample, now=now)
        else:
            self._speeds.observe_step(endpoint.id, endpoint.run, sample, now=now)

    def waiting(self, context: RequestContext, attempt: Attempt) -> None:
        """Take a sample of a first event that has not come yet."""
        if not attempt.choice.placed.is_in_prefill:
            return
        if not self._is_sound(context, attempt, since=attempt.sent_at):
            return
        bounds = self._first_token_bounds(context, attempt)
        if bounds is None:
            return
        now = self._clock.seconds()
        low = self._observed_ms(attempt, now) / bounds[1]
        if low >= MIN_WAIT_RATIO:
            endpoint = attempt.choice.endpoint
            self._speeds.observe_wait(endpoint.id, endpoint.run, low, now=now)

    def event(self, context: RequestContext, attempt: Attempt) -> None:
        """Count a further event of a stream; some of them make a sample."""
        pace = attempt.pace
        if pace is None:
            return
        now = self._clock.seconds()
        gaps = pace.add(now=now)
        if gaps is None:
            return
        figures = context.service.engine
        began_at = pace.began_at
        pace.restart(now=now)
        if figures is None or not self._is_sound(context, attempt, since=began_at):
            return
        endpoint = attempt.choice.endpoint
        work = self._chooser.work(endpoint.id, now=now)
        pass_ms, busy_ms = _pass_bounds(work, figures)
        sample = Interval(
            low=gaps[0] * MS_PER_SECOND / (pass_ms + busy_ms),
            high=gaps[1] * MS_PER_SECOND / pass_ms,
        )
        self._speeds.observe_step(
            endpoint.id, endpoint.run, sample, now=now, requests=work.requests
        )

    def answered(
        self, context: RequestContext, attempt: Attempt, *, paused_until: float
    ) -> None:
        """Take a sample of a whole response of a plain service.

        Until `paused_until` this gateway did not read it.
        """
        if context.service.engine is not None or context.status not in SUCCESS:
            return
        if paused_until >= attempt.sent_at:
            return
        if not self._is_sound(context, attempt, since=attempt.sent_at):
            return
        now = self._clock.seconds()
        endpoint = attempt.choice.endpoint
        self._speeds.observe_response(
            context.service.name,
            endpoint.id,
            endpoint.run,
            max(0.0, now - attempt.sent_at - self._links.seconds(endpoint.id)),
            requests=attempt.choice.requests + 1,
            slots=endpoint.slots,
            now=now,
        )

    def _is_sound(
        self, context: RequestContext, attempt: Attempt, *, since: float
    ) -> bool:
        """Whether the time since then was the endpoint's alone."""
        return (
            self._is_on
            and not self._stalls.has_stalled(since=since)
            and context.exchange.held_back_until < since
            and not attempt.choice.endpoint.is_cold(now=self._clock.seconds())
        )

    def _observed_ms(self, attempt: Attempt, now: float) -> float:
        link = self._links.seconds(attempt.endpoint)
        return max(0.0, now - attempt.sent_at - link) * MS_PER_SECOND

    def _first_token_bounds(
        self, context: RequestContext, attempt: Attempt
    ) -> tuple[float, float] | None:
        """Return the shortest and the longest time that known work explains, in ms.

        It is unknown for a prompt that other engines help to prefill, as the slowest of
        them decides, and for one that may have waited for a slot.
        """
        choice, figures = attempt.choice, context.service.engine
        if figures is None or not choice.predicted_ms or choice.helpers:
            return None
        if attempt.slot_wait_seconds:
            return None
        work = self._chooser.work(attempt.endpoint, now=self._clock.seconds())
        pass_ms = figures.pass_ms(streams=work.requests, context_tokens=work.kv_tokens)
        others = max(0.0, work.prefill_ms - choice.placed.part_ms)
        at_most = choice.predicted_ms + others + pass_ms + FIRST_TOKEN_MARGIN_MS
        # The prompts that were counted before this one may have been over already.
        return choice.predicted_ms - choice.backlog_ms, at_most


def _pass_bounds(work: EndpointWork, figures: EngineFigures) -> tuple[float, float]:
    """Return the time of a pass and of the prefill that may lengthen it, in ms."""
    pass_ms = figures.pass_ms(streams=work.requests, context_tokens=work.kv_tokens)
    if not work.prefill_ms:
        return pass_ms, 0.0
    return pass_ms, min(work.prefill_ms, figures.pass_prefill_ms)
