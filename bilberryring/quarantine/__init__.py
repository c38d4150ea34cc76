"""Quarantine for prompts that crash engines."""

from bilberryring.quarantine.suspicions import (
    CRASHES_UNTIL_QUARANTINE,
    MAX_CLEARED,
    MAX_SUSPECTS,
    QUARANTINE_SECONDS,
    SUSPECT_SECONDS,
    PromptStanding,
    SuspectTracker,
)

__all__ = [
    "CRASHES_UNTIL_QUARANTINE",
    "MAX_SUSPECTS",
    "MAX_CLEARED",
    "PromptStanding",
    "QUARANTINE_SECONDS",
    "SUSPECT_SECONDS",
    "SuspectTracker",
]
