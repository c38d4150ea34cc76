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
from dataclasses import dataclass, field
from enum import Enum

from bilberryring.core import Fingerprint, PromptPartId

MIN_CRASHES = 3
"""Unexplained crashes after which a part is quarantined."""
MIN_REQUESTS = 2
"""Different requests that must have been running in those crashes."""
MIN_CRASHES_IF_SERVED = 5
"""The same for a part with which a prompt was answered shortly before the crashes."""
MIN_SECONDS_IF_SERVED = 2.0
"""Seconds between the first and the last of those crashes: engines that crash at the
same moment have another cause, and prompts on the others are answered meanwhile."""
TIE_SECONDS = 1.0
"""Seconds after the last crash for which parts that explain as many crashes wait for
an answer that tells them apart. Meanwhile prompts with all of them are refused."""
SERVED_SECONDS = 300.0
"""Seconds for which an answer speaks for the parts of its prompt."""
CRASH_SECONDS = 600.0
"""Seconds for which a crash counts."""
MIN_QUARANTINE_SECONDS = 600.0
MAX_QUARANTINE_SECONDS = 1_200.0
"""Each process draws how long it refuses a part after its last crash, so that not all
of them try it again at the same time."""
PROBATION_SECONDS = 1_200.0
"""Seconds after the quarantine in which a single crash renews it."""
MAX_CRASHES = 64
MAX_PROMPTS_PER_CRASH = 16
MAX_SERVED = 4_096
MAX_ENTRIES = 64
"""Most crashes, prompts of one, parts that were answered and parts in quarantine on
record; beyond it, the oldest is forgotten."""
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


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashedPrompt:
    """A request whose answer could have begun when its engine crashed."""

    fingerprint: Fingerprint
    parts: tuple[PromptPartId, ...]


@dataclass(slots=True, kw_only=True)
class _Crash:
    at: float
    prompts: set[CrashedPrompt] = field(default_factory=set)


@dataclass(slots=True, kw_only=True)
class _Entry:
    crashes: int
    crashed_at: float
    release_at: float
    is_on_probation: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class _Candidate:
    """A part with the unexplained crashes since it was last served.

    `position` is that of the part in its prompts; later ones are shared by fewer.
    """

    part: PromptPartId
    position: int
    crashes: int
    first_at: float
    last_at: float


@dataclass(slots=True, kw_only=True)
class _Tally:
    crashes: dict[str, float] = field(default_factory=dict)
    requests: set[Fingerprint] = field(default_factory=set)
    position: int = 0


