"""Answers of a service that are lost, broken off or endless, through an entry."""

import itertools
import json
import socket
from concurrent.futures import ThreadPoolExecutor

import pytest

from bilberryring.http.bounded_endpoint import MAX_HEAD_BYTES
from bilberryring.standins.endless_answers import MAX_SENT_BYTES, Endless
from bilberryring.standins.scripted_endpoint import ScriptedEndpoint, chunk, reset
from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import MODEL, SERVICE, FleetPlan, workspace_key
from bilberryring.testing.processes import pause, wait_until

DOMAIN = "valpo-a"
DEADLINE_SECONDS = 1.5
READ_SECONDS = 10.0
BOOKING = "/calls/bookings"
HEAD = b"HTTP/1.1 201 Created\r\nContent-Type: application/json\r\n"
WITH_LENGTH = HEAD + b"Content-Length: 20\r\n\r\n{}"
WITH_CHUNKS = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk(b"{}")
WITH_ENCODING = (
    HEAD + b"Content-Encoding: gzip\r\nContent-Length: 20\r\n\r\n\x1f\x8b\x08\x00"
)
UNTIL_THE_END = HEAD + b"\r\n{}"
N_TOKENS = 400


class Scripted:
    """A fleet of one engine, and one service whose behaviour a test scripts."""

    def __init__(self):
        plan = FleetPlan(
            domains=(DOMAIN,),
            entry_domains=(DOMAIN,),
            engines_per_domain=1,
            service_deadline_seconds=DEADLINE_SECONDS,
        )
        self.fleet = Fleet(plan=plan)
        self.service = ScriptedEndpoint(script=answer)

    def start(self):
        self.fleet.start()
        self.fleet.use_target(self.fleet.services[0], self.service.address)
        return self

    def stop(self):
        self.fleet.stop()
        self.service.close()

    def book(self, version="1.1"):
        """Return the status and the decoded body of the answer to a booking."""
        caller = self.fleet.caller("entry-1", "bars")
        ticket = caller.request_ticket(SERVICE).body["ticket"]
        path = f"/v1/services/{SERVICE}/calls/bookings"
        lines = [f"POST {path} HTTP/{version}", f"Idempotency-Key: {ticket}"]
        return self.send(lines, b"{}")

    def send(self, lines, body):
        lines = [
            *lines,
            "Host: e",
            f"Authorization: Bearer {workspace_key('bars')}",
            f"Content-Length: {len(body)}",
            "Connection: close",
        ]
        host, port = self.fleet.caller_address("entry-1").rsplit(":", 1)
        request = "\r\n".join([*lines, "", ""]).encode() + body
        with socket.create_connection((host, int(port)), READ_SECONDS) as connection:
            connection.sendall(request)
            received = b"".join(iter(lambda: connection.recv(65_536), b""))
        head, _, rest = received.partition(b"\r\n\r\n")
        return int(head.split()[1]), rest

    def check_sound(self):
        """Check that the next booking and a prompt are answered."""
        self.service.set_script(answer)
        assert self.book()[0] == 201
        caller = self.fleet.caller("entry-1", "bars")
        assert caller.prompt("hola", model=MODEL, max_tokens=5).is_whole
        for name in self.fleet.daemons:
            events = {line["event"] for line in self.fleet.log_events(name)}
            assert "internal_fault" not in events


def answer(request, connection):
    connection.sendall(HEAD + b"Content-Length: 2\r\n\r\n{}")


def end(connection):
    connection.shutdown(socket.SHUT_RDWR)


def be_silent(connection):
    pause(DEADLINE_SECONDS + 0.5)


def garble(connection):
    connection.sendall(b"\x00\xffHTP/9 what\r\n\r\n" * 10)
    pause(0.1)
    end(connection)


LOSSES = {"reset": reset, "end": end, "silence": be_silent, "garbled": garble}
BEGINNINGS = {
    "nothing": b"",
    "length": WITH_LENGTH,
    "chunks": WITH_CHUNKS,
    "encoded": WITH_ENCODING,
}
CELLS = [
    *itertools.product(("reset", "end"), BEGINNINGS),
    *itertools.product(("silence",), ("nothing", "length")),
    *itertools.product(("garbled",), ("nothing", "chunks")),
]
"""Bytes that are no answer complete a body with a length like any others."""


@pytest.fixture(scope="module")
def scripted():
    scripted = Scripted()
    try:
        yield scripted.start()
    finally:
        scripted.stop()


def count_bookings(scripted):
    return sum(item.target == BOOKING for item in scripted.service.requests)


