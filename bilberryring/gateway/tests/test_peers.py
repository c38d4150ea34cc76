"""Timing and content of the reports to peers."""

from io import StringIO

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from bilberryring.fleet import FleetState
from bilberryring.gateway.crash_record import CrashRecord
from bilberryring.gateway.endpoint_slices import EndpointSlices
from bilberryring.gateway.peer_view import PeerView
from bilberryring.gateway.peers import COALESCE_SECONDS, PeerExchange
from bilberryring.gateway.published_copies import PublishedCopies
from bilberryring.gateway.settings import GatewaySettings
from bilberryring.gateway.store_readers import ReadingDuty
from bilberryring.routing import PlacedRequest, WorkTracker
from bilberryring.telemetry import EventLog
from bilberryring.wire import (
    CrashReport,
    EngineDeath,
    PartReport,
    decode_message,
    encode_message,
)

PEER = "10.0.0.2"


class RecordingTransport(list):
    """A transport that decodes and records the datagrams sent."""

    def write(self, datagram, address):
        self.append(decode_message(datagram))


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def tracker():
    return WorkTracker()


@pytest.fixture
def exchange(clock, tracker):
    settings = GatewaySettings(
        process="p",
        failure_domain="north",
        host="10.0.0.1",
        caller_address="10.0.0.1:1",
        ready_address="10.0.0.1:2",
        peer_port=3,
        metrics_port=4,
        platform_address="10.0.0.9:5",
        seed_hosts=(PEER,),
    )
    view = PeerView(own_host=settings.host, seed_hosts=settings.seed_hosts)
    exchange = PeerExchange(
        reactor=clock,
        settings=settings,
        incarnation="run",
        view=view,
        slices=EndpointSlices(
            clock=clock, settings=settings, fleet=FleetState(), peers=view
        ),
        duty=ReadingDuty(
            clock=clock,
            own_host=settings.host,
            is_alone=False,
            peers=lambda: view.store_access(now=clock.seconds()),
        ),
        tracker=tracker,
        copies=PublishedCopies(prefixes=("a/",), clock=clock),
        crashes=CrashRecord(clock=clock),
        log=EventLog(process="p", role="gateway", stream=StringIO()),
    )
    exchange.transport = RecordingTransport()
    return exchange


def test_changes_in_quick_succession_are_reported_together(exchange, clock):
    exchange.report_change()
    exchange.report_change()
    assert not exchange.transport
    clock.advance(COALESCE_SECONDS)
    assert len(exchange.transport) == 1


def test_urgent_change_is_reported_at_once_and_only_once(exchange, tracker, clock):
    long_prompt = PlacedRequest(lead="e1", helpers=("e2",), part_ms=1_400.0)
    tracker.place(long_prompt, now=clock.seconds())
    exchange.report_change()
    exchange.report_change(is_urgent=True)
    assert [item.endpoint for item in exchange.transport[0].work] == ["e1", "e2"]
    clock.advance(COALESCE_SECONDS)
    assert len(exchange.transport) == 1


def test_report_contains_elapsed_prefill_time_and_time_until_due(
    exchange, tracker, clock
):
    due = PlacedRequest(
        lead="e1", part_ms=900.0, gap_ms=600, value=5.5, due_at=1.5, kv_tokens=45_000
    )
    tracker.place(due, now=0.0)
    clock.advance(0.5)
    exchange.report_change(is_urgent=True)
    (work,) = exchange.transport[0].work
    assert (work.prefill_ms, work.prefill_elapsed_ms) == (900, 500)
    streams = [(item.gap_ms, item.due_ms) for item in work.prefill_streams]
    assert streams == [(600, 1_000)]


DAMAGES = st.lists(
    st.tuples(st.integers(0, 10_000), st.integers(0, 255)), min_size=1, max_size=6
)


@given(damages=DAMAGES, length=st.integers(0, 400))
@settings(
    max_examples=500,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
def test_a_damaged_report_is_dropped_or_read_but_ends_nothing(
    exchange, tracker, clock, damages, length
):
    """Bytes of a complete report are changed, and its end is cut off."""
    tracker.place(
        PlacedRequest(lead="e1", helpers=("e2",), part_ms=40.0, gap_ms=300), now=0.0
    )
    datagram = bytearray(exchange.encode_complete_report())
    for position, value in damages:
        datagram[position % len(datagram)] = value
    exchange.datagramReceived(bytes(datagram[: max(1, length)]), ("10.0.0.2", 3))
    clock.advance(COALESCE_SECONDS)
    exchange.datagramReceived(exchange.encode_complete_report(), ("10.0.0.3", 3))


@given(damages=DAMAGES, length=st.integers(0, 400))
@settings(
    max_examples=500,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
def test_damaged_news_of_crashes_are_dropped_or_read_but_end_nothing(
    exchange, clock, damages, length
):
    news = CrashReport(
        deaths=[EngineDeath(death="e1/1", fingerprints=["f1"], parts=["p1"], age_ms=5)],
        parts=[PartReport(part="p2", crashes=3, crashed_ms=10, served_ms=20)],
    )
    datagram = bytearray(encode_message(news))
    for position, value in damages:
        datagram[position % len(datagram)] = value
    exchange.datagramReceived(bytes(datagram[: max(1, length)]), (PEER, 3))
    clock.advance(COALESCE_SECONDS)
    exchange.datagramReceived(exchange.encode_complete_report(), ("10.0.0.3", 3))
