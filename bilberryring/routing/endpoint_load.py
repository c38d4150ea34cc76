"""What an entry knows of an endpoint's load; it is a hint that may be old."""

from dataclasses import dataclass

from bilberryring.admission import LENGTH_CLASSES, LengthClass, length_class_of

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

    def tokens_ahead(self, length: LengthClass) -> int:
        """Return the tokens prefilled before a new prompt of the class."""
        upto = length.value + 1
        return sum(self.backlog_tokens[:upto]) + sum(self.sent_tokens[:upto])

    def tokens_behind(self, length: LengthClass) -> int:
        """Return the tokens of longer classes."""
        after = length.value + 1
        return sum(self.backlog_tokens[after:]) + sum(self.sent_tokens[after:])

    @property
    def all_tokens(self) -> int:
        """The tokens of all classes."""
        return sum(self.backlog_tokens) + sum(self.sent_tokens)
