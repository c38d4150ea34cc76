"""The learned number of requests up to which an endpoint keeps its speed."""

import math

from bilberryring.capacity import ConcurrencyLimit

KNEE = 4


def play_knee(limit, *, rounds, start=0.0):
    """Let the load of an endpoint that is slow beyond `KNEE` go up and down."""
    now = start
    for _ in range(rounds):
        for requests in (3, 5, 6, 4):
            ratio = 1.0 if requests <= KNEE else 2.5
            limit.observe(requests=requests, low=ratio, high=ratio, now=now)
            now += 0.25
    return now


def test_limit_of_an_endpoint_that_slows_down_with_load():
    """Guards against work beyond the load that an endpoint can bear."""
    limit = ConcurrencyLimit()
    now = play_knee(limit, rounds=4)
    assert limit.value(now=now) == KNEE


def test_slow_time_is_no_limit():
    """Guards against an endpoint that gets little work after a slow time has ended."""
    limit = ConcurrencyLimit()
    for start in (0.0, 20.0):
        for number, requests in enumerate((3, 5, 4, 3, 2, 3)):
            is_slow = 1 <= number <= 4
            ratio = 8.0 if is_slow else 1.0
            limit.observe(requests=requests, low=ratio, high=ratio, now=start + number)
    assert math.isinf(limit.value(now=30.0))


def test_one_coincidence_is_no_limit():
    """Guards against a limit because the load fell as a slow time ended."""
    limit = ConcurrencyLimit()
    for number, (requests, ratio) in enumerate(
        ((3, 1.0), (5, 8.0), (3, 1.0), (2, 1.0))
    ):
        limit.observe(requests=requests, low=ratio, high=ratio, now=number)
    assert math.isinf(limit.value(now=4.0))


def test_limit_is_raised_slowly_and_forgotten():
    """Guards against a limit that outlives its cause."""
    limit = ConcurrencyLimit()
    now = play_knee(limit, rounds=4)
    assert limit.value(now=now + 2.0) == KNEE
    assert limit.value(now=now + 11.0) == KNEE + 2
    assert math.isinf(limit.value(now=now + 61.0))


def test_endpoint_that_bears_more_shows_it():
    """Guards against a limit that holds although the endpoint is fast beyond it."""
    limit = ConcurrencyLimit()
    now = play_knee(limit, rounds=4)
    limit.observe(requests=7, low=1.0, high=1.0, now=now)
    assert limit.value(now=now) == 7
