"""The lead's part in a span: it takes its helpers one after another.

A helper is asked like by an entry: to run a prompt that it only holds. All that
frees a prompt (a cancel, a closed link, a deadline, the audit of the engine) thus
frees a helper's part as well.
"""

import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from twisted.internet.defer import Deferred, DeferredQueue
from twisted.internet.protocol import ClientFactory
from twisted.internet.task import deferLater

from bilberryring.admission import span_shares
from bilberryring.core import ReceiverClock, from_micros, to_micros
from bilberryring.objects import ModelEndpoint, ObjectSet
from bilberryring.process.settings import host_and_port
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

CONNECT_SECONDS = 1.0
PART_BYTES = 64 * 1024
BYTES_PER_TOKEN = 4
_numbers = itertools.count(1)


class SpanError(Exception):
    """A helper refused or went away; the remedy is another attempt."""


@dataclass(frozen=True, slots=True)
class _Opened:
    """The helper greeted and told its clock."""


@dataclass(frozen=True, slots=True)
class _Lost:
    """The link to the helper closed, or never opened."""


class _HelperLink:
    """The link to one helper and the part that it holds."""

    def __init__(self, *, reactor, endpoint: ModelEndpoint, hello: Hello):
        self._reactor = reactor
        self._endpoint = endpoint
        self._hello = hello
        self._attempt = next(_numbers)
        self._clock = ReceiverClock()
        self._mailbox = DeferredQueue()
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
        """Let the helper prefill and hold a part; `SpanError` when it cannot."""
        self._on_lost = on_lost
        self._connect()
        if not isinstance(await self._mailbox.get(), _Opened):
            raise SpanError(f"{self._endpoint.name} cannot be reached")
        now = self._reactor.seconds()
        shift = self._clock.receiver_time(own_time=now) - now
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
                deadline=to_micros(from_micros(message.deadline) + shift),
                queue_deadline=to_micros(from_micros(message.queue_deadline) + shift),
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
        answer = await self._mailbox.get()
        if not isinstance(answer, Held):
            raise SpanError(f"{self._endpoint.name} did not hold its part")
        self._is_held = True

    def release(self) -> None:
        """Let the helper free its part."""
        self._on_lost = None
        if self._link is not None:
            self._link.send(Cancel(attempt=self._attempt))
            self._link.transport.loseConnection()

    def _connect(self) -> None:
        factory = ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda address: LinkProtocol(
            on_open=self._opened, on_message=self._received, on_closed=self._closed
        )
        factory.clientConnectionFailed = lambda connector, reason: self._mailbox.put(
            _Lost()
        )
        host, port = host_and_port(self._endpoint.sidecar)
        self._reactor.connectTCP(host, port, factory, timeout=CONNECT_SECONDS)

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
                    self._mailbox.put(_Opened())
            case Held():
                self._mailbox.put(message)
            case Refused():
                self._mailbox.put(message)
                self._tell_lost()

    def _closed(self, link: LinkProtocol) -> None:
        self._mailbox.put(_Lost())
        self._tell_lost()

    def _tell_lost(self) -> None:
        if self._is_held and self._on_lost is not None:
            self._on_lost()


class SpanLead:
    """Gathers the helpers of one span, and lets them go together."""

    def __init__(self, *, reactor, helpers: Sequence[ModelEndpoint], hello: Hello):
        ordered = sorted(helpers, key=lambda endpoint: endpoint.name)
        self._kv_tokens = [endpoint.kv_tokens for endpoint in ordered]
        self._links = [
            _HelperLink(reactor=reactor, endpoint=endpoint, hello=hello)
            for endpoint in ordered
        ]

    def imported_tokens(self, prompt_tokens: int) -> int:
        """Return how many tokens of the prompt the helpers hold."""
        return sum(span_shares(prompt_tokens, self._kv_tokens))

    async def gather(
        self, message: RunPrompt, text: bytes, on_lost: Callable[[], None]
    ) -> None:
        """Take every helper in order; `SpanError` when one cannot hold its part.

        `on_lost` is called when a helper that holds its part goes away later.
        """
        start = 0
        shares = span_shares(message.prompt_tokens, self._kv_tokens)
        for link, tokens in zip(self._links, shares, strict=True):
            end = start + tokens * BYTES_PER_TOKEN
            await link.hold(message, text[start:end], tokens, on_lost)
            start = end

    def release(self) -> None:
        """Let every helper free its part; doing it again does no harm."""
        for link in self._links:
            link.release()


def lead_of(reactor, objects: ObjectSet, message: RunPrompt, hello: Hello) -> SpanLead:
    """Return the lead of the span that a message names."""
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
    on_whole: Callable[[], None],
    on_lost: Callable[[], None],
) -> None:
    """Gather a span's helpers and tell how that went."""

    def failed(failure) -> None:
        failure.trap(SpanError)
        on_lost()

    gathering = Deferred.fromCoroutine(span.gather(message, text, on_lost))
    gathering.addCallbacks(lambda _: on_whole(), failed)
