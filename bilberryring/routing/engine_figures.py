"""Latency model of a model engine, with the parameters that operators publish.

An engine works in passes. A pass with streams in decode runs `stride` token steps,
and each step may also prefill up to `chunk_tokens` of a prompt. So the prefill of
a prompt lengthens the passes of all streams that decode on the same engine.
"""

from dataclasses import dataclass

MILLION = 1_000_000.0
THOUSAND = 1_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineFigures:
    """Capacity and speed of one engine; memory and lengths are in tokens.

    `slots` is the number of requests that the engine runs at once. A token step takes
    `step_ms`, plus `sequence_ms` for each stream in decode and `context_ms` for each
    thousand tokens in their contexts. The prefill of a prompt takes a time linear in
    its length, at `prefill_tokens_per_ms`, and `million_pairs_ms` for each million of
    its token pairs, for attention. `usual_answer_tokens` is the length of a typical
    answer.

    >>> figures = EngineFigures(slots=8, kv_tokens=315_000, stride=51,
    ...     step_ms=0.85, sequence_ms=0.0085, context_ms=0.00285,
    ...     prefill_tokens_per_ms=177.0, million_pairs_ms=0.184, chunk_tokens=2048)
    >>> round(figures.prefill_ms(154_000))
    3052
    >>> round(figures.pass_ms(streams=2, context_tokens=10_000))
    46
    >>> round(figures.answer_ms(tokens=1_000, prompt_tokens=9_000))
    946
    """

    slots: int
    kv_tokens: int
    stride: int
    step_ms: float
    sequence_ms: float
    context_ms: float
    prefill_tokens_per_ms: float
    million_pairs_ms: float
    chunk_tokens: int
    usual_answer_tokens: int = 1_600

    @property
    def usual_answer_ms(self) -> float:
        """Time to decode a typical answer with half of the slots in use."""
        step = self.step_ms + self.sequence_ms * self.slots / 2
        return max(1.0, self.usual_answer_tokens * step)

    def prefill_ms(self, tokens: int) -> float:
        """Return the time in which one engine prefills a prompt of that length."""
        pairs = tokens * tokens / 2.0 / MILLION
        return tokens / self.prefill_tokens_per_ms + self.million_pairs_ms * pairs

    def answer_ms(self, *, tokens: int, prompt_tokens: int) -> float:
        """Return the time in which an answer is decoded with all slots in use.

        `tokens` is its length. Prefill of other prompts is not counted.
        """
        step = self.step_ms + self.sequence_ms * self.slots
        step += self.context_ms * (prompt_tokens + tokens) / THOUSAND
        return step * tokens

    def pass_ms(self, *, streams: int, context_tokens: int) -> float:
        """Return the duration of a pass without prefill.

        `streams` is the number of streams in decode, `context_tokens` the sum of
        their context lengths.
        """
        step = self.step_ms + self.sequence_ms * streams
        step += self.context_ms * context_tokens / THOUSAND
        return step * self.stride

    @property
    def pass_prefill_ms(self) -> float:
        """The longest time for which one pass can prefill.

        Each of its steps prefills at most `chunk_tokens`; the last ones of a prompt
        that fills the memory take the longest.
        """
        before = max(0, self.kv_tokens - self.stride * self.chunk_tokens)
        return self.prefill_ms(self.kv_tokens) - self.prefill_ms(before)
