"""Estimates of the speed of one endpoint from its samples."""

import math

from hypothesis import given
from hypothesis import strategies as st

from bilberryring.capacity import Interval, PaceWindow, SpeedEstimate, UsualTimes
from bilberryring.capacity.speed import MAX_LOG

SLOW = Interval(low=3.0, high=3.0)
FINE = Interval(low=1.0, high=1.0)


def slowdown(estimate, *, now):
    return math.exp(estimate.log(now=now))


def follow(estimate, sample, *, start, count, seconds=0.25):
    for number in range(count):
        estimate.observe(sample, now=start + number * seconds)
    return start + (count - 1) * seconds


def test_capacity_is_lowered_quickly_and_raised_slowly():
    """Guards against an endpoint that gets work back by a single fast response."""
    estimate = SpeedEstimate()
    now = follow(estimate, SLOW, start=0.0, count=3)
    assert slowdown(estimate, now=now) > 2.7
    now = follow(estimate, FINE, start=now + 0.25, count=2)
    assert slowdown(estimate, now=now) > 1.7


def test_recovery_is_learned_within_seconds():
    """Guards against an endpoint that stays without work after it has recovered."""
    estimate = SpeedEstimate()
    now = follow(estimate, Interval(low=8.0, high=8.0), start=0.0, count=10)
    now = follow(estimate, FINE, start=now + 0.25, count=8)
    assert slowdown(estimate, now=now) < 1.35


def test_estimate_without_samples_decays():
    """Guards against a verdict that nothing can change, as no request goes there."""
    estimate = SpeedEstimate()
    now = follow(estimate, SLOW, start=0.0, count=6)
    assert slowdown(estimate, now=now + 0.5) > 2.9
    assert slowdown(estimate, now=now + 12.0) < 1.1


def test_sample_in_doubt_changes_nothing_between_its_bounds():
    """Guards against loaded endpoints that are taken for slow, and slow for sound."""
    doubtful = Interval(low=0.9, high=4.0)
    sound, slow = SpeedEstimate(), SpeedEstimate()
    now = follow(slow, SLOW, start=0.0, count=8)
    follow(slow, doubtful, start=now, count=8, seconds=0.1)
    follow(sound, doubtful, start=0.0, count=8)
    assert slowdown(sound, now=2.0) == 1.0
    assert slowdown(slow, now=now + 0.7) > 2.9


@given(
    st.lists(
        st.tuples(st.floats(0.0, 1e9), st.floats(0.0, 1e9), st.floats(0.0, 100.0)),
        max_size=30,
    )
)
def test_any_samples_leave_the_estimate_bounded(samples):
    """Guards against figures that overflow or bind an endpoint to one sample."""
    estimate, now = SpeedEstimate(), 0.0
    for first, second, seconds in samples:
        now += seconds
        low, high = sorted((first, second))
        estimate.observe(Interval(low=low, high=high), now=now)
        assert -MAX_LOG <= estimate.log(now=now) <= MAX_LOG
    assert abs(estimate.log(now=now + 60.0)) < 0.01


def test_a_lost_packet_or_one_long_pass_is_not_the_pace():
    """Guards against a single gap that makes an endpoint count as slow."""
    window = PaceWindow(now=0.0)
    gaps = [0.05, 0.05, 0.25, 0.0, 0.0, 0.05]
    now, found = 0.0, []
    for gap in gaps:
        now += gap
        usual = window.add(now=now)
        if usual is not None:
            found.append(usual[0])
            window.restart(now=now)
    assert found and max(found) < 0.06


def test_pace_of_a_slow_stream_is_known_after_two_gaps():
    """Guards against a window of so many events that a slow time is over before."""
    window = PaceWindow(now=0.0)
    assert window.add(now=0.4) is None
    assert window.add(now=0.8) == (0.4, 0.4)


def test_events_that_arrive_together_are_no_fast_pace():
    """Guards against an endpoint that draws work as its packets are lost."""
    window = PaceWindow(now=0.0)
    assert window.add(now=0.3) is None
    shortest, longest = window.add(now=0.3)
    assert shortest == 0.0 and longest > 0.1


def test_usual_time_is_that_for_the_load():
    """Guards against endpoints that count as slow because they are busy."""
    times = UsualTimes()
    for _ in range(100):
        times.observe(0.03, requests=1, slots=8)
        busy = times.observe(0.12, requests=7, slots=8)
    assert 0.9 < busy.low <= busy.high < 1.1
    assert times.observe(0.12, requests=1, slots=8).low > 2.7


def test_differences_of_a_few_milliseconds_are_no_difference_of_speed():
    """Guards against sound endpoints of a fast service that lose their share."""
    times = UsualTimes()
    for _ in range(100):
        times.observe(0.001, requests=1, slots=8)
    assert times.observe(0.005, requests=1, slots=8).high < 1.35
