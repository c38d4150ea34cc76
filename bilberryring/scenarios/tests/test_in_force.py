"""Steps of the scenarios about published sets."""

from dataclasses import replace

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bilberryring.adapters import set_key
from bilberryring.objects import (
    SetNumber,
    encode_manifest,
    render_set,
)
from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import MODEL, FleetPlan
from bilberryring.testing.processes import pause, wait_until
from bilberryring.testing.published_sets import (
    assert_none_stepped_back,
    changed_objects,
    sets_by_run,
    wait_in_force,
)
from bilberryring.tool.queries import collect_status

scenarios("in_force.feature")


@pytest.fixture(scope="module")
def config_fleet():
    fleet = Fleet(plan=FleetPlan(engines_per_domain=2))
    try:
        yield fleet.start()
    finally:
        fleet.stop()


@given("a fleet of two entries and nine sidecars", target_fixture="fleet")
def whole_fleet(config_fleet):
    config_fleet.platform.set_mode()
    for name in config_fleet.daemons:
        config_fleet.process(name).resume()
    wait_in_force(config_fleet, config_fleet.published.manifest.digest, 10.0)
    return config_fleet


def refusals(fleet: Fleet) -> list:
    addresses = [fleet.operator_address(name) for name in fleet.daemons]
    report = collect_status(addresses)
    assert not report.forked
    return [item for process in report.processes for item in process.refused_sets]


@when("a change is published")
def publish_change(fleet):
    fleet.publish(changed_objects(fleet))


@when("the platform goes down")
def platform_down(fleet):
    fleet.platform.set_mode(down=True)


@when("the platform is back")
def platform_back(fleet):
    fleet.platform.set_mode()


@when(parsers.parse("{seconds:g} s pass"))
def time_passes(seconds):
    pause(seconds)


@when("one reader is served what is old from now on")
def one_stale_reader(fleet):
    readers = [name for name in fleet.daemons if fleet.status(name)["is_reader"]]
    assert len(readers) == 6
    fleet.platform.set_mode(
        stale_at=fleet.platform.revision(), stale_readers=(readers[0],)
    )


@when(
    "the platform shows everybody what is old from now on",
    target_fixture="stale_revision",
)
def all_stale(fleet):
    return fleet.platform.revision()


@when("two changes are known to the processes alone")
def changes_before_staleness(fleet, stale_revision):
    for _ in range(2):
        fleet.publish(changed_objects(fleet))
        wait_in_force(fleet, fleet.published.manifest.digest, 3.0)
    fleet.platform.set_mode(stale_at=stale_revision)


@when("entry-2 is killed and started again", target_fixture="restarted")
def restart_entry(fleet):
    fleet.process("entry-2").kill()
    fleet.start_entry("entry-2", fleet.plan.entry_domains[1])
    return "entry-2"


@when("a sidecar is killed and started again", target_fixture="restarted")
def restart_sidecar(fleet):
    endpoint = fleet.engines[0]
    name = f"sidecar-{endpoint}"
    fleet.process(name).kill()
    fleet.start_sidecar(endpoint)
    return name


@then("its first set is the newest")
def first_set_is_newest(fleet, restarted):
    wait_until(lambda: fleet.is_ready(restarted), 20.0, f"{restarted} ready")
    runs = sets_by_run(fleet, restarted)
    assert runs[-1][0] == fleet.published.manifest.number


@when("a sidecar is frozen")
def freeze_sidecar(fleet):
    fleet.process(f"sidecar-{fleet.engines[1]}").suspend()


@when("the sidecar goes on")
def thaw_sidecar(fleet):
    fleet.process(f"sidecar-{fleet.engines[1]}").resume()


@when("a malformed manifest is published", target_fixture="bad_number")
def publish_malformed(fleet):
    number = fleet.published.manifest.number + 1
    fleet.platform.write_value(set_key(number, "bad"), b"{not a manifest")
    return number


