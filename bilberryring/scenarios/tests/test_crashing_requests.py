"""Steps of the scenario about a request that crashes endpoints."""

from concurrent.futures import ThreadPoolExecutor

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bilberryring.standins.engine_model import CRASH_MARK
from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import MODEL, FleetPlan
from bilberryring.testing.processes import pause

scenarios("crashing_requests.feature")

NEIGHBOURS = 12


@pytest.fixture
def fleet():
    fleet = Fleet(plan=FleetPlan(engines_per_domain=2, services_per_domain=0))
    try:
        yield fleet
    finally:
        fleet.stop()


@pytest.fixture
def pool():
    return ThreadPoolExecutor(max_workers=32)


@given("a fleet of six engines with neighbours at work", target_fixture="neighbours")
def fleet_at_work(fleet, pool):
    fleet.start()
    sent = []
    for index in range(NEIGHBOURS):
        caller = fleet.caller(fleet.entries[index % 2], "bars")
        text = f"vecino {index} " * 50
        sent.append(pool.submit(caller.prompt, text, model=MODEL, max_tokens=400))
    pause(0.5)
    return sent


@when(
    parsers.parse(
        "a prompt that crashes engines is sent {count:d} times through each entry"
    ),
    target_fixture="answers",
)
def send_crasher(fleet, pool, count):
    def send(entry):
        caller = fleet.caller(entry, "logs")
        return [
            caller.prompt(f"registro {CRASH_MARK}", model=MODEL, max_tokens=20)
            for _ in range(count)
        ]

    return [
        answers.result(60)
        for answers in [pool.submit(send, entry) for entry in fleet.entries]
    ]


@then(parsers.parse("at most {count:d} engines crashed"))
def few_crashed(fleet, count):
    crashes = sum(fleet.engine_counters(n)["crashes"] for n in fleet.engines)
    assert 0 < crashes <= count


@then("the last answers say that it is quarantined")
def last_quarantined(answers):
    assert [results[-1].code for results in answers] == ["quarantined"] * 2
    assert [results[-1].outcome for results in answers] == ["not_run"] * 2


@then("every neighbour is answered whole")
def neighbours_whole(neighbours):
    for neighbour in neighbours:
        result = neighbour.result(60)
        assert result.is_whole, result


@then("no neighbour is quarantined")
def one_quarantined(fleet):
    for entry in fleet.entries:
        assert len(fleet.status(entry)["quarantined"]) == 1
