"""Tests of `EndpointRecord`: reports, clocks and the prompts sent since."""

from bilberryring.core import to_micros
from bilberryring.entry.endpoint_record import EndpointRecord
from bilberryring.membership import Standing
from bilberryring.objects import ModelEndpoint
from bilberryring.routing import PromptShape
from bilberryring.wire import Beat, Heartbeat

SIDECAR_AHEAD = 1_000.0
"""Seconds by which the sidecar's clock is ahead of the entry's."""


def report(own_time: float, **changes) -> Heartbeat:
    fields = {
        "sender_clock": to_micros(own_time + SIDECAR_AHEAD),
        "state": "ready",
        "backlog_tokens": [0, 0, 0, 0],
        "running": 0,
        "free_kv_tokens": 1_000,
        "allowance": 8,
        "set_number": 1,
        "prefill_rate": 10_000,
        "kv_tokens": 1_000,
    }
    return Heartbeat(**(fields | changes))


def record() -> EndpointRecord:
    endpoint = ModelEndpoint(
        name="e", failure_domain="d", sidecar="10.0.0.1:9", versions=()
    )
    created = EndpointRecord(endpoint=endpoint)
    created.link_opened("i1")
    return created


def standing(item: EndpointRecord, now: float) -> Standing:
    return item.standing(domain_out=False, now=now)


def test_silent_before_the_first_report_and_some_time_after_the_last():
    item = record()
    assert standing(item, 10.0) is Standing.SILENT
    item.apply_heartbeat(report(10.0), now=10.0)
    assert standing(item, 12.0) is Standing.LIVE
    assert standing(item, 14.0) is Standing.SILENT


def test_a_report_delayed_in_a_buffer_counts_from_when_it_was_sent():
    item = record()
    item.apply_heartbeat(report(10.0), now=10.0)
    item.apply_heartbeat(report(11.0), now=30.0)
    assert standing(item, 30.0) is Standing.SILENT


def test_a_beat_keeps_the_endpoint_live():
    item = record()
    item.apply_heartbeat(report(10.0), now=10.0)
    item.apply_beat(Beat(sender_clock=to_micros(13.0 + SIDECAR_AHEAD)), now=13.0)
    assert standing(item, 14.0) is Standing.LIVE


def test_deadlines_on_the_sidecars_clock_are_never_too_late():
    item = record()
    item.apply_heartbeat(report(10.0), now=10.25)
    item.apply_heartbeat(report(11.0), now=11.05)
    stated = item.receiver_time(20.0)
    assert 20.0 + SIDECAR_AHEAD - 0.06 < stated <= 20.0 + SIDECAR_AHEAD


def test_another_incarnation_drops_the_clock_and_the_report():
    item = record()
    item.apply_heartbeat(report(10.0), now=10.0)
    item.link_closed()
    item.link_opened("i2")
    assert item.receiver_time(10.0) is None
    assert standing(item, 10.0) is Standing.SILENT


def test_any_evidence_that_an_endpoint_leaves_or_is_out_suffices():
    item = record()
    item.apply_heartbeat(report(10.0), now=10.0)
    assert item.standing(domain_out=True, now=10.0) is Standing.OUT
    item.set_listed_leaving(True)
    assert standing(item, 10.0) is Standing.LEAVING
    item.set_listed_leaving(False)
    item.apply_heartbeat(report(10.1, state="leaving"), now=10.1)
    assert standing(item, 10.1) is Standing.LEAVING


def test_a_sent_prompt_counts_until_a_report_includes_it():
    item = record()
    item.apply_heartbeat(report(10.0), now=10.0)
    shape = PromptShape(prompt_tokens=500, max_tokens=10)
    item.begin_attempt(shape, now=10.5)
    assert item.load(now=10.6, round_trip_seconds=0.0).sent_tokens == (500, 0, 0, 0)
    item.apply_heartbeat(report(11.0, backlog_tokens=[500, 0, 0, 0]), now=11.0)
    assert item.load(now=11.0, round_trip_seconds=0.0).sent_tokens == (0, 0, 0, 0)
