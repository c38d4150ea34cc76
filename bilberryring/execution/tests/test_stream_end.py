"""What several attempts at one stream tell of its end."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bilberryring.execution import (
    AnswerEnd,
    Close,
    EndpointFate,
    Framing,
    KnownEnd,
    Place,
    StreamEnd,
)

N_EVENTS = 4
CALLERS_END = (StreamEnd.PRESUMED, StreamEnd.COMPLETE)
"""Ends with which a caller gets the mark of the end."""


def unmarked(place, *, close=Close.CLEAN, is_resumed=False):
    return AnswerEnd(
        framing=Framing.CONNECTION, close=close, place=place, is_resumed=is_resumed
    )


ENDED = unmarked(Place.AFTER_EVENT)
NOTHING_MORE = unmarked(Place.BEFORE_EVENTS, is_resumed=True)
RUNS, LEFT, UNREACHED, CRASHED = EndpointFate
BROKEN = unmarked(Place.AFTER_EVENT, close=Close.RESET)
BROKEN_INSIDE = unmarked(Place.INSIDE_EVENT)


def known_after(*steps):
    """Return what is known after ends, each with what became of its endpoint.

    `None` stands for an event.
    """
    known = KnownEnd()
    for step in steps:
        if step is None:
            known = known.after_event()
        else:
            end, fate = step
            known = known.after_end(end, endpoint=fate)
    return known.end


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        ((None, (ENDED, RUNS)), StreamEnd.PRESUMED),
        ((None, (ENDED, CRASHED)), StreamEnd.OPEN),
        ((None, (ENDED, RUNS), (NOTHING_MORE, RUNS)), StreamEnd.COMPLETE),
        ((None, (ENDED, RUNS), (NOTHING_MORE, CRASHED)), StreamEnd.PRESUMED),
        ((None, (ENDED, RUNS), (BROKEN_INSIDE, RUNS)), StreamEnd.OPEN),
        ((None, (ENDED, RUNS), None, (ENDED, RUNS)), StreamEnd.UNKNOWN),
        ((None, (BROKEN, CRASHED), None, (ENDED, RUNS)), StreamEnd.UNKNOWN),
        ((None, (BROKEN, CRASHED), (NOTHING_MORE, RUNS)), StreamEnd.UNKNOWN),
        (
            (None, (BROKEN, CRASHED), None, (ENDED, RUNS), (NOTHING_MORE, RUNS)),
            StreamEnd.COMPLETE,
        ),
        ((None, (ENDED, LEFT)), StreamEnd.UNKNOWN),
        ((None, (ENDED, LEFT), (NOTHING_MORE, RUNS)), StreamEnd.COMPLETE),
        ((None, (ENDED, RUNS), (NOTHING_MORE, LEFT)), StreamEnd.PRESUMED),
        ((None, (ENDED, UNREACHED)), StreamEnd.UNKNOWN),
        ((None, (ENDED, UNREACHED), (NOTHING_MORE, RUNS)), StreamEnd.COMPLETE),
        ((None, (ENDED, UNREACHED), (NOTHING_MORE, UNREACHED)), StreamEnd.UNKNOWN),
        ((None, (BROKEN, CRASHED), (ENDED, UNREACHED)), StreamEnd.UNKNOWN),
        (((NOTHING_MORE, RUNS),), StreamEnd.UNKNOWN),
        (((NOTHING_MORE, RUNS), (NOTHING_MORE, RUNS)), StreamEnd.COMPLETE),
    ],
)
def test_an_end_without_a_mark_is_believed_as_far_as_the_attempts_allow(
    steps, expected
):
    assert known_after(*steps) is expected


class Attempts:
    """Attempts at a stream of `N_EVENTS` events, each of which goes on where it was."""

    def __init__(self):
        self.known = KnownEnd()
        self.n_sent = 0

    def send(self, n_events, close, fate):
        """Send at most so many of the events that are left, and end."""
        is_resumed = self.n_sent > 0
        n_events = min(n_events, N_EVENTS - self.n_sent)
        for _ in range(n_events):
            self.known = self.known.after_event()
        self.n_sent += n_events
        place = Place.AFTER_EVENT if n_events else Place.BEFORE_EVENTS
        end = unmarked(place, close=close, is_resumed=is_resumed)
        self.known = self.known.after_end(end, endpoint=fate)


broken_attempts = st.lists(
    st.tuples(
        st.integers(min_value=0, max_value=N_EVENTS),
        st.sampled_from(
            [
                (Close.RESET, RUNS),
                (Close.CLEAN, CRASHED),
                (Close.CLEAN, LEFT),
                (Close.CLEAN, UNREACHED),
            ]
        ),
    ),
    max_size=4,
)


@given(broken=broken_attempts)
def test_a_stream_of_resets_and_crashes_is_not_marked_before_its_last_event(broken):
    attempts = Attempts()
    for n_events, (close, fate) in broken:
        attempts.send(n_events, close, fate)
        assert attempts.known.end not in CALLERS_END
    attempts.send(N_EVENTS, Close.CLEAN, RUNS)
    attempts.send(N_EVENTS, Close.CLEAN, RUNS)
    assert attempts.known.end in CALLERS_END
    assert attempts.n_sent == N_EVENTS


@given(n_events=st.integers(min_value=1, max_value=N_EVENTS - 1))
def test_an_endpoint_that_another_one_refutes_is_not_believed(n_events):
    attempts = Attempts()
    attempts.send(n_events, Close.CLEAN, RUNS)
    attempts.send(1, Close.CLEAN, RUNS)
    assert attempts.known.end not in CALLERS_END


@given(broken=broken_attempts)
def test_a_whole_stream_of_a_sound_endpoint_is_marked_whatever_follows(broken):
    attempts = Attempts()
    attempts.send(N_EVENTS, Close.CLEAN, RUNS)
    for n_events, (close, fate) in broken:
        attempts.send(n_events, close, fate)
    assert attempts.known.end in CALLERS_END
