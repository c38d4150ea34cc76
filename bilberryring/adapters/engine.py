"""Orders to a model engine and its answers."""

from collections.abc import Callable
from enum import Enum

import msgspec
from twisted.internet.defer import Deferred

from bilberryring.adapters.engine_protocol import (
    CancelOrder,
    GenerateEvent,
    GenerateOrder,
    HeldAnswer,
)
from bilberryring.http import HttpClient, LineStream

CALL_SECONDS = 1.0


class EngineError(Exception):
    """The engine gave no usable answer; the remedy is to ask what it holds."""


class GenerationEnd(Enum):
    """How a generation ended."""

    WHOLE = "whole"
    OUT_OF_MEMORY = "out_of_memory"
    CANCELLED = "cancelled"
    BROKEN = "broken"


class Generation:
    """One prompt that runs in the engine."""

    def __init__(
        self,
        *,
        on_tokens: Callable[[int, list[str]], None],
        on_held: Callable[[], None],
    ):
        self._on_tokens = on_tokens
        self._on_held = on_held
        self._decoder = msgspec.json.Decoder(GenerateEvent)
        self._end: GenerateEvent | None = None
        self._stream: LineStream | None = None
        self._is_aborted = False

    @property
    def was_accepted(self) -> bool:
        """Whether the engine took the order."""
        return self._stream is not None

    @property
    def token_count(self) -> int:
        """The tokens of the whole answer, once it ended well."""
        return self._end.count if self._end else 0

    def take_lines(self, lines: list[bytes]) -> None:
        """Hand over the tokens in some lines of the answer."""
        texts: list[str] = []
        first_index = 0
        for line in lines:
            if not line:
                continue
            event = self._decoder.decode(line)
            if event.held:
                self._on_held()
                continue
            if event.end:
                self._end = event
                continue
            if not texts:
                first_index = event.index
            texts.append(event.text)
        if texts and not self._is_aborted:
            self._on_tokens(first_index, texts)

    def attach(self, stream: LineStream) -> None:
        """Take the stream that carries the answer."""
        self._stream = stream
        if self._is_aborted:
            stream.abort()

    def abort(self) -> None:
        """Stop listening; the engine is told by a cancel of its own."""
        self._is_aborted = True
        if self._stream is not None:
            self._stream.abort()

    def end(self, is_complete: bool) -> GenerationEnd:
        """Return how the generation ended."""
        if not is_complete or self._end is None:
            return GenerationEnd.BROKEN
        match self._end.end:
            case "out_of_memory":
                return GenerationEnd.OUT_OF_MEMORY
            case "cancelled":
                return GenerationEnd.CANCELLED
            case _:
                return GenerationEnd.WHOLE


class EngineClient:
    """Gives orders with fencing numbers to one engine."""

    def __init__(self, *, client: HttpClient):
        self._client = client

    async def generate(
        self, order: GenerateOrder, generation: Generation
    ) -> GenerationEnd:
        """Run a prompt to its end; tokens go to the generation as they come."""
        try:
            stream = await self._client.open_lines(
                "/v1/generate",
                body=msgspec.json.encode(order),
                on_lines=generation.take_lines,
            )
        except Exception as error:
            raise EngineError(f"engine_unreachable: {error}")
        if stream.status != 200:
            raise EngineError(f"engine_refused: status {stream.status}")
        generation.attach(stream)
        is_complete = await stream.done
        return generation.end(is_complete)

    async def cancel(self, order: CancelOrder) -> None:
        """Drop a prompt and its memory; dropping it again does nothing."""
        await self._call("POST", "/v1/cancel", msgspec.json.encode(order))

    async def held(self) -> HeldAnswer:
        """Return what the engine holds now."""
        body = await self._call("GET", "/v1/held", b"")
        return msgspec.json.decode(body, type=HeldAnswer)

    def close(self) -> Deferred[None]:
        """Close the idle connections."""
        return self._client.close()

    async def _call(self, method: str, path: str, body: bytes) -> bytes:
        try:
            answer = await self._client.request(
                method, path, body=body, timeout=CALL_SECONDS
            )
        except Exception as error:
            raise EngineError(f"engine_unreachable: {error}")
        if answer.status != 200:
            raise EngineError(f"engine_refused: status {answer.status}")
        return answer.body
