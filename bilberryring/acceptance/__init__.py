"""Which published set is in force, and how a process moves forward."""

from bilberryring.acceptance.accepted_sets import (
    REFUSALS_KEPT,
    AcceptedSets,
    RefusalReason,
    RefusedSet,
    SetInForce,
)
from bilberryring.acceptance.judgement import Candidate, Verdict, judge
from bilberryring.acceptance.published_keys import (
    NUMBERS_KEPT,
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
    "NUMBERS_KEPT",
    "PublishedKey",
    "PublishedKeys",
    "READERS_PER_DOMAIN",
    "REFUSALS_KEPT",
    "RefusalReason",
    "RefusedSet",
    "SAFETY_READ_SECONDS",
    "SILENCE_SECONDS",
    "SetInForce",
    "UNLINKED_SECONDS",
    "Verdict",
    "WATCH_SECONDS",
    "judge",
    "readers_of_domain",
    "rendezvous_weight",
]
