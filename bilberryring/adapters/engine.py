"""Client for the HTTP interface of a model engine."""

from collections.abc import Callable
from enum import Enum

import msgspec
from twisted.internet.defer import Deferred

from bilberryring.adapters.engine_protocol import (
    CancelRequest,
    GenerateEvent,
    GenerateRequest,
    HeldResponse,
)
from bilberryring.core import MalformedJsonError, decode_json
from bilberryring.http import HttpClient, LineStream, ResponseTimeoutError

CALL_TIMEOUT_SECONDS = 1.0
"""Timeout of requests other than generations."""


class EngineError(Exception):
    """Raised when the engine gives no usable answer.

    The engine may have carried out the order nevertheless; `EngineClient.held` shows
    what it holds.
    """


class EngineSilentError(EngineError):
    """Raised when the engine gives no answer in time; it may be sound."""


class GenerationEnd(Enum):
    """How a generation ended."""

    COMPLETED = "whole"
    OUT_OF_MEMORY = "out_of_memory"
    CANCELLED = "cancelled"
    INTERRUPTED = "broken"
    MALFORMED = "malformed"
    """The engine sent something that is no answer; it may still hold the prompt."""


class Generation:
    """One prompt that is running in the engine.

    `on_tokens` receives the index of the first of several new tokens and their texts.
    `on_held` is called when the engine has exported the KV cache of the prompt and
    holds it.
    """

    def __init__(
        self,
        *,
        on_tokens: Callable[[int, list[str]], None],
        on_held: Callable[[], None],
    ):
        self._on_tokens = on_tokens
        self._on_held = on_held
        self._decoder = msgspec.json.Decoder(GenerateEvent)
        self._end_event: GenerateEvent | None = None
        self._opening: Deferred[LineStream] | None = None
        self._stream: LineStream | None = None
        self._is_aborted = False
        self._malformation = ""

    @property
    def was_accepted(self) -> bool:
        """Whether the engine accepted the order."""
        return self._stream is not None

    @property
    def token_count(self) -> int:
        """The number of tokens in the answer, or 0 until the engine reports the end."""
        return self._end_event.count if self._end_event else 0

    @property
    def malformation(self) -> str:
        """What is wrong with the answer, or an empty string."""
        return self._malformation

    def receive_lines(self, lines: list[bytes]) -> None:
        """Decode lines of the answer and pass their tokens on.

        The stream is closed after a line that is malformed; the tokens before it count.
        """
        if self._malformation:
            return
        tokens: list[GenerateEvent] = []
        try:
            for line in lines:
                if line:
                    self._receive_event(self._decoder.decode(line), tokens)
        except (
            MalformedJsonError,
            msgspec.DecodeError,
            UnicodeDecodeError,
            RecursionError,
        ) as error:
            self._malformation = str(error)
        if tokens and not self._is_aborted:
            self._on_tokens(tokens[0].index, [token.text for token in tokens])
        if self._malformation:
            self.abort()

    def attach_opening(self, opening: Deferred[LineStream]) -> None:
        """Attach what waits for the head of the answer."""
        self._opening = opening

    def attach_stream(self, stream: LineStream) -> None:
        """Attach the stream that delivers the answer."""
        self._opening = None
        self._stream = stream
        if self._is_aborted:
            stream.abort()

    def abort(self) -> None:
        """Close the stream and pass on no more tokens.

        This does not cancel the prompt in the engine; see `EngineClient.cancel`.
        """
        self._is_aborted = True
        if self._opening is not None:
            self._opening.cancel()
        if self._stream is not None:
            self._stream.abort()

    def result(self) -> GenerationEnd:
        """Return how the generation ended.

        The engine's last event alone proves that the answer is complete, however the
        connection was closed after it.
        """
        if self._malformation:
            return GenerationEnd.MALFORMED
        if self._end_event is None:
            return GenerationEnd.INTERRUPTED
        match self._end_event.end:
            case "out_of_memory":
                return GenerationEnd.OUT_OF_MEMORY
            case "cancelled":
                return GenerationEnd.CANCELLED
            case _:
                return GenerationEnd.COMPLETED

    def _receive_event(self, event: GenerateEvent, tokens: list[GenerateEvent]) -> None:
        """Handle an event; a token is added to those received at the same time."""
        if event.held:
            self._on_held()
        elif event.end:
            self._end_event = event
        elif tokens and event.index != tokens[-1].index + 1:
            raise MalformedJsonError(f"token {event.index} is out of order")
        else:
            tokens.append(event)


class EngineClient:
    """Sends orders, which carry fencing numbers, to one engine."""

    def __init__(self, *, client: HttpClient):
        self._client = client

    async def generate(
        self, order: GenerateRequest, generation: Generation
    ) -> GenerationEnd:
        """Run a prompt to its end and return how it ended.

        Tokens are passed to `generation` as they arrive.
        """
        opening = Deferred.fromCoroutine(
            self._client.open_line_stream(
                "/v1/generate",
                body=msgspec.json.encode(order),
                on_lines=generation.receive_lines,
            )
        )
        generation.attach_opening(opening)
        try:
            stream = await opening
        except Exception as error:
            raise EngineError(f"engine_unreachable: {error}")
        if stream.status != 200:
            raise EngineError(f"engine_refused: status {stream.status}")
        generation.attach_stream(stream)
        await stream.done
        return generation.result()

    async def cancel(self, order: CancelRequest) -> None:
        """Cancel a prompt and free its memory; cancelling it again has no effect."""
        await self._call("POST", "/v1/cancel", msgspec.json.encode(order))

    async def held(self) -> HeldResponse:
        """Return the requests for which the engine holds memory."""
        body = await self._call("GET", "/v1/held", b"")
        try:
            return decode_json(body, HeldResponse)
        except MalformedJsonError as error:
            raise EngineError(f"engine_malformed: {error}")

    def close(self) -> Deferred[None]:
        """Close the idle connections."""
        return self._client.close()

    async def _call(self, method: str, path: str, body: bytes) -> bytes:
        try:
            answer = await self._client.request(
                method, path, body=body, timeout=CALL_TIMEOUT_SECONDS
            )
        except ResponseTimeoutError as error:
            raise EngineSilentError(f"engine_silent: {error}")
        except Exception as error:
            raise EngineError(f"engine_unreachable: {error}")
        if answer.status != 200:
            raise EngineError(f"engine_refused: status {answer.status}")
        return answer.body
