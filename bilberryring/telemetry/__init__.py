"""Structured log events with numbers, bounded log output, and metrics."""

from bilberryring.telemetry.bounded_output import BoundedOutput, standard_output
from bilberryring.telemetry.event_log import EventLog
from bilberryring.telemetry.events import LogEvent
from bilberryring.telemetry.histograms import (
    FIRST_TOKEN_BUCKETS,
    OTHER_LABEL,
    SERIES_PER_SLICE,
    TOKEN_GAP_BUCKETS,
    LabelledHistogram,
    Metrics,
)
from bilberryring.telemetry.request_endings import RequestEndings, read_endings

__all__ = [
    "BoundedOutput",
    "EventLog",
    "FIRST_TOKEN_BUCKETS",
    "LabelledHistogram",
    "LogEvent",
    "Metrics",
    "OTHER_LABEL",
    "RequestEndings",
    "SERIES_PER_SLICE",
    "TOKEN_GAP_BUCKETS",
    "read_endings",
    "standard_output",
]
