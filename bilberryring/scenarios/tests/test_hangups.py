"""SIGHUP to entries and sidecars, alone and close to the SIGTERM of a planned stop."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from bilberryring.testing.plan import MODEL, SERVICE
from bilberryring.testing.processes import ManagedProcess, pause

EXIT_SECONDS = 15.0
N_CALLS = 4
N_TOKENS = 40
CALL_SECONDS = 1.0
WORKSPACE = "bars"
GAPS_SECONDS = [0.0, 0.02]
ORDERS = {
    "hangup first": (ManagedProcess.send_sighup, ManagedProcess.terminate),
    "stop first": (ManagedProcess.terminate, ManagedProcess.send_sighup),
}


@pytest.fixture(params=["entry", "sidecar of an engine", "sidecar of a service"])
def name(request, small_fleet):
    """A process that runs, and is started again after the test if it has exited."""
    fleet = small_fleet
    names = {
        "entry": "entry-1",
        "sidecar of an engine": f"sidecar-{fleet.engines[0]}",
        "sidecar of a service": f"sidecar-{fleet.services[0]}",
    }
    name = names[request.param]
    yield name
    if fleet.process(name).is_running:
        fleet.process(name).kill()
    fleet.restart(name)
    fleet.wait_ready()


def book(fleet, number):
    """Make a booking that runs at once and is answered `CALL_SECONDS` later."""
    caller = fleet.caller("entry-1", WORKSPACE)
    ticket = caller.request_ticket(SERVICE).body["ticket"]
    body = {"reference": f"hangup-{number}", "delay_after": CALL_SECONDS}
    return caller.call(SERVICE, "reservations", body, ticket=ticket)


def send_around(fleet, pool, name, act):
    """Act while prompts and bookings run; return the results of both."""
    caller = fleet.caller("entry-1", WORKSPACE)
    prompts = [
        pool.submit(caller.prompt, f"{n}", model=MODEL, max_tokens=N_TOKENS)
        for n in range(N_CALLS)
    ]
    bookings = [pool.submit(book, fleet, f"{name}-{n}") for n in range(N_CALLS)]
    pause(0.3)
    act()
    return [item.result() for item in prompts], [item.result() for item in bookings]


def check_uncut(prompts, bookings):
    assert all(result.is_whole for result in prompts), prompts
    assert [result.status for result in bookings] == [201] * N_CALLS, bookings


def faults_of(fleet, name):
    return [
        line for line in fleet.log_events(name) if line["event"] == "internal_fault"
    ]


def test_a_hangup_cuts_no_request_and_ends_no_process(small_fleet, name):
    fleet = small_fleet
    with ThreadPoolExecutor(2 * N_CALLS) as pool:
        check_uncut(*send_around(fleet, pool, name, fleet.process(name).send_sighup))
    assert fleet.process(name).is_running
    assert not faults_of(fleet, name)


@pytest.mark.parametrize("gap", GAPS_SECONDS)
@pytest.mark.parametrize("order", ORDERS)
def test_a_hangup_beside_the_signal_of_a_stop_cuts_no_request(
    small_fleet, name, order, gap
):
    fleet = small_fleet
    process = fleet.process(name)

    def send_both():
        for send in ORDERS[order]:
            send(process)
            pause(gap)

    with ThreadPoolExecutor(2 * N_CALLS) as pool:
        check_uncut(*send_around(fleet, pool, name, send_both))
    assert process.wait(EXIT_SECONDS) == 0
    assert not faults_of(fleet, name)
