"""The lead's side of a span: it has each helper in turn prefill and hold its part.

The lead sends a helper the same message as an entry does, with the flag `hold`. So all
that frees a prompt also frees a helper's part: a cancel, a closed link, a passed
deadline, and the check for memory in the engine that no request owns.
"""

import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from twisted.internet.defer import DeferredQueue
from twisted.internet.protocol import ClientFactory
from twisted.internet.task import deferLater

from bilberryring.admission import span_shares
from bilberryring.core import ReceiverClock, from_micros, to_micros
from bilberryring.objects import ModelEndpoint, ObjectSet
from bilberryring.process.loops import start_task
from bilberryring.process.settings import host_and_port
from bilberryring.telemetry import EventLog, LogEvent
from bilberryring.wire import (
    Beat,
    Cancel,
    Heartbeat,
    Held,
    Hello,
    LinkProtocol,
    PromptPart,
    Refused,
    RunPrompt,
)

CONNECT_TIMEOUT_SECONDS = 1.0
PART_BYTES = 64 * 1024
BYTES_PER_TOKEN = 4
"""The size by which entries estimate the tokens of a prompt, too."""

_attempt_numbers = itertools.count(1)


class SpanError(Exception):
    """A helper refused or its link closed; the entry can make another attempt."""


@dataclass(frozen=True, slots=True)
class _ClockKnown:
    """The helper sent its first heartbeat, so the offset of its clock is known."""


@dataclass(frozen=True, slots=True)
class _Lost:
    """The link to the helper closed, or could not be opened."""


class _HelperLink:
    """The link to one helper, and the attempt by which it holds its part."""

    def __init__(self, *, reactor, endpoint: ModelEndpoint, hello: Hello):
        self._reactor = reactor
        self._endpoint = endpoint
        self._hello = hello
        self._attempt = next(_attempt_numbers)
        self._clock = ReceiverClock()
        self._events = DeferredQueue()
        self._link: LinkProtocol | None = None
        self._is_held = False
        self._on_lost: Callable[[], None] | None = None

    @property
    def is_held(self) -> bool:
        """Whether the helper holds its part."""
        return self._is_held

    async def hold(
        self, message: RunPrompt, text: bytes, tokens: int, on_lost: Callable[[], None]
    ) -> None:
        """Have the helper prefill and hold a part; `SpanError` when it does not.

        Returns once the part is held. `on_lost` is called when the helper loses it
        later. The deadlines of `message` are converted to the helper's clock.
        """
        self._on_lost = on_lost
        self._connect()
        if not isinstance(await self._events.get(), _ClockKnown):
            raise SpanError(f"{self._endpoint.name} is unreachable")
        now = self._reactor.seconds()
        clock_offset = self._clock.receiver_time(own_time=now) - now
        parts = range(0, max(1, len(text)), PART_BYTES)
        self._link.send(
            RunPrompt(
                attempt=self._attempt,
                request=message.request,
                workspace=message.workspace,
                model=message.model,
                version=message.version,
                adapter=message.adapter,
                priority=message.priority,
                prompt_tokens=tokens,
                max_tokens=0,
                delivered_tokens=0,
                deadline=to_micros(from_micros(message.deadline) + clock_offset),
                queue_deadline=to_micros(
                    from_micros(message.queue_deadline) + clock_offset
                ),
                fingerprint=message.fingerprint,
                prompt_parts=len(parts),
                isolated=message.isolated,
                hold=True,
                span_members=[],
            )
        )
        for index, start in enumerate(parts):
            part = text[start : start + PART_BYTES]
            self._link.send(PromptPart(attempt=self._attempt, index=index, text=part))
            await deferLater(self._reactor, 0)
        answer = await self._events.get()
        if not isinstance(answer, Held):
            raise SpanError(f"{self._endpoint.name} did not hold its part")
        self._is_held = True

    def release(self) -> None:
        """Have the helper free its part, and close the link."""
        self._on_lost = None
        if self._link is not None:
            self._link.send(Cancel(attempt=self._attempt))
            self._link.transport.loseConnection()

    def _connect(self) -> None:
        factory = ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda address: LinkProtocol(
            clock=self._reactor,
            on_open=self._opened,
            on_message=self._received,
            on_closed=self._closed,
        )
        factory.clientConnectionFailed = lambda connector, reason: self._events.put(
            _Lost()
        )
        host, port = host_and_port(self._endpoint.sidecar)
        self._reactor.connectTCP(host, port, factory, timeout=CONNECT_TIMEOUT_SECONDS)

    def _opened(self, link: LinkProtocol) -> None:
        self._link = link
        link.send(self._hello)

    def _received(self, link: LinkProtocol, message: object) -> None:
        match message:
            case Heartbeat() | Beat():
                is_first = self._clock.receiver_time(own_time=0.0) is None
                self._clock.add_sample(
                    receiver_time=from_micros(message.sender_clock),
                    own_time=self._reactor.seconds(),
                )
                if is_first:
                    self._events.put(_ClockKnown())
            case Held():
                self._events.put(message)
            case Refused():
                self._events.put(message)
                self._notify_lost()

    def _closed(self, link: LinkProtocol) -> None:
        self._events.put(_Lost())
        self._notify_lost()

    def _notify_lost(self) -> None:
        if self._is_held and self._on_lost is not None:
            self._on_lost()


