"""Requests on connections that are open, half sent or waiting when an entry stops."""

import contextlib
import json
import socket
import threading

import pytest

from bilberryring.standins.stop_callers import parse_answers
from bilberryring.testing.fleet import READY_TIMEOUT_SECONDS
from bilberryring.testing.plan import MODEL, workspace_key
from bilberryring.testing.processes import pause, wait_until

ENTRY = "entry-1"
EXIT_SECONDS = 15.0
READ_SECONDS = 10.0
N_TOKENS = 20
N_PIPELINED = 5
N_WAITING = 20
LATE_SECONDS = 1.0
SIDECARS = ("sidecar-engine-valpo-a-1", "sidecar-book-valpo-a-1")
HALVES = {"in the request line": 1, "in the head": 40, "in the body": -5}
"""Bytes of a request that are sent before the stop."""


@pytest.fixture
def fleet(small_fleet):
    if not small_fleet.process(ENTRY).is_running:
        small_fleet.restart(ENTRY)
        wait_until(
            lambda: small_fleet.is_ready(ENTRY),
            READY_TIMEOUT_SECONDS,
            "the entry to return",
        )
    yield small_fleet
    small_fleet.process(ENTRY).kill()


def connect(fleet):
    host, port = fleet.caller_address(ENTRY).rsplit(":", 1)
    return socket.create_connection((host, int(port)), timeout=READ_SECONDS)


def encode_request(prompt="a"):
    fields = {"model": MODEL, "prompt": prompt, "max_tokens": N_TOKENS}
    body = json.dumps(fields).encode()
    lines = [
        "POST /v1/completions HTTP/1.1",
        "Host: e",
        f"Authorization: Bearer {workspace_key('bars')}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


def answers(caller):
    """Return the status of each answer until the connection ends; 0 if it is cut."""
    received = b""
    with contextlib.suppress(OSError):
        while data := caller.recv(65_536):
            received += data
    return [
        answer.status if answer.is_whole else 0 for answer in parse_answers(received)
    ]


def wait_for_exit(fleet):
    assert fleet.process(ENTRY).wait(EXIT_SECONDS) == 0
    events = {line["event"] for line in fleet.log_events(ENTRY)}
    assert "internal_fault" not in events


def test_requests_that_are_half_sent_at_the_stop_are_answered(fleet):
    request = encode_request()
    callers = {place: connect(fleet) for place in HALVES}
    for place, caller in callers.items():
        caller.sendall(request[: HALVES[place]])
    pause(0.1)
    fleet.process(ENTRY).terminate()
    pause(0.3)
    for place, caller in callers.items():
        with contextlib.suppress(OSError):
            caller.sendall(request[HALVES[place] :])
    for place, caller in callers.items():
        assert answers(caller) in ([200], [503]), place
    wait_for_exit(fleet)


def test_pipelined_requests_at_the_stop_are_answered_in_turn(fleet):
    caller = connect(fleet)
    caller.sendall(encode_request() * N_PIPELINED)
    pause(0.1)
    fleet.process(ENTRY).terminate()
    answered = answers(caller)
    n_served = answered.count(200)
    assert answered == [200] * n_served + [503] * (N_PIPELINED - n_served)
    assert n_served
    wait_for_exit(fleet)


@pytest.mark.parametrize("prompt", ["a", "a" * 100_000], ids=["short", "long"])
@pytest.mark.parametrize("is_accepted", [False, True])
def test_requests_that_arrived_before_the_signal_and_are_unread_are_served(
    fleet, is_accepted, prompt
):
    """The entry is as late as on a busy machine, and handles the signal first."""
    n_callers = 1 if len(prompt) > 1 else N_WAITING
    callers = []
    if is_accepted:
        callers = [connect(fleet) for _ in range(n_callers)]
        pause(0.2)
    fleet.process(ENTRY).suspend()
    callers = callers or [connect(fleet) for _ in range(n_callers)]
    for caller in callers:
        caller.sendall(encode_request(prompt))
    pause(0.1)
    fleet.process(ENTRY).terminate()
    fleet.process(ENTRY).resume()
    assert [answers(caller) for caller in callers] == [[200]] * n_callers
    wait_for_exit(fleet)


def test_a_second_signal_during_the_stop_cuts_no_request(fleet):
    callers = [connect(fleet) for _ in range(4)]
    for caller in callers:
        caller.sendall(encode_request())
    pause(0.1)
    for _ in range(2):
        fleet.process(ENTRY).terminate()
        pause(0.1)
    assert [answers(caller) for caller in callers] == [[200]] * 4
    wait_for_exit(fleet)


def test_a_request_on_a_kept_connection_just_after_the_signal_is_answered(fleet):
    caller = connect(fleet)
    other = connect(fleet)
    other.sendall(encode_request())
    pause(0.1)
    fleet.process(ENTRY).terminate()
    pause(0.05)
    caller.sendall(encode_request())
    assert answers(caller) in ([200], [503])
    assert answers(other) == [200]
    wait_for_exit(fleet)


@pytest.mark.parametrize("late", SIDECARS)
def test_a_request_to_an_entry_that_started_before_a_sidecar_is_heard_is_served(
    fleet, late
):
    """The entry is stopped just after it is ready, as by an operator in a hurry."""
    fleet.process(ENTRY).kill()
    sidecar = fleet.process(late)
    sidecar.suspend()
    resuming = threading.Timer(LATE_SECONDS, sidecar.resume)
    resuming.start()
    try:
        fleet.restart(ENTRY)
        wait_until(lambda: fleet.is_ready(ENTRY), READY_TIMEOUT_SECONDS, "the entry")
        caller = connect(fleet)
        caller.sendall(encode_request())
        pause(0.1)
        fleet.process(ENTRY).terminate()
        assert answers(caller) == [200]
        wait_for_exit(fleet)
    finally:
        resuming.join()


def test_an_entry_is_ready_though_a_service_has_no_sidecar_left(fleet):
    fleet.process(ENTRY).kill()
    sidecar = fleet.process("sidecar-book-valpo-a-1")
    sidecar.suspend()
    try:
        fleet.restart(ENTRY)
        wait_until(lambda: fleet.is_ready(ENTRY), READY_TIMEOUT_SECONDS, "the entry")
        caller = connect(fleet)
        caller.sendall(encode_request())
        pause(0.1)
        fleet.process(ENTRY).terminate()
        assert answers(caller) == [200]
    finally:
        sidecar.resume()