@pytest.mark.parametrize(("loss", "begun"), CELLS)
def test_a_booking_whose_answer_is_lost_is_not_said_not_to_have_run(
    scripted, loss, begun
):
    def run_and_lose(request, connection):
        connection.sendall(BEGINNINGS[begun])
        LOSSES[loss](connection)

    n_before = count_bookings(scripted)
    scripted.service.set_script(run_and_lose)
    status, body = scripted.book()
    assert status in (502, 504)
    assert b'"outcome":"unknown"' in body
    assert count_bookings(scripted) == n_before + 1


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize(
    "begun", [WITH_LENGTH, WITH_CHUNKS, WITH_ENCODING, UNTIL_THE_END]
)
def test_an_answer_that_breaks_off_never_looks_complete(scripted, begun, version):
    def break_off(request, connection):
        connection.sendall(begun)
        pause(0.05)
        reset(connection)

    scripted.service.set_script(break_off)
    status, body = scripted.book(version)
    assert status == 502
    assert b'"outcome":"unknown"' in body
    scripted.check_sound()


ENDLESS = {
    "header line": Endless(lambda request: HEAD + b"X-Filler: "),
    "headers": Endless(lambda request: HEAD, block=b"X-Filler: some text\r\n" * 2_000),
    "interim answers": Endless(
        lambda request: b"", block=b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1_000
    ),
    "bytes that are no answer": Endless(lambda request: b""),
    "body": Endless(lambda request: HEAD + b"\r\n"),
    "chunk extension": Endless(
        lambda request: HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;name="
    ),
    "trailer": Endless(
        lambda request: (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk(b"{}") + b"0\r\n"
        ),
        block=b"X-Filler: some text\r\n" * 2_000,
    ),
}


@pytest.mark.parametrize("kind", ENDLESS)
def test_an_endless_answer_ends_its_connection_and_harms_no_other(scripted, kind):
    endless = ENDLESS[kind].again()
    scripted.service.set_script(endless)
    status, body = scripted.book()
    assert status in (502, 504)
    assert b'"outcome":"unknown"' in body
    assert endless.is_closed.wait(READ_SECONDS)
    assert endless.sent < MAX_SENT_BYTES
    scripted.check_sound()


INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
N_MOST = MAX_HEAD_BYTES // len(INTERIM) - 10
"""Interim answers whose bytes, with those of a head, are within the bound."""
N_TOO_MANY = 4 * N_MOST
"""Interim answers that exceed the bound, however many bytes are read at a time."""
INTERIM_PARTS = {"at once": 1, "slowly": 20}
"""Parts in which interim answers are sent, with a pause after each."""


def answer_after(n_interim, n_parts):
    """Return a script that sends so many interim answers, and then a whole answer."""

    def answer_late(request, connection):
        for part in range(n_parts):
            n_sent = n_interim * part // n_parts
            n_next = n_interim * (part + 1) // n_parts
            connection.sendall(INTERIM * (n_next - n_sent))
            pause(0.02)
        answer(request, connection)

    return answer_late


def look_up(scripted):
    """Return the status and the body of the answer to a call without a ticket."""
    return scripted.send([f"GET /v1/services/{SERVICE}/calls/bookings HTTP/1.1"], b"")


CALLS = {"look-up": look_up, "booking": Scripted.book}


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("way", INTERIM_PARTS)
@pytest.mark.parametrize("n_interim", [17, 100, N_MOST])
def test_interim_answers_before_an_answer_cost_nothing(scripted, n_interim, way, call):
    n_before = count_bookings(scripted)
    scripted.service.set_script(answer_after(n_interim, INTERIM_PARTS[way]))
    assert CALLS[call](scripted) == (201, chunk(b"{}") + chunk(b""))
    assert count_bookings(scripted) == n_before + 1


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("way", INTERIM_PARTS)
def test_too_many_interim_answers_are_an_unknown_outcome(scripted, way, call):
    n_before = count_bookings(scripted)
    scripted.service.set_script(answer_after(N_TOO_MANY, INTERIM_PARTS[way]))
    status, body = CALLS[call](scripted)
    assert status == 502
    assert b'"outcome":"unknown"' in body
    assert count_bookings(scripted) == n_before + 1
    scripted.check_sound()


def test_a_stream_that_breaks_off_ends_with_an_error_for_a_caller_of_http_1_0(scripted):
    fleet = scripted.fleet
    engine = fleet.engines[0]
    order = {"model": MODEL, "prompt": "a", "max_tokens": N_TOKENS, "stream": True}

    def crash_when_running():
        wait_until(
            lambda: fleet.engine_counters(engine)["running"] == 1, 5.0, "the prompt"
        )
        pause(0.3)
        fleet.process(engine).kill()

    with ThreadPoolExecutor(1) as pool:
        crashing = pool.submit(crash_when_running)
        status, body = scripted.send(
            ["POST /v1/completions HTTP/1.0"], json.dumps(order).encode()
        )
        crashing.result()
    fleet.restart(engine)
    caller = fleet.caller("entry-1", "bars")
    wait_until(
        lambda: caller.prompt("hola", model=MODEL, max_tokens=5).is_whole,
        READ_SECONDS,
        "the engine to return",
    )
    assert status == 200
    assert b"[DONE]" not in body
    assert b'"outcome":"ran"' in body
