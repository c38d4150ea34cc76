"""Callers of a soak: threads that send requests at a set rate and record the answers.

Each caller keeps a connection open or opens one for each request. It retries as the
operators' callers do: on a new connection, within its deadline, and a request that
may run only once only after an answer which says that it has not run.
"""

import contextlib
import http.client
import os
import random
import threading
import time
from dataclasses import dataclass, field

from bilberryring.platform import names
from bilberryring.standins.gateway_site import (
    API_KEY,
    CallerAnswer,
    GatewaySite,
    read_answer,
    request_headers,
)
from bilberryring.testing.processes import pause
from bilberryring.testing.soak_checks import CALLER_SLACK_SECONDS, NOT_RUN_STATUSES
from bilberryring.testing.soak_records import (
    AT_MOST_ONCE,
    CHARGE,
    CHAT,
    FLAG,
    LOOKUP,
    SECOND_KEY,
    STREAMS,
    TALE,
    CallRecord,
)

N_CALLERS = 40
MAX_TRIES = 3
PATHS = {LOOKUP: 30, CHARGE: 20, CHAT: 30, TALE: 10, FLAG: 10}
DEADLINES_SECONDS = (4.0, 4.0, 4.0, 4.0, 2.0)
LEAVING_SHARE = 0.03
LEAVING_SECONDS = 0.15
KEPT_SHARE = 0.7
PACES = (0.5, 1.0, 1.0, 4.0)
"""Factors of the mean interval between the requests of one caller."""
IDLE_SHARE = 0.8
"""Share of the limit for idle connections up to which callers use them again."""
EVENT_PATIENCE_SECONDS = 2.0
"""Seconds without an event after which an impatient caller of a stream leaves.

The longest of 2 s, four times the first objective and eight times the pause objective.
"""
LARGE_REQUEST_BYTES = 1_000_000
CONNECT_SECONDS = 1.0
FINAL_STATUSES = frozenset((400, 401, 404, 413, 431))
NO_ANSWER = CallerAnswer(status=0, headers={}, body=b"", is_cut=True)


@dataclass(slots=True, kw_only=True)
class SoakSite:
    """What callers know: the gateways in rotation, their starts, the idle limit."""

    site: GatewaySite
    in_rotation: set[int] = field(default_factory=set)
    incarnations: dict[int, int] = field(default_factory=dict)
    idle_limit: float = 5.0
    is_over: threading.Event = field(default_factory=threading.Event)


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerHabits:
    """Shares of the requests or callers with a habit.

    Requests of the share `large` have a large body. Callers of the share `holding` use
    a connection again until it is closed, those of `impatient` leave a stream after a
    silence.
    """

    large: float = 0.0
    holding: float = 0.0
    impatient: float = 0.0


PLANNED_HABITS = CallerHabits(large=0.02, holding=0.2, impatient=0.4)


