"""Selection of the endpoints that get a request, from estimates of their load."""

from bilberryring.routing.endpoint_load import (
    NO_BACKLOG,
    EndpointLoad,
    PromptShape,
    drained_backlog,
)
from bilberryring.routing.endpoint_work import (
    NO_WORK,
    DecodeGroup,
    EndpointWork,
    PlacedRequest,
    PrefillStream,
    WorkTracker,
)
from bilberryring.routing.engine_figures import EngineFigures
from bilberryring.routing.patience import patience_ms
from bilberryring.routing.placement import (
    LONGER_PROMPT_PENALTY_SECONDS,
    SAMPLED_ENDPOINTS,
    FewestOutstanding,
    FewestTokens,
    LengthAware,
    Placement,
    Policy,
    RoundRobin,
    TwoChoices,
    first_token_seconds,
)
from bilberryring.routing.prompt_plan import PromptPlan, plan_prompt
from bilberryring.routing.prompt_planner import PromptPlanner
from bilberryring.routing.read_cost import Candidate, PromptDemand
from bilberryring.routing.ring import (
    SLICE_SIZE,
    Ring,
    cover,
    hash_order,
    neighbours,
    slice_size,
)
from bilberryring.routing.silence import (
    SilenceCause,
    busy_seconds,
    cause_of_silence,
    silent_from,
    slot_wait_seconds,
)
from bilberryring.routing.span_plan import needs_span, plan_span

__all__ = [
    "Ring",
    "SLICE_SIZE",
    "cover",
    "hash_order",
    "neighbours",
    "slice_size",
    "SilenceCause",
    "busy_seconds",
    "cause_of_silence",
    "silent_from",
    "slot_wait_seconds",
    "needs_span",
    "patience_ms",
    "plan_span",
    "Candidate",
    "EndpointWork",
    "EngineFigures",
    "NO_WORK",
    "PlacedRequest",
    "PromptDemand",
    "PromptPlan",
    "PromptPlanner",
    "PrefillStream",
    "WorkTracker",
    "DecodeGroup",
    "plan_prompt",
    "EndpointLoad",
    "FewestOutstanding",
    "FewestTokens",
    "LONGER_PROMPT_PENALTY_SECONDS",
    "LengthAware",
    "NO_BACKLOG",
    "Placement",
    "Policy",
    "PromptShape",
    "RoundRobin",
    "SAMPLED_ENDPOINTS",
    "TwoChoices",
    "drained_backlog",
    "first_token_seconds",
]
