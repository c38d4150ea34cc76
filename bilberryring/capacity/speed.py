"""How fast one endpoint is, compared with a prediction, from samples of its responses.

An estimate is kept as a logarithm: an endpoint that is three times slower is as far
from 0 as one that is three times faster. It follows samples that show a slower endpoint
quickly and those that show a faster one slowly, and without samples it returns to 0.
"""

import math
from dataclasses import dataclass

RISE = 0.6
"""Share of the distance to a sample by which a slower one moves an estimate."""
FALL = 0.25
"""The same for a faster sample. A stream gives about four samples a second, so that an
estimate of 8 falls below 1.35 in about two seconds."""
NOISY_RISE = 0.3
NOISY_FALL = 0.15
"""The same for samples of plain services, whose response times differ by request."""
MAX_LOG = math.log(16.0)
"""Largest distance of a sample and of an estimate from the prediction."""
FRESH_SECONDS = 1.0
"""Seconds after a sample in which the estimate does not change without another one."""
HALF_LIFE_SECONDS = 3.0
"""Seconds in which an estimate without samples then loses half of its distance, and
its weight beside other gateways' estimates halves."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Interval:
    """The bounds of a sample, as multiples of the predicted time.

    The bounds differ if the prediction leaves open what else the endpoint had to do:
    the sample then says nothing about a speed in between.

    >>> Interval.of(observed=0.5, at_least=0.125, at_most=0.25)
    Interval(low=2.0, high=4.0)
    """

    low: float
    high: float

    @classmethod
    def of(cls, *, observed: float, at_least: float, at_most: float) -> "Interval":
        """Return the sample of a time whose prediction lies between two others."""
        return cls(low=observed / at_most, high=observed / at_least)


class SpeedEstimate:
    """The slowdown of one endpoint; times are in seconds.

    >>> estimate = SpeedEstimate()
    >>> for number in range(4):
    ...     estimate.observe(Interval(low=3.0, high=3.0), now=0.2 * number)
    >>> round(math.exp(estimate.log(now=0.6)), 1)
    2.9
    >>> round(math.exp(estimate.log(now=12.0)), 1)
    1.1
    """

    __slots__ = ("_log", "_sampled_at")

    def __init__(self):
        self._log = 0.0
        self._sampled_at = -math.inf

    @property
    def sampled_at(self) -> float:
        """The time of the last sample."""
        return self._sampled_at

    def observe(
        self, sample: Interval, *, now: float, rise: float = RISE, fall: float = FALL
    ) -> None:
        """Follow a sample by a share of the distance to it."""
        log = self.log(now=now)
        low, high = clamped_log(sample.low), clamped_log(sample.high)
        if log < low:
            log += rise * (low - log)
        elif log > high:
            log += fall * (high - log)
        self._log = log
        self._sampled_at = now

    def raise_to(self, low: float, *, now: float) -> None:
        """Follow a bound below which the slowdown is not, as no response has come."""
        if self.log(now=now) < clamped_log(low):
            self.observe(Interval(low=low, high=math.inf), now=now)

    def log(self, *, now: float) -> float:
        """Return the logarithm of the slowdown."""
        return self._log * freshness(now - self._sampled_at) if self._log else 0.0


def freshness(age: float) -> float:
    """Return what remains of an estimate some seconds after its last sample.

    >>> freshness(0.5), freshness(4.0)
    (1.0, 0.5)
    """
    if age <= FRESH_SECONDS:
        return 1.0
    return 0.5 ** ((age - FRESH_SECONDS) / HALF_LIFE_SECONDS)


def clamped_log(ratio: float) -> float:
    """Return the logarithm of a slowdown, at most `MAX_LOG` from 0."""
    if ratio <= 0.0:
        return -MAX_LOG
    return min(MAX_LOG, max(-MAX_LOG, math.log(ratio)))
