"""Reports and copies with figures that no gateway of this build would send."""

import contextlib
import ipaddress
import math
import os
from io import StringIO

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.error import MessageLengthError
from twisted.internet.task import Clock

from bilberryring.fleet import FleetState
from bilberryring.gateway.copy_codec import decode_copy
from bilberryring.gateway.crash_record import CrashRecord
from bilberryring.gateway.endpoint_slices import EndpointSlices
from bilberryring.gateway.peer_view import (
    MAX_GATEWAYS,
    MAX_PEER_ENDPOINTS,
    Member,
    PeerReport,
    PeerView,
)
from bilberryring.gateway.peers import PeerExchange
from bilberryring.gateway.published_copies import PublishedCopies
from bilberryring.gateway.report_codec import (
    MAX_MEMBERS,
    ReportError,
    decode_report,
    encode_work,
)
from bilberryring.gateway.settings import GatewaySettings
from bilberryring.gateway.store_readers import ReadingDuty
from bilberryring.routing import (
    Candidate,
    DecodeGroup,
    EndpointWork,
    EngineFigures,
    PrefillStream,
    PromptDemand,
    PromptPlanner,
    WorkTracker,
)
from bilberryring.telemetry import EventLog
from bilberryring.wire import (
    CopyAnswer,
    CopyItem,
    CopyRevision,
    DecodeGroupReport,
    EngineDeath,
    GatewayReport,
    PartReport,
    PrefillStreamReport,
    WorkReport,
    decode_message,
    encode_message,
)
from bilberryring.wire import Member as MemberMessage

EXAMPLES = int(os.environ.get("BILBERRYRING_EXAMPLES", "200"))
PEER = "10.0.0.2"
MOST = 2**31 - 1
LEAST = -(2**31)


def make_work(**changes):
    fields = {
        "endpoint": "e",
        "requests": 1,
        "prefill_ms": 1,
        "prefill_elapsed_ms": 0,
        "kv_tokens": 1,
    }
    return WorkReport(**(fields | changes))


def make_report(sequence=1, **changes):
    fields = {"incarnation": "run", "sequence": sequence, "is_complete": True}
    return GatewayReport(**(fields | changes))


def packed(*hosts):
    return [
        MemberMessage(address=ipaddress.ip_address(host).packed, silent_ms=0)
        for host in hosts
    ]


REFUSED = {
    "prefill_time": make_report(work=[make_work(prefill_ms=MOST)]),
    "elapsed_time": make_report(work=[make_work(prefill_elapsed_ms=MOST)]),
    "requests": make_report(work=[make_work(requests=MOST)]),
    "memory": make_report(work=[make_work(kv_tokens=2**62)]),
    "negative_requests": make_report(work=[make_work(requests=LEAST)]),
    "negative_memory": make_report(work=[make_work(kv_tokens=-(2**63))]),
    "many_groups": make_report(
        work=[
            make_work(
                decode_groups=[
                    DecodeGroupReport(gap_ms=gap, count=1, value_hundredths=1)
                    for gap in range(5_000)
                ]
            )
        ]
    ),
    "many_streams": make_report(
        work=[
            make_work(
                prefill_streams=[
                    PrefillStreamReport(gap_ms=1, value_hundredths=1, due_ms=1)
                ]
                * 5_000
            )
        ]
    ),
    "negative_era": make_report(
        revisions=[CopyRevision(prefix="a/", revision=1, era=-1)]
    ),
    "negative_revision": make_report(
        revisions=[CopyRevision(prefix="a/", revision=-(2**63), era=1)]
    ),
    "store_access": make_report(store_access=MOST),
    "short_address": make_report(members=[MemberMessage(address=b"ab", silent_ms=0)]),
}


figures = st.sampled_from([LEAST, -1, 0, 1, 99, 10**6, MOST]) | st.integers(LEAST, MOST)
long_figures = st.sampled_from([-(2**63), 2**53, 2**63 - 1]) | figures
works = st.builds(
    WorkReport,
    endpoint=st.sampled_from("ab"),
    requests=figures,
    prefill_ms=figures,
    prefill_elapsed_ms=figures,
    kv_tokens=long_figures,
    decode_groups=st.lists(
        st.builds(
            DecodeGroupReport, gap_ms=figures, count=figures, value_hundredths=figures
        ),
        max_size=3,
    ),
    prefill_streams=st.lists(
        st.builds(
            PrefillStreamReport,
            gap_ms=figures,
            value_hundredths=figures,
            due_ms=figures,
        ),
        max_size=3,
    ),
)
ENGINE = EngineFigures(
    slots=8,
    kv_tokens=315_000,
    stride=51,
    step_ms=0.85,
    sequence_ms=0.0085,
    context_ms=0.00285,
    prefill_tokens_per_ms=177.0,
    million_pairs_ms=0.184,
    chunk_tokens=2_048,
)


