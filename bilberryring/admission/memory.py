"""The KV memory of one endpoint: reservations with owners, and their audit."""

from bilberryring.admission.length_class import LengthClass
from bilberryring.admission.work import PromptWork, WorkKey

SHORT_RESERVE_SHARE = 0.1
"""The part of memory that only prompts below the long classes may take."""


class KvMemory:
    """Reserves KV tokens by owner; a reservation is freed only once.

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
        self._held: dict[WorkKey, int] = {}
        self._held_sum = 0

    @property
    def total_tokens(self) -> int:
        """The memory of the engine, in tokens."""
        return self._total

    @property
    def free_tokens(self) -> int:
        """The memory that nobody has reserved, in tokens."""
        return self._total - self._held_sum

    @property
    def owners(self) -> frozenset[WorkKey]:
        """Who holds a reservation."""
        return frozenset(self._held)

    def has_room(self, work: PromptWork) -> bool:
        """Whether the prompt fits now, with the reserve for shorter ones kept."""
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
        """Reserve tokens for a new owner."""
        if owner in self._held:
            raise ValueError(f"'{owner}' holds a reservation; release it first")
        self._held[owner] = tokens
        self._held_sum += tokens

    def release(self, owner: WorkKey) -> int:
        """Free an owner's reservation and return its size in tokens."""
        tokens = self._held.pop(owner, 0)
        self._held_sum -= tokens
        return tokens
