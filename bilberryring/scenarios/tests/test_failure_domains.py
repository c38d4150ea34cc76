"""Steps of the scenarios about failure domains, cold starts and leaving."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bilberryring.demo.report import Tally
from bilberryring.demo.work import DemoWork
from bilberryring.objects import DomainState
from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import FleetPlan
from bilberryring.testing.processes import pause, wait_until

scenarios("failure_domains.feature")

DOMAIN = "vina-b"
WORK_SECONDS = 12.0


class LoadedFleet:
    """A fleet under load and what its callers saw."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.tally = Tally()
        self.work = DemoWork(fleet=fleet, tally=self.tally, seed=1)
        self.victim = ""
        self.falls_before = 0

    def submitted(self, names) -> int:
        return sum(self.fleet.engine_counters(name)["submitted"] for name in names)

    def falls(self) -> int:
        return sum(self.fleet.engine_counters(name)["falls"] for name in self.engines)

    @property
    def engines(self) -> tuple[str, ...]:
        return self.fleet.engines

    @property
    def domain_engines(self) -> tuple[str, ...]:
        return tuple(name for name in self.engines if DOMAIN in name)


@pytest.fixture(scope="module")
def cold_fleet():
    fleet = Fleet(
        plan=FleetPlan(
            kv_tokens=900_000,
            total_seconds=90.0,
            cold_completions=12,
            cold_bears=4,
            cold_allowance=4,
            concurrency=16,
        )
    )
    try:
        yield fleet.start()
    finally:
        fleet.stop()


@pytest.fixture
def fleet(cold_fleet):
    return cold_fleet


@given(
    "a fleet in three failure domains with cold engines that fall over",
    target_fixture="loaded",
)
def loaded_fleet(cold_fleet):
    cold_fleet.platform.set_mode()
    for name in cold_fleet.engines:
        if not cold_fleet.process(f"sidecar-{name}").is_running:
            cold_fleet.start_sidecar(name)
    cold_fleet.wait_ready()
    return LoadedFleet(cold_fleet)


@when("prompts and bookings are sent without pause")
def send_work(loaded):
    loaded.work.start(WORK_SECONDS)


@when(parsers.parse("after {seconds:g} s the failure domain {domain} is taken out"))
def take_out(loaded, seconds, domain):
    pause(seconds)
    loaded.fleet.set_domain(domain, DomainState.OUT)


@then(parsers.parse("from {seconds:g} s after that it gets no new work"))
def no_new_work(loaded, seconds):
    pause(seconds)
    before = loaded.submitted(loaded.domain_engines)
    pause(1.5)
    assert loaded.submitted(loaded.domain_engines) == before


@when(parsers.parse("the engines of {domain} are restarted cold"))
def restart_cold(loaded, domain):
    fleet = loaded.fleet
    wait_until(
        lambda: all(
            fleet.engine_counters(name)["running"] == 0
            for name in loaded.domain_engines
        ),
        60.0,
        "work in progress to end there",
    )
    for name in loaded.domain_engines:
        fleet.engine_control(name, "crash")


@when(parsers.parse("{domain} is taken back"))
def take_back(loaded, domain):
    loaded.fleet.set_domain(domain, DomainState.IN)


@then(parsers.parse("within {seconds:g} s it gets new work"))
def gets_new_work(loaded, seconds):
    before = loaded.submitted(loaded.domain_engines)
    loaded.work.start(8.0)
    wait_until(
        lambda: loaded.submitted(loaded.domain_engines) > before,
        seconds,
        "new work in the domain that returned",
    )


@then("no cold engine fell over")
def none_fell(loaded):
    assert loaded.falls() == 0


@then("nothing was cut, failed, lost or doubled")
def all_good(loaded):
    loaded.work.join()
    loaded.tally.effects = loaded.fleet.effects()
    kinds = loaded.tally.kinds.values()
    assert sum(kind.whole for kind in kinds) > 0
    errors = loaded.tally.errors
    assert sum(kind.cut + kind.failed for kind in kinds) == 0, errors
    assert loaded.tally.doubled == 0
    assert loaded.tally.lost == 0


@when(parsers.parse("the platform's list is {seconds:g} s late"))
def late_list(loaded, seconds):
    loaded.fleet.platform.set_mode(list_lag_seconds=seconds)


@when(parsers.parse("after {seconds:g} s the sidecar of one engine is told to stop"))
def stop_sidecar(loaded, seconds):
    pause(seconds)
    loaded.victim = loaded.engines[0]
    loaded.fleet.process(f"sidecar-{loaded.victim}").terminate()


@then(parsers.parse("from {seconds:g} s after that its engine gets no new work"))
def engine_gets_none(loaded, seconds):
    pause(seconds)
    before = loaded.submitted((loaded.victim,))
    pause(1.5)
    assert loaded.submitted((loaded.victim,)) == before


@then("its sidecar ended well")
def sidecar_ended(loaded):
    assert loaded.fleet.process(f"sidecar-{loaded.victim}").wait(30) == 0


@when(parsers.parse("after {seconds:g} s an engine crashes and is cold"))
def crash_engine(loaded, seconds):
    pause(seconds)
    loaded.falls_before = loaded.falls()
    loaded.fleet.engine_control(loaded.engines[1], "crash")


@then("no engine fell over while cold after that")
def none_fell_after(loaded):
    loaded.work.join()
    assert loaded.falls() == loaded.falls_before
