"""A simulated model engine with batching, chunked prefill and KV memory.

One step prefills a chunk of at most `chunk_tokens`, taken from waiting prompts
in the order of their priority and arrival, and generates one token for each
decoding prompt. Its duration is `step_seconds`, plus the number of prefilled tokens
divided by `prefill_rate`, plus `stream_seconds` for each decoding prompt.
docs/ENGINE_MODEL.md describes the model.
"""

import hashlib
import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from bilberryring.core import Incarnation, new_incarnation

CRASH_MARK = "<<crash-engine>>"
BLOCK_CHARACTERS = 2_048
CHARACTERS_PER_TOKEN = 4
WORDS = [
    "sifón",
    "carga",
    "pedido",
    "ruta",
    "botella",
    "presión",
    "válvula",
    "cartucho",
    "entrega",
    "bar",
    "luce",
    "festa",
    "piazza",
    "noleggio",
    "cavo",
    "lampada",
    "deposito",
    "sagra",
    "comune",
    "palo",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineParameters:
    """The parameters of a simulated engine.

    Times are in seconds, rates in tokens a second, and KV memory in tokens. The
    engine is cold until it has completed `cold_completions` prompts, and crashes
    while cold when it holds more than `cold_bears` prompts. `cache_blocks` is the
    capacity of the prefix cache in blocks of `BLOCK_CHARACTERS` characters.
    """

    prefill_rate: float = 40_000.0
    chunk_tokens: int = 512
    step_seconds: float = 0.006
    stream_seconds: float = 0.0001
    kv_tokens: int = 400_000
    cold_completions: int = 0
    cold_bears: int = 2
    restart_seconds: float = 1.0
    cache_blocks: int = 20_000


def count_prompt_tokens(text: str) -> int:
    """Return the number of tokens in a text, which is at least 1.

    >>> count_prompt_tokens("abcdefgh")
    2
    """
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def answer_token(prompt_digest: str, index: int) -> str:
    """Return the token at `index` of the answer to a prompt.

    It depends only on the prompt and the index, so a client can check the answer and
    another engine can continue it.
    """
    token_hash = hashlib.blake2b(f"{prompt_digest}{index}".encode(), digest_size=4)
    word = WORDS[int.from_bytes(token_hash.digest(), "big") % len(WORDS)]
    return f"{word}{index} "


def digest_prompt(prompt: str) -> str:
    """Return the digest of a prompt that determines its answer."""
    return hashlib.blake2b(prompt.encode(), digest_size=16).hexdigest()


def expected_answer(prompt: str, token_count: int) -> str:
    """Return the complete answer to a prompt, to compare a received one with."""
    digest = digest_prompt(prompt)
    return "".join(answer_token(digest, index) for index in range(token_count))


@dataclass(slots=True, kw_only=True)
class EngineRequest:
    """One prompt in the engine.

    A prompt with `is_prefill_only` is not decoded: its KV memory is kept until it is
    cancelled. `on_prefilled` is called when such a prompt has been prefilled,
    `on_token` with the index and text of each token, and `on_end` with the reason for
    the end and the number of tokens of the answer. `holder` names the process that
    sent the prompt, and `next_index` is the index of the next token.
    """

    name: str
    holder: str
    prompt_digest: str
    prompt_tokens: int
    prefill_left: int
    max_tokens: int
    next_index: int
    priority: int
    sequence: int
    causes_crash: bool
    is_prefill_only: bool
    on_prefilled: Callable[[], None]
    on_token: Callable[[int, str], None]
    on_end: Callable[[str, int], None]

    @property
    def kv_tokens(self) -> int:
        """The KV memory that the prompt uses, in tokens."""
        return self.prompt_tokens - self.prefill_left + self.next_index


class PrefixCache:
    """An LRU cache of prompt prefixes, which are stored as hashes of whole blocks."""

    def __init__(self, *, blocks: int):
        self._max_blocks = blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def match_and_add(self, prompt: str) -> int:
        """Return the length of the cached prefix in tokens, and cache the prompt."""
        cached = 0
        is_prefix = True
        prefix_hash = hashlib.blake2b(digest_size=8)
        whole_blocks_end = len(prompt) - len(prompt) % BLOCK_CHARACTERS
        for start in range(0, whole_blocks_end, BLOCK_CHARACTERS):
            prefix_hash.update(prompt[start : start + BLOCK_CHARACTERS].encode())
            key = int.from_bytes(prefix_hash.digest(), "big")
            is_prefix = is_prefix and key in self._blocks
            if is_prefix:
                cached += BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)
        return cached


