"""A caller's connection, with limits on the size and the duration of a request."""

from collections.abc import Callable

import msgspec
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.python.failure import Failure
from twisted.web.http import RESPONSES, SERVICE_UNAVAILABLE
from zope.interface import implementer

from bilberryring.core import (
    ErrorCode,
    RunOutcome,
    ServingError,
    has_unread,
    set_reset_on_close,
)
from bilberryring.http.answers import PROBLEM_TYPE, problem_from_error
from bilberryring.http.budgeted_channel import BudgetedChannel

MAX_BODY_SECONDS = 60.0
"""Seconds within which a body must arrive, as long as callers are assumed to wait."""

UNREAD_SECONDS = 0.05
"""Seconds in which what has arrived on an idle connection is read."""
MIN_IDLE_SECONDS = 0.5
"""Seconds without a request after which a connection is closed at a stop."""

REFUSED_BODY_SECONDS = 2.0
"""Seconds within which the body of a request that its head rules out has to arrive, for
the request to be answered like others, without closing the connection. A 503 may be
awaited longer, as the caller's body is not at fault."""
RETRY_AFTER_SECONDS = 1.0
"""Seconds after which a caller that was refused for lack of memory may come again."""
ABORT_SECONDS = 15.0
"""Seconds after which a refused caller that reads nothing is disconnected."""

OnRefused = Callable[[ErrorCode], None]
CheckHead = Callable[[object], ServingError | None]
"""Returns why a request is refused whatever its body is, or `None`."""


