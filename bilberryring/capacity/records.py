"""What one gateway knows of the speed of one endpoint, and how it is told."""

import functools
import math
from dataclasses import dataclass, field

from bilberryring.capacity.concurrency import ConcurrencyLimit
from bilberryring.capacity.speed import SpeedEstimate, freshness

OWN_WEIGHT = 2.0
"""Weight of a gateway's own samples beside those of one neighbour."""
PEER_EXPIRY_SECONDS = 2.5
"""Seconds after which a neighbour's estimate is dropped. It reports all that it still
takes samples of every two seconds."""
STEP_LOGS = tuple(math.log(step) for step in (1.5, 2.5, 5.0))
"""Slowdowns at which a change is logged."""
STEP_MARGIN = math.log(1.2)
"""How far below a step an estimate must fall before that is logged."""
RUN_TAGS = 1 << 14
"""Number of tags that tell runs of an endpoint apart in reports, in two bytes."""
CACHED_TAGS = 8_192


@dataclass(frozen=True, slots=True, kw_only=True)
class Speed:
    """How much slower an endpoint is than the others of its service.

    `step` is for token steps and whole responses, `prefill` for prompts; both are 1 for
    an endpoint that is like the others. `limit` is the number of requests in progress
    up to which it keeps its speed, infinite if no limit is known.
    """

    step: float = 1.0
    prefill: float = 1.0
    limit: float = math.inf


USUAL_SPEED = Speed()
SpeedTable = dict[str, Speed]
NO_SPEEDS: SpeedTable = {}


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportedSpeed:
    """One gateway's own estimate of an endpoint's run, as it is reported to others."""

    endpoint: str
    run_tag: int
    slowdown: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SpeedChange:
    """A change of an endpoint's estimate for operators.

    `step` is the number of thresholds of `STEP_LOGS` that the slowdown has passed, and
    `limit` the learned concurrency, `None` if it has none.
    """

    endpoint: str
    slowdown: float
    was_step: int
    step: int
    limit: int | None


@dataclass(slots=True, kw_only=True, eq=False)
class SpeedRecord:
    """What is known of one run of an endpoint."""

    tag: int
    has_samples: bool = False
    step: SpeedEstimate = field(default_factory=SpeedEstimate)
    prefill: SpeedEstimate = field(default_factory=SpeedEstimate)
    limit: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    peers: dict[str, tuple[float, float]] = field(default_factory=dict)
    probe_at: float = 0.0
    reported: float = 0.0
    shown_step: int = 0
    shown_limit: int | None = None

    def log(self, now: float) -> float:
        """Return the logarithm of the slowdown by all gateways' samples.

        The weight of each gateway's estimate falls with its age, and all estimates
        together return to 0 when the latest one is old.
        """
        if not self.peers:
            return self.step.log(now=now)
        age = now - self.step.sampled_at
        latest = freshness(age)
        weights = OWN_WEIGHT * latest
        total = self.step.log(now=now) * OWN_WEIGHT
        for log, at in self.peers.values():
            if now - at <= PEER_EXPIRY_SECONDS:
                weight = freshness(now - at)
                latest = max(latest, weight)
                weights += weight
                total += weight * log
        return total / weights * latest if weights else 0.0


@functools.lru_cache(maxsize=CACHED_TAGS)
def run_tag(run: str) -> int:
    """Return a number below `RUN_TAGS` that tells the runs of an endpoint apart."""
    started_at = run.rpartition("/")[2]
    return int(started_at) % RUN_TAGS if started_at.isdecimal() else 0


def passed_steps(log: float, shown: int) -> int:
    """Return the steps that a slowdown has passed, with a margin below those shown."""
    passed = sum(log >= step for step in STEP_LOGS)
    if passed < shown and log >= STEP_LOGS[shown - 1] - STEP_MARGIN:
        return shown
    return passed