class EngineModel:
    """Simulates an engine on a clock.

    A crash loses all prompts, the KV memory and the prefix cache. The engine is then
    unavailable for `restart_seconds` and cold afterwards, and has a new incarnation.
    """

    def __init__(self, *, clock, parameters: EngineParameters):
        self._clock = clock
        self._parameters = parameters
        self._incarnation = new_incarnation()
        self._requests: dict[str, EngineRequest] = {}
        self._cache = PrefixCache(blocks=parameters.cache_blocks)
        self._sequence = itertools.count()
        self._is_stepping = False
        self._unavailable_until = 0.0
        self._completed = 0
        self._overload_crashes = 0
        self._crashes = 0
        self._highest_fence = 0

    @property
    def incarnation(self) -> Incarnation:
        """The identifier of the current run, which changes at each crash."""
        return self._incarnation

    @property
    def is_available(self) -> bool:
        """Whether the engine is available, so not restarting after a crash."""
        return self._clock.seconds() >= self._unavailable_until

    @property
    def is_cold(self) -> bool:
        """Whether the engine has completed fewer than `cold_completions` prompts."""
        return self._completed < self._parameters.cold_completions

    @property
    def overload_crashes(self) -> int:
        """The number of crashes because of too many prompts while cold."""
        return self._overload_crashes

    @property
    def crashes(self) -> int:
        """The number of crashes that a marked prompt or a call of `crash` caused."""
        return self._crashes

    @property
    def requests(self) -> tuple[EngineRequest, ...]:
        """The prompts that the engine holds now."""
        return tuple(self._requests.values())

    @property
    def kv_used(self) -> int:
        """The KV memory in use, in tokens."""
        return sum(request.kv_tokens for request in self._requests.values())

    @property
    def highest_fence(self) -> int:
        """The highest fencing number accepted so far."""
        return self._highest_fence

    @property
    def parameters(self) -> EngineParameters:
        """The parameters of the model."""
        return self._parameters

    def submit(
        self,
        *,
        name: str,
        holder: str,
        prompt: str,
        max_tokens: int,
        generated: int,
        priority: int,
        on_token: Callable[[int, str], None],
        on_end: Callable[[str, int], None],
        is_prefill_only: bool = False,
        imported_tokens: int = 0,
        on_prefilled: Callable[[], None] = lambda: None,
    ) -> None:
        """Add a prompt to the engine.

        The first `generated` tokens of its answer exist already and are prefilled
        too. `imported_tokens` tokens of the prompt need no prefill here, since other
        engines hold their KV memory. The other arguments are as in `EngineRequest`.
        """
        tokens = max(1, count_prompt_tokens(prompt) - imported_tokens)
        cached = min(self._cache.match_and_add(prompt), tokens - 1)
        request = EngineRequest(
            name=name,
            holder=holder,
            prompt_digest=digest_prompt(prompt),
            prompt_tokens=tokens,
            prefill_left=tokens - cached + generated,
            max_tokens=max_tokens,
            next_index=generated,
            priority=priority,
            sequence=next(self._sequence),
            causes_crash=CRASH_MARK in prompt,
            is_prefill_only=is_prefill_only,
            on_prefilled=on_prefilled,
            on_token=on_token,
            on_end=on_end,
        )
        self._requests[name] = request
        if self.is_cold and len(self._requests) > self._parameters.cold_bears:
            self._overload_crashes += 1
            self._lose_state()
            return
        self._ensure_stepping()

    def cancel(self, name: str) -> bool:
        """Drop a prompt and free its memory; return `False` when it is unknown."""
        request = self._requests.pop(name, None)
        if request is None:
            return False
        request.on_end("cancelled", request.next_index)
        return True

    def crash(self) -> None:
        """Lose all state, and become available again after `restart_seconds`."""
        self._crashes += 1
        self._lose_state()

    def make_cold(self, completions: int) -> None:
        """Make the engine cold until `completions` more prompts are completed."""
        self._completed = self._parameters.cold_completions - completions

    def accept_fence(self, fence: int) -> bool:
        """Return whether a fencing number is at least the highest one so far.

        An accepted number becomes the highest one.
        """
        if fence < self._highest_fence:
            return False
        self._highest_fence = fence
        return True

    def _lose_state(self) -> None:
        lost = tuple(self._requests.values())
        self._requests.clear()
        self._cache = PrefixCache(blocks=self._parameters.cache_blocks)
        self._incarnation = new_incarnation()
        self._completed = 0
        self._unavailable_until = (
            self._clock.seconds() + self._parameters.restart_seconds
        )
        for request in lost:
            request.on_end("lost", request.next_index)

    def _ensure_stepping(self) -> None:
        has_work = any(
            request.prefill_left or not request.is_prefill_only
            for request in self._requests.values()
        )
        if not self._is_stepping and has_work:
            self._is_stepping = True
            self._plan_step()

    def _plan_step(self) -> None:
        parameters = self._parameters
        incarnation = self._incarnation
        chunk = self._choose_chunk()
        decoding = [
            request
            for request in self._requests.values()
            if not request.prefill_left and not request.is_prefill_only
        ]
        duration = (
            parameters.step_seconds
            + sum(tokens for _, tokens in chunk) / parameters.prefill_rate
            + len(decoding) * parameters.stream_seconds
        )
        self._clock.callLater(duration, self._end_step, incarnation, chunk, decoding)

    def _choose_chunk(self) -> list[tuple[EngineRequest, int]]:
        waiting = [item for item in self._requests.values() if item.prefill_left]
        waiting.sort(key=lambda request: (request.priority, request.sequence))
        budget = self._parameters.chunk_tokens
        chunk = []
        for request in waiting:
            tokens = min(budget, request.prefill_left)
            if tokens <= 0:
                break
            chunk.append((request, tokens))
            budget -= tokens
        return chunk

    def _end_step(
        self,
        incarnation: Incarnation,
        chunk: list[tuple[EngineRequest, int]],
        decoding: list[EngineRequest],
    ) -> None:
        self._is_stepping = False
        if incarnation == self._incarnation:
            self._apply_step(chunk, decoding)
        self._ensure_stepping()

    def _apply_step(
        self, chunk: list[tuple[EngineRequest, int]], decoding: list[EngineRequest]
    ) -> None:
        for request, tokens in chunk:
            if request.causes_crash and request.name in self._requests:
                self.crash()
                return
            request.prefill_left -= tokens
            if not request.prefill_left and request.is_prefill_only:
                request.on_prefilled()
            elif not request.prefill_left:
                self._emit(request)
        for request in decoding:
            self._emit(request)
        if self.kv_used > self._parameters.kv_tokens:
            self._evict_newest()

    def _emit(self, request: EngineRequest) -> None:
        if request.name not in self._requests:
            return
        index = request.next_index
        if index < request.max_tokens:
            request.on_token(index, answer_token(request.prompt_digest, index))
            request.next_index += 1
        if request.next_index >= request.max_tokens:
            del self._requests[request.name]
            self._completed += 1
            request.on_end("length", request.next_index)

    def _evict_newest(self) -> None:
        newest = max(self._requests.values(), key=lambda request: request.sequence)
        del self._requests[newest.name]
        newest.on_end("out_of_memory", newest.next_index)
