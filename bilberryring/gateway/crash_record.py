"""Requests that ran when an endpoint ended, at this entry and its peers.

A broken connection alone is no crash: answers are lost on the way too. So a break
counts only once the endpoint refuses a new connection.
"""

from collections import deque

import xxhash

from bilberryring.core import Fingerprint
from bilberryring.gateway.messages import CallerRequest
from bilberryring.gateway.peer_view import EndpointDeath
from bilberryring.quarantine import PromptStanding, Suspicions

DEATHS_UNTIL_REFUSED = 3
"""Endpoints that one request may end. Source: the operators' bound on repeats of
such a request."""
TOLD_SECONDS = 3.0
"""Seconds for which a death is in the reports to peers."""
MAX_TOLD = 64
"""Deaths in one report."""


class CrashRecord:
    """Fingerprints of requests by the endpoints that they may have ended."""

    def __init__(self, *, clock):
        self._clock = clock
        self._suspicions = Suspicions(deaths_until_quarantine=DEATHS_UNTIL_REFUSED)
        self._told: deque[tuple[float, EndpointDeath]] = deque(maxlen=MAX_TOLD)

    def is_refused(self, fingerprint: Fingerprint) -> bool:
        """Whether a request must not run again for now."""
        standing = self._suspicions.standing(fingerprint, now=self._clock.seconds())
        return standing is PromptStanding.QUARANTINED

    def refused(self) -> tuple[Fingerprint, ...]:
        """Return the requests that must not run again for now."""
        return self._suspicions.quarantined(now=self._clock.seconds())

    def record(self, death: EndpointDeath) -> None:
        """Note a death that this entry saw."""
        self._told.append((self._clock.seconds(), death))
        self.take((death,))

    def take(self, deaths: tuple[EndpointDeath, ...]) -> None:
        """Note deaths that a peer saw."""
        now = self._clock.seconds()
        for death in deaths:
            self._suspicions.record_death(
                death.death, list(death.fingerprints), now=now
            )

    def clear(self, fingerprint: Fingerprint) -> None:
        """Note that a request ran to its end."""
        self._suspicions.clear(fingerprint)

    def recent(self) -> tuple[EndpointDeath, ...]:
        """Return the deaths to tell peers of."""
        horizon = self._clock.seconds() - TOLD_SECONDS
        return tuple(death for at, death in self._told if at > horizon)


def fingerprint_of(request: CallerRequest, key: str | None) -> Fingerprint:
    """Return the same for every time that a caller sends the same request."""
    digest = xxhash.xxh3_128()
    for part in (request.method, request.target, (key or "").encode(), request.body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return Fingerprint(digest.hexdigest())
