"""Admission control for the prompts of one endpoint."""

from bilberryring.admission.allowance import (
    COLD_TOKENS_PER_SLOT,
    ColdAllowance,
    fits_cold_allowance,
)
from bilberryring.admission.endpoint_statements import (
    EndpointStatements,
    StatedStanding,
    Statement,
    StatementKind,
)
from bilberryring.admission.fair_queue import FairQueue
from bilberryring.admission.length_class import (
    LENGTH_CLASSES,
    LONG_TOKENS,
    MEDIUM_TOKENS,
    SHORT_TOKENS,
    LengthClass,
    length_class_of,
)
from bilberryring.admission.memory import SHORT_RESERVE_SHARE, KvMemory
from bilberryring.admission.planned_stop import PlannedStop, StopStep
from bilberryring.admission.prompt_admission import (
    INITIAL_PREFILL_RATE,
    MAX_QUEUED_PROMPTS,
    MEMORY_HOLD_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    OVERDUE_FACTOR,
    OVERDUE_SECONDS,
    RATE_SMOOTHING,
    STARTED_TOKENS_LIMIT,
    VERY_LONG_PREFILL_SHARE,
    AdmissionLoad,
    EndpointLimits,
    PromptAdmission,
    PromptRefusal,
    Queued,
)
from bilberryring.admission.span import (
    SPAN_SHARE,
    Span,
    SpanCandidate,
    choose_span,
    span_shares,
)
from bilberryring.admission.start_rate import StartRate, share_of_rate
from bilberryring.admission.stated_limits import StatedLimits, UserPlace
from bilberryring.admission.stated_rests import MAX_REST_SECONDS, StatedRests
from bilberryring.admission.work import PRIORITIES_PER_CLASS, PromptWork, WorkKey

__all__ = [
    "StartRate",
    "EndpointStatements",
    "MAX_REST_SECONDS",
    "StatedLimits",
    "StatedRests",
    "StatedStanding",
    "Statement",
    "StatementKind",
    "UserPlace",
    "share_of_rate",
    "AdmissionLoad",
    "COLD_TOKENS_PER_SLOT",
    "ColdAllowance",
    "EndpointLimits",
    "FairQueue",
    "INITIAL_PREFILL_RATE",
    "KvMemory",
    "LENGTH_CLASSES",
    "LONG_TOKENS",
    "LengthClass",
    "MAX_QUEUED_PROMPTS",
    "MEDIUM_TOKENS",
    "MEMORY_HOLD_SECONDS",
    "MIN_RETRY_AFTER_SECONDS",
    "OVERDUE_FACTOR",
    "OVERDUE_SECONDS",
    "PRIORITIES_PER_CLASS",
    "PlannedStop",
    "StopStep",
    "VERY_LONG_PREFILL_SHARE",
    "PromptAdmission",
    "PromptRefusal",
    "PromptWork",
    "Queued",
    "RATE_SMOOTHING",
    "SHORT_RESERVE_SHARE",
    "SHORT_TOKENS",
    "SPAN_SHARE",
    "STARTED_TOKENS_LIMIT",
    "Span",
    "SpanCandidate",
    "WorkKey",
    "choose_span",
    "fits_cold_allowance",
    "length_class_of",
    "span_shares",
]
