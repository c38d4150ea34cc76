"""Writers that send an answer as server-sent events or as one JSON body."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from bilberryring.core import Delivery, ServingError
from bilberryring.entry.openai_messages import (
    AnswerMessage,
    ChatChoice,
    ChatChunkChoice,
    Completion,
    Delta,
    TextChoice,
    Usage,
)
from bilberryring.http import (
    BoundedRequest,
    problem_from_error,
    write_json,
    write_problem,
)

MAX_UNREAD_BYTES = 256 * 1024
MAX_PAUSE_SECONDS = 30.0
EVENT_TYPE = b"text/event-stream; charset=utf-8"
END_MARKER = b"data: [DONE]\n\n"
FINISH_REASON = "length"
_ENCODER = msgspec.json.Encoder()


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerFormat:
    """The format of an answer and the values that each of its chunks repeats.

    `include_usage` asks for a last event with the token counts of a stream.
    """

    request_id: str
    model: str
    is_chat: bool
    prompt_tokens: int
    include_usage: bool = False

    def usage(self, completion_tokens: int) -> Usage:
        """Return the token counts of the prompt and the answer."""
        return Usage(
            prompt_tokens=self.prompt_tokens,
            completion_tokens=completion_tokens,
            total_tokens=self.prompt_tokens + completion_tokens,
        )

    def completion(self, kind: str, choices: tuple, usage: Usage | None) -> Completion:
        """Return the response object or chunk that holds `choices`."""
        return Completion(
            id=self.request_id,
            object=kind,
            created=int(time.time()),
            model=self.model,
            choices=choices,
            usage=usage,
        )


@implementer(IPushProducer)
class StreamSink:
    """Writes tokens as server-sent events and detects callers that read too slowly.

    A caller is too slow when writing stays paused for `MAX_PAUSE_SECONDS`, or
    when more than `MAX_UNREAD_BYTES` accumulate during a pause.
    """

    def __init__(
        self,
        *,
        reactor,
        request: BoundedRequest,
        answer_format: AnswerFormat,
        on_too_slow: Callable[[], None],
    ):
        self._reactor = reactor
        self._request = request
        self._format = answer_format
        self._on_too_slow = on_too_slow
        self._has_begun = False
        self._unread: list[bytes] = []
        self._unread_bytes = 0
        self._is_paused = False
        self._pause_timer = None
        self._is_closed = False
        self._has_failed = False
        self._kind = (
            "chat.completion.chunk" if answer_format.is_chat else "text_completion"
        )

    @property
    def has_begun(self) -> bool:
        """Whether the response headers and a first event were written."""
        return self._has_begun

    @property
    def delivery(self) -> Delivery:
        """What the caller has got; a stream that ends with an error is cut."""
        return Delivery.CUT if self._has_failed else self._request.delivery

    def write_tokens(self, texts: list[str]) -> None:
        """Send the texts of new tokens as one event."""
        text = "".join(texts)
        if self._format.is_chat:
            role = None if self._has_begun else "assistant"
            choice = ChatChunkChoice(index=0, delta=Delta(role=role, content=text))
        else:
            choice = TextChoice(index=0, text=text)
        self._write_event(self._format.completion(self._kind, (choice,), None))

    def finish(self, text: str, completion_tokens: int) -> None:
        """Send the finish reason, the usage if requested, and the end marker.

        `text` is ignored, since its tokens were already sent.
        """
        if self._format.is_chat:
            choice = ChatChunkChoice(
                index=0, delta=Delta(), finish_reason=FINISH_REASON
            )
        else:
            choice = TextChoice(index=0, text="", finish_reason=FINISH_REASON)
        self._write_event(self._format.completion(self._kind, (choice,), None))
        if self._format.include_usage:
            usage = self._format.usage(completion_tokens)
            self._write_event(self._format.completion(self._kind, (), usage))
        self._write(END_MARKER)
        self._close()

    def fail(self, error: ServingError) -> None:
        """Send an error: as an event if the stream has begun, else as the response."""
        if self._is_closed:
            return
        if not self._has_begun:
            self._is_closed = True
            write_problem(self._request, error, request_id=self._format.request_id)
            return
        self._has_failed = True
        problem = problem_from_error(error, request_id=self._format.request_id)
        body = _ENCODER.encode({"error": problem})
        self._write(b"event: error\ndata: " + body + b"\n\n")
        self._close()

    def abandon(self) -> None:
        """Stop writing, because the caller disconnected."""
        self._is_closed = True
        self._stop_timer()

    def pauseProducing(self) -> None:
        self._is_paused = True
        if self._pause_timer is None:
            self._pause_timer = self._reactor.callLater(
                MAX_PAUSE_SECONDS, self._report_too_slow
            )

    def resumeProducing(self) -> None:
        self._is_paused = False
        self._stop_timer()
        unread, self._unread = self._unread, []
        self._unread_bytes = 0
        if unread and not self._is_closed:
            self._request.write(b"".join(unread))

    def stopProducing(self) -> None:
        self.abandon()

    def _start_stream(self) -> None:
        self._has_begun = True
        self._request.setHeader(b"content-type", EVENT_TYPE)
        self._request.setHeader(b"cache-control", b"no-store")
        self._request.setHeader(b"x-request-id", self._format.request_id.encode())
        self._request.registerProducer(self, True)

    def _write_event(self, body: Completion) -> None:
        if self._is_closed:
            return
        if not self._has_begun:
            self._start_stream()
        self._write(b"data: " + _ENCODER.encode(body) + b"\n\n")

    def _write(self, data: bytes) -> None:
        if self._is_closed:
            return
        if not self._is_paused:
            self._request.write(data)
            return
        self._unread.append(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > MAX_UNREAD_BYTES:
            self._report_too_slow()

    def _report_too_slow(self) -> None:
        self._pause_timer = None
        if not self._is_closed:
            self._on_too_slow()

    def _close(self) -> None:
        """End the response; the transport buffers what the caller has not read yet."""
        if self._is_closed:
            return
        if self._unread:
            self._request.write(b"".join(self._unread))
            self._unread = []
        self._is_closed = True
        self._stop_timer()
        self._request.unregisterProducer()
        self._request.finish()

    def _stop_timer(self) -> None:
        if self._pause_timer is not None and self._pause_timer.active():
            self._pause_timer.cancel()
        self._pause_timer = None


class JsonSink:
    """Sends the complete answer as one JSON body."""

    def __init__(self, *, request: BoundedRequest, answer_format: AnswerFormat):
        self._request = request
        self._format = answer_format
        self._is_closed = False

    @property
    def has_begun(self) -> bool:
        """Always false, since nothing is written before the answer is complete."""
        return False

    @property
    def delivery(self) -> Delivery:
        """What the caller has got."""
        return self._request.delivery

    def write_tokens(self, texts: list[str]) -> None:
        """Do nothing: `finish` is given the whole text."""

    def finish(self, text: str, completion_tokens: int) -> None:
        """Send the complete answer and its token counts."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._format.is_chat:
            kind = "chat.completion"
            message = AnswerMessage(role="assistant", content=text)
            choice = ChatChoice(index=0, message=message, finish_reason=FINISH_REASON)
        else:
            kind = "text_completion"
            choice = TextChoice(index=0, text=text, finish_reason=FINISH_REASON)
        self._request.setHeader(b"x-request-id", self._format.request_id.encode())
        usage = self._format.usage(completion_tokens)
        write_json(self._request, self._format.completion(kind, (choice,), usage))

    def fail(self, error: ServingError) -> None:
        """Send an error as the response, unless the answer ended before."""
        if not self._is_closed:
            self._is_closed = True
            write_problem(self._request, error, request_id=self._format.request_id)

    def abandon(self) -> None:
        """Stop writing, because the caller disconnected."""
        self._is_closed = True


AnswerSink = StreamSink | JsonSink
