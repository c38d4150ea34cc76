"""Callers of an entry that send malformed requests, or send without end."""

import contextlib
import socket
import time

import pytest

from bilberryring.entry.caller_channel import LINGER_BYTES, LINGER_SECONDS
from bilberryring.http import MAX_BODY_BYTES
from bilberryring.testing.abusive_requests import (
    ENDLESS_REQUESTS,
    MAX_SENT_BYTES,
    UNCLEAR_LENGTHS,
    endless_request,
    read_all,
    send_all,
)
from bilberryring.testing.plan import MODEL, workspace_key

TARGET = "/v1/completions"
N_IDLE = 1_000
HEADER_SECONDS = 3.0


@pytest.fixture(scope="module")
def fleet(small_fleet):
    return small_fleet


@pytest.fixture
def caller(fleet):
    with connect(fleet) as caller:
        yield caller


def connect(fleet):
    host, port = fleet.caller_address("entry-1").rsplit(":", 1)
    return socket.create_connection((host, int(port)), timeout=30.0)


def head(*lines):
    key = f"Authorization: Bearer {workspace_key('bars')}"
    request_line = f"POST {TARGET} HTTP/1.1"
    return "\r\n".join([request_line, "Host: e", key, *lines, "", ""]).encode()


def check_unharmed(fleet):
    result = fleet.caller("entry-1", "bars").prompt("hola", model=MODEL, max_tokens=5)
    assert result.is_whole
    events = {line["event"] for line in fleet.log_events("entry-1")}
    assert "internal_fault" not in events


@pytest.mark.parametrize("kind", ENDLESS_REQUESTS)
def test_a_request_without_end_gets_an_error_and_harms_no_other(fleet, caller, kind):
    parts = endless_request(kind, target=TARGET.encode(), head=head)
    n_sent, answer = send_all(caller, parts)
    assert n_sent < MAX_SENT_BYTES
    assert answer.startswith(b"HTTP/1.1 %d " % ENDLESS_REQUESTS[kind])
    assert b"not_run" in answer
    check_unharmed(fleet)


@pytest.mark.parametrize("lines", UNCLEAR_LENGTHS)
def test_a_request_whose_length_is_not_clear_is_refused(fleet, caller, lines):
    caller.sendall(head(*lines) + b"5\r\nhello\r\n0\r\n\r\n")
    caller.shutdown(socket.SHUT_WR)
    answer = read_all(caller)
    assert answer.startswith(b"HTTP/1.1 400 ") and b"not_run" in answer
    check_unharmed(fleet)


def test_a_head_that_comes_a_byte_at_a_time_is_given_up(fleet, caller):
    started_at = time.monotonic()
    slow = (bytes([byte]) for byte in head("Content-Length: 1")[:30])
    _, answer = send_all(caller, at_intervals(slow, seconds=0.5))
    assert answer.startswith(b"HTTP/1.1 408 ") and b"not_run" in answer
    assert time.monotonic() - started_at < HEADER_SECONDS + 2.0
    check_unharmed(fleet)


def at_intervals(parts, *, seconds):
    for part in parts:
        time.sleep(seconds)
        yield part


def test_a_refused_request_with_a_ticket_has_an_unknown_outcome(caller):
    caller.sendall(head("Idempotency-Key: bt1~e~i~0~aa", "Content-Length: 9999999999"))
    answer = read_all(caller)
    assert answer.startswith(b"HTTP/1.1 413 ")
    assert b'"outcome":"unknown"' in answer


def test_a_caller_that_writes_its_whole_body_first_reads_why_it_is_refused(caller):
    caller.sendall(head(f"Content-Length: {MAX_BODY_BYTES + 1}"))
    caller.sendall(b"x" * LINGER_BYTES)
    time.sleep(0.2)
    assert read_all(caller).startswith(b"HTTP/1.1 413 ")


def test_a_refused_connection_is_closed_although_its_caller_does_not(fleet, caller):
    caller.sendall(head("Content-Length: -1"))
    assert read_all(caller).startswith(b"HTTP/1.1 400 ")
    closed_by = time.monotonic() + LINGER_SECONDS + 2.0
    with pytest.raises(OSError):
        while time.monotonic() < closed_by:
            caller.sendall(b"x")
            time.sleep(0.1)
    check_unharmed(fleet)


def test_a_deeply_nested_body_is_refused(fleet, caller):
    body = b"[" * 100_000 + b"]" * 100_000
    caller.sendall(head(f"Content-Length: {len(body)}", "Connection: close") + body)
    answer = read_all(caller)
    assert answer.startswith(b"HTTP/1.1 400 ") and b"not_run" in answer
    check_unharmed(fleet)


def test_idle_connections_harm_no_other(fleet):
    with contextlib.ExitStack() as stack:
        for _ in range(N_IDLE):
            stack.enter_context(connect(fleet))
        for _ in range(20):
            check_unharmed(fleet)