@when("a set with a dangling reference is published", target_fixture="bad_number")
def publish_inconsistent(fleet):
    priorities = dict(fleet.objects.priorities)
    del priorities["counter"]
    objects = replace(fleet.objects, priorities=priorities)
    canonical = render_set(objects, predecessor=fleet.published.manifest)
    fleet.platform.write_set(canonical)
    return canonical.manifest.number


@when("a change is published past it")
def publish_past(fleet, bad_number):
    canonical = render_set(
        changed_objects(fleet),
        predecessor=fleet.published.manifest,
        number=SetNumber(bad_number + 1),
    )
    fleet.platform.write_set(canonical)
    fleet.set_published(canonical)


@when("a manifest is published without its parts", target_fixture="half")
def publish_half(fleet):
    half = render_set(changed_objects(fleet), predecessor=fleet.published.manifest)
    fleet.platform.write_manifest(half.manifest)
    return half


@when("the parts are published too")
def publish_parts(fleet, half):
    for digest, content in half.parts.items():
        fleet.platform.write_value(f"part/{digest}", content)
    fleet.set_published(half)


@when("two operators publish the same number at once", target_fixture="loser")
def publish_twice(fleet):
    predecessor = fleet.published.manifest
    first = render_set(changed_objects(fleet), predecessor=predecessor)
    second = render_set(changed_objects(fleet), predecessor=predecessor)
    for canonical in (first, second):
        for digest, content in canonical.parts.items():
            fleet.platform.write_value(f"part/{digest}", content)
    fleet.platform.write_manifest(first.manifest)
    fleet.platform.write_manifest(second.manifest)
    fleet.set_published(first)
    return second


@when("the published manifest is overwritten by another")
def overwrite(fleet):
    manifest = fleet.published.manifest
    other = render_set(
        changed_objects(fleet), predecessor=None, number=SetNumber(manifest.number)
    )
    key = set_key(manifest.number, manifest.digest)
    fleet.platform.write_value(key, encode_manifest(other.manifest))


@then(parsers.parse("it is in force everywhere within {seconds:g} s"))
@then(parsers.parse("the first one is in force everywhere within {seconds:g} s"))
def in_force_within(fleet, seconds):
    wait_in_force(fleet, fleet.published.manifest.digest, seconds)


@then("the last good set is in force everywhere")
def last_good_in_force(fleet):
    wait_in_force(fleet, fleet.published.manifest.digest, 0.0)


@then("status tells that it was refused as inconsistent")
def told_inconsistent(fleet, bad_number):
    found = [item for item in refusals(fleet) if item.number == bad_number]
    assert {item.reason for item in found} == {"inconsistent"}
    assert all("reference_dangling" in item.remedy for item in found)


@then("status tells the loser that another set was first")
def told_loser(fleet, loser):
    digest = loser.manifest.digest
    wait_until(
        lambda: any(
            item.digest == digest and item.reason == "not_first_write"
            for item in refusals(fleet)
        ),
        3.0,
        "the loser to be refused",
    )


@then("a set on top of the loser is refused everywhere")
def on_top_of_loser(fleet, loser):
    winner = fleet.published
    on_top = render_set(changed_objects(fleet), predecessor=loser.manifest)
    fleet.platform.write_set(on_top)
    pause(1.5)
    wait_in_force(fleet, winner.manifest.digest, 0.0)
    assert any(item.digest == on_top.manifest.digest for item in refusals(fleet))
    past = render_set(
        changed_objects(fleet),
        predecessor=winner.manifest,
        number=SetNumber(on_top.manifest.number + 1),
    )
    fleet.platform.write_set(past)
    fleet.set_published(past)
    wait_in_force(fleet, past.manifest.digest, 3.0)


@then(parsers.parse("a prompt through {entry} is answered whole"))
def prompt_whole(fleet, entry):
    result = fleet.caller(entry, "bars").prompt(
        "hola " * 500, model=MODEL, max_tokens=9
    )
    assert result.is_whole, result


@then("no process stepped back")
def none_stepped_back(fleet):
    assert_none_stepped_back(fleet)
