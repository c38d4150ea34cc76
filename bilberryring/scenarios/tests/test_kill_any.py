"""Steps of the scenarios that kill each kind of process under load."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bilberryring.demo.report import Tally
from bilberryring.demo.work import DemoWork
from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import FleetPlan
from bilberryring.testing.processes import pause

scenarios("kill_any.feature")

WORK_SECONDS = 6.0


@pytest.fixture(scope="module")
def loaded_fleet():
    fleet = Fleet(plan=FleetPlan(kv_tokens=900_000, total_seconds=60.0))
    try:
        yield fleet.start()
    finally:
        fleet.stop()


@given("a fleet under both kinds of work", target_fixture="work")
def fleet_under_work(loaded_fleet):
    loaded_fleet.wait_ready()
    work = DemoWork(fleet=loaded_fleet, tally=Tally(), seed=2)
    work.start(WORK_SECONDS)
    return work


@when(parsers.parse("after {seconds:g} s {process} is killed"))
def kill(loaded_fleet, seconds, process):
    pause(seconds)
    loaded_fleet.process(process).kill()


@then(
    parsers.parse("every caller but those of {process} got an answer or a typed error")
)
def all_answered(work, process):
    work.join()
    kinds = work.tally.kinds.values()
    assert sum(kind.whole for kind in kinds) > 0
    cut = sum(kind.cut for kind in kinds)
    assert cut == 0 or process.startswith("entry"), work.tally.errors


@then("no booking was doubled, and none refused as not run took effect")
def none_doubled(loaded_fleet, work):
    work.tally.effects = loaded_fleet.effects()
    assert work.tally.doubled == 0
    references = work.tally.refused & work.tally.effects.keys()
    assert not references


@then(parsers.parse("{process} is started again"))
def start_again(loaded_fleet, process):
    loaded_fleet.restart(process)
