"""The schedule of faults that a seed gives."""

import itertools
import zlib

from bilberryring.testing.soak_faults import (
    LEAD_SECONDS,
    ChangeKind,
    ConfigurationChange,
    EndpointDeparture,
    EndpointSilence,
    Evacuation,
    Fault,
    GatewayReload,
    GatewayTermination,
    SoakFleet,
    draw_schedule,
)

SECONDS = 600.0
PLANNED_KINDS = {
    ConfigurationChange,
    EndpointDeparture,
    EndpointSilence,
    Evacuation,
    GatewayReload,
    GatewayTermination,
}
KEPT_DIGESTS = {2: 4247829921, 300: 63595602, 4316: 2922810574}
"""Of the schedules of kept seeds, by seed."""


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


def test_a_planned_schedule_has_planned_work_and_silences_alone():
    schedule = draw_schedule(seed=7, seconds=SECONDS, is_planned=True)
    assert {type(fault.fault) for fault in schedule} == PLANNED_KINDS
    for scheduled in schedule:
        match scheduled.fault:
            case EndpointSilence(seconds=seconds):
                assert 0.9 <= seconds <= 2.2


def test_a_planned_schedule_has_all_changes_in_series_of_up_to_eight():
    schedule = draw_schedule(seed=7, seconds=SECONDS, is_planned=True)
    changes = [f.fault for f in schedule if type(f.fault) is ConfigurationChange]
    assert {kind for change in changes for kind in change.kinds} == set(ChangeKind)
    assert {len(change.kinds) for change in changes} == set(range(1, 9))


def test_changes_overlap_at_times():
    schedule = draw_schedule(seed=7, seconds=SECONDS, is_planned=True)
    spans = [
        (f.at, f.at + f.fault.interval * len(f.fault.kinds))
        for f in schedule
        if type(f.fault) is ConfigurationChange
    ]
    assert any(begin < end for (_, end), (begin, _) in itertools.pairwise(spans))


def test_the_schedules_of_the_kept_seeds_stay_as_they_were():
    digests = {
        seed: zlib.crc32(str(draw_schedule(seed=seed, seconds=39.6)).encode())
        for seed in (2, 300, 4316)
    }
    assert digests == KEPT_DIGESTS