@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
@given(st.lists(works, max_size=4), st.sampled_from([1, 1_000, 300_000]))
def test_prompts_can_be_planned_beside_any_work_that_is_reported(reported, tokens):
    view = PeerView(own_host="10.0.0.1", seed_hosts=(PEER,))
    for sequence, work in enumerate(reported):
        message = make_report(sequence, is_complete=False, work=[work])
        with contextlib.suppress(ReportError):
            report = decode_report(decode_message(encode_message(message)), host=PEER)
            view.update(report, now=0.0)
    demand = PromptDemand(
        prompt_tokens=tokens, max_tokens=80, first_ms=300.0, gap_ms=250.0
    )
    candidates = [
        Candidate(endpoint=name, work=view.work(name, now=1.0)) for name in "abc"
    ]
    plan = PromptPlanner().plan(demand, ENGINE, candidates, now=1.0)
    assert plan is not None
    assert math.isfinite(plan.predicted_ms + plan.cost)


class Transport(list):
    """Records the hosts that got a datagram, and refuses what sockets refuse."""

    def write(self, datagram, address):
        if ":" in address[0]:
            raise ValueError(f"{address[0]} is no IPv4 address")
        if len(datagram) > 65_507:
            raise MessageLengthError("message too long")
        self.append(address[0])


class Gateway:
    """The part of a gateway that exchanges reports, with a paused clock."""

    def __init__(self):
        self.clock = clock = Clock()
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
        self.view = view = PeerView(own_host=settings.host, seed_hosts=(PEER,))
        self.output = StringIO()
        self.crashes = CrashRecord(clock=clock)
        self.exchange = PeerExchange(
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
            tracker=WorkTracker(),
            copies=PublishedCopies(prefixes=("a/",), clock=clock),
            crashes=self.crashes,
            log=EventLog(process="p", role="gateway", stream=self.output),
        )
        self.exchange.transport = Transport()
        self.exchange.start_reports()

    def receive(self, report, host=PEER):
        self.exchange.datagramReceived(encode_message(report), (host, 3))

    def count(self, event):
        return self.output.getvalue().count(f'"{event}"')


@pytest.fixture
def gateway():
    return Gateway()


@pytest.mark.parametrize("case", REFUSED)
def test_a_report_with_a_figure_out_of_range_is_refused(case):
    report = decode_message(encode_message(REFUSED[case]))
    with pytest.raises(ReportError) as caught:
        decode_report(report, host=PEER)
    assert len(str(caught.value)) < 400


def test_a_peer_whose_reports_stay_malformed_is_logged_once(gateway):
    for _ in range(20):
        gateway.receive(REFUSED["prefill_time"])
        gateway.exchange.datagramReceived(b"\xff" * 9, ("10.0.0.3", 3))
    assert gateway.count("peer_report_malformed") == 2
    gateway.receive(make_report())
    gateway.receive(REFUSED["prefill_time"])
    assert gateway.count("peer_report_malformed") == 3


def test_the_largest_work_of_a_gateway_can_be_reported():
    work = EndpointWork(
        requests=2**40,
        prefill_ms=1e18,
        prefill_elapsed_ms=1e18,
        kv_tokens=2**70,
        decode_groups=(DecodeGroup(gap_ms=2**40, count=2**40, value=1e18),),
        prefill_streams=(PrefillStream(gap_ms=2**40, value=1e18, due_ms=math.inf),),
    )
    message = make_report(work=[encode_work("e", work)])
    report = decode_report(decode_message(encode_message(message)), host=PEER)
    assert report.work[0][1].requests > 0


def test_members_of_unusable_addresses_are_left_out(gateway):
    odd = packed("::1", "0.0.0.0", "224.0.0.1", "255.255.255.255", "fe80::1")
    gateway.receive(make_report(members=[*odd, *packed("10.0.0.7")]))
    gateway.clock.pump([0.25] * 40)
    assert set(gateway.exchange.transport) == {PEER, "10.0.0.7"}
    assert gateway.count("internal_fault") == 0


