"""Messages of any content to a sidecar, which must end nothing but their attempts."""

import io
import os

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from twisted.internet.testing import MemoryReactorClock

from bilberryring.adapters import GenerationEnd
from bilberryring.entry.endpoint_record import EndpointRecord
from bilberryring.entry.tests.test_sidecar_links import FakeTransport
from bilberryring.objects import ModelEndpoint, ObjectSet, ServiceEndpoint
from bilberryring.process.settings import SidecarSettings
from bilberryring.sidecar.daemon import (
    HELLO_SECONDS,
    MAX_HELLO_BYTES,
    SidecarDaemon,
)
from bilberryring.sidecar.engine_watch import FAILED_POLLS_UNTIL_LOST, POLL_SECONDS
from bilberryring.sidecar.prompt_runner import DISPATCH_SECONDS
from bilberryring.sidecar.tests.test_prompt_runner import FakeEngine
from bilberryring.telemetry import EventLog
from bilberryring.testing.link_messages import messages
from bilberryring.wire import (
    MAX_STRING_BYTES,
    CallService,
    Heartbeat,
    Hello,
    PromptPart,
    Refused,
    RunPrompt,
    decode_message,
    encode_message,
)

EXAMPLES = int(os.environ.get("BILBERRYRING_EXAMPLES", "100"))
ADDRESS = "127.0.0.1:9"
GOOD_ATTEMPT = 9
ROUNDS = 20
FAR_MICROS = 10**9
FUZZED = settings(
    max_examples=EXAMPLES,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)


class SidecarHarness:
    """A sidecar of the endpoint `e` and one entry's link to it."""

    def __init__(self, objects: ObjectSet | None, *, says_hello: bool = True):
        self.reactor = MemoryReactorClock()
        self.log = io.StringIO()
        self.daemon = SidecarDaemon(
            reactor=self.reactor,
            settings=SidecarSettings(
                process="p",
                failure_domain="d",
                operator_address=ADDRESS,
                platform_url=f"http://{ADDRESS}",
                endpoint="e",
                link_address=ADDRESS,
                target_url=f"http://{ADDRESS}",
            ),
            log=EventLog(process="p", role="sidecar", stream=self.log),
        )
        self.daemon.start()
        if objects is not None:
            self.daemon._set_changed(objects)
        factory = self.reactor.tcpServers[0][1]
        self.link = factory.buildProtocol(None)
        self.link.makeConnection(FakeTransport())
        if says_hello:
            self.say_hello()

    def say_hello(self) -> None:
        self.tell(Hello(process="e", role="entry", incarnation="i"))

    def tell(self, message: object) -> None:
        frame = encode_message(message)
        self.link.dataReceived(len(frame).to_bytes(4, "big") + frame)

    def take_answers(self) -> list[object]:
        """Return what the sidecar has sent since it was last asked."""
        data = self.link.transport.value()
        self.link.transport.clear()
        answers = []
        while data:
            end = 4 + int.from_bytes(data[:4], "big")
            answers.append(decode_message(data[4:end]))
            data = data[end:]
        return answers

    def take_refusals(self) -> list[tuple[int, str, str]]:
        return [
            (item.attempt, item.code, item.outcome)
            for item in self.take_answers()
            if isinstance(item, Refused)
        ]

    def n_faults(self) -> int:
        return self.log.getvalue().count("internal_fault")


def model_sidecar(monkeypatch) -> tuple[SidecarHarness, FakeEngine]:
    engine = FakeEngine()
    monkeypatch.setattr(
        "bilberryring.sidecar.daemon.EngineClient", lambda *, client: engine
    )
    endpoint = ModelEndpoint(
        name="e",
        failure_domain="d",
        sidecar=ADDRESS,
        versions=(),
        kv_tokens=100_000,
        concurrency=64,
        cold_allowance=64,
    )
    objects = ObjectSet(model_endpoints={"e": endpoint})
    monkeypatch.setattr(
        "bilberryring.sidecar.daemon.ConfigurationTask.objects",
        property(lambda task: objects),
    )
    return SidecarHarness(objects), engine


def run_prompt(**changes) -> RunPrompt:
    fields = {
        "attempt": GOOD_ATTEMPT,
        "request": "r",
        "workspace": "w",
        "model": "m",
        "version": "v",
        "adapter": "",
        "priority": "p",
        "prompt_tokens": 10,
        "max_tokens": 10,
        "delivered_tokens": 0,
        "deadline": FAR_MICROS,
        "queue_deadline": FAR_MICROS,
        "fingerprint": "good",
        "prompt_parts": 1,
        "isolated": False,
        "span_members": [],
    }
    return RunPrompt(**fields | changes)


def complete_all(harness, engine) -> None:
    """Let each prompt that the engine has begun end."""
    for end in tuple(engine.ends.values()):
        if not end.called:
            end.callback(GenerationEnd.COMPLETED)
    harness.reactor.advance(DISPATCH_SECONDS)


@FUZZED
@given(sent=st.lists(messages(), max_size=8))
def test_after_messages_of_any_content_a_prompt_is_run(monkeypatch, sent):
    harness, engine = model_sidecar(monkeypatch)
    for message in sent:
        harness.tell(message)
        if isinstance(message, RunPrompt):
            harness.tell(PromptPart(attempt=message.attempt, index=0, text=b"x"))
        harness.reactor.advance(DISPATCH_SECONDS)
    assert not harness.link.transport.disconnecting
    harness.tell(run_prompt())
    harness.tell(PromptPart(attempt=GOOD_ATTEMPT, index=0, text=b"x"))
    for _ in range(ROUNDS):
        complete_all(harness, engine)
    assert any(name.endswith(f"/{GOOD_ATTEMPT}") for name in engine.ends)


