"""One attempt at a prompt, as the sidecar holds it."""

from dataclasses import dataclass, field
from enum import Enum

from bilberryring.adapters import Generation
from bilberryring.admission import PromptWork, WorkKey
from bilberryring.core import from_micros
from bilberryring.objects import ObjectSet
from bilberryring.sidecar.peer import PeerLink
from bilberryring.sidecar.span_lead import SpanLead
from bilberryring.wire import PromptPart, RunPrompt

DEFAULT_RANK = 99
DEFAULT_SHARE = 0.001


class AttemptState(Enum):
    """The states of an attempt."""

    ARRIVING = "arriving"
    GATHERING = "gathering"
    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(slots=True, kw_only=True)
class PromptAttempt:
    """The message, the parts that arrived, and where the attempt stands."""

    key: WorkKey
    peer: PeerLink
    message: RunPrompt
    parts: list[bytes] = field(default_factory=list)
    state: AttemptState = AttemptState.ARRIVING
    generation: Generation | None = None
    timer: object = None
    started_at: float = 0.0
    tokens_sent: int = 0
    span: SpanLead | None = None

    @property
    def is_complete(self) -> bool:
        """Whether all parts of the prompt are here."""
        return len(self.parts) == self.message.prompt_parts

    @property
    def prompt(self) -> str:
        """The whole prompt."""
        return b"".join(self.parts).decode()

    @property
    def imported_tokens(self) -> int:
        """The tokens of the prompt that helpers of a span hold."""
        if self.span is None:
            return 0
        return self.span.imported_tokens(self.message.prompt_tokens)

    @property
    def deadline(self) -> float:
        """The time on this process's clock by which the answer must be whole."""
        return from_micros(self.message.deadline)

    def add_part(self, part: PromptPart) -> bool:
        """Take the next part; `False` when it is not the next one."""
        if part.index != len(self.parts) or self.is_complete:
            return False
        self.parts.append(part.text)
        return True

    def work(self, objects: ObjectSet) -> PromptWork:
        """Return the attempt as admission sees it."""
        message = self.message
        workspace = objects.workspaces.get(message.workspace)
        priority = objects.priorities.get(message.priority)
        return PromptWork(
            key=self.key,
            workspace=message.workspace,
            rank=priority.rank if priority else DEFAULT_RANK,
            share=workspace.share if workspace else DEFAULT_SHARE,
            prompt_tokens=message.prompt_tokens - self.imported_tokens,
            max_tokens=message.max_tokens,
            start_by=from_micros(message.queue_deadline),
            deadline=self.deadline,
            is_isolated=bool(message.isolated),
        )
