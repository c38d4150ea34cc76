"""The table of endings: what each of them proves."""

import itertools

import pytest

from bilberryring.execution import AnswerEnd, Close, Framing, Place, Proof, proof_of_end

MARKED = (Framing.LENGTH, Framing.CHUNKS)
ENDS = [
    AnswerEnd(framing=framing, close=close, place=place, is_resumed=is_resumed)
    for framing, close, place, is_resumed in itertools.product(
        Framing, Close, Place, (False, True)
    )
]
UNKNOWN = {
    (Place.IN_BODY, False),
    (Place.IN_BODY, True),
    (Place.BEFORE_EVENTS, True),
    (Place.AFTER_EVENT, False),
    (Place.AFTER_EVENT, True),
}
"""Places and attempts at which a clean close may be the end of an unmarked answer."""


def expected_proof(end):
    if end.place is Place.INSIDE_EVENT or end.close is Close.RESET:
        return Proof.BROKEN_OFF
    if end.close is Close.AT_END:
        return Proof.COMPLETE
    is_unknown = (end.place, end.is_resumed) in UNKNOWN
    is_unmarked = end.framing not in MARKED
    return Proof.UNKNOWN if is_unmarked and is_unknown else Proof.BROKEN_OFF


@pytest.mark.parametrize("end", ENDS, ids=str)
def test_an_ending_proves_no_more_than_it_can(end):
    assert proof_of_end(end) is expected_proof(end)


@pytest.mark.parametrize("end", ENDS, ids=str)
def test_only_an_end_mark_after_whole_events_proves_that_an_answer_is_complete(end):
    if proof_of_end(end) is Proof.COMPLETE:
        assert end.close is Close.AT_END
        assert end.place is not Place.INSIDE_EVENT
