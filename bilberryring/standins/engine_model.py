"""A model engine as a simulation: batching, chunked prefill, KV memory.

One step prefills a chunk of at most `chunk_tokens`, taken from waiting prompts
in the order of their priority, and gives each decoding prompt one token. Its
duration is `step_seconds` plus the chunk's tokens over `prefill_rate` plus
`stream_seconds` for each decoding prompt. docs/ENGINE_MODEL.md states the model.
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
    """Times in seconds, rates in tokens a second, memory in tokens."""

    prefill_rate: float = 40_000.0
    chunk_tokens: int = 512
    step_seconds: float = 0.006
    stream_seconds: float = 0.0001
    kv_tokens: int = 400_000
    cold_completions: int = 0
    cold_bears: int = 2
    restart_seconds: float = 1.0
    cache_blocks: int = 20_000


def prompt_tokens_of(text: str) -> int:
    """Return the number of tokens that a text counts as.

    >>> prompt_tokens_of("abcdefgh")
    2
    """
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def answer_token(prompt_digest: str, index: int) -> str:
    """Return one token of the answer, which depends on the prompt alone."""
    mixed = hashlib.blake2b(f"{prompt_digest}{index}".encode(), digest_size=4)
    word = WORDS[int.from_bytes(mixed.digest(), "big") % len(WORDS)]
    return f"{word}{index} "


def prompt_digest_of(prompt: str) -> str:
    """Return the digest on which a prompt's answer depends."""
    return hashlib.blake2b(prompt.encode(), digest_size=16).hexdigest()


def expected_answer(prompt: str, token_count: int) -> str:
    """Return the whole answer to a prompt, for those who check it."""
    digest = prompt_digest_of(prompt)
    return "".join(answer_token(digest, index) for index in range(token_count))


@dataclass(slots=True, kw_only=True)
class EngineRequest:
    """One prompt in the engine; callbacks hand over tokens and the end."""

    name: str
    holder: str
    prompt_digest: str
    prompt_tokens: int
    prefill_left: int
    max_tokens: int
    next_index: int
    priority: int
    sequence: int
    crashes: bool
    holds: bool
    on_held: Callable[[], None]
    on_token: Callable[[int, str], None]
    on_end: Callable[[str, int], None]

    @property
    def kv_tokens(self) -> int:
        """The memory that the prompt holds."""
        return self.prompt_tokens - self.prefill_left + self.next_index


class PrefixCache:
    """Remembers prefixes of prompts by hash, the least recently used go."""

    def __init__(self, *, blocks: int):
        self._limit = blocks
        self._known: OrderedDict[int, None] = OrderedDict()

    def take(self, prompt: str) -> int:
        """Return the cached prefix in tokens and remember the whole prompt."""
        cached = 0
        is_prefix = True
        running = hashlib.blake2b(digest_size=8)
        whole = len(prompt) - len(prompt) % BLOCK_CHARACTERS
        for start in range(0, whole, BLOCK_CHARACTERS):
            running.update(prompt[start : start + BLOCK_CHARACTERS].encode())
            key = int.from_bytes(running.digest(), "big")
            is_prefix = is_prefix and key in self._known
            if is_prefix:
                cached += BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN
            self._known[key] = None
            self._known.move_to_end(key)
        while len(self._known) > self._limit:
            self._known.popitem(last=False)
        return cached


class EngineModel:
    """Runs steps on a clock; `crash` loses everything and begins cold."""

    def __init__(self, *, clock, parameters: EngineParameters):
        self._clock = clock
        self._parameters = parameters
        self._incarnation = new_incarnation()
        self._requests: dict[str, EngineRequest] = {}
        self._cache = PrefixCache(blocks=parameters.cache_blocks)
        self._sequence = itertools.count()
        self._is_stepping = False
        self._down_until = 0.0
        self._completed = 0
        self._falls = 0
        self._crashes = 0
        self._highest_fence = 0

    @property
    def incarnation(self) -> Incarnation:
        """The name of this run of the engine."""
        return self._incarnation

    @property
    def is_up(self) -> bool:
        """Whether the engine answers."""
        return self._clock.seconds() >= self._down_until

    @property
    def is_cold(self) -> bool:
        """Whether the engine bears only a little load."""
        return self._completed < self._parameters.cold_completions

    @property
    def falls(self) -> int:
        """How often the engine fell over under load while cold."""
        return self._falls

    @property
    def crashes(self) -> int:
        """How often a marked prompt or an order ended the engine."""
        return self._crashes

    @property
    def requests(self) -> tuple[EngineRequest, ...]:
        """The prompts in the engine."""
        return tuple(self._requests.values())

    @property
    def kv_used(self) -> int:
        """The memory in use, in tokens."""
        return sum(request.kv_tokens for request in self._requests.values())

    @property
    def highest_fence(self) -> int:
        """The highest fencing number that an order carried."""
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
        holds: bool = False,
        imported_tokens: int = 0,
        on_held: Callable[[], None] = lambda: None,
    ) -> None:
        """Take a prompt; `generated` tokens of its answer exist already."""
        tokens = max(1, prompt_tokens_of(prompt) - imported_tokens)
        cached = min(self._cache.take(prompt), tokens - 1)
        request = EngineRequest(
            name=name,
            holder=holder,
            prompt_digest=prompt_digest_of(prompt),
            prompt_tokens=tokens,
            prefill_left=tokens - cached + generated,
            max_tokens=max_tokens,
            next_index=generated,
            priority=priority,
            sequence=next(self._sequence),
            crashes=CRASH_MARK in prompt,
            holds=holds,
            on_held=on_held,
            on_token=on_token,
            on_end=on_end,
        )
        self._requests[name] = request
        if self.is_cold and len(self._requests) > self._parameters.cold_bears:
            self._falls += 1
            self._lose_all()
            return
        self._ensure_stepping()

    def cancel(self, name: str) -> bool:
        """Drop a prompt and free its memory; `False` when it is unknown."""
        request = self._requests.pop(name, None)
        if request is None:
            return False
        request.on_end("cancelled", request.next_index)
        return True

    def crash(self) -> None:
        """Lose all prompts and memory; answer again after the restart time."""
        self._crashes += 1
        self._lose_all()

    def turn_cold(self, completions: int) -> None:
        """Become cold without a restart."""
        self._completed = self._parameters.cold_completions - completions

    def take_fence(self, fence: int) -> bool:
        """Whether an order's fencing number is not an old one."""
        if fence < self._highest_fence:
            return False
        self._highest_fence = fence
        return True

    def _lose_all(self) -> None:
        lost = tuple(self._requests.values())
        self._requests.clear()
        self._cache = PrefixCache(blocks=self._parameters.cache_blocks)
        self._incarnation = new_incarnation()
        self._completed = 0
        self._down_until = self._clock.seconds() + self._parameters.restart_seconds
        for request in lost:
            request.on_end("lost", request.next_index)

    def _ensure_stepping(self) -> None:
        has_work = any(
            request.prefill_left or not request.holds
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
            if not request.prefill_left and not request.holds
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
            if request.crashes and request.name in self._requests:
                self.crash()
                return
            request.prefill_left -= tokens
            if not request.prefill_left and request.holds:
                request.on_held()
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
