"""Limit on the load of a cold endpoint.

An endpoint is cold after its own start, its sidecar's start and any sign of a
restart. The allowance grows with requests completed on time, not with the time that
has passed, so that an endpoint that warms up slowly is not overloaded. It begins to
grow after the number of completions that operators state for the engine.

>>> allowance = ColdAllowance(initial_limit=1, full_limit=4, completions_needed=2)
>>> for _ in range(2): allowance.record_completion(in_time=True)
>>> allowance.is_cold, allowance.limit
(True, 1)
>>> for _ in range(3): allowance.record_completion(in_time=True)
>>> allowance.is_cold, allowance.limit
(False, 4)
"""

COLD_TOKENS_PER_SLOT = 8_192
"""Prompt tokens that may be in prefill for each request of the allowance."""


def fits_cold_allowance(*, prompt_tokens: int, allowance: int) -> bool:
    """Whether a cold endpoint may have so many prompt tokens in prefill."""
    return prompt_tokens <= allowance * COLD_TOKENS_PER_SLOT


class ColdAllowance:
    """Limits the requests in progress, from `initial_limit` up to `full_limit`."""

    def __init__(
        self, *, initial_limit: int, full_limit: int, completions_needed: int = 0
    ):
        self._initial_limit = initial_limit
        self._completions_needed = completions_needed
        self._completions = 0
        self._full_limit = full_limit
        self._limit = initial_limit

    @property
    def is_cold(self) -> bool:
        """Whether the allowance has not yet reached the full limit."""
        return self._limit < self._full_limit

    @property
    def limit(self) -> int:
        """The number of requests that may be in progress."""
        return self._limit

    def can_accept(self, *, prompt_tokens: int, accepted_count: int) -> bool:
        """Whether to accept a prompt, with `accepted_count` others waiting or running.

        A cold endpoint accepts up to its limit, and no prompt that is too long for it.
        """
        if not self.is_cold:
            return True
        return accepted_count < self._limit and fits_cold_allowance(
            prompt_tokens=prompt_tokens, allowance=self._limit
        )

    def admits(self, *, running: int, prefill_tokens: int, new_tokens: int) -> bool:
        """Whether a request with `new_tokens` may start now.

        `running` requests are in progress, and `prefill_tokens` of their prompt tokens
        are still in prefill.
        """
        if running >= self._limit:
            return False
        if not self.is_cold:
            return True
        return fits_cold_allowance(
            prompt_tokens=prefill_tokens + new_tokens, allowance=self._limit
        )

    def record_completion(self, *, in_time: bool) -> None:
        """Count a request that ended, and grow if it ended on time."""
        if not in_time:
            return
        self._completions += 1
        if self._completions > self._completions_needed:
            self._limit = min(self._limit + 1, self._full_limit)

    def reset(self) -> None:
        """Return to the initial limit after a sign of a restart."""
        self._completions = 0
        self._limit = self._initial_limit
