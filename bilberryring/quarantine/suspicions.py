"""Prompts that ran when an engine crashed, and when to refuse them.

A crash makes every prompt that was running a suspect. A suspect is cleared when it
runs to its end, and quarantined by a second crash. While it is a suspect it runs
alone, so that no other prompt is quarantined for a crash that the suspect causes.

>>> suspects = SuspectTracker()
>>> suspects.record_crash("d1", [Fingerprint("a"), Fingerprint("b")], now=0.0)
['a', 'b']
>>> suspects.standing(Fingerprint("a"), now=1.0).value
'suspect'
>>> suspects.record_crash("d2", [Fingerprint("a")], now=2.0)
['a']
>>> suspects.standing(Fingerprint("a"), now=3.0).value
'quarantined'
>>> suspects.standing(Fingerprint("b"), now=3.0).value
'suspect'
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from bilberryring.core import Fingerprint
from bilberryring.quarantine.crash_causes import CrashCauses
from bilberryring.quarantine.crash_memory import CrashMemory

SUSPECT_SECONDS = 300.0
"""Seconds after its last crash for which a prompt stays a suspect."""
QUARANTINE_SECONDS = 600.0
"""Seconds after its last crash for which a prompt stays quarantined."""
CRASHES_UNTIL_QUARANTINE = 2
SUFFICIENT_CRASHES = 2
"""Crashes that quarantine a prompt while earlier ones may have been forgotten.

It must have been sent as a suspect and have crashed another engine then, and no other
prompt may have been running in all of the crashes."""
SOLE_CAUSE_SECONDS = SUSPECT_SECONDS
"""Seconds for which a prompt that is sent once is refused after a crash that it alone
explains, while earlier crashes may have been forgotten."""
MAX_SUSPECTS = 256
"""Prompts on record; beyond it, the one with the oldest crash is forgotten."""
MAX_CLEARED = 4_096
"""Cleared pairs of crash and prompt on record; beyond it, the oldest is forgotten."""


class PromptStanding(Enum):
    """How a prompt is treated: as usual, run alone, or refused."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(slots=True, kw_only=True)
class _Record:
    crashes: set[str] = field(default_factory=set)
    crashes_as_suspect: set[str] = field(default_factory=set)
    last_crash: float = -math.inf


