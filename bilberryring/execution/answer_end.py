"""What the end of an endpoint's answer proves: complete, broken off, or neither.

Every relay of answers decides by `proof_of_end`, so that a caller never gets an answer
framed as complete that is not known to be.

>>> end = AnswerEnd(
...     framing=Framing.CONNECTION, close=Close.CLEAN, place=Place.AFTER_EVENT
... )
>>> proof_of_end(end)
<Proof.UNKNOWN: 'unknown'>
>>> from dataclasses import replace
>>> proof_of_end(replace(end, place=Place.INSIDE_EVENT))
<Proof.BROKEN_OFF: 'broken_off'>
>>> proof_of_end(replace(end, framing=Framing.CHUNKS, close=Close.AT_END))
<Proof.COMPLETE: 'complete'>
"""

from dataclasses import dataclass
from enum import Enum


class Framing(Enum):
    """What marks the end of an answer's body (RFC 9112, section 6.3)."""

    LENGTH = "length"
    """Its length in bytes; also for an answer that has no body."""
    CHUNKS = "chunks"
    """The last chunk."""
    CONNECTION = "connection"
    """Nothing but the end of the connection."""


class Close(Enum):
    """What ended the answer."""

    AT_END = "at_end"
    """The length or the last chunk: the connection may stay open."""
    CLEAN = "clean"
    """The endpoint closed the connection, as it also does when its process exits."""
    RESET = "reset"
    """The connection was reset or timed out."""


class Place(Enum):
    """Where in the body the answer ended."""

    IN_BODY = "in_body"
    """In a body that is no stream of events: its bytes tell nothing."""
    BEFORE_EVENTS = "before_events"
    """Before the first event of a stream."""
    INSIDE_EVENT = "inside_event"
    AFTER_EVENT = "after_event"
    """After a whole event, which may or may not be the last one."""


class Proof(Enum):
    """What the end of an answer proves."""

    COMPLETE = "complete"
    BROKEN_OFF = "broken_off"
    UNKNOWN = "unknown"
    """A complete answer and one that is broken off can both end like this."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerEnd:
    """How an answer ended.

    `is_resumed` is true for a stream that continues after an event which the caller
    already has, so that nothing may be left to send.
    """

    framing: Framing
    close: Close
    place: Place
    is_resumed: bool = False


def proof_of_end(end: AnswerEnd) -> Proof:
    """Return what the end of an answer proves."""
    match end:
        case AnswerEnd(place=Place.INSIDE_EVENT) | AnswerEnd(close=Close.RESET):
            return Proof.BROKEN_OFF
        case AnswerEnd(close=Close.AT_END):
            return Proof.COMPLETE
        case AnswerEnd(framing=Framing.LENGTH | Framing.CHUNKS):
            return Proof.BROKEN_OFF
        case AnswerEnd(place=Place.BEFORE_EVENTS, is_resumed=False):
            return Proof.BROKEN_OFF
        case _:
            return Proof.UNKNOWN
