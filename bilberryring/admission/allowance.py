"""The work that a cold endpoint can bear.

An endpoint is cold after its own start, its sidecar's start and any sign of a
restart. The allowance grows with work completed in time, not with time alone,
so an endpoint that is slow to warm up is not buried. It begins to grow after as
many completions as operators say that the engine needs.

>>> allowance = ColdAllowance(initial=1, full=4, completions_needed=2)
>>> for _ in range(2): allowance.record_completion(in_time=True)
>>> allowance.is_cold, allowance.limit
(True, 1)
>>> for _ in range(3): allowance.record_completion(in_time=True)
>>> allowance.is_cold, allowance.limit
(False, 4)
"""

COLD_TOKENS_PER_SLOT = 8_192
"""Prompt tokens in prefill that one slot of the allowance admits."""


def fits_cold_allowance(*, prompt_tokens: int, allowance: int) -> bool:
    """Whether a cold endpoint with an allowance bears so much prefill."""
    return prompt_tokens <= allowance * COLD_TOKENS_PER_SLOT


class ColdAllowance:
    """Limits requests in progress while an endpoint is cold."""

    def __init__(self, *, initial: int, full: int, completions_needed: int = 0):
        self._initial = initial
        self._completions_needed = completions_needed
        self._completions = 0
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

    def can_accept(self, *, prompt_tokens: int, accepted_count: int) -> bool:
        """Whether a prompt is small enough, with `in_hand` others taken."""
        if not self.is_cold:
            return True
        return accepted_count < self._limit and fits_cold_allowance(
            prompt_tokens=prompt_tokens, allowance=self._limit
        )

    def admits(self, *, running: int, prefill_tokens: int, new_tokens: int) -> bool:
        """Whether one more request may start now."""
        if running >= self._limit:
            return False
        if not self.is_cold:
            return True
        return fits_cold_allowance(
            prompt_tokens=prefill_tokens + new_tokens, allowance=self._limit
        )

    def record_completion(self, *, in_time: bool) -> None:
        """Grow after a request that ended in time."""
        if not in_time:
            return
        self._completions += 1
        if self._completions > self._completions_needed:
            self._limit = min(self._limit + 1, self._full)

    def reset(self) -> None:
        """Begin again after a sign of a restart."""
        self._completions = 0
        self._limit = self._initial
