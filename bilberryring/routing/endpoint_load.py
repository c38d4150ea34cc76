"""An entry's estimate of one endpoint's load.

The estimate starts from the last report of the endpoint's sidecar, so it can be
out of date; the sidecar's admission has the final decision.
"""

from dataclasses import dataclass

from bilberryring.admission import (
    LENGTH_CLASSES,
    LengthClass,
    fits_cold_allowance,
    length_class_of,
)

NO_BACKLOG = (0,) * len(LENGTH_CLASSES)


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptShape:
    """Length of a prompt and the limit on its answer, both in tokens."""

    prompt_tokens: int
    max_tokens: int

    @property
    def length_class(self) -> LengthClass:
        """The length class, by the number of prompt tokens."""
        return length_class_of(self.prompt_tokens)

    @property
    def kv_tokens(self) -> int:
        """The most KV memory that prompt and answer can take, in tokens."""
        return self.prompt_tokens + self.max_tokens


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointLoad:
    """The last report of an endpoint, and what this entry has sent there since.

    `backlog_tokens` (reported) and `sent_tokens` (sent since the report) are prompt
    tokens not yet prefilled, by length class. `outstanding` counts requests in
    progress and `allowance` is the number of them that a cold endpoint accepts.
    `kv_tokens` is the engine's whole KV memory, 0 if unknown. `prefill_rate` is in
    tokens per second and `round_trip_seconds` is the network round trip.
    """

    endpoint: str
    backlog_tokens: tuple[int, ...] = NO_BACKLOG
    sent_tokens: tuple[int, ...] = NO_BACKLOG
    outstanding: int = 0
    allowance: int = 1
    free_kv_tokens: int = 0
    kv_tokens: int = 0
    prefill_rate: float = 1.0
    round_trip_seconds: float = 0.0
    cached_tokens: int = 0
    is_cold: bool = False

    def tokens_ahead(self, length: LengthClass) -> int:
        """Return how many tokens are prefilled before a new prompt of this class."""
        return sum(
            self.backlog_tokens[other.value] + self.sent_tokens[other.value]
            for other in LENGTH_CLASSES
            if other.goes_before(length)
        )

    def tokens_behind(self, length: LengthClass) -> int:
        """Return how many waiting tokens a new prompt of this class goes ahead of."""
        return self.waiting_tokens - self.tokens_ahead(length)

    def can_accept(self, shape: PromptShape) -> bool:
        """Whether the endpoint would accept the prompt, by the last report.

        A cold endpoint accepts only `allowance` requests, and only prompts that are
        short enough for that allowance.
        """
        if self.kv_tokens and self.kv_tokens < shape.kv_tokens:
            return False
        if not self.is_cold:
            return True
        return self.outstanding < self.allowance and fits_cold_allowance(
            prompt_tokens=shape.prompt_tokens, allowance=self.allowance
        )

    @property
    def waiting_tokens(self) -> int:
        """Prompt tokens of all length classes that are not yet prefilled."""
        return sum(self.backlog_tokens) + sum(self.sent_tokens)


def drained_backlog(backlog: tuple[int, ...], drained: float) -> tuple[int, ...]:
    """Return what is left of a backlog after the prefill of `drained` tokens.

    Both backlogs are tokens by length class; shorter classes are prefilled first.

    >>> drained_backlog((100, 50, 0, 1000), 120)
    (0, 30, 0, 1000)
    """
    to_drain = int(drained)
    remaining = []
    for tokens in backlog:
        prefilled = min(tokens, to_drain)
        to_drain -= prefilled
        remaining.append(tokens - prefilled)
    if not remaining:
        return (0,) * len(LENGTH_CLASSES)
    return tuple(remaining)
