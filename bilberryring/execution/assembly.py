"""The answer of one request, assembled from the tokens of its attempts.

Tokens carry their index in the complete answer. A token that was delivered before, or
that belongs to an abandoned attempt, is dropped; a gap is an error.

>>> assembly = AnswerAssembly()
>>> assembly.begin_attempt(AttemptId(1))
>>> assembly.add(AttemptId(1), first_index=0, texts=["a", "b"])
['a', 'b']
>>> assembly.begin_attempt(AttemptId(2))
>>> assembly.add(AttemptId(1), first_index=2, texts=["x"])
[]
>>> assembly.add(AttemptId(2), first_index=1, texts=["b", "c"])
['c']
>>> assembly.is_complete(AttemptId(2), token_count=3)
True
"""

from bilberryring.core import AttemptId


class MissingTokensError(Exception):
    """Tokens are missing; another attempt can go on after those delivered."""


class AnswerAssembly:
    """Keeps the tokens delivered so far; accepts tokens of one attempt at a time."""

    def __init__(self):
        self._attempt: AttemptId | None = None
        self._texts: list[str] = []

    @property
    def token_count(self) -> int:
        """The number of tokens delivered so far."""
        return len(self._texts)

    @property
    def text(self) -> str:
        """The tokens delivered so far, as one text."""
        return "".join(self._texts)

    def begin_attempt(self, attempt: AttemptId) -> None:
        """Accept only the tokens of this attempt from now on."""
        self._attempt = attempt

    def add(
        self, attempt: AttemptId, *, first_index: int, texts: list[str]
    ) -> list[str]:
        """Add tokens of an attempt and return those not delivered before.

        Returns an empty list for an abandoned attempt. `MissingTokensError` is raised
        when tokens before `first_index` are missing.
        """
        if attempt != self._attempt:
            return []
        if first_index > len(self._texts):
            raise MissingTokensError(
                f"tokens {len(self._texts)} to {first_index - 1} are missing. "
                "Remedy: make another attempt"
            )
        new = texts[len(self._texts) - first_index :]
        self._texts.extend(new)
        return new

    def is_complete(self, attempt: AttemptId, *, token_count: int) -> bool:
        """Whether all `token_count` tokens of the attempt's answer were delivered."""
        return attempt == self._attempt and token_count == len(self._texts)
