"""Classes of prompt length; shorter classes are prefilled before longer ones."""

from enum import Enum

SHORT_TOKENS = 4_096
MEDIUM_TOKENS = 32_768
LONG_TOKENS = 100_000


class LengthClass(Enum):
    """A class by the number of prompt tokens; the value orders them."""

    SHORT = 0
    MEDIUM = 1
    LONG = 2
    VERY_LONG = 3

    @property
    def label(self) -> str:
        """The name of the class in metrics and reports."""
        return self.name.lower()


LENGTH_CLASSES = tuple(LengthClass)


def length_class_of(prompt_tokens: int) -> LengthClass:
    """Return the class of a prompt.

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
