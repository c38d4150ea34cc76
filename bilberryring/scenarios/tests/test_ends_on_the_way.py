"""Answers that have arrived, or are arriving, when an entry may wait no longer."""

import itertools
from concurrent.futures import ThreadPoolExecutor

import pytest

from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import MODEL, SERVICE, FleetPlan
from bilberryring.testing.processes import pause, wait_until

ENTRY = "entry-1"
WORKSPACE = "bars"
DRAIN_SECONDS = 2.0
DEADLINE_SECONDS = 3.0
EXIT_SECONDS = 8.0
ANSWER_SECONDS = 1.0
MARGIN_SECONDS = 0.7
N_TOKENS = 150
"""Tokens of an answer that takes less time than a pause."""
SIZES = {"small": 0, "1 MiB": 1024 * 1024, "8 MiB": 8 * 1024 * 1024}
"""Bytes of an answer beside its head: within one read, within the buffers of a
connection, and more than those hold."""
_references = itertools.count()


@pytest.fixture
def fleet():
    plan = FleetPlan(
        domains=("valpo-a",),
        entry_domains=("valpo-a",),
        engines_per_domain=1,
        service_deadline_seconds=DEADLINE_SECONDS,
        drain_seconds=DRAIN_SECONDS,
    )
    fleet = Fleet(plan=plan)
    try:
        yield fleet.start()
    finally:
        fleet.stop()


@pytest.fixture
def pool():
    with ThreadPoolExecutor(2) as pool:
        yield pool


def book(fleet, ticket, **order):
    body = {"reference": f"way-{next(_references)}", **order}
    return fleet.caller(ENTRY, WORKSPACE).call(
        SERVICE, "reservations", body, ticket=ticket
    )


def start_booking(fleet, pool, size):
    ticket = fleet.caller(ENTRY, WORKSPACE).request_ticket(SERVICE).body["ticket"]
    sidecar = f"sidecar-{fleet.services[0]}"
    booking = pool.submit(
        book, fleet, ticket, delay_after=ANSWER_SECONDS, answer_bytes=SIZES[size]
    )
    wait_until(lambda: fleet.status(sidecar)["in_progress"], 3.0, "the booking")
    return booking


def wait_for_prompt(fleet):
    [engine] = fleet.engines
    wait_until(lambda: fleet.engine_counters(engine)["running"], 3.0, "the prompt")


def suspend_for(process, seconds):
    process.suspend()
    try:
        pause(seconds)
    finally:
        process.resume()


@pytest.mark.parametrize("size", SIZES)
def test_a_booking_answered_while_the_entry_paused_past_its_stop_is_not_lost(
    fleet, pool, size
):
    entry = fleet.process(ENTRY)
    booking = start_booking(fleet, pool, size)
    entry.terminate()
    pause(0.2)
    suspend_for(entry, DRAIN_SECONDS + MARGIN_SECONDS)
    assert booking.result().status == 201
    assert entry.wait(EXIT_SECONDS) == 0


@pytest.mark.parametrize("size", SIZES)
def test_a_booking_answered_while_the_entry_paused_past_its_deadline_is_not_lost(
    fleet, pool, size
):
    booking = start_booking(fleet, pool, size)
    suspend_for(fleet.process(ENTRY), DEADLINE_SECONDS + MARGIN_SECONDS)
    assert booking.result().status == 201


def test_a_stream_that_ended_while_the_entry_paused_past_its_stop_is_whole(fleet, pool):
    entry = fleet.process(ENTRY)
    caller = fleet.caller(ENTRY, WORKSPACE)
    answer = pool.submit(caller.prompt, "a", model=MODEL, max_tokens=N_TOKENS)
    wait_for_prompt(fleet)
    entry.terminate()
    assert not answer.done()
    suspend_for(entry, DRAIN_SECONDS + MARGIN_SECONDS)
    assert answer.result().is_whole
    assert entry.wait(EXIT_SECONDS) == 0


@pytest.mark.parametrize("size", SIZES)
def test_a_booking_answered_while_the_sidecar_paused_past_its_stop_is_not_lost(
    fleet, pool, size
):
    sidecar = fleet.process(f"sidecar-{fleet.services[0]}")
    booking = start_booking(fleet, pool, size)
    sidecar.terminate()
    pause(0.2)
    suspend_for(sidecar, DRAIN_SECONDS + 0.3)
    assert booking.result().status == 201
    assert sidecar.wait(EXIT_SECONDS) == 0


def test_a_stream_that_ended_while_the_sidecar_paused_past_its_stop_is_whole(
    fleet, pool
):
    sidecar = fleet.process(f"sidecar-{fleet.engines[0]}")
    caller = fleet.caller(ENTRY, WORKSPACE)
    answer = pool.submit(caller.prompt, "a", model=MODEL, max_tokens=N_TOKENS)
    wait_for_prompt(fleet)
    sidecar.terminate()
    assert not answer.done()
    suspend_for(sidecar, DRAIN_SECONDS + 0.3)
    assert answer.result().is_whole
    assert sidecar.wait(EXIT_SECONDS) == 0


@pytest.mark.parametrize("size", SIZES)
def test_a_booking_answered_while_its_host_paused_past_the_deadline_is_not_lost(
    fleet, pool, size
):
    """The entry and the sidecar are on one host, and pause together."""
    processes = (fleet.process(ENTRY), fleet.process(f"sidecar-{fleet.services[0]}"))
    booking = start_booking(fleet, pool, size)
    for process in processes:
        process.suspend()
    try:
        pause(DEADLINE_SECONDS + MARGIN_SECONDS)
    finally:
        for process in processes:
            process.resume()
    assert booking.result().status == 201
