"""A caller's prompt and the timing of its answer."""

from dataclasses import dataclass

from bilberryring.admission import INITIAL_PREFILL_RATE
from bilberryring.core import Fingerprint, RequestId
from bilberryring.objects import Model, Priority, Workspace
from bilberryring.routing import PromptShape

PREFILL_WAIT_FACTOR = 4.0
"""How many prefill times of its own a prompt may wait beyond its priority's limit."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerPrompt:
    """A caller's prompt with the published objects that apply to it.

    `received_at` and `deadline` are in seconds of this process's clock.
    """

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
    def queue_deadline(self) -> float:
        """The latest time at which the first token may still be expected.

        It is the priority's first-token limit, extended in proportion to the
        prompt's length, and never later than the deadline.
        """
        prefill_wait = (
            PREFILL_WAIT_FACTOR * self.shape.prompt_tokens / INITIAL_PREFILL_RATE
        )
        limit = self.received_at + self.priority.first_token_seconds + prefill_wait
        return min(limit, self.deadline)


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerTimes:
    """When the first token arrived and when the answer ended.

    Times are in seconds of this process's clock. `first_token_at` is `None`
    for an answer without tokens.
    """

    first_token_at: float | None
    ended_at: float
    token_count: int
