"""Estimates of endpoints' speed in the reports of gateways."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bilberryring.capacity import EndpointSpeeds, Interval, ReportedSpeed
from bilberryring.gateway.report_codec import decode_report, encode_work
from bilberryring.routing import EndpointWork
from bilberryring.testing.peer_network import PeerNetwork
from bilberryring.wire import (
    GatewayReport,
    WorkReport,
    decode_message,
    encode_message,
)

WORK = EndpointWork(requests=2, kv_tokens=9_000)
SLOW = ReportedSpeed(endpoint="i-00000001", run_tag=77, slowdown=3.25)
EARLIER_SPEC = WorkReport.thrift_spec[:8]


def make_report(work):
    return GatewayReport(incarnation="r", sequence=1, is_complete=True, work=[work])


def decoded(work):
    message = decode_message(encode_message(make_report(work)))
    return decode_report(message, host="10.0.0.2")


def teach(gateway, ratio, *, now, endpoint="i-00000001", count=8):
    sample = Interval(low=ratio, high=ratio)
    for _ in range(count):
        gateway.speeds.observe_step(endpoint, f"{endpoint}/0", sample, now=now)


def test_estimate_passes_in_few_bytes():
    """Guards against control traffic beyond the operators' limit."""
    with_speed = encode_work("i-00000001", WORK, SLOW)
    assert decoded(with_speed).speeds == (SLOW,)
    without = encode_work("i-00000001", WORK)
    sizes = [len(encode_message(make_report(work))) for work in (with_speed, without)]
    assert sizes[0] - sizes[1] <= 7


def test_earlier_gateway_reads_the_work_alone(monkeypatch):
    """Guards against reports that a gateway of the earlier version cannot read."""
    datagram = encode_message(make_report(encode_work("i-00000001", WORK, SLOW)))
    monkeypatch.setattr(WorkReport, "thrift_spec", EARLIER_SPEC)
    report = decode_report(decode_message(datagram), host="10.0.0.2")
    assert report.work == (("i-00000001", WORK),)


def test_report_of_an_earlier_gateway_tells_nothing(monkeypatch):
    """Guards against an absent estimate that counts as one."""
    monkeypatch.setattr(WorkReport, "thrift_spec", EARLIER_SPEC)
    datagram = encode_message(make_report(encode_work("i-00000001", WORK)))
    monkeypatch.undo()
    report = decode_report(decode_message(datagram), host="10.0.0.2")
    assert report.speeds == () and report.work == (("i-00000001", WORK),)


figures = st.integers(-(2**31), 2**31 - 1)


@given(figures, st.integers(0, 2**31 - 1))
def test_any_estimate_is_bounded_and_spoils_no_work(slowdown, tag):
    """Guards against estimates that no gateway of this build would send."""
    work = encode_work("i-00000001", WORK)
    work.slowdown_hundredths, work.run_tag = slowdown, tag
    report = decoded(work)
    assert report.work == (("i-00000001", WORK),)
    speeds = EndpointSpeeds(seed=1)
    for item in report.speeds:
        speeds.record_peer("h", item, now=0.0)
    assert 1 / 8.01 <= speeds.slowdown("i-00000001", now=0.0) <= 8.01


@pytest.fixture
def network():
    network = PeerNetwork(gateways=3, endpoints=6)
    network.advance(3.0)
    return network


def known(network):
    return [
        gateway.speeds.slowdown("i-00000001", now=network.now)
        for gateway in network.gateways
    ]


def test_neighbours_learn_within_a_second(network):
    """Guards against gateways that each have to try a slow endpoint themselves."""
    teach(network.gateways[0], 8.0, now=network.now)
    network.advance(0.8)
    assert min(known(network)) > 4.0


def test_neighbours_learn_of_a_recovery(network):
    """Guards against an endpoint that stays without work by others' old estimates."""
    for _ in range(4):
        teach(network.gateways[0], 8.0, now=network.now)
        network.advance(0.5)
    for _ in range(3):
        teach(network.gateways[0], 1.0, now=network.now)
        network.advance(0.5)
    assert max(known(network)) < 1.4


def test_opposite_samples_of_two_gateways(network):
    """Guards against one gateway whose wrong samples decide for all."""
    for _ in range(6):
        teach(network.gateways[0], 16.0, now=network.now, count=2)
        teach(network.gateways[1], 1.0, now=network.now, count=2)
        network.advance(0.5)
    wrong, right, third = known(network)
    assert wrong > 3.0
    assert right < 2.6
    assert 1.5 < third < 4.5


def test_estimate_of_a_lost_gateway_expires(network):
    """Guards against the last word of a gateway that failed."""
    teach(network.gateways[0], 8.0, now=network.now)
    network.advance(0.8)
    network.gateways[0].is_down = True
    network.advance(3.5)
    for gateway in network.gateways[1:]:
        gateway.speeds.expire(now=network.now)
    assert known(network)[1:] == [1.0, 1.0]
