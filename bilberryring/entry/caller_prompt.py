"""A caller's prompt as the entry holds it, and the times of its answer."""

from dataclasses import dataclass

from bilberryring.admission import INITIAL_PREFILL_RATE
from bilberryring.core import Fingerprint, RequestId
from bilberryring.objects import Model, Priority, Workspace
from bilberryring.routing import PromptShape

PREFILL_PATIENCE = 4.0
"""How many times its own prefill time a prompt may wait beyond its priority's."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerPrompt:
    """A caller's prompt with the objects that govern it."""

    request_id: RequestId
    workspace: Workspace
    priority: Priority
    model: Model
    text: bytes
    shape: PromptShape
    fingerprint: Fingerprint
    received_at: float
    deadline: float

    @property
    def start_by(self) -> float:
        """The time by which the first token must be expected."""
        patience = PREFILL_PATIENCE * self.shape.prompt_tokens / INITIAL_PREFILL_RATE
        limit = self.received_at + self.priority.first_token_seconds + patience
        return min(limit, self.deadline)


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerTimes:
    """When the first token and the end came, in seconds of the process."""

    first_token: float | None
    end: float
    token_count: int
