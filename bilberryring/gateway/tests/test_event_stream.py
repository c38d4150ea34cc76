"""Event streams that arrive in arbitrary chunks."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryring.execution import Place
from bilberryring.gateway.event_stream import EventStream

EVENT_LIST = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 9)]
EVENTS = b"".join(EVENT_LIST)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(cuts=st.lists(st.integers(0, len(EVENTS)), max_size=12), end=st.integers(0, 8))
def test_only_complete_events_are_passed_on_for_any_chunks(cuts, end):
    length = len(b"".join(EVENTS.split(b"\n\n")[0:end])) + 2 * end
    stream = EVENTS[:length] + b"id: 99\ndat"
    positions = sorted({0, len(stream), *(cut for cut in cuts if cut <= len(stream))})
    events = EventStream(last_id="0")
    passed = b"".join(
        events.feed(stream[first:last])
        for first, last in zip(positions, positions[1:], strict=False)
    )
    assert passed == EVENTS[:length]
    assert events.last_id == str(end)
    assert events.place is Place.INSIDE_EVENT


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    line_end=st.sampled_from([b"\n", b"\r\n", b"\r"]),
    cuts=st.lists(st.integers(0, 100), max_size=12),
    partial=st.sampled_from([b"", b"id: 4", b"data: x\n"]),
)
def test_events_end_with_any_line_ends(line_end, cuts, partial):
    whole = b"".join(event.replace(b"\n", line_end) for event in EVENT_LIST[:3])
    stream = whole + partial.replace(b"\n", line_end)
    positions = sorted({0, len(stream), *(cut for cut in cuts if cut <= len(stream))})
    events = EventStream()
    passed = b"".join(
        events.feed(stream[first:last])
        for first, last in zip(positions, positions[1:], strict=False)
    )
    assert passed + events.take_partial() == stream
    assert passed.rstrip(b"\r\n") == whole.rstrip(b"\r\n")
    assert events.last_id == "3"


@pytest.mark.parametrize(
    ("rest", "place"),
    [
        (b"\n", Place.AFTER_EVENT),
        (b"\r\n", Place.AFTER_EVENT),
        (b": waiting\n", Place.AFTER_EVENT),
        (b": waiting\nid", Place.INSIDE_EVENT),
        (b"retry: 5\n", Place.INSIDE_EVENT),
    ],
)
def test_blank_lines_and_comments_after_an_event_are_no_part_of_another(rest, place):
    events = EventStream()
    events.feed(EVENT_LIST[0] + rest)
    assert events.place is place
