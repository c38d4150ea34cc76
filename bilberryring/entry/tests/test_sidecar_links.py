"""Links to sidecars on a test clock: silences, own pauses and changed addresses."""

import io

import pytest
from twisted.internet.defer import DeferredQueue
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from bilberryring.core import to_micros
from bilberryring.entry.attempt_channel import EndpointSilent, LinkLost
from bilberryring.entry.sidecar_links import (
    SILENCE_CHECK_SECONDS,
    UNTRACK_DELAY_SECONDS,
    SidecarLinks,
)
from bilberryring.membership import (
    HEARTBEAT_SECONDS,
    REPORT_FRESH_SECONDS,
    SidecarState,
    Standing,
)
from bilberryring.objects import ModelEndpoint, ObjectSet
from bilberryring.telemetry import EventLog
from bilberryring.wire import Heartbeat, Hello, LinkProtocol, encode_message


class FakeConfiguration:
    """Has an empty set, and exchanges none."""

    def __init__(self):
        self.objects = ObjectSet()

    def add_link(self, link):
        pass

    def remove_link(self, link):
        pass

    def handle_notice(self, link, number):
        pass

    def record_peer_activity(self):
        pass


class FakeTransport(StringTransport):
    """A transport with the options of a TCP connection."""

    def setTcpNoDelay(self, enabled):
        pass

    def setTcpKeepAlive(self, enabled):
        pass

    def getHandle(self):
        return self

    def setsockopt(self, level, option, value):
        pass


class LinksHarness:
    """Links of an entry whose sidecars the test plays."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        self.configuration = FakeConfiguration()
        self.links = SidecarLinks(
            reactor=self.reactor,
            log=EventLog(process="p", role="entry", stream=io.StringIO()),
            failure_domain="d",
            hello=Hello(process="p", role="entry", failure_domain="d"),
            configuration=self.configuration,
        )
        self.mailbox = DeferredQueue()

    def connect(self, address: str, *, incarnation: str = "i1") -> LinkProtocol:
        """Track the endpoint `e` at an address, and answer as its sidecar."""
        endpoint = ModelEndpoint(
            name="e", failure_domain="d", sidecar=address, versions=()
        )
        self.links.track({"e": endpoint})
        factory = self.reactor.tcpClients[-1][2]
        link = factory.buildProtocol(None)
        link.makeConnection(FakeTransport())
        self.tell(
            link,
            Hello(
                process="s",
                role="sidecar",
                failure_domain="d",
                incarnation=incarnation,
            ),
        )
        self.report(link)
        return link

    def tell(self, link: LinkProtocol, message: object) -> None:
        frame = encode_message(message)
        link.dataReceived(len(frame).to_bytes(4, "big") + frame)

    def report(
        self, link: LinkProtocol, *, state: str = SidecarState.READY.value
    ) -> None:
        self.tell(
            link,
            Heartbeat(
                sender_clock=to_micros(self.reactor.seconds()),
                state=state,
                set_number=1,
                backlog_tokens=[0, 0, 0, 0],
                running=0,
                free_kv_tokens=1_000,
                allowance=8,
                prefill_rate=10_000,
                kv_tokens=1_000,
            ),
        )

    def pass_time(self, seconds: float) -> None:
        steps = round(seconds / SILENCE_CHECK_SECONDS)
        self.reactor.pump([SILENCE_CHECK_SECONDS] * steps)

    def delivered(self, kind: type) -> list[object]:
        return [item for item in self.mailbox.pending if isinstance(item, kind)]


@pytest.fixture
def harness():
    return LinksHarness()


def test_a_pause_of_this_process_is_no_silence_of_a_sidecar(harness):
    link = harness.connect("10.0.0.1:9")
    harness.links.open_attempt("e", harness.mailbox)
    harness.pass_time(0.5)
    harness.reactor.rightNow += REPORT_FRESH_SECONDS
    assert harness.links.standing("e") is Standing.LIVE
    harness.pass_time(SILENCE_CHECK_SECONDS)
    assert harness.links.standing("e") is Standing.LIVE
    assert not harness.delivered(EndpointSilent)
    harness.pass_time(REPORT_FRESH_SECONDS)
    assert harness.delivered(EndpointSilent)
    harness.report(link)
    assert harness.links.standing("e") is Standing.LIVE


@pytest.mark.parametrize("state", [SidecarState.LEAVING, SidecarState.OUT])
def test_a_silence_shows_although_the_endpoint_takes_no_new_work(harness, state):
    link = harness.connect("10.0.0.1:9")
    harness.links.open_attempt("e", harness.mailbox)
    harness.report(link, state=state.value)
    harness.links.set_listed_leaving(frozenset({"10.0.0.1:9"}))
    harness.pass_time(HEARTBEAT_SECONDS)
    assert not harness.delivered(EndpointSilent)
    harness.pass_time(REPORT_FRESH_SECONDS)
    assert harness.delivered(EndpointSilent)


def test_a_changed_address_does_not_end_the_attempts_at_the_old_one(harness):
    old = harness.connect("10.0.0.1:9")
    channel = harness.links.open_attempt("e", harness.mailbox)
    harness.connect("10.0.0.2:9", incarnation="i2")
    harness.pass_time(1.0)
    assert not harness.delivered(LinkLost) and old.is_open
    assert harness.links.open_attempts == 1
    later = harness.links.open_attempt("e", harness.mailbox)
    assert later.link is not old
    channel.close()


def test_a_ticket_reaches_its_ledger_after_the_address_has_changed(harness):
    old = harness.connect("10.0.0.1:9")
    harness.connect("10.0.0.2:9", incarnation="i2")
    channel = harness.links.open_attempt("e", harness.mailbox, incarnation="i1")
    assert channel.link is old


def test_the_link_to_an_old_address_closes_after_its_last_attempt(harness):
    old = harness.connect("10.0.0.1:9")
    channel = harness.links.open_attempt("e", harness.mailbox)
    harness.connect("10.0.0.2:9", incarnation="i2")
    n_connects = len(harness.reactor.tcpClients)
    harness.reactor.advance(UNTRACK_DELAY_SECONDS + 1.0)
    endpoint = harness.links.record("e").endpoint
    harness.links.track({"e": endpoint})
    assert harness.links.open_attempts == 1
    old.connectionLost(Failure(ConnectionDone()))
    assert harness.delivered(LinkLost)
    channel.close()
    harness.links.track({"e": endpoint})
    assert harness.links.open_attempt("e", harness.mailbox, incarnation="i1") is None
    harness.pass_time(2.0)
    assert len(harness.reactor.tcpClients) == n_connects


def test_a_state_of_a_newer_version_takes_no_new_work_and_silence_is_still_seen(
    harness,
):
    link = harness.connect("10.0.0.1:9")
    harness.links.open_attempt("e", harness.mailbox)
    harness.report(link, state="resting")
    assert not harness.links.standing("e").takes_new_work
    harness.pass_time(HEARTBEAT_SECONDS)
    assert not harness.delivered(EndpointSilent)
    harness.pass_time(REPORT_FRESH_SECONDS)
    assert harness.delivered(EndpointSilent)


def test_an_endpoint_that_returned_elsewhere_is_kept_as_long_when_it_is_removed_again(
    harness,
):
    harness.connect("10.0.0.1:9")
    harness.links.track({})
    link = harness.connect("10.0.0.2:9", incarnation="i2")
    harness.reactor.advance(UNTRACK_DELAY_SECONDS + 1.0)
    harness.links.track({})
    assert harness.links.record("e") is not None and link.is_open
    channel = harness.links.open_attempt("e", harness.mailbox, incarnation="i2")
    assert channel.link is link
