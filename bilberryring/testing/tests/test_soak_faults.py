"""The schedule of faults that a seed gives."""

from bilberryring.testing.soak_faults import (
    LEAD_SECONDS,
    EndpointSilence,
    Fault,
    SoakFleet,
    draw_schedule,
)

SECONDS = 600.0


def test_a_schedule_is_numbered_and_in_the_order_of_its_times():
    schedule = draw_schedule(seed=7, seconds=SECONDS)
    assert [fault.number for fault in schedule] == list(range(1, len(schedule) + 1))
    times = [fault.at for fault in schedule]
    assert times == sorted(times) and times[0] >= LEAD_SECONDS


def test_another_seed_gives_another_schedule():
    first = draw_schedule(seed=1, seconds=SECONDS)
    assert first != draw_schedule(seed=2, seconds=SECONDS)


def test_a_long_schedule_has_all_kinds_of_faults():
    schedule = draw_schedule(seed=7, seconds=SECONDS)
    assert {type(fault.fault) for fault in schedule} == set(Fault.__args__)


def test_all_endpoints_of_a_service_fall_silent_together_at_times():
    schedule = draw_schedule(seed=7, seconds=SECONDS)
    names = {tuple(e.name for e in SoakFleet().endpoints if e.service == "model")}
    silent = {f.fault.endpoints for f in schedule if type(f.fault) is EndpointSilence}
    assert names <= silent
