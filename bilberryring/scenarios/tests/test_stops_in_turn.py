"""Entries, and sidecars, that are stopped in turn while callers go on."""

import itertools
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from bilberryring.testing.fleet import READY_TIMEOUT_SECONDS, Fleet
from bilberryring.testing.plan import MODEL, SERVICE, FleetPlan
from bilberryring.testing.processes import pause, wait_until

EXIT_SECONDS = 15.0
WORKSPACE = "bars"
N_TOKENS = 8
BETWEEN_SECONDS = 0.4
MIN_SERVED = 10
"""Requests of each caller that at least have to be served."""
BOOKING_SECONDS = 0.05
KINDS = ("prompt", "look-up", "booking")
_references = itertools.count()


@pytest.fixture(scope="module")
def fleet():
    plan = FleetPlan(
        entry_domains=("valpo-a", "vina-b", "quilpue-c"), engines_per_domain=1
    )
    fleet = Fleet(plan=plan)
    try:
        yield fleet.start()
    finally:
        fleet.stop()


class SteadyCaller:
    """Sends requests of one kind to one entry, one after another."""

    def __init__(self, fleet, entry, kind):
        others = [name for name in fleet.entries if name != entry]
        self._callers = [fleet.caller(name, WORKSPACE) for name in (entry, *others)]
        self._caller = self._callers[0]
        self._send = {
            "prompt": self._prompt,
            "look-up": self._look_up,
            "booking": self._book,
        }[kind]
        self.n_served = 0
        self.not_run = []
        self.lost = []

    def run(self, is_over):
        while not is_over.is_set():
            self._send()
            pause(0.01)

    def _prompt(self):
        result = self._caller.prompt("hola", model=MODEL, max_tokens=N_TOKENS)
        self._count("", result, result.is_whole, result.detail)

    def _look_up(self):
        result = self._caller.get(SERVICE, "effects")
        self._count("", result, result.status == 200, result.body)

    def _book(self):
        ticket = self._caller.request_ticket(SERVICE)
        if ticket.status != 201 and ticket.status != 200:
            self._count("", ticket, False, ticket.body)
            return
        reference = f"turn-{next(_references)}"
        body = {"reference": reference, "delay_before": BOOKING_SECONDS}
        result = self._call_until_answered(body, ticket.body["ticket"])
        self._count(reference, result, result.status == 201, result.body)

    def _call_until_answered(self, body, ticket):
        """Repeat a call that an entry refuses as leaving at the other entries.

        Such an entry cannot know whether another copy has run; the ledger does.
        """
        for caller in self._callers:
            result = caller.call(SERVICE, "reservations", body, ticket=ticket)
            is_refused = (result.code, result.outcome) == ("leaving", "unknown")
            if not is_refused and "ConnectionRefused" not in str(result.body):
                break
        return result

    def _count(self, reference, result, is_served, detail):
        """A request that is refused as not run, or not read, is sent again."""
        if is_served:
            self.n_served += 1
        elif result.outcome == "not_run" or "ConnectionRefused" in str(detail):
            self.not_run.append((reference, result))
        else:
            self.lost.append((reference, result))


def send_while(fleet, act):
    """Send to all entries while `act` runs; return the callers."""
    callers = [
        SteadyCaller(fleet, entry, kind)
        for entry, kind in itertools.product(fleet.entries, KINDS)
    ]
    is_over = threading.Event()
    with ThreadPoolExecutor(len(callers)) as pool:
        running = [pool.submit(caller.run, is_over) for caller in callers]
        try:
            act()
        finally:
            is_over.set()
        for item in running:
            item.result()
    return callers


def stop_in_turn(fleet, groups):
    """Stop the processes of each group together, and start them again."""
    for names in groups:
        pause(BETWEEN_SECONDS)
        for name in names:
            fleet.process(name).terminate()
        for name in names:
            assert fleet.process(name).wait(EXIT_SECONDS) == 0
            fleet.restart(name)
        for name in names:
            wait_until(
                lambda name=name: fleet.is_ready(name),
                READY_TIMEOUT_SECONDS,
                f"{name} to return",
            )


def check(fleet, callers):
    """Check that no request was lost, and that what is said not to have run did not."""
    effects = fleet.effects()
    for caller in callers:
        assert caller.lost == []
        assert caller.n_served >= MIN_SERVED
        assert not [item for item in caller.not_run if item[0] in effects]
    assert set(effects.values()) <= {1}
    for name in fleet.daemons:
        events = {line["event"] for line in fleet.log_events(name)}
        assert "internal_fault" not in events


def test_entries_stopped_in_turn_under_load_lose_no_request(fleet):
    groups = [(name,) for name in fleet.entries]
    check(fleet, send_while(fleet, lambda: stop_in_turn(fleet, groups)))


def test_sidecars_stopped_in_turn_under_load_lose_no_request(fleet):
    groups = [
        (f"sidecar-engine-{domain}-1", f"sidecar-book-{domain}-1")
        for domain in fleet.plan.domains
    ]
    callers = send_while(fleet, lambda: stop_in_turn(fleet, groups))
    check(fleet, callers)
