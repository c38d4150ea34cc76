"""The task that tells deaths of engines, and cleared prompts, to all processes.

Each process tells on what was news to it, on every link but the one it came on.
The links between entries and sidecars thus carry it everywhere, once.
"""

from collections.abc import Callable, Iterable

from bilberryring.core import Fingerprint
from bilberryring.quarantine import PromptStanding, Suspicions
from bilberryring.wire import EngineDeath, LinkProtocol, PromptCleared


class DeathSpread:
    """Owns the suspicions of a process and spreads them on its links."""

    def __init__(self, *, reactor, links: Callable[[], Iterable[LinkProtocol]]):
        self._reactor = reactor
        self._links = links
        self._suspicions = Suspicions()

    def standing(self, fingerprint: Fingerprint) -> PromptStanding:
        """Return how to treat a prompt now."""
        return self._suspicions.standing(fingerprint, now=self._reactor.seconds())

    def quarantined(self) -> tuple[Fingerprint, ...]:
        """Return the prompts that are refused now."""
        return self._suspicions.quarantined(now=self._reactor.seconds())

    def take_death(self, death: EngineDeath, origin: LinkProtocol | None) -> None:
        """Record a death, from a peer or of the engine beside this process."""
        new = self._suspicions.record_death(
            death.death, death.fingerprints, now=self._reactor.seconds()
        )
        if new:
            self._tell(death, origin)

    def take_cleared(self, cleared: PromptCleared, origin: LinkProtocol) -> None:
        """Void the deaths of a prompt that a peer saw run to its end."""
        is_news = self._suspicions.clear_deaths(
            Fingerprint(cleared.fingerprint), cleared.deaths
        )
        if is_news:
            self._tell(cleared, origin)

    def clear(self, fingerprint: Fingerprint) -> None:
        """Clear a prompt that ran to its end here, and tell it."""
        deaths = self._suspicions.clear(fingerprint)
        if deaths:
            cleared = PromptCleared(fingerprint=fingerprint, deaths=list(deaths))
            self._tell(cleared, None)

    def _tell(self, message: object, origin: LinkProtocol | None) -> None:
        for link in tuple(self._links()):
            if link is not origin:
                link.send(message)
