"""Prompts that end engines."""

from bilberryring.quarantine.suspicions import (
    DEATHS_UNTIL_QUARANTINE,
    MAX_SUSPECTS,
    QUARANTINE_SECONDS,
    SUSPECT_SECONDS,
    PromptStanding,
    Suspicions,
)

__all__ = [
    "DEATHS_UNTIL_QUARANTINE",
    "MAX_SUSPECTS",
    "PromptStanding",
    "QUARANTINE_SECONDS",
    "SUSPECT_SECONDS",
    "Suspicions",
]
