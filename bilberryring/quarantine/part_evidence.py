"""Crashes of engines and answers to prompts, by the parts that the prompts share.

Nothing here does I/O or reads a clock; times are in seconds and passed in. What is
kept is bounded; the oldest is forgotten.

>>> evidence = PartEvidence()
>>> for number in range(3):
...     prompt = CrashedPrompt(fingerprint=f"f{number}", parts=("common", "bad"))
...     evidence.record_crash(f"c{number}", prompt, at=number)
True
True
True
>>> evidence.record_served("common", at=5.0)
True
>>> [item.part for item in evidence.suspects(now=6.0, explained=())]
['bad']
"""

import math
from collections import OrderedDict
from collections.abc import Container
from dataclasses import dataclass, field

from bilberryring.core import Fingerprint, PromptPartId

MIN_CRASHES = 3
"""Unexplained crashes after which a part is suspected."""
MIN_REQUESTS = 2
"""Different requests that must have been running in those crashes."""
CRASH_SECONDS = 600.0
"""Seconds for which a crash counts."""
MAX_CRASHES = 64
MAX_PROMPTS_PER_CRASH = 16
MAX_SERVED = 4_096
"""Most crashes, prompts of one, and parts that were answered on record."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashedPrompt:
    """A request whose answer could have begun when its engine crashed."""

    fingerprint: Fingerprint
    parts: tuple[PromptPartId, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class SuspectedPart:
    """A part with the unexplained crashes since it was last served.

    `position` is that of the part in its prompts; later ones are shared by fewer. The
    crashes happened from `first_at` to `last_at`.
    """

    part: PromptPartId
    position: int
    crashes: int
    first_at: float
    last_at: float


@dataclass(slots=True, kw_only=True)
class _Crash:
    at: float
    prompts: set[CrashedPrompt] = field(default_factory=set)

    @property
    def parts(self) -> set[PromptPartId]:
        return {part for prompt in self.prompts for part in prompt.parts}


class PartEvidence:
    """What one process knows of crashes and answers."""

    def __init__(self):
        self._crashes: OrderedDict[str, _Crash] = OrderedDict()
        self._crashes_of_part: dict[PromptPartId, set[str]] = {}
        self._recurring: set[PromptPartId] = set()
        self._served: OrderedDict[PromptPartId, float] = OrderedDict()
        self._last_answer_at = -math.inf

    @property
    def last_answer_at(self) -> float:
        """When the latest of all complete answers began."""
        return self._last_answer_at

    def served_at(self, part: PromptPartId) -> float:
        """Return when the latest answer with a part began, `-inf` if none is known."""
        return self._served.get(part, -math.inf)

    def is_recurring(self, part: PromptPartId) -> bool:
        """Whether a part was in enough crashes to be suspected."""
        return part in self._recurring

    def record_crash(self, crash: str, prompt: CrashedPrompt, *, at: float) -> bool:
        """Record a prompt whose answer could have begun in a crash.

        Returns whether it is new for that crash and was recorded.
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
                self._recurring.add(part)
        return True

    def record_answer(self, *, began_at: float) -> None:
        """Record a complete answer, whatever its prompt."""
        self._last_answer_at = max(self._last_answer_at, began_at)

    def record_served(self, part: PromptPartId, *, at: float) -> bool:
        """Record that an answer with a part began; return whether it is the latest."""
        if at <= self.served_at(part):
            return False
        self._served[part] = at
        self._served.move_to_end(part)
        while len(self._served) > MAX_SERVED:
            self._served.popitem(last=False)
        return True

    def suspects(
        self, *, now: float, explained: Container[PromptPartId]
    ) -> list[SuspectedPart]:
        """Return the parts that could explain the crashes without an explained part."""
        suspects = (
            self._suspect(part, now=now, explained=explained)
            for part in self._recurring
        )
        return [item for item in suspects if item is not None]

    def _suspect(
        self, part: PromptPartId, *, now: float, explained: Container[PromptPartId]
    ) -> SuspectedPart | None:
        since = max(self.served_at(part), now - CRASH_SECONDS)
        crashes = [
            crash
            for name in self._crashes_of_part[part]
            if (crash := self._crashes[name]).at > since
            and not any(item in explained for item in crash.parts)
        ]
        prompts = {
            prompt
            for crash in crashes
            for prompt in crash.prompts
            if part in prompt.parts
        }
        n_requests = len({prompt.fingerprint for prompt in prompts})
        if len(crashes) < MIN_CRASHES or n_requests < MIN_REQUESTS:
            return None
        return SuspectedPart(
            part=part,
            position=max(prompt.parts.index(part) for prompt in prompts),
            crashes=len(crashes),
            first_at=min(crash.at for crash in crashes),
            last_at=max(crash.at for crash in crashes),
        )

    def _forget_oldest_crash(self) -> None:
        name, crash = self._crashes.popitem(last=False)
        for part in crash.parts:
            names = self._crashes_of_part[part]
            names.discard(name)
            if len(names) < MIN_CRASHES:
                self._recurring.discard(part)
            if not names:
                del self._crashes_of_part[part]
