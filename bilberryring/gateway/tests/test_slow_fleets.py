"""Short streams of many gateways from engines of which some are slow for a while.

All of it is simulated on a paused clock: the gateways forward and report as running
ones do. The shares are those of requests sent to the slow engines.
"""

from dataclasses import replace
from functools import cache

import pytest

from bilberryring.testing.slow_fleet import (
    FIFTH,
    KNEE,
    THIRD,
    Slowdown,
    play_slow,
)

SIZES = ((3, 18), (25, 50), (68, 102))
RATE = 2.0
EQUAL = Slowdown(share=0.2, factor=1.0, seconds=5.0)


@cache
def play(gateways, endpoints, slowdown, *, learns=True, rate=RATE):
    return play_slow(
        gateways=gateways,
        endpoints=endpoints,
        slowdown=slowdown,
        learns=learns,
        rate=rate,
    )


def mean(shares):
    return sum(shares) / len(shares)


@pytest.mark.parametrize(("gateways", "endpoints"), SIZES)
def test_third_of_the_engines_is_three_times_slower(gateways, endpoints):
    """Guards against slow engines that keep their share of the work."""
    slowdown = replace(THIRD, seconds=5.0)
    result = play(gateways, endpoints, slowdown)
    without = play(gateways, endpoints, slowdown, learns=False)
    assert mean(result.sends_by_second[1:5]) < 0.13
    assert result.on_time > without.on_time + 0.05


@pytest.mark.parametrize(("gateways", "endpoints"), SIZES)
def test_fifth_of_the_engines_is_eight_times_slower(gateways, endpoints):
    """Guards against work on very slow engines, and against idle ones afterwards."""
    slowdown = replace(FIFTH, seconds=5.0)
    result = play(gateways, endpoints, slowdown)
    without = play(gateways, endpoints, slowdown, learns=False)
    assert mean(result.sends_by_second[1:5]) < 0.06
    assert result.on_time > without.on_time
    # Recovered at second 5: a fifth of the engines gets its work again.
    assert mean(result.sends_by_second[8:11]) > 0.1


def test_engines_that_are_slow_beyond_half_of_their_slots():
    """Guards against loads at which some of the engines lose their speed."""
    result = play(3, 18, KNEE)
    without = play(3, 18, KNEE, learns=False)
    assert result.on_time > without.on_time + 0.03


def test_equal_engines_are_chosen_as_without_the_feature():
    """Guards against choices that follow the noise of estimates."""
    result = play(3, 18, EQUAL)
    without = play(3, 18, EQUAL, learns=False)
    assert abs(result.on_time - without.on_time) < 0.01
    assert abs(mean(result.sends_by_second) - mean(without.sends_by_second)) < 0.04
