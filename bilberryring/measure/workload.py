"""Prompts of very unlike lengths, the same for the same seed."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

SHORTEST = 1_000
LONG = 100_000
LONGEST = 1_000_000
LONG_SHARE = 0.02
OUTPUT_TOKENS = 200
WORKSPACES = 10


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """A prompt and when it comes, in seconds."""

    at: float
    workspace: str
    prompt_tokens: int
    max_tokens: int
    rank: int


def log_uniform(chooser: random.Random, low: float, high: float) -> int:
    """Return a length whose logarithm is spread evenly."""
    return int(math.exp(chooser.uniform(math.log(low), math.log(high))))


def prompt_length(chooser: random.Random) -> int:
    """Return a length: 1 in 50 above 100 k tokens."""
    if chooser.random() < LONG_SHARE:
        return log_uniform(chooser, LONG, LONGEST)
    return log_uniform(chooser, SHORTEST, LONG)


def mean_length() -> float:
    """Return the mean of `prompt_length`, in tokens."""
    return (1 - LONG_SHARE) * _log_uniform_mean(SHORTEST, LONG) + (
        LONG_SHARE * _log_uniform_mean(LONG, LONGEST)
    )


def arrivals(*, seed: int, rate: float, seconds: float) -> Iterator[Arrival]:
    """Yield prompts that come at random, `rate` a second on average."""
    chooser = random.Random(seed)
    now = 0.0
    while True:
        now += chooser.expovariate(rate)
        if now >= seconds:
            return
        yield Arrival(
            at=now,
            workspace=f"workspace-{int(chooser.paretovariate(1.2)) % WORKSPACES}",
            prompt_tokens=prompt_length(chooser),
            max_tokens=OUTPUT_TOKENS,
            rank=chooser.choice((0, 1, 2)),
        )


def _log_uniform_mean(low: float, high: float) -> float:
    return (high - low) / math.log(high / low)
