"""The work that a cold endpoint can bear.

An endpoint is cold after its own start, its sidecar's start and any sign of a
restart. The allowance grows with work completed in time, not with time alone,
so an endpoint that is slow to warm up is not buried.

>>> allowance = ColdAllowance(initial=1, full=4)
>>> allowance.is_cold, allowance.limit
(True, 1)
>>> for _ in range(3): allowance.record_completion(in_time=True)
>>> allowance.is_cold, allowance.limit
(False, 4)
"""

COLD_TOKENS_PER_SLOT = 8_192
"""Prompt tokens in prefill that one slot of the allowance admits."""


class ColdAllowance:
    """Limits requests in progress while an endpoint is cold."""

    def __init__(self, *, initial: int, full: int):
        self._initial = initial
        self._full = full
        self._limit = initial

    @property
    def is_cold(self) -> bool:
        """Whether the allowance is below the full concurrency."""
        return self._limit < self._full

    @property
    def limit(self) -> int:
        """The requests that may be in progress."""
        return self._limit

    def admits(self, *, running: int, prefill_tokens: int, new_tokens: int) -> bool:
        """Whether one more request may start now."""
        if running >= self._limit:
            return False
        if not self.is_cold or running == 0:
            return True
        return prefill_tokens + new_tokens <= self._limit * COLD_TOKENS_PER_SLOT

    def record_completion(self, *, in_time: bool) -> None:
        """Grow after a request that ended in time."""
        if in_time:
            self._limit = min(self._limit + 1, self._full)

    def reset(self) -> None:
        """Begin again after a sign of a restart."""
        self._limit = self._initial
