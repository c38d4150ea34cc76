"""What several attempts at one stream tell of its end."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bilberryring.execution import (
    AnswerEnd,
    Close,
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
BROKEN = unmarked(Place.AFTER_EVENT, close=Close.RESET)
BROKEN_INSIDE = unmarked(Place.INSIDE_EVENT)


def known_after(*steps):
    """Return what is known after ends, each with whether its endpoint still runs.

    `None` stands for an event.
    """
    known = KnownEnd()
    for step in steps:
        if step is None:
            known = known.after_event()
        else:
            end, is_running = step
            known = known.after_end(end, is_endpoint_running=is_running)
    return known.end


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        ((None, (ENDED, True)), StreamEnd.PRESUMED),
        ((None, (ENDED, False)), StreamEnd.OPEN),
        ((None, (ENDED, True), (NOTHING_MORE, True)), StreamEnd.COMPLETE),
        ((None, (ENDED, True), (NOTHING_MORE, False)), StreamEnd.PRESUMED),
        ((None, (ENDED, True), (BROKEN_INSIDE, True)), StreamEnd.OPEN),
        ((None, (ENDED, True), None, (ENDED, True)), StreamEnd.UNKNOWN),
        ((None, (BROKEN, False), None, (ENDED, True)), StreamEnd.UNKNOWN),
        ((None, (BROKEN, False), (NOTHING_MORE, True)), StreamEnd.UNKNOWN),
        (
            (None, (BROKEN, False), None, (ENDED, True), (NOTHING_MORE, True)),
            StreamEnd.COMPLETE,
        ),
        (((NOTHING_MORE, True),), StreamEnd.UNKNOWN),
        (((NOTHING_MORE, True), (NOTHING_MORE, True)), StreamEnd.COMPLETE),
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

    def send(self, n_events, close, *, is_running):
        """Send at most so many of the events that are left, and end."""
        is_resumed = self.n_sent > 0
        n_events = min(n_events, N_EVENTS - self.n_sent)
        for _ in range(n_events):
            self.known = self.known.after_event()
        self.n_sent += n_events
        place = Place.AFTER_EVENT if n_events else Place.BEFORE_EVENTS
        end = unmarked(place, close=close, is_resumed=is_resumed)
        self.known = self.known.after_end(end, is_endpoint_running=is_running)


broken_attempts = st.lists(
    st.tuples(
        st.integers(min_value=0, max_value=N_EVENTS),
        st.sampled_from([(Close.RESET, True), (Close.CLEAN, False)]),
    ),
    max_size=4,
)


@given(broken=broken_attempts)
def test_a_stream_of_resets_and_crashes_is_not_marked_before_its_last_event(broken):
    attempts = Attempts()
    for n_events, (close, is_running) in broken:
        attempts.send(n_events, close, is_running=is_running)
        assert attempts.known.end not in CALLERS_END
    attempts.send(N_EVENTS, Close.CLEAN, is_running=True)
    attempts.send(N_EVENTS, Close.CLEAN, is_running=True)
    assert attempts.known.end in CALLERS_END
    assert attempts.n_sent == N_EVENTS


@given(n_events=st.integers(min_value=1, max_value=N_EVENTS - 1))
def test_an_endpoint_that_another_one_refutes_is_not_believed(n_events):
    attempts = Attempts()
    attempts.send(n_events, Close.CLEAN, is_running=True)
    attempts.send(1, Close.CLEAN, is_running=True)
    assert attempts.known.end not in CALLERS_END


@given(broken=broken_attempts)
def test_a_whole_stream_of_a_sound_endpoint_is_marked_whatever_follows(broken):
    attempts = Attempts()
    attempts.send(N_EVENTS, Close.CLEAN, is_running=True)
    for n_events, (close, is_running) in broken:
        attempts.send(n_events, close, is_running=is_running)
    assert attempts.known.end in CALLERS_END
