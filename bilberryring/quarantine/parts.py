"""Parts of prompts under which engines crash, and which of them to refuse.

An engine that crashes runs several prompts, and prompts share parts. The part that
explains most crashes is quarantined, if no prompt with it was answered meanwhile. All
crashes with it are then explained, so parts that merely ran beside it are not counted.
A part with which prompts were answered shortly before needs stronger evidence, and one
that only a single request had is left to the quarantine of that request.

Nothing here does I/O or reads a clock; times are in seconds and passed in.

>>> parts = PartQuarantine()
>>> parts.record_served(("common",), began_at=-9.0, now=-8.0)
>>> for number in range(3):
...     prompt = CrashedPrompt(fingerprint=f"f{number}", parts=("common", "bad"))
...     parts.record_crash(f"c{number}", prompt, at=number, now=number)
True
True
True
>>> parts.quarantined_part(("common", "bad"), now=3.0)
'bad'
>>> parts.quarantined_part(("common", "other"), now=3.0) is None
True
"""

import math
import random
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from bilberryring.core import PromptPartId
from bilberryring.quarantine.part_evidence import (
    MIN_CRASHES,
    CrashedPrompt,
    PartEvidence,
    SuspectedPart,
)

MIN_CRASHES_IF_SERVED = 5
"""Crashes after which a part is quarantined although a prompt with it was answered
shortly before them."""
MIN_SECONDS_IF_SERVED = 2.0
"""Seconds between the first and the last of those crashes: engines that crash at the
same moment have another cause, and prompts on the others are answered meanwhile."""
TIE_SECONDS = 1.0
"""Seconds after the last crash for which parts that explain as many crashes wait for
an answer that tells them apart. Meanwhile prompts with all of them are refused."""
SERVED_SECONDS = 300.0
"""Seconds for which an answer speaks for the parts of its prompt."""
MIN_QUARANTINE_SECONDS = 600.0
MAX_QUARANTINE_SECONDS = 1_200.0
"""Each process draws how long it refuses a part after its last crash, so that not all
of them try it again at the same time."""
PROBATION_SECONDS = 1_200.0
"""Seconds after the quarantine in which a single crash renews it."""
MAX_ENTRIES = 64
"""Most parts in quarantine; beyond it, the oldest is forgotten."""
MAX_PENDING_DECISIONS = 64


class PartAction(Enum):
    """What was decided about a part."""

    QUARANTINED = "quarantined"
    RELEASED = "released"


@dataclass(frozen=True, slots=True, kw_only=True)
class PartDecision:
    """A decision with its inputs.

    `crashes` is the number of crashes under the part, `crashed_ago` the seconds since
    the last of them, and `served_ago` since an answer with the part began, if any.
    """

    action: PartAction
    part: PromptPartId
    crashes: int
    crashed_ago: float
    served_ago: float | None
    is_from_peer: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class PartStanding:
    """What one process tells others about a part.

    `crashes` is 0 for a part that is not quarantined. `served_ago` is the number of
    seconds since an answer with the part began, or `None` if none is known.
    """

    part: PromptPartId
    crashes: int = 0
    crashed_ago: float = 0.0
    served_ago: float | None = None


@dataclass(slots=True, kw_only=True)
class _Entry:
    crashes: int
    crashed_at: float
    release_at: float
    is_on_probation: bool = False