class SoakCaller(threading.Thread):
    """A caller that sends requests at random times; `interval` is the mean one."""

    def __init__(
        self,
        *,
        shared: SoakSite,
        calls: list[CallRecord],
        seed: str,
        interval: float,
        habits: CallerHabits | None = None,
    ):
        super().__init__(daemon=True)
        self._shared = shared
        self._calls = calls
        self._random = random.Random(seed)
        self._interval = interval * self._random.choice(PACES)
        self._keeps = self._random.random() < KEPT_SHARE
        self._kept: tuple[http.client.HTTPConnection, int, int] | None = None
        self._used_at = 0.0
        self._habits = habits or CallerHabits()
        # Draws of their own leave the requests of a seed as they are without habits.
        self._habit_random = random.Random(f"habits {seed}")
        self._is_holding = self._habit_random.random() < self._habits.holding
        self._is_impatient = self._habit_random.random() < self._habits.impatient

    def run(self) -> None:
        while not self._shared.is_over.is_set():
            pause(self._random.expovariate(1.0 / self._interval))
            self._send_with_retries()
        self._drop_kept()

    def _send_with_retries(self) -> None:
        path = self._random.choices(list(PATHS), list(PATHS.values()))[0]
        key = SECOND_KEY if self._random.random() < 0.2 else API_KEY
        deadline_at = time.monotonic() + self._random.choice(DEADLINES_SECONDS)
        is_leaving = self._random.random() < LEAVING_SHARE
        for _ in range(MAX_TRIES):
            left = deadline_at - time.monotonic()
            if left < 0.1 or self._shared.is_over.is_set():
                return
            record = self._send(path, key, left, is_leaving)
            if record is None:
                pause(0.05)
                continue
            self._calls.append(record)
            if not _is_retried(record):
                return
            self._drop_kept()
            pause(_retry_after(record.answer, deadline_at - time.monotonic()))

    def _send(
        self, path: str, key: str, deadline: float, is_leaving: bool
    ) -> CallRecord | None:
        """Send one request; return `None` if no connection can be established."""
        is_kept = self._can_reuse()
        if not is_kept:
            self._drop_kept()
            self._kept = self._connect()
            if self._kept is None:
                return None
        connection, gateway, incarnation = self._kept
        seconds = LEAVING_SECONDS if is_leaving else deadline + CALLER_SLACK_SECONDS
        connection.sock.settimeout(seconds)
        request = os.urandom(8).hex()
        headers = {
            names.REQUEST_ID.decode(): request,
            names.DEADLINE_MS.decode(): str(int(deadline * 1_000.0)),
            "Authorization": f"Bearer {key}",
        }
        is_large = self._habit_random.random() < self._habits.large
        body = bytes(LARGE_REQUEST_BYTES) if is_large else b"x"
        is_watching = self._is_impatient and path in STREAMS and not is_leaving
        written_at, has_given_up = None, False
        sent_at = time.monotonic()
        try:
            # A request that was refused early has an answer all the same.
            with contextlib.suppress(ConnectionError):
                connection.request("POST", path, body, request_headers() | headers)
                written_at = time.monotonic()
            if is_watching:
                answer, has_given_up = read_stream(connection)
            else:
                answer = read_answer(connection)
        except (OSError, http.client.HTTPException):
            answer = NO_ANSWER
        ended_at = time.monotonic()
        if answer.is_cut or not self._keeps:
            self._drop_kept()
        self._used_at = ended_at
        return CallRecord(
            request=request,
            path=path,
            key=key,
            gateway=gateway,
            incarnation=incarnation,
            deadline=deadline,
            sent_at=sent_at,
            ended_at=ended_at,
            answer=answer,
            is_kept=is_kept,
            has_left=has_given_up
            or (is_leaving and answer.is_cut and ended_at - sent_at >= seconds),
            has_given_up=has_given_up,
            body_bytes=len(body),
            written_at=ended_at if written_at is None else written_at,
        )

    def _can_reuse(self) -> bool:
        """Return whether there is an open connection that was used lately."""
        if self._kept is None or self._kept[0].sock is None:
            return False
        idle = time.monotonic() - self._used_at
        return self._is_holding or idle < IDLE_SHARE * self._shared.idle_limit

    def _connect(self) -> tuple[http.client.HTTPConnection, int, int] | None:
        numbers = sorted(self._shared.in_rotation) or sorted(self._shared.incarnations)
        gateway = self._random.choice(numbers)
        incarnation = self._shared.incarnations[gateway]
        connection = self._shared.site.connect(gateway)
        connection.timeout = CONNECT_SECONDS
        try:
            connection.connect()
        except OSError:
            return None
        return connection, gateway, incarnation

    def _drop_kept(self) -> None:
        if self._kept is not None:
            with contextlib.suppress(OSError):
                self._kept[0].close()
        self._kept = None


def _is_retried(record: CallRecord) -> bool:
    answer = record.answer
    if record.has_left or answer.status in FINAL_STATUSES:
        return False
    if answer.status in NOT_RUN_STATUSES:
        return True
    is_failed = answer.is_cut or not 200 <= answer.status < 300
    return is_failed and record.path not in AT_MOST_ONCE


def read_stream(
    connection: http.client.HTTPConnection,
    *,
    patience: float = EVENT_PATIENCE_SECONDS,
) -> tuple[CallerAnswer, bool]:
    """Return an answer, and whether its caller left after a silence.

    `patience` is the seconds without an event after which it leaves.
    """
    caller_socket = connection.sock
    caller_socket.settimeout(patience)
    leaves_at = time.monotonic() + patience
    parts: list[bytes] = []
    status, headers = 0, {}
    has_given_up = is_cut = False
    try:
        response = connection.getresponse()
        status = response.status
        headers = {name.lower(): value for name, value in response.headers.items()}
        if not response.chunked:
            parts.append(response.read())
        while not response.isclosed():
            caller_socket.settimeout(max(0.001, leaves_at - time.monotonic()))
            piece = response.read1()
            if piece:
                parts.append(piece)
                leaves_at = time.monotonic() + patience
    except TimeoutError:
        has_given_up = is_cut = True
    except http.client.IncompleteRead as error:
        parts.append(error.partial)
        is_cut = True
    except (OSError, http.client.HTTPException):
        is_cut = True
    answer = CallerAnswer(
        status=status, headers=headers, body=b"".join(parts), is_cut=is_cut
    )
    return answer, has_given_up


def _retry_after(answer: CallerAnswer, seconds_left: float) -> float:
    try:
        wanted = float(answer.headers.get("retry-after", "0.05"))
    except ValueError:
        wanted = 0.05
    return max(0.0, min(wanted, seconds_left / 3.0))
