"""Prompts that ran when an engine died, and when to refuse them.

A death makes every prompt that ran a suspect. A suspect is cleared by running
to its end, and quarantined by a second death. While it is a suspect it runs
alone, so a neighbour that is innocent is never in a second death with it.

>>> suspicions = Suspicions()
>>> suspicions.record_death("d1", [Fingerprint("a"), Fingerprint("b")], now=0.0)
['a', 'b']
>>> suspicions.standing(Fingerprint("a"), now=1.0).value
'suspect'
>>> suspicions.record_death("d2", [Fingerprint("a")], now=2.0)
['a']
>>> suspicions.standing(Fingerprint("a"), now=3.0).value
'quarantined'
>>> suspicions.standing(Fingerprint("b"), now=3.0).value
'suspect'
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from bilberryring.core import Fingerprint

SUSPECT_SECONDS = 300.0
QUARANTINE_SECONDS = 600.0
DEATHS_UNTIL_QUARANTINE = 2
MAX_SUSPECTS = 256
MAX_VOIDED = 4_096


class PromptStanding(Enum):
    """How a prompt is treated."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(slots=True, kw_only=True)
class _Record:
    deaths: set[str] = field(default_factory=set)
    last_death: float = 0.0


class Suspicions:
    """The suspects that one process knows of; times are in seconds."""

    def __init__(self, *, deaths_until_quarantine: int = DEATHS_UNTIL_QUARANTINE):
        self._deaths_until_quarantine = deaths_until_quarantine
        self._records: OrderedDict[Fingerprint, _Record] = OrderedDict()
        self._voided: OrderedDict[tuple[str, Fingerprint], None] = OrderedDict()

    def record_death(
        self, death: str, fingerprints: list[Fingerprint], *, now: float
    ) -> list[Fingerprint]:
        """Note the prompts that ran when an engine died; return the new ones.

        `death` names the event, so that hearing of it twice counts once.
        """
        new: list[Fingerprint] = []
        for fingerprint in fingerprints:
            if (death, fingerprint) in self._voided:
                continue
            record = self._records.setdefault(fingerprint, _Record())
            if death not in record.deaths:
                record.deaths.add(death)
                new.append(fingerprint)
                record.last_death = now
            self._records.move_to_end(fingerprint)
        while len(self._records) > MAX_SUSPECTS:
            self._records.popitem(last=False)
        return new

    def clear(self, fingerprint: Fingerprint) -> tuple[str, ...]:
        """Note that a suspect ran to its end; return the deaths it was in.

        The deaths are to be told on: a process that hears of them later must
        not hold them against the prompt.
        """
        record = self._records.get(fingerprint)
        if record is None:
            return ()
        deaths = tuple(sorted(record.deaths))
        return deaths if self.clear_deaths(fingerprint, deaths) else ()

    def clear_deaths(
        self, fingerprint: Fingerprint, deaths: tuple[str, ...] | list[str]
    ) -> bool:
        """Void some deaths of a prompt; whether that was news.

        A quarantined prompt stays so.
        """
        record = self._records.get(fingerprint)
        if record is not None and len(record.deaths) >= self._deaths_until_quarantine:
            return False
        is_news = False
        for death in deaths:
            is_news = self._void(death, fingerprint) or is_news
            if record is not None:
                record.deaths.discard(death)
        if record is not None and not record.deaths:
            del self._records[fingerprint]
        return is_news

    def deaths_of(self, fingerprint: Fingerprint) -> int:
        """Return the number of deaths that a prompt was in."""
        record = self._records.get(fingerprint)
        return len(record.deaths) if record else 0

    def standing(self, fingerprint: Fingerprint, *, now: float) -> PromptStanding:
        """Return how to treat a prompt."""
        record = self._records.get(fingerprint)
        if record is None:
            return PromptStanding.CLEAR
        is_quarantined = len(record.deaths) >= self._deaths_until_quarantine
        kept = QUARANTINE_SECONDS if is_quarantined else SUSPECT_SECONDS
        if now - record.last_death > kept:
            del self._records[fingerprint]
            return PromptStanding.CLEAR
        if is_quarantined:
            return PromptStanding.QUARANTINED
        return PromptStanding.SUSPECT

    def quarantined(self, *, now: float) -> tuple[Fingerprint, ...]:
        """Return the prompts that are refused."""
        return tuple(
            fingerprint
            for fingerprint in tuple(self._records)
            if self.standing(fingerprint, now=now) is PromptStanding.QUARANTINED
        )

    def _void(self, death: str, fingerprint: Fingerprint) -> bool:
        key = (death, fingerprint)
        if key in self._voided:
            return False
        self._voided[key] = None
        while len(self._voided) > MAX_VOIDED:
            self._voided.popitem(last=False)
        return True