class PartQuarantine:
    """The crashes and answers that one process knows of, by part of prompt."""

    def __init__(self, *, seed: int | None = None):
        self._random = random.Random(seed)
        self._evidence = PartEvidence()
        self._entries: OrderedDict[PromptPartId, _Entry] = OrderedDict()
        self._tied: frozenset[PromptPartId] = frozenset()
        self._decisions: list[PartDecision] = []

    def quarantined_part(
        self, parts: tuple[PromptPartId, ...], *, now: float
    ) -> PromptPartId | None:
        """Return the first of a prompt's parts that is quarantined, if any.

        If the prompt has all parts that are suspected equally, it is the last of them.
        """
        for part in parts:
            entry = self._entries.get(part)
            if entry is not None and now < entry.release_at:
                return part
        if self._tied and self._tied.issubset(parts):
            return max(self._tied, key=parts.index)
        return None

    def seconds_left(self, part: PromptPartId, *, now: float) -> float:
        """Return for how many seconds prompts with a part are still refused."""
        entry = self._entries.get(part)
        return TIE_SECONDS if entry is None else max(0.0, entry.release_at - now)

    def quarantined(self, *, now: float) -> tuple[PromptPartId, ...]:
        """Return all parts that are quarantined."""
        return tuple(
            part for part, entry in self._entries.items() if now < entry.release_at
        )

    def standing(self, part: PromptPartId, *, now: float) -> PartStanding:
        """Return what is known of a part."""
        served_ago = self._served_ago(part, now)
        entry = self._entries.get(part)
        if entry is None or now >= entry.release_at:
            return PartStanding(part=part, served_ago=served_ago)
        return PartStanding(
            part=part,
            crashes=entry.crashes,
            crashed_ago=max(0.0, now - entry.crashed_at),
            served_ago=served_ago,
        )

    def record_crash(
        self, crash: str, prompt: CrashedPrompt, *, at: float, now: float
    ) -> bool:
        """Record a crash of an engine on which the answer to a prompt could begin.

        `crash` identifies the event; further reports of it add prompts. Returns whether
        this one was new.
        """
        if not self._evidence.record_crash(crash, prompt, at=at):
            return False
        for part in prompt.parts:
            self._renew(part, at, now)
        if any(self._evidence.is_recurring(part) for part in prompt.parts):
            self._attribute(now)
        return True

    def record_served(
        self, parts: tuple[PromptPartId, ...], *, began_at: float, now: float
    ) -> None:
        """Record a complete answer that an engine began to write at `began_at`."""
        self._evidence.record_answer(began_at=began_at)
        for part in parts:
            self._note_served(part, began_at, now, is_from_peer=False)
        if self._tied.intersection(parts):
            self._attribute(now)

    def merge(self, standing: PartStanding, *, now: float) -> bool:
        """Take over what another process knows of a part.

        Returns whether it is contested, which means that an answer known here speaks
        against the other's quarantine.
        """
        part = standing.part
        if standing.served_ago is not None:
            self._note_served(part, now - standing.served_ago, now, is_from_peer=True)
        if not standing.crashes:
            return False
        crashed_at = now - standing.crashed_ago
        if not self._is_convincing(part, standing.crashes, crashed_at):
            return True
        entry = self._entries.get(part)
        if entry is None:
            self._quarantine(part, standing.crashes, crashed_at, now, is_from_peer=True)
            self._attribute(now)
        elif crashed_at > entry.crashed_at:
            entry.crashes = max(entry.crashes, standing.crashes)
            entry.release_at += crashed_at - entry.crashed_at
            entry.crashed_at = crashed_at
            entry.is_on_probation = False
        return False

    def update(self, *, now: float) -> None:
        """Decide what waited, and forget parts whose probation has ended."""
        self._attribute(now)
        for part, entry in tuple(self._entries.items()):
            if now > entry.release_at + PROBATION_SECONDS:
                del self._entries[part]
            elif now >= entry.release_at and not entry.is_on_probation:
                entry.is_on_probation = True
                self._decide(PartAction.RELEASED, part, now, is_from_peer=False)

    def take_decisions(self) -> tuple[PartDecision, ...]:
        """Remove and return the decisions since the last call."""
        decisions, self._decisions = tuple(self._decisions), []
        return decisions

    def _note_served(
        self, part: PromptPartId, at: float, now: float, *, is_from_peer: bool
    ) -> None:
        if not self._evidence.record_served(part, at=at):
            return
        entry = self._entries.get(part)
        if entry is not None and not self._is_convincing(
            part, entry.crashes, entry.crashed_at
        ):
            self._release(part, now, is_from_peer=is_from_peer)
            self._attribute(now)

    def _is_convincing(
        self, part: PromptPartId, crashes: int, crashed_at: float
    ) -> bool:
        """Whether so many crashes outweigh what was answered."""
        served_at = self._evidence.served_at(part)
        if served_at >= crashed_at:
            return False
        if served_at > crashed_at - SERVED_SECONDS:
            return crashes >= MIN_CRASHES_IF_SERVED
        return crashes >= MIN_CRASHES

    def _attribute(self, now: float) -> None:
        """Quarantine the parts that explain the crashes, the likeliest first."""
        self._tied = frozenset()
        for _ in range(MAX_ENTRIES):
            suspects = self._evidence.suspects(now=now, explained=self._entries)
            guilty = [item for item in suspects if self._is_guilty(item)]
            if not guilty:
                return
            best = max(guilty, key=self._rank)
            tied = [
                item.part
                for item in guilty
                if self._rank(item)[:2] == self._rank(best)[:2]
            ]
            if len(tied) > 1 and now - best.last_at < TIE_SECONDS:
                self._tied = frozenset(tied)
                return
            self._quarantine(
                best.part, best.crashes, best.last_at, now, is_from_peer=False
            )

    def _rank(self, suspect: SuspectedPart) -> tuple[bool, int, int]:
        was_served = self._was_served_before(suspect)
        return not was_served, suspect.crashes, suspect.position

    def _was_served_before(self, suspect: SuspectedPart) -> bool:
        served_at = self._evidence.served_at(suspect.part)
        return served_at > suspect.first_at - SERVED_SECONDS

    def _is_guilty(self, suspect: SuspectedPart) -> bool:
        if not self._was_served_before(suspect):
            return True
        return (
            suspect.crashes >= MIN_CRASHES_IF_SERVED
            and suspect.last_at - suspect.first_at >= MIN_SECONDS_IF_SERVED
            and self._evidence.last_answer_at > suspect.first_at
        )

    def _quarantine(
        self,
        part: PromptPartId,
        crashes: int,
        crashed_at: float,
        now: float,
        *,
        is_from_peer: bool,
    ) -> None:
        seconds = self._random.uniform(MIN_QUARANTINE_SECONDS, MAX_QUARANTINE_SECONDS)
        self._entries[part] = _Entry(
            crashes=crashes, crashed_at=crashed_at, release_at=crashed_at + seconds
        )
        while len(self._entries) > MAX_ENTRIES:
            self._entries.popitem(last=False)
        self._decide(PartAction.QUARANTINED, part, now, is_from_peer=is_from_peer)

    def _renew(self, part: PromptPartId, crashed_at: float, now: float) -> None:
        """Extend the quarantine of a part, or begin it again, after another crash."""
        entry = self._entries.get(part)
        if entry is None or crashed_at <= self._evidence.served_at(part):
            return
        if crashed_at > entry.crashed_at:
            entry.release_at += crashed_at - entry.crashed_at
            entry.crashed_at = crashed_at
        if entry.is_on_probation:
            entry.is_on_probation = False
            self._decide(PartAction.QUARANTINED, part, now, is_from_peer=False)

    def _release(self, part: PromptPartId, now: float, *, is_from_peer: bool) -> None:
        if not self._entries[part].is_on_probation:
            self._decide(PartAction.RELEASED, part, now, is_from_peer=is_from_peer)
        del self._entries[part]

    def _decide(
        self, action: PartAction, part: PromptPartId, now: float, *, is_from_peer: bool
    ) -> None:
        entry = self._entries[part]
        decision = PartDecision(
            action=action,
            part=part,
            crashes=entry.crashes,
            crashed_ago=now - entry.crashed_at,
            served_ago=self._served_ago(part, now),
            is_from_peer=is_from_peer,
        )
        self._decisions = [*self._decisions, decision][-MAX_PENDING_DECISIONS:]

    def _served_ago(self, part: PromptPartId, now: float) -> float | None:
        served_at = self._evidence.served_at(part)
        return None if math.isinf(served_at) else max(0.0, now - served_at)
