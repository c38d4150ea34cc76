"""A model engine that works in passes, as a simulation on a clock.

A pass with streams that write runs `stride` steps, and reads prompts in between,
at most `chunk_tokens` a step; parts that the engine reads for others go first.
Every stream writes one event a pass. docs/ENGINE_MODEL.md states the model.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from bilberryring.routing import EngineFigures


@dataclass(slots=True, kw_only=True, eq=False)
class ReadPart:
    """A part of a prompt that one engine reads; `on_read` is told the end."""

    tokens_left: float
    ms_per_token: float
    is_for_other: bool
    on_read: Callable[[], None]


@dataclass(slots=True, kw_only=True, eq=False)
class SimulatedStream:
    """An answer that is written event by event; times are in seconds."""

    context_tokens: int
    events_left: int
    on_event: Callable[[], None]
    on_end: Callable[[], None]


@dataclass(slots=True, kw_only=True)
class PassEngine:
    """One engine; `clock` runs its passes."""

    clock: object
    figures: EngineFigures
    _parts: list[ReadPart] = field(default_factory=list)
    _streams: list[SimulatedStream] = field(default_factory=list)
    _is_busy: bool = False

    def read(self, part: ReadPart) -> None:
        """Read a part in the passes to come."""
        self._parts.append(part)
        self._parts.sort(key=lambda item: not item.is_for_other)
        self._begin_pass()

    def write(self, stream: SimulatedStream) -> None:
        """Write a stream from the next pass on."""
        self._streams.append(stream)
        self._begin_pass()

    def _begin_pass(self) -> None:
        if self._is_busy or not (self._parts or self._streams):
            return
        self._is_busy = True
        writing = tuple(self._streams)
        budget = float(self.figures.stride * self.figures.chunk_tokens)
        milliseconds, done = 0.0, []
        for part in self._parts:
            tokens = min(budget, part.tokens_left)
            budget -= tokens
            part.tokens_left -= tokens
            milliseconds += tokens * part.ms_per_token
            if part.tokens_left <= 0:
                done.append(part)
        if writing:
            context = sum(stream.context_tokens for stream in writing)
            milliseconds += self.figures.pass_ms(
                writers=len(writing), context_tokens=context
            )
        self.clock.callLater(milliseconds / 1_000.0, self._end_pass, writing, done)

    def _end_pass(
        self, writing: tuple[SimulatedStream, ...], done: list[ReadPart]
    ) -> None:
        for part in done:
            self._parts.remove(part)
            part.on_read()
        for stream in writing:
            self._write_event(stream)
        self._is_busy = False
        self._begin_pass()

    def _write_event(self, stream: SimulatedStream) -> None:
        stream.events_left -= 1
        stream.on_event()
        if stream.events_left <= 0:
            self._streams.remove(stream)
            stream.on_end()
