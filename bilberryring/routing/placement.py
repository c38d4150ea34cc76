"""Where an entry sends a prompt.

The policies besides `LengthAware` are baselines that measurements compare.

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

LONG_NEIGHBOUR_SECONDS = 0.2
"""What avoiding an engine with longer prompts in prefill is worth."""
SAMPLED_ENDPOINTS = 16


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Each endpoint in turn."""


@dataclass(frozen=True, slots=True)
class FewestOutstanding:
    """The endpoint with the fewest requests."""


@dataclass(frozen=True, slots=True)
class FewestTokens:
    """The endpoint with the fewest prompt tokens before it."""


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """The better of two random endpoints, by requests."""


@dataclass(frozen=True, slots=True)
class LengthAware:
    """The earliest estimated first token, apart from longer prompts."""


Policy = RoundRobin | FewestOutstanding | FewestTokens | TwoChoices | LengthAware


class Placement:
    """Chooses endpoints by one policy; the same seed gives the same choices."""

    def __init__(self, *, policy: Policy, seed: int | None = None):
        self._policy = policy
        self._random = random.Random(seed)
        self._turn = 0

    def choose(
        self, shape: PromptShape, loads: Sequence[EndpointLoad]
    ) -> EndpointLoad | None:
        """Return the endpoint for a prompt, or `None` when none would take it."""
        fitting = [load for load in loads if load.may_bear(shape)]
        if not fitting:
            return None
        match self._policy:
            case RoundRobin():
                self._turn += 1
                return fitting[self._turn % len(fitting)]
            case FewestOutstanding():
                return self._least(fitting, lambda load: load.outstanding)
            case FewestTokens():
                return self._least(fitting, lambda load: load.all_tokens)
            case TwoChoices():
                pair = self._random.sample(fitting, min(2, len(fitting)))
                return min(pair, key=lambda load: load.outstanding)
            case LengthAware():
                return self._choose_by_length(shape, fitting)

    def _least(self, loads: Sequence[EndpointLoad], cost) -> EndpointLoad:
        """Return the least costly load; equal ones are drawn at random."""
        costs = [cost(load) for load in loads]
        least = min(costs)
        best = [
            load for load, value in zip(loads, costs, strict=True) if value == least
        ]
        return self._random.choice(best)

    def _choose_by_length(
        self, shape: PromptShape, loads: Sequence[EndpointLoad]
    ) -> EndpointLoad:
        if len(loads) > SAMPLED_ENDPOINTS:
            loads = self._random.sample(loads, SAMPLED_ENDPOINTS)
        return self._least(loads, lambda load: first_token_seconds(shape, load))


def first_token_seconds(shape: PromptShape, load: EndpointLoad) -> float:
    """Return the estimated time to the first token at an endpoint."""
    length = shape.length_class
    own = max(1, shape.prompt_tokens - load.cached_tokens)
    wait = (load.tokens_ahead(length) + own) / load.prefill_rate
    if load.tokens_behind(length):
        wait += LONG_NEIGHBOUR_SECONDS
    return wait + load.distance_seconds