class SuspectTracker:
    """Tracks the suspect prompts that one process knows of; times are in seconds.

    `memory` tells since when crashes are known; without it all are. While a quarantine
    may have been forgotten, `SUFFICIENT_CRASHES` that only one prompt explains begin
    it, and `is_sole_cause` tells of a prompt that explains a single one.
    """

    def __init__(
        self,
        *,
        crashes_until_quarantine: int = CRASHES_UNTIL_QUARANTINE,
        memory: CrashMemory | None = None,
    ):
        self._crashes_until_quarantine = crashes_until_quarantine
        self._memory = memory
        self._records: OrderedDict[Fingerprint, _Record] = OrderedDict()
        self._running: dict[str, set[Fingerprint]] = {}
        self._causes = CrashCauses()
        self._cleared: OrderedDict[tuple[str, Fingerprint], None] = OrderedDict()

    def record_crash(
        self,
        crash: str,
        fingerprints: list[Fingerprint],
        *,
        now: float,
        were_suspects: bool = False,
        sent_before: float = math.inf,
    ) -> list[Fingerprint]:
        """Record the prompts that ran when an engine crashed; return the new ones.

        `crash` identifies the event; repeated reports of it count once. `now` is the
        time of the crash if that is known. With `were_suspects` the prompts were
        suspects when they were sent: it is no crash of several engines at once. They
        were sent `sent_before` seconds before the crash, as in `CrashCauses.record`.
        """
        new: list[Fingerprint] = []
        for fingerprint in fingerprints:
            if (crash, fingerprint) in self._cleared:
                continue
            record = self._records.setdefault(fingerprint, _Record())
            if crash not in record.crashes:
                record.crashes.add(crash)
                if were_suspects:
                    record.crashes_as_suspect.add(crash)
                self._running.setdefault(crash, set()).add(fingerprint)
                self._causes.record(crash, fingerprint, at=now, sent_before=sent_before)
                new.append(fingerprint)
                record.last_crash = max(record.last_crash, now)
            self._records.move_to_end(fingerprint)
        while len(self._records) > MAX_SUSPECTS:
            self._forget(next(iter(self._records)))
        return new

    def clear(self, fingerprint: Fingerprint) -> tuple[str, ...]:
        """Record that a suspect ran to its end; return the crashes cleared by that.

        The caller passes them on to other processes, so that a process that hears of
        one of them later does not count it for this prompt. The result is empty for a
        prompt that is no suspect or is quarantined.
        """
        record = self._records.get(fingerprint)
        if record is None:
            return ()
        crashes = tuple(sorted(record.crashes))
        return crashes if self.clear_crashes(fingerprint, crashes) else ()

    def clear_crashes(
        self, fingerprint: Fingerprint, crashes: tuple[str, ...] | list[str]
    ) -> bool:
        """Clear a prompt of some crashes; return whether any of that was new.

        A quarantined prompt stays quarantined.
        """
        record = self._records.get(fingerprint)
        if record is not None and len(record.crashes) >= self._crashes_until_quarantine:
            return False
        is_new = False
        for crash in crashes:
            is_new = self._mark_cleared(crash, fingerprint) or is_new
            if record is not None:
                record.crashes.discard(crash)
                record.crashes_as_suspect.discard(crash)
                self._forget_running(crash, fingerprint)
        if record is not None and not record.crashes:
            self._forget(fingerprint)
        return is_new

    def crashes(self, fingerprint: Fingerprint) -> frozenset[str]:
        """Return the crashes in which a prompt was running."""
        record = self._records.get(fingerprint)
        return frozenset(record.crashes) if record else frozenset()

    def was_suspect(self, fingerprint: Fingerprint, crash: str) -> bool:
        """Return whether a prompt was a suspect when it was sent to that engine."""
        record = self._records.get(fingerprint)
        return record is not None and crash in record.crashes_as_suspect

    def crash_count(self, fingerprint: Fingerprint) -> int:
        """Return the number of crashes in which a prompt was running."""
        record = self._records.get(fingerprint)
        return len(record.crashes) if record else 0

    def sent_before(self, fingerprint: Fingerprint, crash: str) -> float:
        """Return how many seconds before a crash a prompt had been sent."""
        return self._causes.sent_before(crash, fingerprint)

    def is_sole_cause(self, fingerprint: Fingerprint, *, now: float) -> bool:
        """Whether a prompt alone explains a crash, and may have caused forgotten ones.

        A prompt that is sent to several engines shows by its next attempt whether it
        crashes them; one that is sent once does so only when it comes again.
        """
        record = self._records.get(fingerprint)
        if record is None or now - record.last_crash > SOLE_CAUSE_SECONDS:
            return False
        if self._memory is None or self._memory.covers(QUARANTINE_SECONDS, now=now):
            return False
        return any(
            self._causes.is_sole_cause(crash, fingerprint) for crash in record.crashes
        )

    def standing(self, fingerprint: Fingerprint, *, now: float) -> PromptStanding:
        """Return how to treat a prompt; a record that has expired is removed."""
        record = self._records.get(fingerprint)
        if record is None:
            return PromptStanding.CLEAR
        is_quarantined = self._is_sufficient(record, now=now)
        kept_seconds = QUARANTINE_SECONDS if is_quarantined else SUSPECT_SECONDS
        if now - record.last_crash > kept_seconds:
            self._forget(fingerprint)
            return PromptStanding.CLEAR
        if is_quarantined:
            return PromptStanding.QUARANTINED
        return PromptStanding.SUSPECT

    def seconds_left(self, fingerprint: Fingerprint, *, now: float) -> float:
        """Return for how many seconds a prompt remains refused, if it is."""
        if self.standing(fingerprint, now=now) is PromptStanding.QUARANTINED:
            return self._records[fingerprint].last_crash + QUARANTINE_SECONDS - now
        if self.is_sole_cause(fingerprint, now=now):
            return self._records[fingerprint].last_crash + SOLE_CAUSE_SECONDS - now
        return 0.0

    def quarantined(self, *, now: float) -> tuple[Fingerprint, ...]:
        """Return the prompts that are quarantined at the time `now`."""
        return tuple(
            fingerprint
            for fingerprint in tuple(self._records)
            if self.standing(fingerprint, now=now) is PromptStanding.QUARANTINED
        )

    def suspects(self, *, now: float) -> tuple[Fingerprint, ...]:
        """Return the prompts that are suspects, but not quarantined, at a time."""
        return tuple(
            fingerprint
            for fingerprint in tuple(self._records)
            if self.standing(fingerprint, now=now) is PromptStanding.SUSPECT
        )

    def seconds_since_crash(self, fingerprint: Fingerprint, *, now: float) -> float:
        """Return the seconds since the last crash of a prompt that is on record."""
        return now - self._records[fingerprint].last_crash

    def _is_sufficient(self, record: _Record, *, now: float) -> bool:
        """Whether the crashes of a prompt are reason for a quarantine."""
        if len(record.crashes) >= self._crashes_until_quarantine:
            return True
        if self._memory is None or len(record.crashes) < SUFFICIENT_CRASHES:
            return False
        if not record.crashes_as_suspect:
            return False
        if self._memory.covers(QUARANTINE_SECONDS, now=now):
            return False
        explaining = set.intersection(
            *(self._running[crash] for crash in record.crashes)
        )
        return len(explaining) == 1

    def _forget(self, fingerprint: Fingerprint) -> None:
        record = self._records.pop(fingerprint)
        for crash in record.crashes:
            self._forget_running(crash, fingerprint)

    def _forget_running(self, crash: str, fingerprint: Fingerprint) -> None:
        self._causes.forget(crash, fingerprint)
        running = self._running.get(crash, set())
        running.discard(fingerprint)
        if not running:
            self._running.pop(crash, None)

    def _mark_cleared(self, crash: str, fingerprint: Fingerprint) -> bool:
        """Stop a crash from counting for a prompt; return whether that was new."""
        key = (crash, fingerprint)
        if key in self._cleared:
            return False
        self._cleared[key] = None
        while len(self._cleared) > MAX_CLEARED:
            self._cleared.popitem(last=False)
        return True
