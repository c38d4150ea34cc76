"""Each request at an entry leaves one last record, which says what its caller got."""

import http.client
import json
from concurrent.futures import ThreadPoolExecutor

import pytest

from bilberryring.telemetry import read_endings
from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import MODEL, SERVICE, FleetPlan, workspace_key
from bilberryring.testing.processes import pause, wait_until

WAIT_SECONDS = 5.0
DRAIN_SECONDS = 1.0
LAST_EVENTS = ("request_finished", "request_failed", "caller_left")
CALLS_PATH = f"/v1/services/{SERVICE}/calls"


@pytest.fixture(scope="module")
def fleet(small_fleet):
    return small_fleet


@pytest.fixture
def draining_fleet():
    plan = FleetPlan(
        domains=("valpo-a",),
        entry_domains=("valpo-a",),
        engines_per_domain=1,
        drain_seconds=DRAIN_SECONDS,
    )
    fleet = Fleet(plan=plan)
    try:
        yield fleet.start()
    finally:
        fleet.stop()


def connect(fleet):
    host, port = fleet.caller_address("entry-1").rsplit(":", 1)
    return http.client.HTTPConnection(host, int(port), timeout=20.0)


def send(fleet, method, path, body=None, key=None):
    """Send a request and return its connection and its response."""
    connection = connect(fleet)
    headers = {"Authorization": f"Bearer {key or workspace_key('bars')}"}
    content = None if body is None else json.dumps(body)
    connection.request(method, path, content, headers)
    return connection, connection.getresponse()


def prompt(**changes):
    return {"model": MODEL, "prompt": "hola", "max_tokens": 20} | changes


def last_records(fleet):
    return [
        line for line in fleet.log_events("entry-1") if line["event"] in LAST_EVENTS
    ]


CASES = {
    "stream": ("/v1/completions", prompt(stream=True), "request_finished", "whole"),
    "body": ("/v1/completions", prompt(), "request_finished", "whole"),
    "unknown model": (
        "/v1/completions",
        prompt(model="none"),
        "request_failed",
        "whole",
    ),
    "malformed body": ("/v1/completions", {"model": 1}, "request_failed", "whole"),
    "late before the answer": (
        "/v1/completions",
        prompt(max_tokens=2_000, timeout=0.5),
        "request_failed",
        "whole",
    ),
    "late in the answer": (
        "/v1/completions",
        prompt(max_tokens=2_000, timeout=0.5, stream=True),
        "request_failed",
        "cut",
    ),
    "models": ("/v1/models", None, "request_finished", "whole"),
    "call": (f"{CALLS_PATH}/look", None, "request_finished", "whole"),
    "call without a ticket": (
        f"{CALLS_PATH}/bookings",
        {"reference": "r"},
        "request_failed",
        "whole",
    ),
    "unknown service": (
        "/v1/services/none/calls/look",
        None,
        "request_failed",
        "whole",
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_a_request_has_one_last_record(fleet, case):
    path, body, event, delivered = CASES[case]
    n_before = len(last_records(fleet))
    _, response = send(fleet, "POST" if body else "GET", path, body)
    response.read()
    wait_until(
        lambda: len(last_records(fleet)) > n_before, WAIT_SECONDS, "the last record"
    )
    pause(0.1)
    (record,) = last_records(fleet)[n_before:]
    assert (record["event"], record["delivered"]) == (event, delivered)
    assert record["request"]
    assert not [
        line
        for line in fleet.log_events("entry-1")
        if line["event"] == "internal_fault"
    ]


@pytest.mark.parametrize(
    ("is_stream", "delivered"), [(True, "cut"), (False, "nothing")]
)
def test_a_caller_that_leaves_has_a_last_record_with_what_it_got(
    fleet, is_stream, delivered
):
    n_before = len(last_records(fleet))
    connection = connect(fleet)
    body = json.dumps(prompt(max_tokens=2_000, stream=is_stream))
    headers = {"Authorization": f"Bearer {workspace_key('bars')}"}
    connection.request("POST", "/v1/completions", body, headers)
    pause(0.5)
    connection.sock.close()
    wait_until(
        lambda: len(last_records(fleet)) > n_before, WAIT_SECONDS, "the last record"
    )
    (record,) = last_records(fleet)[n_before:]
    assert (record["event"], record["delivered"]) == ("caller_left", delivered)


def test_losses_are_read_from_the_log_of_an_entry(fleet):
    _, response = send(
        fleet,
        "POST",
        "/v1/completions",
        prompt(max_tokens=2_000, timeout=0.5, stream=True),
    )
    response.read()
    wait_until(
        lambda: last_records(fleet)[-1]["event"] == "request_failed",
        WAIT_SECONDS,
        "the last record",
    )
    endings = read_endings(json.dumps(line) for line in fleet.log_events("entry-1"))
    assert last_records(fleet)[-1]["request"] in endings.cut
    assert not endings.unended and not endings.repeated


def test_requests_that_the_end_of_a_drain_ends_have_last_records(draining_fleet):
    fleet = draining_fleet
    with ThreadPoolExecutor(2) as pool:
        results = [
            pool.submit(read_prompt, fleet, is_stream=is_stream)
            for is_stream in (True, False)
        ]
        pause(0.5)
        process = fleet.process("entry-1")
        process.terminate()
        assert process.wait(WAIT_SECONDS + DRAIN_SECONDS) == 0
        assert all(result.result() for result in results)
    records = last_records(fleet)
    assert {record["event"] for record in records} == {"request_failed"}
    assert sorted(record["delivered"] for record in records) == ["cut", "whole"]
    assert not read_endings(
        json.dumps(line) for line in fleet.log_events("entry-1")
    ).unended


def read_prompt(fleet, *, is_stream):
    body = prompt(max_tokens=2_000, stream=is_stream)
    return send(fleet, "POST", "/v1/completions", body)[1].read()
