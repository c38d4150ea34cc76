"""Which requests are sent to an endpoint during a planned stop, and for how long.

A request is sent if its deadline passes before the stop ends, or if it may be repeated
and is predicted to end by then. It is refused otherwise: that costs its caller a retry
at another gateway, and the end of the stop would cost it the whole answer.
"""

import math

from bilberryring.admission import PlannedStop
from bilberryring.fleet import MS_PER_SECOND, RequestKind, Route, Service
from bilberryring.gateway.endpoint_choice import Choice
from bilberryring.gateway.messages import CallerMetadata

OBJECTIVE_FACTOR = 2.0
"""Multiple of a route's objective in which a response other than a stream is expected
to end."""


def deadline_in_stop(
    stop: PlannedStop,
    *,
    deadline: float,
    route: Route,
    now: float,
    predicted_seconds: float,
    has_begun: bool = False,
) -> float | None:
    """Return the deadline with which a request is sent, `None` if it must not be.

    `deadline` is the caller's or the route's, and `predicted_seconds` the predicted
    duration of the response. With `has_begun` the caller has a part of the stream.
    Times are on the clock of `stop`, in seconds.
    """
    if deadline <= stop.answers_by:
        return deadline
    if not route.may_repeat or now + predicted_seconds > stop.answers_by:
        return None
    # The end of a stop cuts a stream; other responses are replaced by an error. One of
    # which the caller has a part is cut in any case if it is not sent.
    is_new_stream = route.kind is RequestKind.STREAMING and not has_begun
    if is_new_stream and now >= stop.relies_until:
        return None
    return stop.answers_by


def predicted_seconds(
    *,
    route: Route,
    service: Service,
    metadata: CallerMetadata,
    choice: Choice,
    has_begun: bool,
) -> float:
    """Return the predicted duration of a response at the chosen endpoint, in seconds.

    It is infinite for a stream of unknown length. With `has_begun` the caller has a
    part of the stream, and only the time until the next event counts.
    """
    first = choice.predicted_ms / MS_PER_SECOND
    if has_begun:
        return first
    if route.kind is not RequestKind.STREAMING:
        return max(first, OBJECTIVE_FACTOR * route.first_answer_objective)
    if service.engine is None or not metadata.max_tokens:
        return math.inf
    rest_ms = service.engine.answer_ms(
        tokens=metadata.max_tokens, prompt_tokens=metadata.prompt_tokens
    )
    return first + rest_ms / MS_PER_SECOND
