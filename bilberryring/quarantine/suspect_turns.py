"""The order in which requests may run a prompt that is suspected of crashing engines.

Entries ask every sidecar before they run a suspect. A sidecar answers when the prompt
does not run at its engine, so that the crash it may cause there is known first. Where
the prompt has crashed the engine before, one request at a time gets an answer, so that
entries which suspect it at the same moment do not crash one engine each.

Nothing here does I/O or reads a clock; times are in seconds and passed in.

>>> turns = SuspectTurns()
>>> question = SuspectQuestion(
...     asker="entry-1", query=1, fingerprint=Fingerprint("f"), request="r"
... )
>>> turns.ask(question)
>>> turns.take_due(lambda fingerprint: SuspectState.RUNNING, now=0.0)
[]
>>> turns.take_due(lambda fingerprint: SuspectState.FREE, now=1.0) == [question]
True
"""

from collections import OrderedDict
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from enum import Enum

from bilberryring.core import Fingerprint

SUSPECT_TURN_SECONDS = 5.0
"""Seconds for which a question waits at most, and after which a turn ends."""
MAX_QUESTIONS = 1_000
"""Questions that wait at a sidecar; beyond it, the oldest is forgotten."""


class SuspectState(Enum):
    """What a sidecar knows of a prompt that is asked about.

    `RUNNING`: the prompt runs at its engine, or waits there without being a suspect
    to its entry. `CRASHED_HERE`: a suspect that has
    crashed its engine. `FREE`: neither.
    """

    RUNNING = "running"
    CRASHED_HERE = "crashed_here"
    FREE = "free"


@dataclass(frozen=True, slots=True, kw_only=True)
class SuspectQuestion:
    """A request that wants to run a suspect; `asker` is the link on which it came."""

    asker: Hashable
    query: int
    fingerprint: Fingerprint
    request: str


@dataclass(frozen=True, slots=True, kw_only=True)
class _Turn:
    asker: Hashable
    request: str
    began_at: float


class SuspectTurns:
    """The questions that wait at one sidecar, and the turns it has given."""

    def __init__(self):
        self._questions: OrderedDict[SuspectQuestion, None] = OrderedDict()
        self._turns: dict[Fingerprint, _Turn] = {}

    def ask(self, question: SuspectQuestion) -> None:
        """Add a question; `take_due` returns it when it is to be answered."""
        self._questions[question] = None
        while len(self._questions) > MAX_QUESTIONS:
            self._questions.popitem(last=False)

    def withdraw(self, asker: Hashable) -> None:
        """Forget the questions and end the turns of a link that has closed."""
        for question in tuple(self._questions):
            if question.asker == asker:
                del self._questions[question]
        for fingerprint, turn in tuple(self._turns.items()):
            if turn.asker == asker:
                del self._turns[fingerprint]

    def take_due(
        self, state: Callable[[Fingerprint], SuspectState], *, now: float
    ) -> list[SuspectQuestion]:
        """Remove and return the questions to answer now, in the order they came."""
        for fingerprint, turn in tuple(self._turns.items()):
            is_over = now - turn.began_at >= SUSPECT_TURN_SECONDS
            if is_over or state(fingerprint) is SuspectState.FREE:
                del self._turns[fingerprint]
        due = []
        for question in tuple(self._questions):
            if self._is_due(question, state(question.fingerprint), now):
                del self._questions[question]
                due.append(question)
        return due

    def _is_due(
        self, question: SuspectQuestion, state: SuspectState, now: float
    ) -> bool:
        """Return whether to answer, and give the turn that the answer needs."""
        match state:
            case SuspectState.RUNNING:
                return False
            case SuspectState.FREE:
                return True
            case SuspectState.CRASHED_HERE:
                turn = _Turn(
                    asker=question.asker, request=question.request, began_at=now
                )
                held = self._turns.setdefault(question.fingerprint, turn)
                return (held.asker, held.request) == (turn.asker, turn.request)
