"""Classes of prompt length; shorter classes are prefilled before longer ones.

The constants are the most prompt tokens of each class.
"""

from enum import Enum

SHORT_TOKENS = 4_096
MEDIUM_TOKENS = 32_768
LONG_TOKENS = 100_000


class LengthClass(Enum):
    """A range of prompt lengths, in increasing order."""

    SHORT = 0
    MEDIUM = 1
    LONG = 2
    VERY_LONG = 3

    @property
    def label(self) -> str:
        """The name of the class in metrics and reports."""
        return self.name.lower()

    @property
    def prefill_rank(self) -> int:
        """Position in the order of prefill, which the two longest classes share."""
        return min(self.value, LengthClass.LONG.value)

    def goes_before(self, other: "LengthClass") -> bool:
        """Whether this class is prefilled before the other one or at the same rank."""
        return self.prefill_rank <= other.prefill_rank


LENGTH_CLASSES = tuple(LengthClass)


def length_class_of(prompt_tokens: int) -> LengthClass:
    """Return the class of a prompt with that many tokens.

    >>> length_class_of(4096).label, length_class_of(250_000).label
    ('short', 'very_long')
    """
    if prompt_tokens <= SHORT_TOKENS:
        return LengthClass.SHORT
    if prompt_tokens <= MEDIUM_TOKENS:
        return LengthClass.MEDIUM
    if prompt_tokens <= LONG_TOKENS:
        return LengthClass.LONG
    return LengthClass.VERY_LONG
