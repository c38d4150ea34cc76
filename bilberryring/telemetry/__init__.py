"""Numbered log events and metrics."""

from bilberryring.telemetry.event_log import EventLog
from bilberryring.telemetry.events import LogEvent
from bilberryring.telemetry.histograms import (
    FIRST_TOKEN_BOUNDS,
    OTHER_LABEL,
    SERIES_PER_SLICE,
    TOKEN_GAP_BOUNDS,
    LabelledHistograms,
    Metrics,
)

__all__ = [
    "EventLog",
    "FIRST_TOKEN_BOUNDS",
    "LabelledHistograms",
    "LogEvent",
    "Metrics",
    "OTHER_LABEL",
    "SERIES_PER_SLICE",
    "TOKEN_GAP_BOUNDS",
]
