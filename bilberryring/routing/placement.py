"""Policies that choose the endpoint of a prompt.

Entries use `LengthAware`; the other policies are baselines for measurements.

>>> from bilberryring.routing import EndpointLoad, PromptShape
>>> placement = Placement(policy=LengthAware(), seed=1)
>>> loads = [EndpointLoad(endpoint="busy", backlog_tokens=(9000, 0, 0, 0)),
...          EndpointLoad(endpoint="idle")]
>>> shape = PromptShape(prompt_tokens=1000, max_tokens=100)
>>> placement.choose(shape, loads).endpoint
'idle'
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from bilberryring.routing.endpoint_load import EndpointLoad, PromptShape

LONGER_PROMPT_PENALTY_SECONDS = 0.2
"""Seconds added to the estimate for an engine with longer prompts in prefill."""
SAMPLED_ENDPOINTS = 16
"""Endpoints that `LengthAware` compares; from more it draws this many at random."""


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Choose each endpoint in turn."""


@dataclass(frozen=True, slots=True)
class FewestOutstanding:
    """Choose the endpoint with the fewest requests in progress."""


@dataclass(frozen=True, slots=True)
class FewestTokens:
    """Choose the endpoint with the fewest prompt tokens waiting for prefill."""


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """Choose the one with fewer requests in progress out of two random endpoints."""


@dataclass(frozen=True, slots=True)
class LengthAware:
    """Choose the earliest estimated first token, and avoid engines with longer prompts.

    An engine that prefills longer prompts gets a penalty on its estimate.
    """


Policy = RoundRobin | FewestOutstanding | FewestTokens | TwoChoices | LengthAware


class Placement:
    """Chooses endpoints by one policy; the same seed gives the same choices."""

    def __init__(self, *, policy: Policy, seed: int | None = None):
        self._policy = policy
        self._random = random.Random(seed)
        self._round_robin_count = 0

    def choose(
        self, shape: PromptShape, loads: Sequence[EndpointLoad]
    ) -> EndpointLoad | None:
        """Return the endpoint for a prompt, or `None` when none would accept it."""
        accepting = [load for load in loads if load.can_accept(shape)]
        if not accepting:
            return None
        match self._policy:
            case RoundRobin():
                self._round_robin_count += 1
                return accepting[self._round_robin_count % len(accepting)]
            case FewestOutstanding():
                return self._choose_cheapest(accepting, lambda load: load.outstanding)
            case FewestTokens():
                return self._choose_cheapest(
                    accepting, lambda load: load.waiting_tokens
                )
            case TwoChoices():
                pair = self._random.sample(accepting, min(2, len(accepting)))
                return min(pair, key=lambda load: load.outstanding)
            case LengthAware():
                return self._choose_by_length(shape, accepting)

    def _choose_cheapest(self, loads: Sequence[EndpointLoad], cost) -> EndpointLoad:
        """Return the load of the lowest cost; ties are broken at random."""
        costs = [cost(load) for load in loads]
        lowest = min(costs)
        best = [
            load for load, value in zip(loads, costs, strict=True) if value == lowest
        ]
        return self._random.choice(best)

    def _choose_by_length(
        self, shape: PromptShape, loads: Sequence[EndpointLoad]
    ) -> EndpointLoad:
        if len(loads) > SAMPLED_ENDPOINTS:
            loads = self._random.sample(loads, SAMPLED_ENDPOINTS)
        return self._choose_cheapest(
            loads, lambda load: first_token_seconds(shape, load)
        )


def first_token_seconds(shape: PromptShape, load: EndpointLoad) -> float:
    """Return the estimated time to the first token at an endpoint, in seconds.

    An engine with longer prompts in prefill gets a penalty.
    """
    length = shape.length_class
    uncached = max(1, shape.prompt_tokens - load.cached_tokens)
    seconds = (load.tokens_ahead(length) + uncached) / load.prefill_rate
    if load.tokens_behind(length):
        seconds += LONGER_PROMPT_PENALTY_SECONDS
    return seconds + load.round_trip_seconds