@implementer(IHalfCloseableProtocol)
class CallerChannel(BudgetedChannel):
    """Refuses a request that is malformed, too large or too slow, and closes.

    The request is refused at once and without reading the rest of it. The factory has
    the limits as `limits`: `max_header_bytes`, `max_body_bytes`, and in seconds
    `header_timeout` and `idle_timeout`, its budget as `client_budget`, and as
    `check_head` a function that tells of a request with a body, by its head, why it is
    refused. Such a body is dropped as it arrives.
    """

    on_refused: OnRefused | None = None
    linger_bytes = 0
    """Bytes of a refused request that are read and dropped before the close.

    A caller that writes all of its request first would not get the answer otherwise: a
    connection with unread data is reset."""
    linger_seconds = 0.0
    """The time in seconds for this."""
    _timer = None
    _linger_timer = None
    _lingered_bytes = 0
    _is_refused = False
    _is_lost = False
    _is_left_unread = False
    _is_response_complete = False
    _idle_since = 0.0
    _is_continue_due = False

    @property
    def refusal_outcome(self) -> RunOutcome:
        """Whether a refused request was executed."""
        return RunOutcome.NOT_RUN

    @property
    def is_refused(self) -> bool:
        """Whether the request that is being received has been refused."""
        return self._is_refused

    @property
    def has_next_request(self) -> bool:
        """Whether bytes of another request wait for the end of the current one."""
        return any(self._dataBuffer) or bool(self.paused and self._buffer)

    def idle_seconds(self, *, now: float) -> float:
        """Return for how long no request was received or answered; 0 during one."""
        if self.requests or self._timer is not None:
            return 0.0
        return now - self._idle_since

    def begin_response_until_close(self) -> None:
        """Let the connection be reset at its close, until the response is complete.

        The response that begins has neither a length nor chunks, so the end of the
        connection marks its end. The kernel closes the connections of a process that
        is killed, and would end such a response as if it were complete.
        """
        set_reset_on_close(self.transport, True)

    def end_response_by_close(self) -> None:
        """Let the close of the connection mark the end of the response."""
        self._is_response_complete = True

    def loseConnection(self) -> None:
        if not self._is_response_complete:
            super().loseConnection()
            return
        # The end is sent in order after all data, and only then is there no reset.
        self._networkProducer.unregisterProducer()
        self.transport.pauseProducing()
        self.transport.loseWriteConnection()

    def close_if_idle(self, *, seconds: float) -> None:
        """Close the connection if it is idle for `seconds` once it has been read.

        A request may have arrived while the process was busy: timers run before
        sockets are read.
        """
        self.callLater(0, self._close_if_idle, seconds)

    def close_after_output(self, *, seconds: float) -> None:
        """Close the connection like `close_if_idle`, once its output has been read."""
        self.callLater(0, self._close_after_output, seconds)

    def _close_after_output(self, seconds: float) -> None:
        if self._is_unused(seconds):
            self.loseConnection()
            self._finish_close()

    def timeoutConnection(self) -> None:
        self.callLater(0, self._handle_idle_timeout)

    def _handle_idle_timeout(self) -> None:
        limit = self.factory.limits.idle_timeout
        if self._is_lost or self._handlingRequest or self._close_if_idle(limit):
            return
        # A request is being received, or a new configuration has a longer limit.
        left = limit - self.idle_seconds(now=self.factory.reactor.seconds())
        if left <= 0.0:
            if self._is_left_unread:
                # Nothing is read while the caller does not read its answers.
                super().timeoutConnection()
                return
            self._is_left_unread = True
        self.setTimeout(max(left, UNREAD_SECONDS))

    def _close_if_idle(self, seconds: float) -> bool:
        is_unused = self._is_unused(seconds)
        if is_unused:
            # Resets the connection if the caller does not read what was written.
            super().timeoutConnection()
            self._finish_close()
        return is_unused

    def _is_unused(self, seconds: float) -> bool:
        """Whether the connection is idle for `seconds` and nothing waits to be read."""
        is_idle = self.idle_seconds(now=self.factory.reactor.seconds()) >= seconds
        return is_idle and not self._is_lost and not has_unread(self.transport)

    def _finish_close(self) -> None:
        """Close the connection that is to be closed now, unless output is left.

        The reactor would do so in its next pass without reading again, and the kernel
        would reset a request that arrives until then.
        """
        if self._is_lost:
            return
        reason = self.transport.doWrite()
        if reason is not None:
            self.transport.connectionLost(Failure(reason))

    def connectionMade(self) -> None:
        self._idle_since = self.factory.reactor.seconds()
        super().connectionMade()

    def connectionLost(self, reason: Failure) -> None:
        self._is_lost = True
        self._set_timer(None)
        if self._linger_timer is not None and self._linger_timer.active():
            self._linger_timer.cancel()
        super().connectionLost(reason)

    def readConnectionLost(self) -> None:
        """End the connection; the answer to a refused request is sent before."""
        if self._is_refused:
            self.loseConnection()
        else:
            self.transport.connectionLost(Failure(ConnectionDone()))

    def writeConnectionLost(self) -> None:
        """Close the connection after a response whose end that marks.

        Otherwise the caller may still send a part of a refused request.
        """
        if self._is_response_complete:
            set_reset_on_close(self.transport, False)
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        self._is_left_unread = False
        if self._is_refused:
            self._drop(data)
            return
        if self._timer is None and not self._handlingRequest and not self.paused:
            limits = self.factory.limits
            self.totalHeadersSize = self.MAX_LENGTH = limits.max_header_bytes
            self._set_timer(limits.header_timeout, ErrorCode.HEADERS_TOO_SLOW)
        super().dataReceived(data)

    def allHeadersReceived(self) -> None:
        self._is_continue_due = False
        super().allHeadersReceived()
        self._set_timer(MAX_BODY_SECONDS, ErrorCode.BODY_TOO_SLOW)
        if self.length is not None and self.length > self.factory.limits.max_body_bytes:
            self.refuse(ErrorCode.BODY_TOO_LARGE)
            return
        error = None if self.length == 0 else self._check_head()
        if error is not None:
            self._discard_body(error.code)
        elif not self.make_room_for_body():
            self.refuse_short()
        elif self._is_continue_due:
            super()._send100Continue()

    def _send100Continue(self) -> None:
        """Let the body be sent only once the head has been checked."""
        self._is_continue_due = True

    def _check_head(self) -> ServingError | None:
        request, check = self.requests[-1], self.factory.check_head
        request.method, request.uri = self._command, self._path
        request.refusal = None if check is None else check(request)
        return request.refusal

    def _discard_body(self, code: ErrorCode) -> None:
        """Drop the body as it arrives; refuse the request at once if it is awaited."""
        if self._is_continue_due:
            self.refuse(code)
            return
        self.requests[-1].discard_body()
        if code.status != SERVICE_UNAVAILABLE:
            self._set_timer(REFUSED_BODY_SECONDS, code)

    def allContentReceived(self) -> None:
        self._set_timer(None)
        if self.requests[-1].is_body_too_large:
            self.refuse(ErrorCode.BODY_TOO_LARGE)
        if not self._is_refused:
            self.check_request()
        if not self._is_refused:
            super().allContentReceived()

    def lineReceived(self, line: bytes) -> None:
        if not self._is_refused:
            super().lineReceived(line)

    def rawDataReceived(self, data: bytes) -> None:
        if self._is_refused:
            return
        super().rawDataReceived(data)
        if self._handlingRequest or self._is_refused or not self.requests:
            return
        request = self.requests[-1]
        if request.is_body_too_large:
            self.refuse(ErrorCode.BODY_TOO_LARGE)
        elif request.refusal is None and not self.make_room_for_chunks():
            self.refuse_short()

    def requestDone(self, request) -> None:
        self._idle_since = self.factory.reactor.seconds()
        super().requestDone(request)
        if not self._handlingRequest and not self._is_lost:
            self.setTimeout(self.factory.limits.idle_timeout)

    def lineLengthExceeded(self, line: bytes) -> None:
        self.refuse(ErrorCode.HEADERS_TOO_LARGE)

    def writeHeaders(self, version, code, reason, headers) -> None:
        # Responses state the version of this server.
        super().writeHeaders(b"HTTP/1.1", code, reason, headers)

    def refuse(self, code: ErrorCode) -> None:
        """Send an error for the request that is being received, and close."""
        if self._is_refused:
            return
        self._is_refused = True
        self._set_timer(None)
        answer = _encode_refusal(code, self.refusal_outcome)
        self.release_request()
        if self.on_refused is not None and code is not ErrorCode.MEMORY_SHORT:
            self.on_refused(code)
        self.transport.write(answer)
        if not self.linger_bytes:
            self.loseConnection()
            return
        self.setTimeout(None)
        self.transport.loseWriteConnection()
        self._linger_timer = self.callLater(self.linger_seconds, self._end_linger)

    def _end_linger(self) -> None:
        """Close the connection, also if the caller does not read the error."""
        self._linger_timer = self.callLater(ABORT_SECONDS, self.forceAbortClient)
        self.loseConnection()

    def _drop(self, data: bytes) -> None:
        """Drop a part of a refused request, and close after too many of them."""
        self._lingered_bytes += len(data)
        if self.linger_bytes and self._lingered_bytes > self.linger_bytes:
            self.loseConnection()

    def _respondToBadRequestAndDisconnect(self) -> None:
        is_too_large = self._receivedHeaderSize > self.totalHeadersSize
        if is_too_large or self._receivedHeaderCount > self.maxHeaders:
            self.refuse(ErrorCode.HEADERS_TOO_LARGE)
        else:
            self.refuse(ErrorCode.REQUEST_MALFORMED)

    def _set_timer(self, seconds: float | None, code: ErrorCode | None = None) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if seconds is not None and not self._is_refused:
            self._timer = self.callLater(seconds, self._handle_time_limit, code)

    def _handle_time_limit(self, code: ErrorCode) -> None:
        """Refuse the request unless the rest of it has arrived unread."""
        self._timer = self.callLater(0, self.refuse, code)


def _encode_refusal(code: ErrorCode, outcome: RunOutcome) -> bytes:
    retry_after = RETRY_AFTER_SECONDS if code.status == SERVICE_UNAVAILABLE else None
    error = ServingError(code=code, outcome=outcome, retry_after=retry_after)
    body = msgspec.json.encode(problem_from_error(error, request_id=""))
    reason = RESPONSES.get(code.status, b"")
    head = b"HTTP/1.1 %d %s\r\nContent-Type: %s\r\n" % (
        code.status,
        reason,
        PROBLEM_TYPE,
    )
    if retry_after is not None:
        head += b"Retry-After: %d\r\n" % retry_after
    head += b"Content-Length: %d\r\nConnection: close\r\n\r\n" % len(body)
    return head + body
