"""Steps of the scenarios about prompts that span several engines."""

import itertools
import threading
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bilberryring.demo.work import filler_prompt
from bilberryring.telemetry import LogEvent
from bilberryring.testing.caller import PromptResult
from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import MODEL, FleetPlan
from bilberryring.testing.processes import pause, wait_until

scenarios("spans.feature")

KV_TOKENS = 120_000
TOTAL_SECONDS = 90.0
_labels = itertools.count()
"""Makes each prompt unlike the others, so that no engine has it cached."""


@dataclass
class Sending:
    """What a scenario sent."""

    pool: ThreadPoolExecutor = field(
        default_factory=lambda: ThreadPoolExecutor(max_workers=8)
    )
    long: list[Future[PromptResult]] = field(default_factory=list)
    short: list[PromptResult] = field(default_factory=list)
    stop: threading.Event = field(default_factory=threading.Event)
    victim: str = ""
    attempts_before: int = 0


@pytest.fixture(scope="module")
def span_fleet():
    fleet = Fleet(
        plan=FleetPlan(
            domains=("valpo-a",),
            engines_per_domain=4,
            services_per_domain=0,
            entry_domains=("valpo-a", "valpo-a"),
            kv_tokens=KV_TOKENS,
            total_seconds=TOTAL_SECONDS,
        )
    )
    try:
        yield fleet.start()
    finally:
        fleet.stop()


@pytest.fixture
def sending():
    return Sending()


@given("a fleet with four small engines in one failure domain", target_fixture="fleet")
def whole_fleet(span_fleet):
    span_fleet.wait_ready()
    return span_fleet


@when("short prompts are sent without pause")
def send_short(fleet, sending):
    def run():
        index = 0
        while not sending.stop.is_set():
            caller = fleet.caller(fleet.entries[index % 2], "bars")
            text = f"{index} " * 300
            sending.short.append(caller.prompt(text, model=MODEL, max_tokens=10))
            index += 1

    sending.pool.submit(run)


@when(
    parsers.re(
        r"(?P<count>\d) prompts? of (?P<engines>[\d.]+) engines' memory (is|are) sent.*"
    ),
    converters={"count": int, "engines": float},
)
def send_long(fleet, sending, count, engines):
    sending.attempts_before = attempts_made(fleet)
    for index in range(count):
        caller = fleet.caller(fleet.entries[index % 2], "logs")
        text = filler_prompt(int(engines * KV_TOKENS), f"span {next(_labels)}")
        sending.long.append(
            sending.pool.submit(caller.prompt, text, model=MODEL, max_tokens=40)
        )


def attempts_made(fleet: Fleet) -> int:
    return sum(
        event["number"] == LogEvent.ATTEMPT_STARTED.value
        for entry in fleet.entries
        for event in fleet.log_events(entry)
    )


def a_member(fleet: Fleet, sending: Sending) -> str:
    """Return an engine that holds a part of a prompt."""
    assert not sending.long[0].done(), sending.long[0].result()
    wait_until(
        lambda: any(fleet.engine_counters(name)["kv_used"] for name in fleet.engines),
        10.0,
        "a member to hold memory",
    )
    return max(fleet.engines, key=lambda name: fleet.engine_counters(name)["kv_used"])


@when(parsers.parse("after {seconds:g} s a member's sidecar is killed"))
def kill_member(fleet, sending, seconds):
    pause(seconds)
    sending.victim = a_member(fleet, sending)
    fleet.process(f"sidecar-{sending.victim}").kill()


@when(parsers.parse("after {seconds:g} s a member's engine crashes"))
def crash_member(fleet, sending, seconds):
    pause(seconds)
    fleet.engine_control(a_member(fleet, sending), "crash")


@when(parsers.parse("after {wait:g} s a member's {process} pauses for {seconds:g} s"))
def pause_member(fleet, sending, wait, process, seconds):
    pause(wait)
    member = a_member(fleet, sending)
    paused = fleet.process(member if process == "engine" else f"sidecar-{member}")
    paused.suspend()
    pause(seconds)
    paused.resume()


@then("the sidecar is started again")
def start_sidecar(fleet, sending):
    fleet.start_sidecar(sending.victim)


@then(parsers.parse("it is whole within {seconds:g} s"))
@then(parsers.parse("they are whole within {seconds:g} s"))
def long_whole(sending, seconds):
    for future in sending.long:
        result = future.result(seconds)
        assert result.is_whole, result
    sending.stop.set()


@then("it was sent once")
def sent_once(fleet, sending):
    assert attempts_made(fleet) - sending.attempts_before == 1


@then("the short prompts are whole")
def short_whole(sending):
    assert len(sending.short) > 10
    assert all(result.is_whole for result in sending.short)


@then("it ended in time, whole or with a typed error")
def ended_in_time(sending):
    result = sending.long[0].result(TOTAL_SECONDS + 5.0)
    assert result.is_whole or result.code, result
