"""An HTTP connection whose memory is counted, and which reads only what it can use."""

import fcntl
import struct
import termios

from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel
from twisted.web.http_headers import Headers

from bilberryring.core import ErrorCode
from bilberryring.http.client_budget import Cause, ClientBudget
from bilberryring.http.header_names import bound_header_names

CONNECTION_BYTES = 6 * 1024
"""Memory of an idle connection: its protocol, transport, timers and socket object."""
RECEIVING_BYTES = 4 * 1024
"""Memory of a request that is being received beside its head and its body."""
REQUEST_BYTES = 44 * 1024
"""Memory of a request that is handled beside its head and its body. 600 of them took
18.5 KiB each, and an endpoint that answers at once sends up to 64 KiB in one read."""
FIELD_BYTES = 320
"""Memory of a header field beside its text: it is kept in the table that was parsed,
in the list that is passed on and in the request to the endpoint. 200 of them took 57
KiB."""
HEAD_COPIES = 3
"""How often the text of a head is in memory."""
BODY_COPIES = 2
"""How often a body is in memory: the buffer in which it arrives is larger by an eighth,
and it is copied once when it is sent to an endpoint."""
CHUNKED_STEP_BYTES = 64 * 1024
"""Least size for which room is made when the length of a body is not declared."""
CHUNKED_READ_BYTES = 8 * 1024
"""Bytes of a chunked body that are read at a time. 64 KiB of chunks of 16 bytes take 30
ms to decode, and 200 such callers made others wait for six seconds."""
MAX_REQUESTS_IN_PASS = 16
"""Pipelined requests of a connection that are answered before others have a turn. One
read may have 1,000 of them, which take 0.1 s; 40 such callers made the process stand
still for seven seconds."""
PIECE_BYTES = 48
"""Memory of a piece of output beside its bytes."""
MAX_AHEAD_PIECES = 32
"""Pieces of data read ahead after which they are joined; a piece of one byte takes 41
bytes."""

bound_header_names()


