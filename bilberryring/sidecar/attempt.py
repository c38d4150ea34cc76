"""The state that a sidecar keeps for one attempt at a prompt."""

import math
from dataclasses import dataclass, field
from enum import Enum

from bilberryring.adapters import Generation
from bilberryring.admission import PromptWork, WorkKey
from bilberryring.core import from_micros
from bilberryring.objects import ObjectSet
from bilberryring.sidecar.peer import PeerLink
from bilberryring.sidecar.span_lead import SpanLead
from bilberryring.wire import PromptPart, RunPrompt

UNKNOWN_PRIORITY_RANK = 99
"""Rank of an attempt whose priority is not in the set in force."""

UNKNOWN_WORKSPACE_SHARE = 0.001
"""Share of an attempt whose workspace is not in the set in force; above 0."""


class AttemptState(Enum):
    """The states of an attempt, in the order in which it goes through them.

    `ARRIVING`: parts of the prompt are missing. `GATHERING`: the helpers of its span
    prefill their parts. `QUEUED`: it waits in admission. `RUNNING`: the engine has
    it. `ENDED`: the entry was told how it ended.
    """

    ARRIVING = "arriving"
    GATHERING = "gathering"
    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(slots=True, kw_only=True)
class PromptAttempt:
    """The entry's message, the prompt parts received so far, and the state.

    `engine_incarnation` is that of the engine when the attempt started there.
    """

    key: WorkKey
    peer: PeerLink
    message: RunPrompt
    parts: list[bytes] = field(default_factory=list)
    state: AttemptState = AttemptState.ARRIVING
    generation: Generation | None = None
    timer: object = None
    started_at: float = 0.0
    engine_incarnation: str = ""
    tokens_sent: int = 0
    tokens_sent_at: float = -math.inf
    span: SpanLead | None = None

    @property
    def is_complete(self) -> bool:
        """Whether all parts of the prompt have arrived."""
        return len(self.parts) == self.message.prompt_parts

    @property
    def was_accepted(self) -> bool:
        """Whether the engine accepted the prompt, so that it may have crashed by it."""
        return self.generation is not None and self.generation.was_accepted

    @property
    def prompt(self) -> str:
        """The received parts as one text."""
        return b"".join(self.parts).decode()

    @property
    def imported_tokens(self) -> int:
        """The prompt tokens that the span's helpers hold; 0 without a span."""
        if self.span is None:
            return 0
        return self.span.imported_tokens(self.message.prompt_tokens)

    @property
    def deadline(self) -> float:
        """The time by which the answer must be complete, on this process's clock."""
        return from_micros(self.message.deadline)

    def add_part(self, part: PromptPart) -> bool:
        """Append the next part; `False` when the part is not the next one."""
        if part.index != len(self.parts) or self.is_complete:
            return False
        self.parts.append(part.text)
        return True

    def to_prompt_work(self, objects: ObjectSet) -> PromptWork:
        """Return the attempt as the work item that admission queues."""
        message = self.message
        workspace = objects.workspaces.get(message.workspace)
        priority = objects.priorities.get(message.priority)
        return PromptWork(
            key=self.key,
            workspace=message.workspace,
            rank=priority.rank if priority else UNKNOWN_PRIORITY_RANK,
            share=workspace.share if workspace else UNKNOWN_WORKSPACE_SHARE,
            prompt_tokens=message.prompt_tokens - self.imported_tokens,
            max_tokens=message.max_tokens,
            start_by=from_micros(message.queue_deadline),
            deadline=self.deadline,
            is_isolated=bool(message.isolated),
        )
