"""Requests that are in progress when the drain of an entry or a sidecar ends."""

import itertools
from concurrent.futures import ThreadPoolExecutor

import pytest

from bilberryring.execution import parse_ticket
from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import MODEL, SERVICE, FleetPlan
from bilberryring.testing.processes import pause, wait_until

DRAIN_SECONDS = 1.0
EXIT_SECONDS = 5.0
"""Seconds after the signal within which a process has to have exited."""
WORKSPACE = "bars"
MANY_TOKENS = 400
"""Tokens of an answer that takes longer than the drain."""
_references = itertools.count()


@pytest.fixture
def fleet():
    fleet = Fleet(
        plan=FleetPlan(
            engines_per_domain=1,
            service_deadline_seconds=10.0,
            drain_seconds=DRAIN_SECONDS,
        )
    )
    try:
        yield fleet.start()
    finally:
        fleet.stop()


@pytest.fixture
def pool():
    with ThreadPoolExecutor(8) as pool:
        yield pool


def take_ticket(fleet):
    return fleet.caller("entry-1", WORKSPACE).request_ticket(SERVICE).body["ticket"]


def book(fleet, ticket, *, seconds, entry="entry-1"):
    """Make a booking that takes effect before and answers after so many seconds."""
    body = {
        "reference": f"drain-{next(_references)}",
        "delay_before": 0.0,
        "delay_after": seconds,
    }
    return fleet.caller(entry, WORKSPACE).call(
        SERVICE, "reservations", body, ticket=ticket
    )


def stop(fleet, name):
    """Stop a process, and wait until it has exited."""
    process = fleet.process(name)
    process.terminate()
    assert process.wait(DRAIN_SECONDS + EXIT_SECONDS) == 0


def test_a_booking_in_progress_when_an_entry_exits_is_told_the_outcome_is_unknown(
    fleet, pool
):
    result = pool.submit(book, fleet, take_ticket(fleet), seconds=6.0)
    wait_until(fleet.effects, 3.0, "the booking")
    stop(fleet, "entry-1")
    result = result.result()
    assert (result.status, result.outcome) == (502, "unknown")
    assert list(fleet.effects().values()) == [1]


def test_a_stream_in_progress_when_an_entry_exits_ends_with_an_error(fleet, pool):
    caller = fleet.caller("entry-1", WORKSPACE)
    result = pool.submit(caller.prompt, "a", model=MODEL, max_tokens=MANY_TOKENS)
    pause(0.5)
    stop(fleet, "entry-1")
    result = result.result()
    assert not result.is_whole
    assert (result.is_cut, result.outcome) == (False, "unknown")


def test_an_entry_that_drains_refuses_new_requests_as_not_run(fleet, pool):
    caller = fleet.caller("entry-1", WORKSPACE)
    running = pool.submit(caller.prompt, "a", model=MODEL, max_tokens=MANY_TOKENS)
    pause(0.5)
    fleet.process("entry-1").terminate()
    pause(0.3)
    late = caller.prompt("b", model=MODEL, max_tokens=8)
    assert (late.code, late.outcome) == ("leaving", "not_run")
    running.result()


def test_a_stream_goes_on_elsewhere_when_its_sidecar_exits(fleet, pool):
    caller = fleet.caller("entry-1", WORKSPACE)
    results = [
        pool.submit(caller.prompt, f"{n}", model=MODEL, max_tokens=MANY_TOKENS)
        for n in range(6)
    ]
    pause(0.5)
    running = {name: fleet.engine_counters(name)["running"] for name in fleet.engines}
    stop(fleet, f"sidecar-{max(running, key=running.get)}")
    assert all(result.result().is_whole for result in results)


def test_a_booking_in_progress_when_its_sidecar_exits_is_told_the_outcome_is_unknown(
    fleet, pool
):
    ticket = take_ticket(fleet)
    result = pool.submit(book, fleet, ticket, seconds=6.0)
    wait_until(fleet.effects, 3.0, "the booking")
    stop(fleet, f"sidecar-{parse_ticket(ticket).endpoint}")
    result = result.result()
    assert (result.status, result.outcome) == (502, "unknown")
    assert list(fleet.effects().values()) == [1]


def test_requests_that_wait_to_be_accepted_when_an_entry_drains_are_answered(
    fleet, pool
):
    caller = fleet.caller("entry-1", WORKSPACE)
    process = fleet.process("entry-1")
    process.suspend()
    results = [
        pool.submit(caller.prompt, f"{n}", model=MODEL, max_tokens=4) for n in range(8)
    ]
    pause(0.5)
    process.terminate()
    process.resume()
    results = [result.result() for result in results]
    assert all(r.is_whole or r.code == "leaving" for r in results), results
    assert process.wait(DRAIN_SECONDS + EXIT_SECONDS) == 0
