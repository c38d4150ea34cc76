"""Event streams that arrive in arbitrary chunks."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryring.execution import Place
from bilberryring.gateway.event_stream import EventStream

EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 9))


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
