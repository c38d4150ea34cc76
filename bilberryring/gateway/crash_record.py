"""Requests that were running when an endpoint crashed, here and at peer gateways.

A closed connection alone does not count as a crash, because responses are also lost
on the network. It counts only if the endpoint does not accept a new connection.
"""

from collections import deque

import xxhash

from bilberryring.core import Fingerprint
from bilberryring.gateway.messages import CallerRequest
from bilberryring.gateway.peer_view import EndpointDeath
from bilberryring.quarantine import PromptStanding, SuspectTracker

DEATHS_UNTIL_QUARANTINE = 3
"""Number of endpoint crashes after which a request that was running at each of them is
quarantined. It follows from the operators' limit on retries of such a request."""
DEATH_REPORT_SECONDS = 3.0
"""Seconds for which a crash is included in the reports to peers."""
MAX_REPORTED_DEATHS = 64
"""Maximum number of crashes in one report."""

MAX_KNOWN_DEATHS = 256
"""Maximum number of crashes that are remembered, so that each is passed on once."""


class CrashRecord:
    """Tracks which requests were running when endpoints crashed, by fingerprint."""

    def __init__(self, *, clock):
        self._clock = clock
        self._suspects = SuspectTracker(
            crashes_until_quarantine=DEATHS_UNTIL_QUARANTINE
        )
        self._reported: deque[tuple[float, EndpointDeath]] = deque(
            maxlen=MAX_REPORTED_DEATHS
        )
        self._known: deque[EndpointDeath] = deque(maxlen=MAX_KNOWN_DEATHS)

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Whether a request must not be sent to an endpoint for now."""
        standing = self._suspects.standing(fingerprint, now=self._clock.seconds())
        return standing is PromptStanding.QUARANTINED

    def crash_count(self, fingerprint: Fingerprint) -> int:
        """Return how many known crashes happened while the request was running."""
        return self._suspects.crash_count(fingerprint)

    def quarantined(self) -> tuple[Fingerprint, ...]:
        """Return the fingerprints of all requests in quarantine."""
        return self._suspects.quarantined(now=self._clock.seconds())

    def record(self, death: EndpointDeath) -> None:
        """Record a crash that this gateway observed and include it in reports."""
        self.add_deaths((death,))

    def add_deaths(self, deaths: tuple[EndpointDeath, ...]) -> None:
        """Record crashes, and include in the reports those that are new here.

        So a crash reaches also gateways that this one's peers do not report to.
        """
        now = self._clock.seconds()
        for death in deaths:
            if death not in self._known:
                self._known.append(death)
                self._reported.append((now, death))
            self._suspects.record_crash(death.death, list(death.fingerprints), now=now)

    def clear(self, fingerprint: Fingerprint) -> None:
        """Clear a request of suspicion after it got a complete response."""
        self._suspects.clear(fingerprint)

    def recent_deaths(self) -> tuple[EndpointDeath, ...]:
        """Return the crashes to include in the next report to peers."""
        oldest = self._clock.seconds() - DEATH_REPORT_SECONDS
        return tuple(death for at, death in self._reported if at > oldest)


def fingerprint_of(request: CallerRequest, key: str | None) -> Fingerprint:
    """Return a hash of the request, the same whenever a caller repeats the request.

    `key` is the caller's API key, so that requests of different callers differ.
    """
    digest = xxhash.xxh3_128()
    for part in (request.method, request.target, (key or "").encode(), request.body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return Fingerprint(digest.hexdigest())
