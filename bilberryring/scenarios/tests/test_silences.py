"""Steps of the scenarios about processes that pause and go on."""

import itertools
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field, replace

import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bilberryring.objects import DomainState, ObjectSet
from bilberryring.testing.caller import CallResult, PromptResult
from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import MODEL, SERVICE, FleetPlan
from bilberryring.testing.processes import pause, wait_until

scenarios("silences.feature")

PROMPT = "manifiesto de entrega "
RUNNING_SECONDS = 5.0
BETWEEN_PAUSES_SECONDS = 0.6
"""So five pauses of 2.2 s begin at five phases of the heartbeats and polls."""
IN_FORCE_SECONDS = 5.0
DOMAIN = "valpo-a"
_references = itertools.count(1)


@dataclass
class Sending:
    """The prompts and the booking of a scenario."""

    pool: ThreadPoolExecutor = field(
        default_factory=lambda: ThreadPoolExecutor(max_workers=8)
    )
    prompts: list[Future[PromptResult]] = field(default_factory=list)
    booking: Future[CallResult] | None = None
    reference: str = ""


@pytest.fixture(scope="module")
def single_fleet():
    fleet = Fleet(
        plan=FleetPlan(
            domains=(DOMAIN,),
            entry_domains=(DOMAIN,),
            engines_per_domain=1,
            is_relayed=True,
            service_deadline_seconds=8.0,
            total_seconds=40.0,
        )
    )
    try:
        yield fleet.start()
    finally:
        fleet.stop()


@pytest.fixture
def sending():
    return Sending()


@given("a fleet of one engine", target_fixture="fleet")
def fleet_of_one(single_fleet):
    """Restores what the scenario before has published."""
    if single_fleet.objects != single_fleet.base_objects():
        publish(single_fleet, single_fleet.base_objects())
    single_fleet.publish_vms()
    single_fleet.wait_ready()
    return single_fleet


def publish(fleet: Fleet, objects: ObjectSet) -> None:
    number = fleet.publish(objects)
    wait_until(
        lambda: fleet.status("entry-1")["set_number"] == number,
        IN_FORCE_SECONDS,
        "the set to be in force",
    )


@when(parsers.parse("{count:d} prompts of {tokens:d} tokens are sent"))
def send_prompts(fleet, sending, count, tokens):
    caller = fleet.caller("entry-1", "bars")
    for index in range(count):
        future = sending.pool.submit(
            caller.prompt, f"{index}: {PROMPT}", model=MODEL, max_tokens=tokens
        )
        sending.prompts.append(future)
    engine = fleet.engines[0]
    wait_until(
        lambda: fleet.engine_counters(engine)["running"] == count,
        RUNNING_SECONDS,
        "the prompts to run",
    )


def pause_process(fleet: Fleet, process: str, seconds: float, name: str = "") -> None:
    """Pause a process, or hold the link of an endpoint, and let it go on."""
    engine = name or fleet.engines[0]
    if process == "link":
        fleet.set_route_mode(f"link-{engine}", hold_to_caller=True)
        pause(seconds)
        fleet.set_route_mode(f"link-{engine}")
        return
    names = {
        "engine": engine,
        "service": engine,
        "sidecar": f"sidecar-{engine}",
        "entry": "entry-1",
    }
    paused = fleet.process(names[process])
    paused.suspend()
    pause(seconds)
    paused.resume()


@when(parsers.parse("the {process} pauses {times:d} times for {seconds:g} s"))
def pause_repeatedly(fleet, process, times, seconds):
    for _ in range(times):
        pause(BETWEEN_PAUSES_SECONDS)
        pause_process(fleet, process, seconds)


@when(
    parsers.parse(
        "after {wait:g} s the {process} pauses 1 time for {seconds:g} s",
    )
)
def pause_beside_booking(fleet, wait, process, seconds):
    pause(wait)
    pause_process(fleet, process, seconds, name=fleet.services[0])


def without_endpoint(fleet: Fleet) -> ObjectSet:
    return replace(fleet.objects, model_endpoints={})


def without_model(fleet: Fleet) -> ObjectSet:
    workspaces = {
        name: msgspec.structs.replace(workspace, models=())
        for name, workspace in fleet.objects.workspaces.items()
    }
    return replace(fleet.objects, workspaces=workspaces)


def with_other_address(fleet: Fleet, endpoint: str) -> ObjectSet:
    """Return objects in which a sidecar has an address at which none listens."""
    objects = fleet.objects
    kind = (
        "model_endpoints"
        if endpoint in objects.model_endpoints
        else "service_endpoints"
    )
    endpoints = dict(getattr(objects, kind))
    host = endpoints[endpoint].sidecar.rsplit(":", 1)[0]
    endpoints[endpoint] = msgspec.structs.replace(
        endpoints[endpoint], sidecar=f"{host}:9"
    )
    return replace(objects, **{kind: endpoints})


@when(parsers.parse("{change} is published while the sidecar pauses for {seconds:g} s"))
def publish_change(fleet, change, seconds):
    engine = fleet.engines[0]
    sidecar = fleet.process(f"sidecar-{engine}")
    sidecar.suspend()
    try:
        match change:
            case "no endpoint":
                fleet.publish(without_endpoint(fleet))
            case "another sidecar address":
                fleet.publish(with_other_address(fleet, engine))
            case "no model of a workspace":
                fleet.publish(without_model(fleet))
            case "a domain that is out":
                fleet.set_domain(DOMAIN, DomainState.OUT)
            case "a leaving VM":
                fleet.publish_vms(leaving=(engine,))
        pause(seconds)
    finally:
        sidecar.resume()


@when(parsers.parse("a booking that takes {seconds:g} s is sent"))
def send_booking(fleet, sending, seconds):
    caller = fleet.caller("entry-1", "bars")
    ticket = caller.request_ticket(SERVICE).body["ticket"]
    sending.reference = f"silence-{next(_references)}"
    body = {"reference": sending.reference, "delay_before": seconds}
    sending.booking = sending.pool.submit(
        caller.call, SERVICE, "bookings", body, ticket=ticket
    )


@when(parsers.parse("after {seconds:g} s another sidecar address is published"))
def move_service(fleet, seconds):
    pause(seconds)
    publish(fleet, with_other_address(fleet, fleet.services[0]))


@then("the booking is confirmed and took effect once")
def booking_confirmed(fleet, sending):
    result = sending.booking.result()
    assert result.status == 201, result
    assert fleet.effects()[sending.reference] == 1


@then(parsers.parse("every answer is whole within {seconds:g} s"))
def all_whole(sending, seconds):
    results = [future.result(seconds) for future in sending.prompts]
    assert all(result.is_whole for result in results), results