class SpanLead:
    """Has the helpers of one span hold their parts, and releases them together."""

    def __init__(self, *, reactor, helpers: Sequence[ModelEndpoint], hello: Hello):
        ordered = sorted(helpers, key=lambda endpoint: endpoint.name)
        self._kv_tokens = [endpoint.kv_tokens for endpoint in ordered]
        self._links = [
            _HelperLink(reactor=reactor, endpoint=endpoint, hello=hello)
            for endpoint in ordered
        ]

    def imported_tokens(self, prompt_tokens: int) -> int:
        """Return how many of the prompt's tokens the helpers hold together."""
        return sum(span_shares(prompt_tokens, self._kv_tokens))

    async def gather(
        self, message: RunPrompt, text: bytes, on_lost: Callable[[], None]
    ) -> None:
        """Have the helpers hold their parts, one after another in order of name.

        `SpanError` is raised when one does not hold its part. `on_lost` is called
        when a helper loses a part later that it held.
        """
        shares = span_shares(message.prompt_tokens, self._kv_tokens)
        parts = split_text(text, [tokens * BYTES_PER_TOKEN for tokens in shares])
        for link, part, tokens in zip(self._links, parts, shares, strict=True):
            await link.hold(message, part, tokens, on_lost)

    def release(self) -> None:
        """Have every helper free its part; this may be called repeatedly."""
        for link in self._links:
            link.release()


def split_text(text: bytes, sizes: Sequence[int]) -> list[bytes]:
    """Return consecutive parts of an encoded text, of about these sizes in bytes.

    No part ends within a character, so each is a text. What is left is in none.

    >>> [part.decode() for part in split_text("a\u00f1b".encode(), [2, 1])]
    ['a\u00f1', 'b']
    """
    parts = []
    start = 0
    for size in sizes:
        end = min(start + size, len(text))
        while end < len(text) and text[end] & 0xC0 == 0x80:
            end += 1
        parts.append(text[start:end])
        start = end
    return parts


def build_span_lead(
    reactor, objects: ObjectSet, message: RunPrompt, hello: Hello
) -> SpanLead:
    """Return the lead of the span whose members a message names.

    Members that are not in the set in force are left out.
    """
    helpers = [
        objects.model_endpoints[name]
        for name in message.span_members
        if name in objects.model_endpoints
    ]
    return SpanLead(reactor=reactor, helpers=helpers, hello=hello)


def start_gathering(
    span: SpanLead,
    message: RunPrompt,
    text: bytes,
    *,
    on_gathered: Callable[[], None],
    on_lost: Callable[[], None],
    log: EventLog,
) -> None:
    """Start gathering a span's helpers.

    `on_gathered` is called once all hold their parts, `on_lost` when one does not, or
    loses its part later. An unknown error is logged and counts as a loss.
    """

    async def gather() -> None:
        try:
            await span.gather(message, text, on_lost)
        except SpanError:
            on_lost()
        except Exception as error:
            log.write(
                LogEvent.INTERNAL_FAULT, request=message.request, detail=repr(error)
            )
            on_lost()
        else:
            on_gathered()

    start_task(gather(), log=log)