class PartQuarantine:
    """The crashes and answers that one process knows of, by part of prompt."""

    def __init__(self, *, seed: int | None = None):
        self._random = random.Random(seed)
        self._crashes: OrderedDict[str, _Crash] = OrderedDict()
        self._crashes_of_part: dict[PromptPartId, set[str]] = {}
        self._frequent: set[PromptPartId] = set()
        self._served: OrderedDict[PromptPartId, float] = OrderedDict()
        self._entries: OrderedDict[PromptPartId, _Entry] = OrderedDict()
        self._tied: frozenset[PromptPartId] = frozenset()
        self._last_served_at = -math.inf
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
        served_at = self._served.get(part)
        served_ago = None if served_at is None else max(0.0, now - served_at)
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
        known = self._crashes.setdefault(crash, _Crash(at=at))
        while len(self._crashes) > MAX_CRASHES:
            self._forget_oldest_crash()
        if prompt in known.prompts or len(known.prompts) >= MAX_PROMPTS_PER_CRASH:
            return False
        known.prompts.add(prompt)
        for part in prompt.parts:
            names = self._crashes_of_part.setdefault(part, set())
            names.add(crash)
            if len(names) >= MIN_CRASHES:
                self._frequent.add(part)
            self._renew(part, known.at, now)
        if not self._frequent.isdisjoint(prompt.parts):
            self._attribute(now)
        return True

    def record_served(
        self, parts: tuple[PromptPartId, ...], *, began_at: float, now: float
    ) -> None:
        """Record a complete answer that an engine began to write at `began_at`."""
        self._last_served_at = max(self._last_served_at, began_at)
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

    def _forget_oldest_crash(self) -> None:
        name, crash = self._crashes.popitem(last=False)
        for part in {part for prompt in crash.prompts for part in prompt.parts}:
            names = self._crashes_of_part[part]
            names.discard(name)
            if len(names) < MIN_CRASHES:
                self._frequent.discard(part)
            if not names:
                del self._crashes_of_part[part]

    def _note_served(
        self, part: PromptPartId, at: float, now: float, *, is_from_peer: bool
    ) -> None:
        if at <= self._served.get(part, -math.inf):
            return
        self._served[part] = at
        self._served.move_to_end(part)
        while len(self._served) > MAX_SERVED:
            self._served.popitem(last=False)
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
        served_at = self._served.get(part, -math.inf)
        if served_at >= crashed_at:
            return False
        if served_at > crashed_at - SERVED_SECONDS:
            return crashes >= MIN_CRASHES_IF_SERVED
        return crashes >= MIN_CRASHES

    def _attribute(self, now: float) -> None:
        """Quarantine the parts that explain the crashes, the likeliest first."""
        self._tied = frozenset()
        for _ in range(MAX_ENTRIES):
            candidates = self._candidates(now)
            if not candidates:
                return
            best = max(candidates, key=self._rank)
            tied = [
                item.part
                for item in candidates
                if self._rank(item)[:2] == self._rank(best)[:2]
            ]
            if len(tied) > 1 and now - best.last_at < TIE_SECONDS:
                self._tied = frozenset(tied)
                return
            self._quarantine(
                best.part, best.crashes, best.last_at, now, is_from_peer=False
            )

    def _rank(self, candidate: _Candidate) -> tuple[bool, int, int]:
        was_served = self._was_served_before(candidate)
        return not was_served, candidate.crashes, candidate.position

    def _candidates(self, now: float) -> list[_Candidate]:
        """Return the parts that may be quarantined for unexplained crashes."""
        candidates = (
            _Candidate(
                part=part,
                position=tally.position,
                crashes=len(tally.crashes),
                first_at=min(tally.crashes.values()),
                last_at=max(tally.crashes.values()),
            )
            for part, tally in self._tallies(now).items()
            if len(tally.crashes) >= MIN_CRASHES and len(tally.requests) >= MIN_REQUESTS
        )
        return [item for item in candidates if self._is_guilty(item)]

    def _tallies(self, now: float) -> dict[PromptPartId, _Tally]:
        """Count the unexplained crashes since each part was last served."""
        tallies: dict[PromptPartId, _Tally] = {}
        for part in self._frequent:
            for name in self._crashes_of_part[part]:
                crash = self._crashes[name]
                is_over = crash.at <= self._served.get(part, -math.inf)
                if is_over or now - crash.at > CRASH_SECONDS:
                    continue
                if self._is_explained(crash):
                    continue
                tally = tallies.setdefault(part, _Tally())
                tally.crashes[name] = crash.at
                for prompt in crash.prompts:
                    if part in prompt.parts:
                        tally.requests.add(prompt.fingerprint)
                        position = prompt.parts.index(part)
                        tally.position = max(tally.position, position)
        return tallies

    def _is_explained(self, crash: _Crash) -> bool:
        return any(
            part in self._entries for prompt in crash.prompts for part in prompt.parts
        )

    def _was_served_before(self, candidate: _Candidate) -> bool:
        served_at = self._served.get(candidate.part, -math.inf)
        return served_at > candidate.first_at - SERVED_SECONDS

    def _is_guilty(self, candidate: _Candidate) -> bool:
        if not self._was_served_before(candidate):
            return True
        return (
            candidate.crashes >= MIN_CRASHES_IF_SERVED
            and candidate.last_at - candidate.first_at >= MIN_SECONDS_IF_SERVED
            and self._last_served_at > candidate.first_at
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
        if entry is None or crashed_at <= self._served.get(part, -math.inf):
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
        entry, served_at = self._entries[part], self._served.get(part)
        decision = PartDecision(
            action=action,
            part=part,
            crashes=entry.crashes,
            crashed_ago=now - entry.crashed_at,
            served_ago=None if served_at is None else now - served_at,
            is_from_peer=is_from_peer,
        )
        self._decisions = [*self._decisions, decision][-MAX_PENDING_DECISIONS:]
