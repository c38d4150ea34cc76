"""Times of a model engine, computed from the figures that operators publish.

An engine works in passes. A pass with prompts that are writing runs `stride`
token steps; each step may also read up to `chunk_tokens` of a prompt. So a
prompt that is being read lengthens the passes of all writers beside it.
"""

from dataclasses import dataclass

MILLION = 1_000_000.0
THOUSAND = 1_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineFigures:
    """Times in milliseconds, lengths and memory in tokens.

    >>> figures = EngineFigures(slots=8, kv_tokens=315_000, stride=51,
    ...     step_ms=0.85, sequence_ms=0.0085, context_ms=0.00285,
    ...     read_tokens_per_ms=177.0, pairs_ms=0.184, chunk_tokens=2048)
    >>> round(figures.read_ms(154_000))
    3052
    >>> round(figures.pass_ms(writers=2, context_tokens=10_000))
    46
    """

    slots: int
    kv_tokens: int
    stride: int
    step_ms: float
    sequence_ms: float
    context_ms: float
    read_tokens_per_ms: float
    pairs_ms: float
    chunk_tokens: int
    usual_answer_tokens: int = 1_600

    @property
    def stream_ms(self) -> float:
        """The time in which an engine writes the usual answer."""
        step = self.step_ms + self.sequence_ms * self.slots / 2
        return max(1.0, self.usual_answer_tokens * step)

    def read_ms(self, tokens: int) -> float:
        """Return the time in which one engine reads a prompt."""
        pairs = tokens * tokens / 2.0 / MILLION
        return tokens / self.read_tokens_per_ms + self.pairs_ms * pairs

    def pass_ms(self, *, writers: int, context_tokens: int) -> float:
        """Return the time of a pass in which nothing is read."""
        step = self.step_ms + self.sequence_ms * writers
        step += self.context_ms * context_tokens / THOUSAND
        return step * self.stride
