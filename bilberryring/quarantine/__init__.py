"""Quarantine for prompts, and parts of prompts, that crash engines."""

from bilberryring.quarantine.crash_memory import CrashMemory
from bilberryring.quarantine.part_evidence import CrashedPrompt
from bilberryring.quarantine.parts import (
    PartAction,
    PartDecision,
    PartQuarantine,
    PartStanding,
)
from bilberryring.quarantine.suspect_turns import (
    MAX_QUESTIONS,
    SUSPECT_TURN_SECONDS,
    SuspectQuestion,
    SuspectState,
    SuspectTurns,
)
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
    "CrashMemory",
    "CrashedPrompt",
    "MAX_QUESTIONS",
    "MAX_SUSPECTS",
    "MAX_CLEARED",
    "PartAction",
    "PartDecision",
    "PartQuarantine",
    "PartStanding",
    "PromptStanding",
    "QUARANTINE_SECONDS",
    "SUSPECT_SECONDS",
    "SUSPECT_TURN_SECONDS",
    "SuspectQuestion",
    "SuspectState",
    "SuspectTurns",
    "SuspectTracker",
]
