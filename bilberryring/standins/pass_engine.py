"""A model engine that works in passes, simulated on a clock.

To read a prompt is to prefill it, and to write an answer is to decode it. A pass
reads at most `stride * chunk_tokens` tokens of prompts, first of the parts that the
engine reads for other engines. If there are streams, the pass also runs `stride`
decoding steps and writes one event of each stream.
docs/ENGINE_MODEL.md describes the model.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from bilberryring.routing import EngineFigures


@dataclass(slots=True, kw_only=True, eq=False)
class ReadPart:
    """A part of a prompt that one engine reads.

    `is_for_other` is true when another engine writes the answer, and `on_read` is
    called when the whole part has been read.
    """

    tokens_left: float
    ms_per_token: float
    is_for_other: bool
    on_read: Callable[[], None]


@dataclass(slots=True, kw_only=True, eq=False)
class SimulatedStream:
    """An answer that is written event by event.

    `on_event` is called after each event and `on_end` after the last one.
    """

    context_tokens: int
    events_left: int
    on_event: Callable[[], None]
    on_end: Callable[[], None]


@dataclass(slots=True, kw_only=True)
class PassEngine:
    """A simulated engine; its passes are scheduled on `clock`.

    A pass that begins takes `slowdown` times as long as the figures say.
    """

    clock: object
    figures: EngineFigures
    slowdown: float = 1.0
    _parts: list[ReadPart] = field(default_factory=list)
    _streams: list[SimulatedStream] = field(default_factory=list)
    _is_busy: bool = False

    def read(self, part: ReadPart) -> None:
        """Read a part, starting with the next pass."""
        self._parts.append(part)
        self._parts.sort(key=lambda item: not item.is_for_other)
        self._begin_pass()

    def write(self, stream: SimulatedStream) -> None:
        """Write a stream, starting with the next pass."""
        self._streams.append(stream)
        self._begin_pass()

    def _begin_pass(self) -> None:
        if self._is_busy or not (self._parts or self._streams):
            return
        self._is_busy = True
        active_streams = tuple(self._streams)
        budget = float(self.figures.stride * self.figures.chunk_tokens)
        milliseconds, finished_parts = 0.0, []
        for part in self._parts:
            tokens = min(budget, part.tokens_left)
            budget -= tokens
            part.tokens_left -= tokens
            milliseconds += tokens * part.ms_per_token
            if part.tokens_left <= 0:
                finished_parts.append(part)
        if active_streams:
            context = sum(stream.context_tokens for stream in active_streams)
            milliseconds += self.figures.pass_ms(
                streams=len(active_streams), context_tokens=context
            )
        self.clock.callLater(
            milliseconds * self.slowdown / 1_000.0,
            self._end_pass,
            active_streams,
            finished_parts,
        )

    def _end_pass(
        self,
        active_streams: tuple[SimulatedStream, ...],
        finished_parts: list[ReadPart],
    ) -> None:
        for part in finished_parts:
            self._parts.remove(part)
            part.on_read()
        for stream in active_streams:
            self._write_event(stream)
        self._is_busy = False
        self._begin_pass()

    def _write_event(self, stream: SimulatedStream) -> None:
        stream.events_left -= 1
        stream.on_event()
        if stream.events_left <= 0:
            self._streams.remove(stream)
            stream.on_end()
