"""What the ends of several attempts at one stream tell together.

A connection that ends in order, which is without a reset, may end by a crash. Another
endpoint, which goes on after the last event, can tell; without its word such an end
counts if the endpoint still runs.

>>> from bilberryring.execution.answer_end import Close, Framing, Place
>>> end = AnswerEnd(
...     framing=Framing.CONNECTION, close=Close.CLEAN, place=Place.AFTER_EVENT
... )
>>> known = KnownEnd().after_end(end, endpoint=EndpointFate.RUNS)
>>> known.end
<StreamEnd.PRESUMED: 'presumed'>
>>> nothing_more = replace(end, place=Place.BEFORE_EVENTS, is_resumed=True)
>>> known.after_end(nothing_more, endpoint=EndpointFate.RUNS).end
<StreamEnd.COMPLETE: 'complete'>
>>> known.after_event()
KnownEnd(end=<StreamEnd.OPEN: 'open'>, has_broken_off=True)
"""

from dataclasses import dataclass, replace
from enum import Enum

from bilberryring.execution.answer_end import AnswerEnd, Place, Proof, proof_of_end


class EndpointFate(Enum):
    """What became of an endpoint that has ended an answer in order."""

    RUNS = "runs"
    """It accepts connections, and is not announced as another run."""
    LEFT = "left"
    """It leaves, and may have exited, after its last answer or in the middle of it."""
    TIMED_OUT = "timed_out"
    """It may have stopped work at the deadline that it was given."""
    UNREACHABLE = "unreachable"
    """Whether it runs cannot be told."""
    CRASHED = "crashed"
    """It refuses connections, or is announced as another run."""


class StreamEnd(Enum):
    """What is known of the end of a stream whose events the caller has."""

    OPEN = "open"
    """More events are to come, as far as is known."""
    UNKNOWN = "unknown"
    """It may be complete, but there is a reason to doubt it."""
    PRESUMED = "presumed"
    """It is complete unless another endpoint has more events."""
    COMPLETE = "complete"


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownEnd:
    """What the attempts at a stream have told of its end so far.

    `has_broken_off` is true once an endpoint that had sent a part of the stream has
    ended before it did.
    """

    end: StreamEnd = StreamEnd.OPEN
    has_broken_off: bool = False

    def after_event(self) -> "KnownEnd":
        """Return what is known after an event that follows the last one."""
        if self.end is StreamEnd.OPEN:
            return self
        return KnownEnd(has_broken_off=True)

    def after_end(self, end: AnswerEnd, *, endpoint: EndpointFate) -> "KnownEnd":
        """Return what is known after an attempt with this end at this endpoint."""
        match proof_of_end(end), endpoint:
            case Proof.COMPLETE, _:
                return replace(self, end=StreamEnd.COMPLETE)
            case Proof.UNKNOWN, EndpointFate.RUNS:
                return replace(self, end=self._end_after_unknown(end.place))
            case Proof.UNKNOWN, (
                EndpointFate.LEFT | EndpointFate.TIMED_OUT | EndpointFate.UNREACHABLE
            ):
                is_first = self.end is StreamEnd.OPEN
                if is_first and end.place is Place.AFTER_EVENT:
                    return replace(self, end=StreamEnd.UNKNOWN)
                return self
        match end.place:
            case Place.BEFORE_EVENTS:
                # The stream has nothing of this endpoint.
                return self
            case Place.INSIDE_EVENT:
                return KnownEnd(has_broken_off=True)
        return replace(self, has_broken_off=True)

    def _end_after_unknown(self, place: Place) -> StreamEnd:
        if place is Place.BEFORE_EVENTS:
            # Two endpoints agree that nothing follows the last event.
            is_confirmed = self.end is not StreamEnd.OPEN
            return StreamEnd.COMPLETE if is_confirmed else StreamEnd.UNKNOWN
        return StreamEnd.UNKNOWN if self.has_broken_off else StreamEnd.PRESUMED
