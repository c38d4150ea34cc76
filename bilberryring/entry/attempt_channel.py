"""One attempt at one endpoint, and what can happen to a request besides answers."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from twisted.internet.defer import DeferredQueue

from bilberryring.core import AttemptId
from bilberryring.entry.endpoint_record import EndpointRecord
from bilberryring.wire import LinkProtocol


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The link closed while the attempt was open."""


@dataclass(frozen=True, slots=True)
class EndpointSilent:
    """No word came from the sidecar for too long, though its link is open."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The request's deadline passed."""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection."""


@dataclass(frozen=True, slots=True)
class CallerTooSlow:
    """The caller does not read its stream."""


@contextmanager
def deadline_told(reactor, mailbox: DeferredQueue, *, at: float) -> Iterator[None]:
    """Put `DeadlinePassed` into a mailbox at a time, unless the work ends before."""
    left = max(0.0, at - reactor.seconds())
    timer = reactor.callLater(left, mailbox.put, DeadlinePassed())
    try:
        yield
    finally:
        if timer.active():
            timer.cancel()


class AttemptChannel:
    """One attempt at one endpoint: messages go out, and come into a mailbox."""

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
        """The number of the attempt."""
        return self._attempt

    @property
    def record(self) -> EndpointRecord:
        """The endpoint of the attempt."""
        return self._record

    @property
    def link(self) -> LinkProtocol:
        """The link that carries the attempt."""
        return self._link

    def send(self, message: object) -> bool:
        """Send a message of the attempt; `False` when the link is closed."""
        return self._link.send(message)

    def deliver(self, message: object) -> None:
        """Put a message into the mailbox of the request."""
        if not self._is_closed:
            self._mailbox.put(message)

    def close(self) -> None:
        """End the attempt here; later messages of it are dropped."""
        if not self._is_closed:
            self._is_closed = True
            self._record.end_attempt()
            self._on_close(self)
