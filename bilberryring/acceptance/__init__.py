"""Which published set a process has in force, and when it accepts a later one."""

from bilberryring.acceptance.accepted_sets import (
    MAX_REFUSALS,
    AcceptedSets,
    RefusalReason,
    RefusedSet,
    SetInForce,
)
from bilberryring.acceptance.judgement import Candidate, Verdict, evaluate_candidate
from bilberryring.acceptance.published_keys import (
    MAX_NUMBERS,
    PublishedKey,
    PublishedKeys,
)
from bilberryring.acceptance.readers import (
    READERS_PER_DOMAIN,
    SAFETY_READ_SECONDS,
    SILENCE_SECONDS,
    UNLINKED_SECONDS,
    WATCH_SECONDS,
    readers_of_domain,
    rendezvous_weight,
)

__all__ = [
    "AcceptedSets",
    "Candidate",
    "MAX_NUMBERS",
    "MAX_REFUSALS",
    "PublishedKey",
    "PublishedKeys",
    "READERS_PER_DOMAIN",
    "RefusalReason",
    "RefusedSet",
    "SAFETY_READ_SECONDS",
    "SILENCE_SECONDS",
    "SetInForce",
    "UNLINKED_SECONDS",
    "Verdict",
    "WATCH_SECONDS",
    "evaluate_candidate",
    "readers_of_domain",
    "rendezvous_weight",
]
