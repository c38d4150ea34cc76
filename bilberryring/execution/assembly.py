"""The answer of one request, put together from its attempts.

Tokens carry their index in the whole answer. A token that was delivered, or
that belongs to an attempt given up, is dropped; a gap is an error.

>>> assembly = AnswerAssembly()
>>> assembly.begin(AttemptId(1))
>>> assembly.add(AttemptId(1), first_index=0, texts=["a", "b"])
['a', 'b']
>>> assembly.begin(AttemptId(2))
>>> assembly.add(AttemptId(1), first_index=2, texts=["x"])
[]
>>> assembly.add(AttemptId(2), first_index=1, texts=["b", "c"])
['c']
>>> assembly.is_whole(AttemptId(2), token_count=3)
True
"""

from bilberryring.core import AttemptId


class AnswerGapError(Exception):
    """Tokens are missing; the remedy is another attempt from what is whole."""


class AnswerAssembly:
    """Keeps the tokens delivered so far and takes those of one attempt."""

    def __init__(self):
        self._attempt: AttemptId | None = None
        self._texts: list[str] = []

    @property
    def token_count(self) -> int:
        """The number of tokens delivered."""
        return len(self._texts)

    @property
    def text(self) -> str:
        """The answer so far."""
        return "".join(self._texts)

    def begin(self, attempt: AttemptId) -> None:
        """Take tokens from this attempt alone from now on."""
        self._attempt = attempt

    def add(
        self, attempt: AttemptId, *, first_index: int, texts: list[str]
    ) -> list[str]:
        """Return the tokens that are new; `AnswerGapError` when some are missing."""
        if attempt != self._attempt:
            return []
        if first_index > len(self._texts):
            raise AnswerGapError(
                f"tokens {len(self._texts)} to {first_index - 1} are missing. "
                "Remedy: make another attempt"
            )
        new = texts[len(self._texts) - first_index :]
        self._texts.extend(new)
        return new

    def is_whole(self, attempt: AttemptId, *, token_count: int) -> bool:
        """Whether the attempt's end matches the tokens that arrived."""
        return attempt == self._attempt and token_count == len(self._texts)
