"""Prompts that end engines."""

from bilberryring.quarantine.suspicions import (
    DEATHS_UNTIL_QUARANTINE,
    MAX_SUSPECTS,
    MAX_VOIDED,
    QUARANTINE_SECONDS,
    SUSPECT_SECONDS,
    PromptStanding,
    Suspicions,
)

__all__ = [
    "DEATHS_UNTIL_QUARANTINE",
    "MAX_SUSPECTS",
    "MAX_VOIDED",
    "PromptStanding",
    "QUARANTINE_SECONDS",
    "SUSPECT_SECONDS",
    "Suspicions",
]
