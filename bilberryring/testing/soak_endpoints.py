"""Scripted endpoints that keep a ledger, behind relays, with faults from outside."""

import contextlib
import random
import socket
import threading
import time
from dataclasses import replace

from bilberryring.execution import Framing
from bilberryring.standins.scripted_endpoint import (
    NOT_EXECUTED_HEADER,
    STAMP_HEADER,
    ReceivedRequest,
    ScriptedEndpoint,
    chunk,
    reset,
    stream_head,
    unmarked_stream_head,
    whole_answer,
)
from bilberryring.testing.processes import pause
from bilberryring.testing.soak_answers import (
    answer_body,
    answer_event,
    event_count,
    work_seconds,
)
from bilberryring.testing.soak_faults import EndpointPlan, FailureKind, Place
from bilberryring.testing.soak_records import STREAMS, RunRecord

CONTROL_PREFIX = "/v1/"
REST_SECONDS = 1.0


class RunLedger:
    """The arrivals at all endpoints; it is filled from their threads."""

    def __init__(self):
        self._lock = threading.Lock()
        self._runs: list[RunRecord] = []

    @property
    def runs(self) -> list[RunRecord]:
        """A copy of all records so far."""
        with self._lock:
            return list(self._runs)

    def record(self, run: RunRecord) -> int:
        """Record an arrival and return its index."""
        with self._lock:
            self._runs.append(run)
            return len(self._runs) - 1

    def record_end(self, index: int) -> None:
        """Record that the endpoint is done with an arrival."""
        with self._lock:
            self._runs[index] = replace(self._runs[index], ended_at=time.monotonic())


class SoakEndpoint:
    """One endpoint under one announced id; a restart makes another one."""

    def __init__(
        self, *, plan: EndpointPlan, instance: str, ledger: RunLedger, seed: int
    ):
        self.plan = plan
        self.instance = instance
        self.born_ms = int(time.time() * 1_000.0)
        self._ledger = ledger
        self._random = random.Random(f"{instance} {seed}")
        self._silent_until: dict[Place, float] = {}
        self._failing_until: dict[FailureKind, float] = {}
        self._endpoint = ScriptedEndpoint(script=self._serve)

    @property
    def address(self) -> str:
        """The `host:port` on which the endpoint listens."""
        return self._endpoint.address

    def fall_silent(self, place: Place, seconds: float) -> None:
        """Send nothing at one place of all answers for some seconds."""
        self._silent_until[place] = time.monotonic() + seconds

    def fail(self, kind: FailureKind, seconds: float) -> None:
        """Fail half of the requests for some seconds."""
        self._failing_until[kind] = time.monotonic() + seconds

    def close(self) -> None:
        """Stop as a crashed process does: all connections are closed."""
        for connection in self._endpoint.connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self._endpoint.close()

    def _serve(self, request: ReceivedRequest, connection: socket.socket) -> None:
        request_id = request.headers.get("bilberryring-request-id", "")
        if request.target.startswith(CONTROL_PREFIX):
            answer = whole_answer(request_id, b"", status="404 Not Found")
            connection.sendall(answer)
            return
        target = request.headers.get("bilberryring-target-instance", self.instance)
        is_foreign = target != self.instance
        failure = None if is_foreign else self._draw_failure()
        is_refused = failure in (FailureKind.REFUSE, FailureKind.REST)
        index = self._ledger.record(
            RunRecord(
                request=request_id,
                endpoint=self.plan.name,
                instance=self.instance,
                service=self.plan.service,
                domain=self.plan.domain,
                at=time.monotonic(),
                has_run=not (is_foreign or is_refused),
                is_foreign=is_foreign,
                is_failed=failure is not None and not is_refused,
            )
        )
        try:
            if is_foreign:
                _refuse(connection, request_id, "421 Misdirected Request")
            elif failure is FailureKind.REFUSE:
                _refuse(connection, request_id, "503 Service Unavailable")
            elif failure is FailureKind.REST:
                extra = f"\r\nRetry-After: {REST_SECONDS}"
                _refuse(connection, request_id, "429 Too Many Requests", extra)
            else:
                self._run(request, connection, failure)
        finally:
            self._ledger.record_end(index)

    def _run(
        self,
        request: ReceivedRequest,
        connection: socket.socket,
        failure: FailureKind | None,
    ) -> None:
        if failure is FailureKind.EXTRA:
            connection.sendall(whole_answer("another", b"extra"))
        pause(work_seconds(request.request_id))
        self._wait_while_silent(Place.HEAD)
        pieces = self._pieces(request)
        last_place = len(pieces) // 2 if failure else len(pieces)
        for number, (place, piece, seconds) in enumerate(pieces):
            if number == last_place and failure is not FailureKind.EXTRA:
                _break_off(connection, failure)
                return
            pause(seconds)
            self._wait_while_silent(place)
            connection.sendall(piece)
        if self._is_unmarked(request):
            connection.shutdown(socket.SHUT_WR)

    def _is_unmarked(self, request: ReceivedRequest) -> bool:
        """Whether the end of the connection is the only mark of an answer's end."""
        is_stream = request.target in STREAMS
        return is_stream and self.plan.framing is Framing.CONNECTION

    def _pieces(self, request: ReceivedRequest) -> list[tuple[Place, bytes, float]]:
        """Return the parts of an answer, each with its place and a pause before it."""
        request_id = request.request_id
        if request.target not in STREAMS:
            answer = whole_answer(request_id, answer_body(request_id))
            middle = len(answer) // 2
            halves = (answer[:middle], answer[middle:])
            return [(Place.BODY, half, 0.0) for half in halves]
        first = int(request.headers.get("last-event-id") or 0) + 1
        interval = work_seconds(request_id)
        numbers = range(first, event_count(request_id) + 1)
        events = [answer_event(request_id, number) for number in numbers]
        if self._is_unmarked(request):
            head = (Place.HEAD, unmarked_stream_head(request_id), 0.0)
            return [head, *((Place.EVENTS, event, interval) for event in events)]
        head = (Place.HEAD, stream_head(request_id), 0.0)
        chunks = [(Place.EVENTS, chunk(event), interval) for event in events]
        return [head, *chunks, (Place.EVENTS, chunk(b""), 0.0)]

    def _wait_while_silent(self, place: Place) -> None:
        for silent_place in (place, Place.ANYWHERE):
            while True:
                until = self._silent_until.get(silent_place, 0.0)
                remaining = until - time.monotonic()
                if remaining <= 0.0:
                    break
                pause(remaining)

    def _draw_failure(self) -> FailureKind | None:
        now = time.monotonic()
        kinds = [kind for kind, until in self._failing_until.items() if now < until]
        if not kinds or self._random.random() < 0.5:
            return None
        return self._random.choice(kinds)


def _refuse(
    connection: socket.socket, request_id: str, status: str, extra: str = ""
) -> None:
    extra = f"{STAMP_HEADER}\r\n{NOT_EXECUTED_HEADER}{extra}"
    connection.sendall(whole_answer(request_id, b"", status=status, extra=extra))


def _break_off(connection: socket.socket, failure: FailureKind | None) -> None:
    if failure is FailureKind.RESET:
        reset(connection)
    else:
        connection.shutdown(socket.SHUT_RDWR)
