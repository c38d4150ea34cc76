"""Endpoints whose streams end with their connection, for tests with real gateways."""

import contextlib
import socket
from concurrent.futures import ThreadPoolExecutor

from bilberryring.standins.gateway_site import MODEL_SERVICE, make_route
from bilberryring.standins.scripted_endpoint import (
    NOT_EXECUTED_HEADER,
    STAMP_HEADER,
    chunk,
    event,
    reset,
    stream_head,
    unmarked_stream_head,
    whole_answer,
)
from bilberryring.testing.processes import pause, wait_until

GRACE_SECONDS = 8.0
CALLER_MS = "9000"
EVENTS = [event(number) for number in range(1, 31)]
WHOLE = b"".join(EVENTS)
ROUTES = [
    make_route("/chat/", "streaming", MODEL_SERVICE, timeout_ms=10_000),
    make_route("/alone/", "streaming", MODEL_SERVICE, timeout_ms=10_000, attempts=1),
    make_route("/three/", "streaming", MODEL_SERVICE, timeout_ms=10_000, attempts=3),
    make_route(
        "/once/", "streaming", MODEL_SERVICE, timeout_ms=10_000, stream_resume=False
    ),
    make_route("/look/", "idempotent", MODEL_SERVICE, timeout_ms=10_000),
]


def events_left(request, events=EVENTS):
    return events[int(request.headers.get("last-event-id") or 0) :]


def send_unmarked(request, connection, *, events=EVENTS, seconds=0.0):
    """Send the events that are left over some seconds, and close in order."""
    rest = events_left(request, events)
    connection.sendall(unmarked_stream_head(request.request_id))
    for data in rest:
        connection.sendall(data)
        pause(seconds / len(rest))
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_WR)


def send_half_unmarked(request, connection):
    """End in order after half of the events."""
    send_unmarked(request, connection, events=EVENTS[:15])


def send_chunked(request, connection):
    rest = b"".join(events_left(request))
    connection.sendall(stream_head(request.request_id))
    connection.sendall((chunk(rest) if rest else b"") + chunk(b""))


def refuse(request, connection):
    extra = f"{STAMP_HEADER}\r\n{NOT_EXECUTED_HEADER}"
    answer = whole_answer(
        request.request_id, b"", status="503 Service Unavailable", extra=extra
    )
    connection.sendall(answer)


def break_off(request, connection):
    reset(connection)


class FirstThenOthers:
    """Runs one script for the first request at any endpoint, another for all later."""

    def __init__(self, first, later):
        self.requests = []
        self.set_scripts(first, later)

    def set_scripts(self, first, later):
        """Use other scripts for the next request, and for those after it."""
        self._scripts = [first, later]
        self._n_before = len(self.requests)

    def __call__(self, request, connection):
        self.requests.append(request)
        is_later = len(self.requests) > self._n_before + 1
        self._scripts[is_later](request, connection)


def add_endpoints(site, first, later, names="ab"):
    script = FirstThenOthers(first, later)
    for name in names:
        site.add_endpoint(name, script, service=MODEL_SERVICE)
    return script


def call(site, path="/chat/"):
    return site.call(path, Bilberryring_Deadline_Ms=CALLER_MS)


def call_over_a_stop(site, script, *, sent_before=0.3):
    """Return the answer to a request that is sent some seconds before the signal."""
    process = site.process("gateway-1")
    with ThreadPoolExecutor(1) as pool:
        pending = pool.submit(call, site)
        wait_until(lambda: script.requests, 2.0, "a request")
        pause(sent_before)
        process.terminate()
        answer = pending.result()
    assert process.wait(GRACE_SECONDS) == 0
    return answer


def last_record(site):
    names = ("request_finished", "request_failed", "caller_left")
    (record,) = [line for line in site.log_events() if line["event"] in names]
    return record