class BudgetedChannel(HTTPChannel):
    """Charges what a client holds to the account of its connection.

    A subclass refuses requests. While the client does not read its responses, no
    further request is read.
    """

    account = None
    _is_counted = False
    _n_in_pass = 0
    _read_size = 0
    _body_bytes = 0
    _head_bytes = 0
    _ahead_bytes = 0
    _unread_bytes = 0
    _unsent_bytes = 0

    @property
    def budget(self) -> ClientBudget:
        """The budget of all connections of the process."""
        return self.factory.client_budget

    @property
    def is_refused(self) -> bool:
        """Whether the request that is being received has been refused."""
        raise NotImplementedError

    def refuse(self, code: ErrorCode) -> None:
        """Send an error for the request that is being received, and close."""
        raise NotImplementedError

    def connectionMade(self) -> None:
        peer = self.transport.getPeer()
        address = getattr(peer, "host", "")
        super().connectionMade()
        self.account = self.budget.open(self, address=address)
        self._count_held()
        self.budget.admit(self.account)

    def connectionLost(self, reason: Failure) -> None:
        if self.account is not None:
            self._end_request()
            self.budget.close(self.account)
        self._drop_data()
        super().connectionLost(reason)
        # It refers to the connection, which would stay until garbage is collected.
        self._transferDecoder = None

    def evict(self, cause: Cause) -> None:
        """Refuse the request that is being received, or reset the connection."""
        is_receiving = self.requests and not self._handlingRequest
        can_refuse = is_receiving and not self.is_refused and not self._unread_bytes
        if can_refuse and cause is Cause.EVICTED:
            self.refuse(ErrorCode.MEMORY_SHORT)
            return
        self.budget.close(self.account)
        self.transport.abortConnection()
        self._drop_data()

    @property
    def output_bytes(self) -> int:
        """The number of bytes that are written and not passed to the kernel yet."""
        if not self._has_output():
            return 0
        transport = self.transport
        return transport._tempDataLen + len(transport.dataBuffer) - transport.offset

    def update_output(self) -> None:
        """Count the output that the client has not read; what it reads is progress."""
        transport = self.transport
        if not self._has_output():
            if self._unread_bytes:
                self._set_unread(0)
            return
        pieces = PIECE_BYTES * len(transport._tempDataBuffer)
        in_buffer = transport._tempDataLen + len(transport.dataBuffer)
        self._set_unread(in_buffer + pieces)
        unsent = in_buffer - transport.offset + _bytes_in_kernel(transport)
        if unsent < self._unsent_bytes:
            now = self.factory.reactor.seconds()
            self.account.advance(self._unsent_bytes - unsent, now=now)
        self._unsent_bytes = unsent

    def dataReceived(self, data: bytes) -> None:
        account = self.account
        now = self.factory.reactor.seconds()
        if not self.requests and not self._buffer:
            account.begin(now=now)
        account.advance(len(data), now=now)
        if not self._busyReceiving:
            self._n_in_pass = 0
        super().dataReceived(data)
        self._count_held()
        if self.requests and not self._handlingRequest and not self.is_refused:
            self.check_memory()

    def refuse_short(self) -> None:
        """Refuse a request, as there is no room for it."""
        self.budget.count_refusal()
        self.refuse(ErrorCode.MEMORY_SHORT)

    def check_memory(self) -> None:
        """Refuse a request if no memory is left, unless room was made for its body."""
        if self._body_bytes or self.factory.is_always_served:
            return
        if not self.budget.make_room(self.account, 0):
            self.refuse_short()

    def check_request(self) -> None:
        """Refuse a complete request if there is no room to handle it."""
        self._count_held()
        if self.factory.is_always_served:
            return
        if not self.budget.make_room_for_request(self.account, REQUEST_BYTES):
            self.refuse_short()

    def allHeadersReceived(self) -> None:
        super().allHeadersReceived()
        self._head_bytes = self._size_of_head()
        if self.length is None and hasattr(self.transport, "bufferSize"):
            self._read_size = self.transport.bufferSize
            self.transport.bufferSize = CHUNKED_READ_BYTES

    def make_room_for_body(self) -> bool:
        """Whether the body that the head declares fits into the budget."""
        n_bytes = 0 if self.length is None else self.length
        return self._make_room(BODY_COPIES * n_bytes)

    def _end_chunks(self) -> None:
        if self._read_size:
            self.transport.bufferSize, self._read_size = self._read_size, 0

    def allContentReceived(self) -> None:
        self._end_chunks()
        self._body_bytes = BODY_COPIES * self.requests[-1].content.tell()
        self.account.is_evictable = False
        self._is_counted = True
        self.budget.begin_request()
        super().allContentReceived()

    def rawDataReceived(self, data: bytes) -> None:
        if self._handlingRequest:
            self._keep_ahead(data)
            return
        decoder = self._transferDecoder
        super().rawDataReceived(data)
        trailers = getattr(decoder, "_trailerHeaders", None)
        if trailers:
            # Nobody reads them, and each short one takes 60 bytes.
            trailers.clear()

    def make_room_for_objects(self, n_bytes: int) -> bool:
        """Whether what the body of the request in progress is decoded to fits."""
        return self._make_room(n_bytes)

    def make_room_for_chunks(self) -> bool:
        """Whether what has arrived of a body of undeclared length fits."""
        if self.length is not None:
            return True
        needed = BODY_COPIES * self.requests[-1].content.tell()
        if needed <= self._body_bytes:
            return True
        most = BODY_COPIES * self.factory.limits.max_body_bytes
        ahead = min(most, 2 * max(needed, BODY_COPIES * CHUNKED_STEP_BYTES))
        return self._make_room(ahead - self._body_bytes) or self._make_room(
            needed - self._body_bytes
        )

    def writeHeaders(self, version, code, reason, headers) -> None:
        # The endpoint has read the request, so that its copy is gone.
        self._body_bytes //= BODY_COPIES
        self._count_held()
        lines = [b"%s %s %s\r\n" % (version, code, reason)]
        for name, values in headers.getAllRawHeaders():
            lines.extend(b"%s: %s\r\n" % (name, value) for value in values)
        # The library writes each name and value by itself. Kept as objects, unread
        # responses without bodies took ten times their bytes.
        self.transport.write(b"".join(lines) + b"\r\n")

    def _drop_data(self) -> None:
        """Free what is left to be read or sent on a closed connection.

        Others may refer to the connection for a while.
        """
        self._buffer = b""
        self._dataBuffer = []
        if self._has_output():
            self.transport.dataBuffer = b""
            self.transport._tempDataBuffer = []
            self.transport._tempDataLen = self.transport.offset = 0

    def _has_output(self) -> bool:
        """Whether the transport holds data that has not been sent."""
        transport = self.transport
        has_buffer = bool(getattr(transport, "dataBuffer", b""))
        return has_buffer or bool(getattr(transport, "_tempDataLen", 0))

    def _end_request(self) -> None:
        if self._is_counted:
            self._is_counted = False
            self.budget.end_request()

    def requestDone(self, request) -> None:
        self._end_request()
        self._head_bytes = self._body_bytes = self._ahead_bytes = 0
        now = self.factory.reactor.seconds()
        self.account.begin(now=now)
        self.account.is_evictable = self.account.has_served = True
        self._n_in_pass += 1
        is_turn_over = self._busyReceiving and self._n_in_pass >= MAX_REQUESTS_IN_PASS
        if (self._waitingForTransport or is_turn_over) and self.persistent:
            self._hold_input()
        if is_turn_over and self.persistent:
            self.callLater(0, self._take_turn)
        super().requestDone(request)
        self._count_held()

    def _take_turn(self) -> None:
        """Handle further requests that were read, once others had their turn."""
        is_closed = self.account is None or not self.account.is_open
        if self.paused and not self._waitingForTransport and not is_closed:
            self._resume_input()

    def pauseProducing(self) -> None:
        super().pauseProducing()
        if not self._handlingRequest:
            self._hold_input()
        if not self._unread_bytes:
            self.account.begin(now=self.factory.reactor.seconds())
        self.account.is_evictable = True
        self.update_output()

    def resumeProducing(self) -> None:
        super().resumeProducing()
        self._set_unread(0)
        self.account.is_evictable = not self._handlingRequest
        if self.paused:
            self._resume_input()

    def _resume_input(self) -> None:
        self.paused = False
        if self._buffer and not self.is_refused:
            self.dataReceived(b"")

    def release_request(self) -> None:
        """Drop what has arrived of a refused request and of those after it."""
        self._end_chunks()
        self._body_bytes = self._head_bytes = 0
        self._buffer = b""
        if self.requests and not self._handlingRequest:
            self.requests[-1].discard_body()
            self.requests[-1].requestHeaders = Headers()
        self._count_held()

    def _hold_input(self) -> None:
        """Parse no further request until the client has read its responses."""
        self.paused = True
        self._networkProducer.pauseProducing()

    def _keep_ahead(self, data: bytes) -> None:
        """Keep what arrives while a request is in progress, and read no more of it.

        What is read at all tells when the client closes the connection.
        """
        kept = self._dataBuffer
        kept.append(data)
        if len(kept) >= MAX_AHEAD_PIECES:
            kept[:] = [b"".join(kept)]
        self._ahead_bytes += len(data)
        if self._ahead_bytes > self._optimisticEagerReadSize:
            self._networkProducer.pauseProducing()

    def _make_room(self, n_bytes: int) -> bool:
        if not self.budget.make_room(self.account, n_bytes):
            return False
        self._body_bytes += n_bytes
        self._count_held()
        return True

    def _set_unread(self, n_bytes: int) -> None:
        self._unread_bytes = n_bytes
        if not n_bytes:
            self._unsent_bytes = 0
        self.account.hold_unread(n_bytes)
        self._count_held()

    def _size_of_head(self) -> int:
        fields = self._receivedHeaderCount * FIELD_BYTES
        return self._receivedHeaderSize * HEAD_COPIES + fields + RECEIVING_BYTES

    def _count_held(self) -> None:
        if self.account is None:
            return
        held = CONNECTION_BYTES + len(self._buffer) + self._ahead_bytes
        held += self._unread_bytes + self._body_bytes
        if self._is_counted:
            held += REQUEST_BYTES
        if self._head_bytes:
            held += self._head_bytes
        elif self.requests and not self.is_refused:
            held += self._size_of_head()
        self.account.hold(held)


def _bytes_in_kernel(transport) -> int:
    """Return the sent bytes that the client's host has not acknowledged."""
    try:
        answer = fcntl.ioctl(transport.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return struct.unpack("i", answer)[0]
