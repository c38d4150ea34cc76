"""Which crash of an engine one prompt alone explains.

A prompt that crashes engines does so as soon as it begins to run, so it is the one that
was sent just before the crash. That is weak evidence by itself: an engine that crashes
for a reason of its own may have got some prompt just before. It counts for less still
if other engines crash at that moment for no such reason.

>>> causes = CrashCauses()
>>> bad, other = Fingerprint("a"), Fingerprint("b")
>>> causes.record("run-1", bad, at=10.0, sent_before=0.01)
>>> causes.record("run-1", other, at=10.0, sent_before=2.0)
>>> causes.is_sole_cause("run-1", bad), causes.is_sole_cause("run-1", other)
(True, False)
>>> causes.record("run-2", other, at=10.5, sent_before=1.0)
>>> causes.is_sole_cause("run-1", bad)
False
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from bilberryring.core import Fingerprint

AT_ONCE_SECONDS = 0.1
"""Most seconds from the sending of a prompt to the crash that it causes. It covers the
way to an engine that is free, and the way back."""
APART_SECONDS = 0.025
"""Seconds between two prompts from which their order at an engine is known, as other
processes may have sent them."""
COINCIDENCE_SECONDS = 1.0
"""Seconds within which crashes of several engines may have one cause."""
MAX_CRASHES = 256
"""Crashes on record; beyond it, the oldest is forgotten."""


@dataclass(slots=True, kw_only=True)
class _Crash:
    at: float
    sent_before: dict[Fingerprint, float] = field(default_factory=dict)

    def is_explained_by(self, fingerprint: Fingerprint) -> bool:
        """Whether a prompt was sent at once before the crash, and after all others."""
        own = self.sent_before.get(fingerprint, math.inf)
        return own <= AT_ONCE_SECONDS and all(
            seconds - own >= APART_SECONDS
            for other, seconds in self.sent_before.items()
            if other != fingerprint
        )

    @property
    def is_explained(self) -> bool:
        """Whether one of the prompts explains the crash."""
        return any(
            self.is_explained_by(fingerprint) for fingerprint in self.sent_before
        )


class CrashCauses:
    """The prompts that ran in recent crashes, and when they were sent.

    All processes that have prompts at an engine report the same crash.
    """

    def __init__(self):
        self._crashes: OrderedDict[str, _Crash] = OrderedDict()

    def record(
        self, crash: str, fingerprint: Fingerprint, *, at: float, sent_before: float
    ) -> None:
        """Record that a prompt ran in a crash at the time `at`.

        It had been sent `sent_before` seconds before; infinity if that is not known,
        or if the prompt cannot be the cause.
        """
        known = self._crashes.setdefault(crash, _Crash(at=at))
        known.sent_before[fingerprint] = sent_before
        while len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)

    def forget(self, crash: str, fingerprint: Fingerprint) -> None:
        """Forget that a prompt ran in a crash, as it is not the cause."""
        known = self._crashes.get(crash)
        if known is not None:
            known.sent_before.pop(fingerprint, None)

    def sent_before(self, crash: str, fingerprint: Fingerprint) -> float:
        """Return how many seconds before a crash a prompt was sent."""
        known = self._crashes.get(crash)
        return (
            math.inf if known is None else known.sent_before.get(fingerprint, math.inf)
        )

    def is_sole_cause(self, crash: str, fingerprint: Fingerprint) -> bool:
        """Whether a prompt explains a crash, and nothing else does."""
        known = self._crashes.get(crash)
        if known is None or not known.is_explained_by(fingerprint):
            return False
        return all(
            other.is_explained
            for other in self._crashes.values()
            if abs(other.at - known.at) <= COINCIDENCE_SECONDS
        )
