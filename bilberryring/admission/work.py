"""A prompt as admission sees it."""

from dataclasses import dataclass
from typing import NewType

from bilberryring.admission.length_class import LengthClass, length_class_of

WorkKey = NewType("WorkKey", str)
"""Entry incarnation and attempt number of a prompt, as one text."""

PRIORITIES_PER_CLASS = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptWork:
    """One prompt; times are seconds on the sidecar's clock, lengths tokens.

    `start_by` is the time after which starting makes no sense, and `rank` and
    `share` come from the workspace's priority and share.
    """

    key: WorkKey
    workspace: str
    rank: int
    share: float
    prompt_tokens: int
    max_tokens: int
    start_by: float
    deadline: float
    is_isolated: bool = False

    def __post_init__(self):
        if self.prompt_tokens < 0 or self.max_tokens < 0 or self.share <= 0:
            raise ValueError("tokens must not be negative and share must be above 0")

    @property
    def kv_tokens(self) -> int:
        """The KV memory that the prompt can come to need."""
        return self.prompt_tokens + self.max_tokens

    @property
    def length_class(self) -> LengthClass:
        """The length class of the prompt."""
        return length_class_of(self.prompt_tokens)

    @property
    def engine_priority(self) -> int:
        """The number that orders prefill in the engine; lower goes first."""
        return self.length_class.prefill_rank * PRIORITIES_PER_CLASS + self.rank
