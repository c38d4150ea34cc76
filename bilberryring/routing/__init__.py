"""Where an entry sends a request."""

from bilberryring.routing.endpoint_load import NO_BACKLOG, EndpointLoad, PromptShape
from bilberryring.routing.placement import (
    LONG_NEIGHBOUR_SECONDS,
    SAMPLED_ENDPOINTS,
    SPILL_FACTOR,
    SPILL_SECONDS,
    FewestOutstanding,
    FewestTokens,
    LengthAware,
    Placement,
    Policy,
    RoundRobin,
    TwoChoices,
    first_token_seconds,
    long_wait_seconds,
)
from bilberryring.routing.subset import MIN_PER_DOMAIN, Endpoint, tracked_endpoints

__all__ = [
    "Endpoint",
    "EndpointLoad",
    "FewestOutstanding",
    "FewestTokens",
    "LONG_NEIGHBOUR_SECONDS",
    "LengthAware",
    "MIN_PER_DOMAIN",
    "NO_BACKLOG",
    "Placement",
    "Policy",
    "PromptShape",
    "RoundRobin",
    "SAMPLED_ENDPOINTS",
    "SPILL_FACTOR",
    "SPILL_SECONDS",
    "TwoChoices",
    "first_token_seconds",
    "long_wait_seconds",
    "tracked_endpoints",
]
