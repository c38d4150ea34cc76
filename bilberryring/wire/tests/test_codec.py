"""Tests that frames decode to what was encoded, and that others raise `FrameError`."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryring.wire import (
    Beat,
    Envelope,
    FrameError,
    TokenBatch,
    Tokens,
    decode_envelope,
    encode_envelope,
)

tokens = st.builds(
    Tokens,
    attempt=st.integers(0, 2**40),
    first_index=st.integers(0, 2**30),
    texts=st.lists(st.text(max_size=8), max_size=5),
)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(tokens, max_size=5))
def test_token_batches_decode_to_what_was_encoded(items):
    envelope = Envelope(token_batch=TokenBatch(items=items))
    assert decode_envelope(encode_envelope(envelope)) == envelope


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=60))
def test_random_bytes_raise_no_other_error_than_frame_error(frame):
    try:
        decode_envelope(frame)
    except FrameError as error:
        assert "Remedy" in str(error)


def test_a_truncated_frame_raises_frame_error():
    frame = encode_envelope(Envelope(beat=Beat(sender_clock=2**40)))
    with pytest.raises(FrameError):
        decode_envelope(frame[:-2])


def test_a_beat_takes_at_most_12_bytes():
    assert len(encode_envelope(Envelope(beat=Beat(sender_clock=10**12)))) <= 12
