"""The moments of a planned stop."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bilberryring.admission import PlannedStop

GRACES = st.floats(min_value=0.0, max_value=60.0)


@given(grace=GRACES)
def test_the_moments_of_a_stop_follow_each_other(grace):
    stop = PlannedStop(signalled_at=50.0, grace=grace)
    moments = [
        stop.signalled_at,
        stop.relies_until,
        stop.refuses_at,
        stop.listens_until,
        stop.ends_at,
        stop.exits_at,
        stop.releases_until,
        stop.signalled_at + grace,
    ]
    assert moments == sorted(moments)


@given(grace=GRACES)
def test_requests_are_ended_in_the_last_sixth_of_the_grace(grace):
    stop = PlannedStop(signalled_at=0.0, grace=grace)
    assert stop.ends_at >= grace * 5 / 6


@pytest.mark.parametrize("grace", [6.0, 8.0])
def test_a_load_balancer_that_checks_each_second_notices_before_requests_are_refused(
    grace,
):
    stop = PlannedStop(signalled_at=0.0, grace=grace)
    assert stop.refuses_at > 2.0