def test_a_report_of_thousands_of_members_adds_few(gateway):
    hosts = [f"10.1.{high}.{low}" for high in range(20) for low in range(200)]
    gateway.receive(make_report(members=packed(*hosts)))
    assert len(gateway.view.gateways) <= MAX_MEMBERS + 2


def test_the_number_of_known_gateways_is_bounded():
    view = PeerView(own_host="10.0.0.1", seed_hosts=(PEER,))
    for number in range(200):
        members = tuple(
            Member(host=f"10.1.{number}.{low}", silent_seconds=0.0)
            for low in range(1, 101)
        )
        report = PeerReport(
            incarnation="run", host=PEER, sequence=number, members=members
        )
        view.update(report, now=0.0)
    for number in range(200 * 100):
        host = f"10.{2 + number // 10_000}.{number // 100 % 100}.{number % 100}"
        view.update(PeerReport(incarnation="r", host=host, sequence=1), now=0.0)
    assert len(view.gateways) <= MAX_GATEWAYS + 2
    assert len(view.live_hosts(now=0.0)) <= MAX_GATEWAYS + 2


def test_the_work_that_one_peer_reports_is_bounded():
    view = PeerView(own_host="10.0.0.1", seed_hosts=(PEER,))
    for number in range(50):
        work = tuple(
            (f"e-{number}-{index}", EndpointWork(requests=1)) for index in range(1_000)
        )
        report = PeerReport(
            incarnation="run", host=PEER, sequence=number, is_complete=False, work=work
        )
        view.update(report, now=0.0)
    assert len(view._work) <= MAX_PEER_ENDPOINTS
    last = PeerReport(incarnation="run", host=PEER, sequence=99)
    view.update(last, now=0.0)
    assert not view._work


def test_what_peers_tell_of_crashes_is_bounded(gateway):
    for number in range(300):
        deaths = [
            EngineDeath(
                death=f"d-{number}-{index}",
                fingerprints=["f" * 40] * 20,
                parts=[f"p-{number}-{index}-{part}" for part in range(20)],
                age_ms=0,
            )
            for index in range(20)
        ]
        parts = [
            PartReport(part=f"q-{number}", crashes=MOST, crashed_ms=MOST, served_ms=0)
        ]
        gateway.receive(make_report(sequence=number, deaths=deaths, parts=parts))
        gateway.clock.advance(0.01)
    gateway.clock.pump([0.25] * 20)
    assert gateway.count("internal_fault") == 0
    assert gateway.exchange.transport


def test_a_datagram_that_is_too_long_ends_no_loop(gateway):
    deaths = [
        EngineDeath(
            death=f"d-{index}",
            fingerprints=["f" * 32],
            parts=[f"{index}-{part}-" + "p" * 400 for part in range(16)],
            age_ms=0,
        )
        for index in range(64)
    ]
    for index in range(0, 64, 4):
        gateway.receive(make_report(sequence=index + 1, deaths=deaths[index:][:4]))
    gateway.clock.pump([0.25] * 20)
    assert gateway.count("internal_fault") == 0
    sent = len(gateway.exchange.transport)
    gateway.clock.pump([0.25] * 20)
    assert len(gateway.exchange.transport) > sent


def make_answer(**changes):
    fields = {
        "prefix": "a/",
        "revision": 3,
        "items": [CopyItem(key="a/x", revision=2, value=b"1")],
        "is_delta": True,
        "era": 0,
    }
    return CopyAnswer(**(fields | changes))


@pytest.mark.parametrize(
    "answer",
    [
        make_answer(revision=None),
        make_answer(revision=-1),
        make_answer(era=-1),
        make_answer(items=[CopyItem(key=None, revision=1, value=b"")]),
        make_answer(items=[CopyItem(key="a/x", revision=None, value=b"")]),
        make_answer(items=[CopyItem(key="a/x", revision=-1, value=b"")]),
        make_answer(items=[CopyItem(key="b/x", revision=1, value=b"")]),
        make_answer(lost_era=-1),
    ],
    ids=lambda answer: str(answer)[:80],
)
def test_a_copy_with_a_figure_out_of_range_is_refused_whole(answer):
    with pytest.raises(ValueError):
        decode_copy(answer)


def test_a_copy_is_decoded():
    copy = decode_copy(make_answer())
    assert (copy.revision, copy.era, len(copy.items)) == (3, 0, 1)