@FUZZED
@given(sent=st.lists(messages(), max_size=8))
def test_after_messages_of_any_content_a_call_is_forwarded(sent):
    endpoint = ServiceEndpoint(
        name="e", failure_domain="d", sidecar=ADDRESS, service="s", concurrency=64
    )
    harness = SidecarHarness(ObjectSet(service_endpoints={"e": endpoint}))
    for message in sent:
        harness.tell(message)
        harness.reactor.advance(DISPATCH_SECONDS)
    assert not harness.link.transport.disconnecting
    n_before = len(harness.reactor.tcpClients)
    harness.tell(call_service())
    assert len(harness.reactor.tcpClients) == n_before + 1


@pytest.mark.parametrize(
    "absent", ["deadline", "prompt_tokens", "max_tokens", "queue_deadline"]
)
def test_a_prompt_without_a_field_is_refused_once(monkeypatch, absent):
    harness, _ = model_sidecar(monkeypatch)
    harness.tell(run_prompt(**{absent: None}))
    harness.tell(PromptPart(attempt=GOOD_ATTEMPT, index=0, text=b"x"))
    refusals = harness.take_refusals()
    assert [item[:2] for item in refusals] == [(GOOD_ATTEMPT, "internal")]
    assert harness.n_faults() == 1


def test_an_error_in_a_round_of_the_dispatch_ends_no_later_round(monkeypatch):
    harness, engine = model_sidecar(monkeypatch)
    engine.is_silent = True
    harness.reactor.pump([POLL_SECONDS] * FAILED_POLLS_UNTIL_LOST)
    rounds = []

    def expire(admission, *, now):
        rounds.append(now)
        if len(rounds) == 1:
            raise ValueError("unexpected")
        return []

    monkeypatch.setattr("bilberryring.admission.PromptAdmission.expire", expire)
    harness.reactor.pump([DISPATCH_SECONDS] * ROUNDS)
    assert len(rounds) == ROUNDS
    assert harness.n_faults() == 1


def call_service(ticket: str = "") -> CallService:
    return CallService(
        attempt=GOOD_ATTEMPT,
        request="r",
        workspace="w",
        service_name="s",
        ticket=ticket,
        method="POST" if ticket else "GET",
        path="x",
        content_type="",
        body=b"",
        deadline=FAR_MICROS,
    )


def test_a_sidecar_without_a_set_is_not_named_in_tickets_that_it_could_not_answer():
    endpoint = ServiceEndpoint(
        name="e", failure_domain="d", sidecar=ADDRESS, service="s", concurrency=64
    )
    harness = SidecarHarness(None)
    record = EndpointRecord(endpoint=endpoint)

    def takes_new_work():
        for message in harness.take_answers():
            match message:
                case Hello():
                    record.link_opened(message.incarnation)
                case Heartbeat():
                    record.apply_heartbeat(message, now=harness.reactor.seconds())
        standing = record.standing(domain_out=False, now=harness.reactor.seconds())
        return standing.takes_new_work

    assert not takes_new_work()
    ticket = f"bt1~e~{record.incarnation}~0~ff"
    harness.tell(call_service(ticket))
    assert harness.take_refusals() == [(GOOD_ATTEMPT, "no_set", "unknown")]
    harness.daemon._set_changed(ObjectSet(service_endpoints={"e": endpoint}))
    assert takes_new_work()
    harness.tell(call_service(ticket))
    assert harness.take_refusals() == []
    assert len(harness.reactor.tcpClients) == 1


def length_prefix(n_bytes: int) -> bytes:
    return n_bytes.to_bytes(4, "big")


@pytest.mark.parametrize("says_hello", [False, True])
def test_a_link_without_a_hello_is_closed_in_time(says_hello):
    harness = SidecarHarness(ObjectSet(), says_hello=False)
    harness.reactor.advance(HELLO_SECONDS - 0.1)
    assert not harness.link.transport.disconnecting
    if says_hello:
        harness.say_hello()
    harness.reactor.pump([0.1, 0.0])
    assert harness.link.transport.disconnecting != says_hello


def test_a_hello_that_arrived_while_the_process_was_busy_counts():
    """It is read after the timers of the same turn of the reactor."""
    harness = SidecarHarness(ObjectSet(), says_hello=False)
    harness.reactor.callLater(HELLO_SECONDS, harness.say_hello)
    harness.reactor.advance(HELLO_SECONDS)
    assert not harness.link.transport.disconnecting


@pytest.mark.parametrize(
    ("says_hello", "most"), [(False, MAX_HELLO_BYTES), (True, MAX_STRING_BYTES)]
)
@pytest.mark.parametrize("excess", [0, 1])
def test_a_frame_that_is_too_large_ends_its_link_at_once(says_hello, most, excess):
    harness = SidecarHarness(ObjectSet(), says_hello=says_hello)
    harness.link.dataReceived(length_prefix(most + excess))
    assert harness.link.transport.disconnecting == bool(excess)
