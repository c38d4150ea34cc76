"""A prompt with what admission needs to order, place and refuse it."""

from dataclasses import dataclass
from typing import NewType

from bilberryring.admission.length_class import LengthClass, length_class_of

WorkKey = NewType("WorkKey", str)
"""Incarnation of the entry and attempt number of a prompt, as one string."""

PRIORITIES_PER_CLASS = 100
"""Engine priorities of one length class, one for each rank."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptWork:
    """One prompt; times are seconds on the sidecar's clock, lengths are in tokens.

    `rank` comes from the workspace's priority, lower ranks first, and `share` is the
    workspace's share in fair queueing. A prompt that has not started by `start_by`
    is refused. A prompt with `is_isolated` is suspected of crashing engines and runs
    alone.
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
        """The most KV memory that prompt and answer can take, in tokens."""
        return self.prompt_tokens + self.max_tokens

    @property
    def length_class(self) -> LengthClass:
        """The length class, by the number of prompt tokens."""
        return length_class_of(self.prompt_tokens)

    @property
    def engine_priority(self) -> int:
        """The priority of the prefill in the engine; lower numbers go first."""
        return self.length_class.prefill_rank * PRIORITIES_PER_CLASS + self.rank
