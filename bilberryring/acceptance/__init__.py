"""Which published set a process has in force, and when it accepts a later one."""

from bilberryring.acceptance.accepted_sets import (
    MAX_REFUSALS,
    AcceptedSets,
    RefusalReason,
    RefusedSet,
    SetInForce,
)
from bilberryring.acceptance.evaluation import Candidate, Verdict, evaluate_candidate
from bilberryring.acceptance.published_keys import (
    MAX_NUMBERS,
    PublishedKey,
    PublishedKeys,
)
from bilberryring.acceptance.readers import (
    MAX_PEER_SILENCE_SECONDS,
    MAX_READ_INTERVAL_SECONDS,
    MAX_UNLINKED_SILENCE_SECONDS,
    READERS_PER_DOMAIN,
    WATCH_TIMEOUT_SECONDS,
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
    "MAX_READ_INTERVAL_SECONDS",
    "MAX_PEER_SILENCE_SECONDS",
    "SetInForce",
    "MAX_UNLINKED_SILENCE_SECONDS",
    "Verdict",
    "WATCH_TIMEOUT_SECONDS",
    "evaluate_candidate",
    "readers_of_domain",
    "rendezvous_weight",
]
