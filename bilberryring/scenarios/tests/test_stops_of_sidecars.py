"""Requests that run, wait unread or are answered when a sidecar stops."""

import itertools
from concurrent.futures import ThreadPoolExecutor

import pytest

from bilberryring.sidecar.daemon import DRAIN_IDLE_SECONDS
from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import MODEL, SERVICE, FleetPlan
from bilberryring.testing.processes import pause, wait_until

ENTRY = "entry-1"
EXIT_SECONDS = 15.0
WORKSPACE = "bars"
N_CALLS = 6
N_TOKENS = 40
CALL_SECONDS = 1.0
LARGE_BYTES = 16 * 1024 * 1024
"""Bytes of an answer that is more than the buffers of a connection hold."""
PAUSE_SECONDS = DRAIN_IDLE_SECONDS + 0.5
_references = itertools.count()


@pytest.fixture(scope="module")
def started_fleet():
    plan = FleetPlan(
        domains=("valpo-a",),
        entry_domains=("valpo-a",),
        engines_per_domain=1,
        service_deadline_seconds=10.0,
    )
    fleet = Fleet(plan=plan)
    try:
        yield fleet.start()
    finally:
        fleet.stop()


@pytest.fixture
def fleet(started_fleet):
    yield started_fleet
    for endpoint in (*started_fleet.engines, *started_fleet.services):
        name = f"sidecar-{endpoint}"
        if not started_fleet.process(name).is_running:
            started_fleet.restart(name)
    started_fleet.wait_ready()


@pytest.fixture
def pool():
    with ThreadPoolExecutor(2 * N_CALLS) as pool:
        yield pool


def engine_sidecar(fleet):
    return fleet.process(f"sidecar-{fleet.engines[0]}")


def service_sidecar(fleet):
    return fleet.process(f"sidecar-{fleet.services[0]}")


def take_ticket(fleet):
    return fleet.caller(ENTRY, WORKSPACE).request_ticket(SERVICE).body["ticket"]


def book(fleet, ticket, **order):
    """Return the reference and the result of a booking."""
    reference = f"stop-{next(_references)}"
    caller = fleet.caller(ENTRY, WORKSPACE)
    body = {"reference": reference, **order}
    return reference, caller.call(SERVICE, "reservations", body, ticket=ticket)


def wait_for_exit(fleet, *processes):
    for process in processes:
        assert process.wait(EXIT_SECONDS) == 0
        events = {line["event"] for line in fleet.log_events(process.name)}
        assert "internal_fault" not in events


def test_an_answer_that_an_entry_reads_late_is_whole(fleet, pool):
    """The entry pauses, as its host may, from before the answer until after the stop
    would have ended."""
    ticket = take_ticket(fleet)
    sidecar = service_sidecar(fleet)
    booking = pool.submit(
        book, fleet, ticket, delay_after=CALL_SECONDS, answer_bytes=LARGE_BYTES
    )
    wait_until(lambda: fleet.status(sidecar.name)["in_progress"], 3.0, "the booking")
    fleet.process(ENTRY).suspend()
    try:
        sidecar.terminate()
        pause(CALL_SECONDS + PAUSE_SECONDS)
    finally:
        fleet.process(ENTRY).resume()
    _, result = booking.result()
    assert (result.status, result.code) == (201, "")
    assert result.body["count"] == 1
    assert len(result.body["padding"]) == LARGE_BYTES
    wait_for_exit(fleet, sidecar)


def test_further_signals_during_the_stop_of_a_sidecar_cut_no_request(fleet, pool):
    caller = fleet.caller(ENTRY, WORKSPACE)
    prompts = [
        pool.submit(caller.prompt, f"{n}", model=MODEL, max_tokens=N_TOKENS)
        for n in range(N_CALLS)
    ]
    tickets = [take_ticket(fleet) for _ in range(N_CALLS)]
    bookings = [
        pool.submit(book, fleet, ticket, delay_after=CALL_SECONDS) for ticket in tickets
    ]
    pause(0.2)
    sidecars = (engine_sidecar(fleet), service_sidecar(fleet))
    for _ in range(3):
        for sidecar in sidecars:
            sidecar.terminate()
        pause(0.02)
    assert all(item.result().is_whole for item in prompts)
    assert [item.result()[1].status for item in bookings] == [201] * N_CALLS
    wait_for_exit(fleet, *sidecars)


def test_calls_that_wait_unread_at_the_signal_are_answered_truly(fleet, pool):
    tickets = [take_ticket(fleet) for _ in range(N_CALLS)]
    sidecar = service_sidecar(fleet)
    sidecar.suspend()
    bookings = [pool.submit(book, fleet, ticket) for ticket in tickets]
    pause(0.3)
    sidecar.terminate()
    sidecar.resume()
    for booking in bookings:
        reference, result = booking.result()
        effects = fleet.effects()
        if result.status == 201:
            assert effects[reference] == 1
        else:
            assert (result.code, result.outcome) == ("leaving", "not_run")
            assert reference not in effects
    wait_for_exit(fleet, sidecar)
