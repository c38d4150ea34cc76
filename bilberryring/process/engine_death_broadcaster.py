"""Propagates engine deaths and cleared prompts to all processes.

Each process forwards what is new to it on every link but the one on which it came. The
links between entries and sidecars thus carry each message to every process, and nothing
is forwarded twice by the same process. When a link opens, each side tells the deaths
behind its suspicions: the other one may have started, or may have been cut off, since.
"""

from collections.abc import Callable, Iterable

from bilberryring.core import Fingerprint
from bilberryring.fleet import MS_PER_SECOND
from bilberryring.quarantine import PromptStanding, SuspectTracker
from bilberryring.wire import EngineDeath, LinkProtocol, PromptCleared

MAX_TOLD_PROMPTS = 64
"""Maximum number of prompts of which a process tells when a link opens."""


class EngineDeathBroadcaster:
    """Owns the suspicions of a process and exchanges them with its peers."""

    def __init__(self, *, reactor, links: Callable[[], Iterable[LinkProtocol]]):
        self._reactor = reactor
        self._links = links
        self._suspects = SuspectTracker()

    def standing(self, fingerprint: Fingerprint) -> PromptStanding:
        """Return how a prompt is to be treated now."""
        return self._suspects.standing(fingerprint, now=self._reactor.seconds())

    def crashes(self, fingerprint: Fingerprint) -> frozenset[str]:
        """Return the deaths of engines at which a prompt was running."""
        return self._suspects.crashes(fingerprint)

    def quarantined(self) -> tuple[Fingerprint, ...]:
        """Return the fingerprints of the prompts that are refused now."""
        return self._suspects.quarantined(now=self._reactor.seconds())

    def handle_death(self, death: EngineDeath, origin: LinkProtocol | None) -> None:
        """Record the death of an engine, and forward it if it is new.

        `origin` is the link on which it came, or `None` for the engine beside this
        process.
        """
        age = (death.age_ms or 0) / MS_PER_SECOND
        new = self._suspects.record_crash(
            death.death, death.fingerprints, now=self._reactor.seconds() - age
        )
        if new:
            self._forward(death, origin)

    def tell(self, link: LinkProtocol) -> None:
        """Tell a peer the deaths of the prompts that are suspects or quarantined."""
        now = self._reactor.seconds()
        prompts = (
            *self._suspects.quarantined(now=now),
            *self._suspects.suspects(now=now),
        )
        for fingerprint in prompts[:MAX_TOLD_PROMPTS]:
            age = self._suspects.seconds_since_crash(fingerprint, now=now)
            for death in sorted(self._suspects.crashes(fingerprint)):
                link.send(
                    EngineDeath(
                        death=death,
                        fingerprints=[fingerprint],
                        age_ms=round(age * MS_PER_SECOND),
                    )
                )

    def handle_cleared(self, cleared: PromptCleared, origin: LinkProtocol) -> None:
        """Void the deaths attributed to a prompt that has completed at a peer."""
        is_new = self._suspects.clear_crashes(
            Fingerprint(cleared.fingerprint), cleared.deaths
        )
        if is_new:
            self._forward(cleared, origin)

    def clear(self, fingerprint: Fingerprint) -> None:
        """Clear a prompt that has completed here, and tell the peers."""
        deaths = self._suspects.clear(fingerprint)
        if deaths:
            cleared = PromptCleared(fingerprint=fingerprint, deaths=list(deaths))
            self._forward(cleared, None)

    def _forward(self, message: object, origin: LinkProtocol | None) -> None:
        for link in tuple(self._links()):
            if link is not origin:
                link.send(message)
