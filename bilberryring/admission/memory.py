"""Reservations of the KV memory of one endpoint."""

from bilberryring.admission.length_class import LengthClass
from bilberryring.admission.work import PromptWork, WorkKey

SHORT_RESERVE_SHARE = 0.1
"""Share of the memory that is reserved for short and medium prompts."""


class KvMemory:
    """Reserves memory by owner, in tokens; a second release frees nothing.

    >>> from bilberryring.admission import WorkKey
    >>> memory = KvMemory(total_tokens=100)
    >>> memory.reserve(WorkKey("a"), tokens=60)
    >>> memory.free_tokens
    40
    >>> memory.release(WorkKey("a")), memory.release(WorkKey("a"))
    (60, 0)
    """

    def __init__(self, *, total_tokens: int):
        self._total = total_tokens
        self._tokens_by_owner: dict[WorkKey, int] = {}
        self._reserved_tokens = 0

    @property
    def total_tokens(self) -> int:
        """The engine's whole KV memory, in tokens."""
        return self._total

    @property
    def free_tokens(self) -> int:
        """The memory that is not reserved, in tokens."""
        return self._total - self._reserved_tokens

    @property
    def owners(self) -> frozenset[WorkKey]:
        """The owners that hold a reservation."""
        return frozenset(self._tokens_by_owner)

    def has_room(self, work: PromptWork) -> bool:
        """Whether the prompt fits now.

        Long prompts must leave the share for shorter ones free, unless they would then
        not even fit into the empty engine.
        """
        reserve = 0
        if work.length_class in (LengthClass.LONG, LengthClass.VERY_LONG):
            reserve = min(
                int(self._total * SHORT_RESERVE_SHARE), self._total - work.kv_tokens
            )
        return work.kv_tokens <= self.free_tokens - reserve

    def can_ever_hold(self, work: PromptWork) -> bool:
        """Whether the prompt would fit into the empty engine."""
        return work.kv_tokens <= self._total

    def reserve(self, owner: WorkKey, *, tokens: int) -> None:
        """Reserve tokens for an owner that has no reservation."""
        if owner in self._tokens_by_owner:
            raise ValueError(f"'{owner}' already holds a reservation; release it first")
        self._tokens_by_owner[owner] = tokens
        self._reserved_tokens += tokens

    def release(self, owner: WorkKey) -> int:
        """Free an owner's reservation and return its tokens, 0 if it has none."""
        tokens = self._tokens_by_owner.pop(owner, 0)
        self._reserved_tokens -= tokens
        return tokens
