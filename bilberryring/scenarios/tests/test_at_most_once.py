"""Steps of the scenarios about calls that may run only once."""

import itertools
import time
from concurrent.futures import Future, ThreadPoolExecutor

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bilberryring.execution import parse_ticket
from bilberryring.objects import DomainState
from bilberryring.testing.caller import CallResult
from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import SERVICE
from bilberryring.testing.processes import pause, wait_until

scenarios("at_most_once.feature")

WORKSPACE = "bars"
IN_FORCE_SECONDS = 5.0
_references = itertools.count()


class Booking:
    """One booking of a scenario: its ticket, its copies, its answers."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.reference = f"booking-{next(_references)}"
        self.delay = 0.0
        self.pool = ThreadPoolExecutor(max_workers=4)
        self.sent: list[Future[CallResult]] = []
        self.old_sidecar = ""
        self.ticket = self._take_ticket()
        self.endpoint = parse_ticket(self.ticket).endpoint
        self.sidecar = f"sidecar-{self.endpoint}"

    def _take_ticket(self) -> str:
        result = self.fleet.caller("entry-1", WORKSPACE).request_ticket(SERVICE)
        assert result.status == 201, result
        return result.body["ticket"]

    def call(self, entry: str) -> CallResult:
        body = {
            "reference": self.reference,
            "delay_before": self.delay / 2,
            "delay_after": self.delay / 2,
        }
        caller = self.fleet.caller(entry, WORKSPACE)
        return caller.call(SERVICE, "reservations", body, ticket=self.ticket)

    def send(self, entry: str) -> None:
        self.sent.append(self.pool.submit(self.call, entry))

    @property
    def effects(self) -> int:
        return self.fleet.effects().get(self.reference, 0)


@pytest.fixture
def booking(booking_fleet):
    return Booking(booking_fleet)


@given("a fleet with three booking services", target_fixture="fleet")
def whole_fleet(booking_fleet):
    mend(booking_fleet)
    return booking_fleet


def mend(fleet: Fleet) -> None:
    """Start again what an earlier scenario ended."""
    for name in fleet.services:
        if not fleet.process(name).is_running:
            fleet.start_service(name)
        fleet.set_route_mode(f"link-{name}")
        fleet.set_route_mode(f"target-{name}")
    for name in (*fleet.services, *fleet.engines):
        if not fleet.process(f"sidecar-{name}").is_running:
            fleet.start_sidecar(name)
    for index, domain in enumerate(fleet.plan.entry_domains):
        if not fleet.process(f"entry-{index + 1}").is_running:
            fleet.start_entry(f"entry-{index + 1}", domain)
    if fleet.objects.domains_out:
        fleet.publish(fleet.base_objects())
    fleet.wait_ready()


@given("the service of the next ticket refuses connections")
def refuse_connections(booking):
    booking.fleet.set_route_mode(f"target-{booking.endpoint}", refuse=True)


@then("its service takes connections again")
def take_connections(booking):
    booking.fleet.set_route_mode(f"target-{booking.endpoint}")


@when(parsers.parse("a booking that takes {delay:g} s is sent through {entry}"))
def send_booking(booking, delay, entry):
    booking.delay = delay
    entries = ("entry-1", "entry-2") if entry == "both entries" else (entry,)
    for name in entries:
        booking.send(name)


@when(parsers.parse("after {seconds:g} s its sidecar is killed"))
def kill_sidecar(booking, seconds):
    pause(seconds)
    booking.fleet.process(booking.sidecar).kill()


@when(parsers.parse("after {seconds:g} s its sidecar is frozen"))
def freeze_running_sidecar(booking, seconds):
    pause(seconds)
    booking.fleet.process(booking.sidecar).suspend()


@when(parsers.parse("after {seconds:g} s its sidecar is told to stop"))
def stop_sidecar(booking, seconds):
    pause(seconds)
    booking.fleet.process(booking.sidecar).terminate()


@when(parsers.parse("after {seconds:g} s its service is killed"))
def kill_service(booking, seconds):
    pause(seconds)
    booking.fleet.process(booking.endpoint).kill()


@when(parsers.parse("after {seconds:g} s entry-{number:d} is killed"))
def kill_entry(booking, seconds, number):
    pause(seconds)
    booking.fleet.process(f"entry-{number}").kill()


@when(parsers.parse("after {seconds:g} s entry-{number:d} is frozen"))
def freeze_entry(booking, seconds, number):
    pause(seconds)
    booking.fleet.process(f"entry-{number}").suspend()


@then(parsers.parse("after {seconds:g} s entry-{number:d} goes on"))
def thaw_entry(booking, seconds, number):
    pause(seconds)
    booking.fleet.process(f"entry-{number}").resume()
    booking.sent[0].result(30)


@when("the sidecar of the next ticket is frozen")
def freeze_sidecar(booking):
    booking.fleet.process(booking.sidecar).suspend()


@then("the sidecar goes on")
def thaw_sidecar(booking):
    process = booking.old_sidecar or booking.fleet.process(booking.sidecar)
    process.resume()
    if booking.old_sidecar:
        pause(1.0)
        process.kill()


@when("the link of the next ticket is held towards the sidecar")
def hold_to_sidecar(booking):
    booking.fleet.set_route_mode(f"link-{booking.endpoint}", hold_to_target=True)


@when("the link of the next ticket is held towards the entry")
def hold_to_entry(booking):
    booking.fleet.set_route_mode(f"link-{booking.endpoint}", hold_to_caller=True)


@when(parsers.parse("after {seconds:g} s the link is cut and mended"))
def cut_link(booking, seconds):
    pause(seconds)
    booking.fleet.set_route_mode(f"link-{booking.endpoint}", cut=True)
    pause(0.2)
    booking.fleet.set_route_mode(f"link-{booking.endpoint}")


@when(
    parsers.parse("after {seconds:g} s the connection to the service is cut and mended")
)
def cut_target(booking, seconds):
    pause(seconds)
    booking.fleet.set_route_mode(f"target-{booking.endpoint}", cut=True)
    booking.fleet.set_route_mode(f"target-{booking.endpoint}")


@when(parsers.parse("after {seconds:g} s the sidecar is replaced at a new address"))
def replace_sidecar(booking, seconds):
    pause(seconds)
    fleet = booking.fleet
    booking.old_sidecar = fleet.process(booking.sidecar)
    fleet.replace_sidecar_address(booking.endpoint)
    fleet.start_sidecar(booking.endpoint)
    number = fleet.publish(fleet.base_objects())
    wait_in_force(fleet, number, leaving_out=(booking.sidecar,))


@when("the failure domain of the booking is taken out")
@when("the failure domain of the next ticket is taken out")
def take_domain_out(booking):
    fleet = booking.fleet
    number = fleet.set_domain(fleet.domain_of(booking.endpoint), DomainState.OUT)
    wait_in_force(fleet, number)


@when("the failure domain is taken back")
def take_domain_back(booking):
    fleet = booking.fleet
    number = fleet.set_domain(fleet.domain_of(booking.endpoint), DomainState.IN)
    wait_in_force(fleet, number)


def wait_in_force(fleet: Fleet, number: int, leaving_out: tuple[str, ...] = ()) -> None:
    for name in fleet.daemons:
        if name not in leaving_out:
            wait_until(
                lambda name=name: fleet.status(name)["set_number"] >= number,
                IN_FORCE_SECONDS,
                f"set {number} in force in {name}",
            )


def answers(booking: Booking, seconds: float) -> list[CallResult]:
    return [sent.result(seconds) for sent in booking.sent]


@then(parsers.parse("within {seconds:g} s the caller is told the outcome is unknown"))
def told_unknown(booking, seconds):
    assert [result.outcome for result in answers(booking, seconds)] == ["unknown"]


@then(parsers.parse("within {seconds:g} s the caller is told it was not run"))
def told_not_run(booking, seconds):
    assert [result.outcome for result in answers(booking, seconds)] == ["not_run"]


@then(parsers.parse("within {seconds:g} s the booking is confirmed"))
@then(parsers.parse("within {seconds:g} s both are confirmed"))
def told_confirmed(booking, seconds):
    results = answers(booking, seconds)
    assert all(result.status == 201 for result in results), results
    assert len({result.body["count"] for result in results}) == 1


@then(parsers.parse("a resend through {entry} is told the outcome is unknown"))
def resend_unknown(booking, entry):
    result = booking.call(entry)
    assert result.outcome == "unknown", result


@then(parsers.parse("a resend through {entry} is told it was not run"))
def resend_not_run(booking, entry):
    result = booking.call(entry)
    assert result.outcome == "not_run", result


@then(parsers.parse("a resend through {entry} is confirmed"))
def resend_confirmed(booking, entry):
    result = booking.call(entry)
    assert result.status == 201, result


@then(parsers.parse("a new booking runs within {seconds:g} s"))
def new_booking_runs(booking, seconds):
    started = time.monotonic()
    for entry in ("entry-1", "entry-2"):
        fresh = Booking.__new__(Booking)
        fresh.fleet = booking.fleet
        fresh.reference = f"booking-{next(_references)}"
        fresh.delay = 0.0
        fresh.ticket = booking._take_ticket()
        result = fresh.call(entry)
        assert result.status == 201, result
    assert time.monotonic() - started <= seconds


@then("no booking took effect twice")
def none_doubled(booking):
    assert all(count == 1 for count in booking.fleet.effects().values())


@then("the booking took effect once")
def took_effect_once(booking):
    assert booking.effects == 1


@then("the booking took no effect")
@then("the booking took no effect since")
def took_no_effect(booking):
    assert booking.effects == 0


@then(parsers.parse("the booking took no effect within {seconds:g} s"))
def took_no_effect_within(booking, seconds):
    pause(seconds)
    assert booking.effects == 0


@then("its service is started again")
def start_service(booking):
    booking.fleet.start_service(booking.endpoint)
    booking.fleet.process(booking.endpoint).listening_port()


@then("the sidecar ended well")
def sidecar_ended(booking):
    assert booking.fleet.process(booking.sidecar).wait(10) == 0
