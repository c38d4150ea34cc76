"""The moments of a planned stop; times are in seconds on the reactor's clock.

>>> stop = PlannedStop(signalled_at=100.0, grace=8.0)
>>> stop.refuses_at, round(stop.ends_at, 1), round(stop.exits_at, 1)
(103.0, 107.3, 107.6)
>>> round(stop.releases_until, 2)
107.86
"""

from dataclasses import dataclass
from enum import Enum

BALANCER_EXIT_SECONDS = 3.0
"""Seconds after a stop signal for which new requests are still served. The load
balancer checks readiness once a second and needs two failed checks to stop sending
requests."""
PREDICTION_SECONDS = 2.5
"""Seconds after a stop signal for which streams are sent that are only predicted to end
in time. A stream sent 3 s after the signal must not be cut, and the signal may be
handled late."""
LISTENER_EXIT_SECONDS = 0.5
"""Seconds before the end of a stop from which no caller is accepted."""
MAX_END_MARGIN_SECONDS = 0.7
"""Seconds before the platform kills the process at which each request in progress is
answered."""
MAX_END_MARGIN_SHARE = 1 / 8
"""Largest share of the grace that this margin may take."""
ANSWER_SECONDS = 0.2
"""Seconds before the end of a stop until which endpoints may answer. An answer is
awaited for a moment after its deadline."""
FLUSH_SHARE = 0.5
"""Largest share of the margin for which callers may take to read the last answers."""
RELEASE_SHARE = 0.8
"""Largest share of the margin for which engines may take to answer releases of memory.
The process needs the rest to exit."""


class StopStep(Enum):
    """The steps of a stop in their order; one without anything to wait for is short."""

    REFUSING = "refusing"
    """New requests are no longer served."""
    NOT_LISTENING = "not_listening"
    """No caller is accepted any more."""
    ENDING = "ending"
    """What is still in progress is answered now."""
    FLUSHING = "flushing"
    """Callers may still read the last answers."""
    EXITING = "exiting"


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedStop:
    """A stop signal, after which the platform kills the process within `grace`."""

    signalled_at: float
    grace: float

    @property
    def refuses_at(self) -> float:
        """When new requests are no longer served."""
        return min(self.signalled_at + BALANCER_EXIT_SECONDS, self.listens_until)

    @property
    def relies_until(self) -> float:
        """Until when streams are sent that are only predicted to end in time."""
        return min(self.signalled_at + PREDICTION_SECONDS, self.refuses_at)

    @property
    def listens_until(self) -> float:
        """When no new connection is accepted any more."""
        return max(self.signalled_at, self.ends_at - LISTENER_EXIT_SECONDS)

    @property
    def answers_by(self) -> float:
        """The latest deadline of requests that are sent during the stop."""
        return self.ends_at - ANSWER_SECONDS

    @property
    def ends_at(self) -> float:
        """When each request in progress gets its last answer."""
        return self.signalled_at + self.grace - self._end_margin

    @property
    def exits_at(self) -> float:
        """When the process exits, whether callers have read their answers or not.

        It stays until `releases_until` if engines have not answered all releases.
        """
        return self.ends_at + FLUSH_SHARE * self._end_margin

    @property
    def releases_until(self) -> float:
        """Until when answers of engines to releases of memory are awaited."""
        return self.ends_at + RELEASE_SHARE * self._end_margin

    @property
    def _end_margin(self) -> float:
        return min(MAX_END_MARGIN_SECONDS, MAX_END_MARGIN_SHARE * self.grace)
