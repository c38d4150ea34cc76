"""Callers of a gateway that go on while it is stopped, and what they get.

They send bookings, look-ups and prompts at fixed moments around the stop signal: on
connections that were opened before it, on new ones, half before a pause and half after
it, and two requests at once.
"""

import contextlib
import itertools
import socket
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from bilberryring.standins.gateway_site import GatewaySite, request_headers
from bilberryring.testing.processes import pause

REQUEST_ID = "Bilberryring-Request-Id"
HALF_SECONDS = 0.4
"""Seconds between the two halves of a request that is sent in halves."""
READ_SECONDS = 20.0
BODY = b"0123456789"
PATHS = ("/charge/", "/look/", "/chat/")


class ConnectionUse(Enum):
    """How a caller sends its request."""

    KEPT = "kept"
    NEW = "new"
    HALVES = "halves"
    PIPELINED = "pipelined"


@dataclass(frozen=True, slots=True, kw_only=True)
class StopAnswer:
    """An answer as its caller received it; `status` is 0 without its head."""

    status: int = 0
    is_whole: bool = False


NO_ANSWER = StopAnswer()


@dataclass(slots=True, kw_only=True)
class StopRequest:
    """One request and its answer; `sent_at` is in seconds since the stop signal.

    `answered_after` is the time from its first byte to the last byte of the answers on
    its connection, and `closed_after` the time from its last byte to the end of the
    connection. With `is_behind_cut` the answer before it on its connection was cut, so
    that none could follow.
    """

    request_id: str
    path: str
    use: ConnectionUse
    sent_at: float
    answer: StopAnswer = NO_ANSWER
    answered_after: float = 0.0
    closed_after: float = 0.0
    is_behind_cut: bool = False


@dataclass(kw_only=True)
class StopCallers:
    """Sends one request of each kind at each moment, each from its own thread.

    `moments` are seconds since the stop signal. `deadline_ms` is the deadline of each
    request.
    """

    site: GatewaySite
    moments: Sequence[float]
    deadline_ms: int
    uses: Sequence[ConnectionUse] = tuple(ConnectionUse)
    paths: Sequence[str] = PATHS
    number: int = 1
    requests: list[StopRequest] = field(default_factory=list)

    def start(self) -> None:
        """Open the connections that are kept, and start the threads, which wait.

        On a busy machine this takes seconds.
        """
        self._has_begun = threading.Event()
        self._threads = []
        for moment, use, path in itertools.product(self.moments, self.uses, self.paths):
            caller = None
            if use is ConnectionUse.KEPT:
                caller = self.site.caller_socket(self.number)
            thread = threading.Thread(
                target=self._call, args=(moment, use, path, caller), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def begin(self, stop_at: float) -> None:
        """Let the threads send their requests around the stop signal at `stop_at`."""
        self._stop_at = stop_at
        self._has_begun.set()

    def join(self) -> None:
        """Wait until all callers have ended."""
        for thread in self._threads:
            thread.join()

    def _call(
        self,
        moment: float,
        use: ConnectionUse,
        path: str,
        caller: socket.socket | None,
    ) -> None:
        self._has_begun.wait()
        stop_at = self._stop_at
        wait_until_moment(stop_at + moment)
        count = 2 if use is ConnectionUse.PIPELINED else 1
        sent = [self._encode(path) for _ in range(count)]
        started_at = time.monotonic()
        received, ended_at = b"", started_at
        whole_at = None
        with contextlib.suppress(OSError):
            caller = caller or self.site.caller_socket(self.number)
            caller.settimeout(READ_SECONDS)
            data = b"".join(text for _, text in sent)
            half = len(data) // 2 if use is ConnectionUse.HALVES else len(data)
            caller.sendall(data[:half])
            if half < len(data):
                pause(HALF_SECONDS)
                caller.sendall(data[half:])
            whole_at = time.monotonic()
            received, ended_at = _read_all(caller)
        closed_after = time.monotonic() - whole_at if whole_at else 0.0
        answers = parse_answers(received)
        was_cut = False
        for request_id, _ in sent:
            answer = answers.pop(0) if answers else NO_ANSWER
            self.requests.append(
                StopRequest(
                    request_id=request_id,
                    path=path,
                    use=use,
                    sent_at=started_at - stop_at,
                    answer=answer,
                    answered_after=ended_at - started_at,
                    closed_after=closed_after,
                    is_behind_cut=was_cut,
                )
            )
            was_cut = bool(answer.status) and not answer.is_whole

    def _encode(self, path: str) -> tuple[str, bytes]:
        headers = request_headers() | {"Bilberryring-Deadline-Ms": self.deadline_ms}
        fields = [f"{name}: {text}" for name, text in headers.items()]
        fields.append(f"Content-Length: {len(BODY)}")
        head = "\r\n".join([f"POST {path} HTTP/1.1", *fields, "", ""])
        return headers[REQUEST_ID], head.encode() + BODY


def _read_all(caller: socket.socket) -> tuple[bytes, float]:
    """Return what arrives until the connection ends, and when the last of it came."""
    received = bytearray()
    last_at = time.monotonic()
    with contextlib.suppress(OSError):
        while data := caller.recv(65_536):
            received += data
            last_at = time.monotonic()
    caller.close()
    return bytes(received), last_at


def parse_answers(received: bytes) -> list[StopAnswer]:
    """Return the answers in the bytes of a connection; the last may be cut.

    >>> whole = b"HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nok"
    >>> [answer.is_whole for answer in parse_answers(whole + whole[:-1])]
    [True, False]
    """
    answers = []
    while received:
        head, end, rest = received.partition(b"\r\n\r\n")
        if not end:
            answers.append(NO_ANSWER)
            break
        length, is_whole = _body_length(head.lower(), rest)
        answers.append(StopAnswer(status=int(head[9:12]), is_whole=is_whole))
        received = rest[length:]
    return answers


def _body_length(head: bytes, rest: bytes) -> tuple[int, bool]:
    if b"\r\ntransfer-encoding: chunked" in head:
        end = rest.find(b"0\r\n\r\n")
        return (end + 5, True) if end >= 0 else (len(rest), False)
    length = int(head.partition(b"\r\ncontent-length:")[2].split(b"\r\n")[0] or 0)
    return length, len(rest) >= length


def wait_until_moment(moment: float) -> None:
    """Sleep until a moment of the monotonic clock."""
    pause(max(0.0, moment - time.monotonic()))
