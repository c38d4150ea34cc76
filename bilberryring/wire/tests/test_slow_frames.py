"""Frames that are not complete in time, and frames in pieces of any size."""

import pytest

from bilberryring.entry.tests.test_sidecar_links import LinksHarness
from bilberryring.objects import ObjectSet
from bilberryring.sidecar.tests.test_link_messages import SidecarHarness
from bilberryring.wire import MAX_STRING_BYTES, Beat, encode_message

FRAME_SECONDS = 60.0
"""Seconds within which a frame has to be complete."""


class EntryHarness:
    """An entry's link to a sidecar."""

    def __init__(self):
        self._harness = LinksHarness()
        self.reactor = self._harness.reactor
        self.link = self._harness.connect("127.0.0.1:9")


HARNESSES = {
    "of a sidecar": lambda: SidecarHarness(ObjectSet()),
    "of an entry": EntryHarness,
}


@pytest.fixture(params=HARNESSES)
def harness(request):
    return HARNESSES[request.param]()


def frame():
    content = encode_message(Beat(sender_clock=10**15))
    return len(content).to_bytes(4, "big") + content


def is_closed(harness):
    return harness.link.transport.disconnecting


def let_pass(harness, seconds):
    """Let time pass as a reactor does, in turns."""
    for _ in range(round(seconds)):
        harness.reactor.advance(1.0)
    harness.reactor.advance(0)


def trickle(harness, seconds):
    for _ in range(round(seconds)):
        if not is_closed(harness):
            harness.link.dataReceived(b"x")
        harness.reactor.advance(1.0)
    harness.reactor.advance(0)


@pytest.mark.parametrize("begun", [1, 4, 4_000])
def test_a_frame_that_is_not_complete_in_time_ends_its_link(harness, begun):
    data = MAX_STRING_BYTES.to_bytes(4, "big") + b"x" * 5_000
    harness.link.dataReceived(data[:begun])
    let_pass(harness, FRAME_SECONDS - 1)
    assert not is_closed(harness)
    let_pass(harness, 2)
    assert is_closed(harness)


def test_bytes_that_come_now_and_then_give_a_frame_no_more_time(harness):
    harness.link.dataReceived(MAX_STRING_BYTES.to_bytes(4, "big"))
    trickle(harness, FRAME_SECONDS + 1)
    assert is_closed(harness)


def test_a_link_on_which_each_frame_is_in_time_stays_open(harness):
    data = frame()
    harness.link.dataReceived(data[:3])
    for _ in range(5):
        let_pass(harness, FRAME_SECONDS / 2)
        harness.link.dataReceived(data[3:] + data[:3])
    harness.link.dataReceived(data[3:])
    let_pass(harness, 2 * FRAME_SECONDS)
    assert not is_closed(harness)


def test_a_frame_that_was_completed_while_the_process_was_busy_counts(harness):
    """It is read after the timers of the same turn of the reactor."""
    data = frame()
    harness.link.dataReceived(data[:3])
    harness.reactor.callLater(
        FRAME_SECONDS, lambda: harness.link.dataReceived(data[3:])
    )
    harness.reactor.advance(FRAME_SECONDS)
    harness.reactor.advance(0)
    assert not is_closed(harness)


@pytest.mark.parametrize("size", [1, 3, 5, 1_000])
def test_frames_in_pieces_are_all_received(harness, size):
    data = frame() * 20
    n_before = harness.link.bytes_received
    for start in range(0, len(data), size):
        harness.link.dataReceived(data[start : start + size])
    assert harness.link.bytes_received - n_before == len(data)
    assert not is_closed(harness)


def test_nothing_is_read_after_a_malformed_frame(harness):
    n_before = harness.link.bytes_received
    malformed = (3).to_bytes(4, "big") + b"\xff\xff\xff"
    harness.link.dataReceived(malformed + frame())
    assert is_closed(harness)
    assert harness.link.bytes_received - n_before == len(malformed)
