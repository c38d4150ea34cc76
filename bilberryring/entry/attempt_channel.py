"""The channel of one attempt, and the events that can end it without an answer."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from twisted.internet.defer import Deferred, DeferredQueue

from bilberryring.core import AttemptId
from bilberryring.entry.endpoint_record import EndpointRecord
from bilberryring.process.late_reading import read_arrived
from bilberryring.wire import LinkProtocol


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The link closed while the attempt was open."""


@dataclass(frozen=True, slots=True)
class EndpointSilent:
    """The endpoint has been silent for too long, although its link is open.

    It may be sound, so the attempt goes on; this is repeated while it is silent.
    """


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The request's deadline passed."""


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection."""


@dataclass(frozen=True, slots=True)
class CallerTooSlow:
    """The caller reads its stream too slowly or not at all."""


@contextmanager
def deadline_timer(
    reactor, mailbox: DeferredQueue, *, at: float, is_receiving: Callable[[], bool]
) -> Iterator[None]:
    """Put `DeadlinePassed` into the mailbox at `at` unless the context exits earlier.

    `at` is in seconds of the reactor's clock. What has arrived by then is read first;
    see `read_arrived`.
    """

    def deadline_passed() -> None:
        reading = read_arrived(reactor, is_receiving, due_at=at)
        Deferred.fromCoroutine(reading).addBoth(lambda _: mailbox.put(DeadlinePassed()))

    timer = reactor.callLater(max(0.0, at - reactor.seconds()), deadline_passed)
    try:
        yield
    finally:
        if timer.active():
            timer.cancel()


class AttemptChannel:
    """One attempt of a request at one endpoint.

    It sends messages on the endpoint's link and delivers the received ones to
    the mailbox of the request.
    """

    def __init__(
        self,
        *,
        attempt: AttemptId,
        record: EndpointRecord,
        link: LinkProtocol,
        mailbox: DeferredQueue,
        on_close: Callable[["AttemptChannel"], None],
    ):
        self._attempt = attempt
        self._record = record
        self._link = link
        self._mailbox = mailbox
        self._on_close = on_close
        self._is_closed = False

    @property
    def attempt(self) -> AttemptId:
        """The attempt's number, which is unique within this process."""
        return self._attempt

    @property
    def record(self) -> EndpointRecord:
        """The record of the attempt's endpoint."""
        return self._record

    @property
    def link(self) -> LinkProtocol:
        """The link that carries the attempt."""
        return self._link

    def send(self, message: object) -> bool:
        """Send a message on the link and return `False` when the link is closed."""
        return self._link.send(message)

    def deliver(self, message: object) -> None:
        """Put a message into the request's mailbox unless the attempt has ended."""
        if not self._is_closed:
            self._mailbox.put(message)

    def close(self) -> None:
        """End the attempt in this process; its later messages are dropped."""
        if not self._is_closed:
            self._is_closed = True
            self._record.end_attempt()
            self._on_close(self)
