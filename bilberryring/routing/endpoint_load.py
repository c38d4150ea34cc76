"""What an entry knows of an endpoint's load; it is a hint that may be old."""

from dataclasses import dataclass

from bilberryring.admission import (
    LENGTH_CLASSES,
    LengthClass,
    cold_fits,
    length_class_of,
)

NO_BACKLOG = (0,) * len(LENGTH_CLASSES)


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptShape:
    """The lengths of a prompt, in tokens."""

    prompt_tokens: int
    max_tokens: int

    @property
    def length_class(self) -> LengthClass:
        """The length class of the prompt."""
        return length_class_of(self.prompt_tokens)

    @property
    def kv_tokens(self) -> int:
        """The memory that the prompt can come to need."""
        return self.prompt_tokens + self.max_tokens


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointLoad:
    """A report, with what this entry has sent there since.

    Backlogs are prompt tokens by length class, rates tokens a second, and
    `distance_seconds` is the way there and back.
    """

    endpoint: str
    backlog_tokens: tuple[int, ...] = NO_BACKLOG
    sent_tokens: tuple[int, ...] = NO_BACKLOG
    outstanding: int = 0
    allowance: int = 1
    free_kv_tokens: int = 0
    kv_tokens: int = 0
    prefill_rate: float = 1.0
    distance_seconds: float = 0.0
    cached_tokens: int = 0
    is_cold: bool = False

    def tokens_ahead(self, length: LengthClass) -> int:
        """Return the tokens prefilled before a new prompt of the class."""
        return sum(
            self.backlog_tokens[other.value] + self.sent_tokens[other.value]
            for other in LENGTH_CLASSES
            if other.goes_before(length)
        )

    def tokens_behind(self, length: LengthClass) -> int:
        """Return the tokens that a new prompt of the class overtakes."""
        return self.all_tokens - self.tokens_ahead(length)

    def may_bear(self, shape: PromptShape) -> bool:
        """Whether the endpoint would take the prompt, as far as is known.

        A cold endpoint takes a few requests, and none that is long for it.
        """
        if self.kv_tokens and self.kv_tokens < shape.kv_tokens:
            return False
        if not self.is_cold:
            return True
        return self.outstanding < self.allowance and cold_fits(
            prompt_tokens=shape.prompt_tokens, allowance=self.allowance
        )

    @property
    def all_tokens(self) -> int:
        """The tokens of all classes."""
        return sum(self.backlog_tokens) + sum(self.sent_tokens)


def drained_backlog(backlog: tuple[int, ...], drained: float) -> tuple[int, ...]:
    """Return a backlog after some tokens were prefilled, shorter classes first.

    >>> drained_backlog((100, 50, 0, 1000), 120)
    (0, 30, 0, 1000)
    """
    left = int(drained)
    remaining = []
    for tokens in backlog:
        taken = min(tokens, left)
        left -= taken
        remaining.append(tokens - taken)
    if not remaining:
        return (0,) * len(LENGTH_CLASSES)
    return tuple(remaining)
