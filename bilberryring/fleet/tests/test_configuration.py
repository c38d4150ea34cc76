"""What the objectives of a route say of its callers."""

import math
from dataclasses import replace

import pytest

from bilberryring.fleet import RequestKind
from bilberryring.testing.silent_fleet import make_chat_route


@pytest.mark.parametrize(
    ("first", "gap", "seconds"),
    [(0.3, 0.25, 2.0), (0.6, 0.25, 2.4), (0.3, 0.6, 4.8), (3.0, None, 12.0)],
)
def test_a_caller_waits_for_the_longest_of_three_times(first, gap, seconds):
    route = replace(make_chat_route(), first_answer_objective=first, gap_objective=gap)
    assert route.patience_seconds == pytest.approx(seconds)


def test_only_callers_of_streams_leave_after_a_gap():
    route = replace(make_chat_route(), kind=RequestKind.IDEMPOTENT)
    assert route.patience_seconds == math.inf
