"""Calls whose answer is lost after the service may have run them."""

import io
from dataclasses import replace

import pytest
from twisted.internet.task import Clock

from bilberryring.core import to_micros
from bilberryring.execution import Close, Framing
from bilberryring.http import RESPONSE_TIMEOUT_SECONDS
from bilberryring.sidecar.peer import PeerLink
from bilberryring.sidecar.service_runner import ServiceRunner
from bilberryring.sidecar.token_batcher import TokenBatcher
from bilberryring.telemetry import EventLog
from bilberryring.testing.memory_endpoint import MemoryEndpoint
from bilberryring.wire import CallService, Refused, ServiceAnswer

TICKET = "bt1~e~sidecar-1~0~ff"
HEAD = b"HTTP/1.1 201 Created\r\nContent-Length: 9\r\n\r\n"

DEADLINE_SECONDS = 5 * RESPONSE_TIMEOUT_SECONDS


class FakeLink:
    """Records the messages that were sent."""

    def __init__(self):
        self.sent: list[object] = []

    def send(self, message: object) -> bool:
        self.sent.append(message)
        return True


class CallHarness:
    """A runner between a service in memory and one entry's link."""

    def __init__(self):
        self.clock = Clock()
        self.service = MemoryEndpoint()
        self.link = FakeLink()
        self.log = io.StringIO()
        self.peer = PeerLink(
            link=self.link,
            incarnation="entry-1",
            batcher=TokenBatcher(reactor=self.clock, link=self.link),
        )
        self.runner = ServiceRunner(
            reactor=self.clock,
            client=self.service.client,
            log=EventLog(process="p", role="sidecar", stream=self.log),
            incarnation="sidecar-1",
            concurrency=lambda: 8,
            sidecar_refusal=lambda: None,
        )

    def call(self, attempt: int, *, ticket: str) -> None:
        self.runner.call(
            self.peer,
            CallService(
                attempt=attempt,
                request="r",
                workspace="w",
                service_name="s",
                ticket=ticket,
                method="POST" if ticket else "GET",
                path="look",
                content_type="",
                body=b"",
                deadline=to_micros(DEADLINE_SECONDS),
            ),
        )


def fall_silent(service: MemoryEndpoint, sent: bytes) -> None:
    service.open()
    service.send(sent)
    service.pass_time(DEADLINE_SECONDS)
    service.pass_time(DEADLINE_SECONDS)


LOSSES = {
    "reset": lambda service: service.break_off(b"", Close.RESET),
    "end": lambda service: service.break_off(b"", Close.CLEAN),
    "silence": lambda service: fall_silent(service, b""),
    "garbled head": lambda service: service.break_off(b"HTTP/9 x\r\n\r\n", Close.CLEAN),
    "reset after the head": lambda service: service.break_off(HEAD, Close.RESET),
    "end after the head": lambda service: service.break_off(HEAD, Close.CLEAN),
    "silence after the head": lambda service: fall_silent(service, HEAD),
    "reset in the body": lambda service: service.break_off(HEAD + b"{", Close.RESET),
    "silence in the body": lambda service: fall_silent(service, HEAD + b"{"),
}


@pytest.mark.parametrize("loss", LOSSES)
def test_a_booking_whose_answer_is_lost_is_neither_repeated_nor_said_not_to_run(loss):
    harness = CallHarness()
    harness.call(1, ticket=TICKET)
    LOSSES[loss](harness.service)
    harness.call(2, ticket=TICKET)
    refusals = [item for item in harness.link.sent if isinstance(item, Refused)]
    assert [(item.attempt, item.outcome) for item in refusals] == [
        (1, "unknown"),
        (2, "unknown"),
    ]
    assert harness.service.connections == 1
    assert "call_unknown" in harness.log.getvalue()
    assert harness.runner.running == 0


@pytest.mark.parametrize("loss", LOSSES)
def test_a_lookup_whose_answer_is_lost_may_have_run_and_is_logged(loss):
    harness = CallHarness()
    harness.call(1, ticket="")
    LOSSES[loss](harness.service)
    [refusal] = harness.link.sent
    assert (refusal.code, refusal.outcome) == ("endpoint_failed", "unknown")
    assert "call_unknown" in harness.log.getvalue()
    assert harness.runner.running == 0


@pytest.mark.parametrize("ticket", [TICKET, ""])
def test_a_call_that_cannot_be_sent_has_not_run(ticket):
    harness = CallHarness()
    harness.call(1, ticket=ticket)
    harness.service.refuse()
    [refusal] = harness.link.sent
    assert (refusal.code, refusal.outcome) == ("no_endpoint", "not_run")


def test_a_booking_is_answered_again_from_the_ledger():
    harness = CallHarness()
    harness.call(1, ticket=TICKET)
    harness.service.answer(b"{}", framing=Framing.LENGTH, close=Close.AT_END)
    harness.call(2, ticket=TICKET)
    answers = [item for item in harness.link.sent if isinstance(item, ServiceAnswer)]
    assert [(item.attempt, bool(item.replayed)) for item in answers] == [
        (1, False),
        (2, True),
    ]
    assert harness.service.connections == 1


class FaultyLink(FakeLink):
    """Raises an unknown error for each message."""

    def send(self, message: object) -> bool:
        raise ValueError("x" * 100_000)


@pytest.mark.parametrize("has_answer", [True, False])
def test_an_unknown_error_for_one_caller_of_a_booking_ends_no_other(has_answer):
    harness = CallHarness()
    sound, harness.peer = harness.peer, replace(harness.peer, link=FaultyLink())
    harness.call(1, ticket=TICKET)
    harness.peer = sound
    harness.call(2, ticket=TICKET)
    if has_answer:
        harness.service.answer(b"{}", framing=Framing.LENGTH, close=Close.AT_END)
    else:
        harness.service.break_off(b"", Close.RESET)
    [message] = harness.link.sent
    assert isinstance(message, ServiceAnswer if has_answer else Refused)
    assert message.attempt == 2
    faults = [line for line in lines_of(harness) if "internal_fault" in line]
    assert len(faults) == 1
    assert len(faults[0]) < 2_000
    assert harness.runner.running == 0


@pytest.mark.parametrize("has_answer", [True, False])
def test_an_unknown_error_for_the_caller_of_a_lookup_is_logged(has_answer):
    harness = CallHarness()
    sound, harness.peer = harness.peer, replace(harness.peer, link=FaultyLink())
    harness.call(1, ticket="")
    if has_answer:
        harness.service.answer(b"{}", framing=Framing.LENGTH, close=Close.AT_END)
    else:
        harness.service.break_off(b"", Close.RESET)
    faults = [line for line in lines_of(harness) if "internal_fault" in line]
    assert len(faults) == 1
    assert len(faults[0]) < 2_000
    assert harness.runner.running == 0
    harness.peer = sound
    harness.call(2, ticket="")
    harness.service.answer(b"{}", framing=Framing.LENGTH, close=Close.AT_END)
    assert isinstance(harness.link.sent[0], ServiceAnswer)


def lines_of(harness: CallHarness) -> list[str]:
    return harness.log.getvalue().splitlines()


@pytest.mark.parametrize("ticket", [TICKET, ""])
def test_a_service_that_answers_before_the_deadline_is_awaited(ticket):
    harness = CallHarness()
    harness.call(1, ticket=ticket)
    harness.service.open()
    harness.service.pass_time(RESPONSE_TIMEOUT_SECONDS + 1.0)
    assert not harness.link.sent
    harness.service.send(HEAD + b'{"ok": 1}')
    [answer] = harness.link.sent
    assert isinstance(answer, ServiceAnswer)


CALLS = pytest.mark.parametrize("ticket", [TICKET, ""], ids=["booking", "look-up"])


@CALLS
def test_a_call_whose_answer_ended_with_its_connection_is_not_of_unknown_outcome(
    ticket,
):
    """A body without a length or chunks is whole when its connection is closed in
    order (RFC 9112, section 6.3); the service still accepts connections."""
    harness = CallHarness()
    harness.call(1, ticket=ticket)
    harness.service.answer(b"whole", framing=Framing.CONNECTION, close=Close.CLEAN)
    if harness.service.connections == 2:
        harness.service.open()
    [answer] = harness.link.sent
    assert isinstance(answer, ServiceAnswer)
    assert (answer.status, answer.body) == (200, b"whole")
    assert harness.runner.running == 0
    assert "call_unknown" not in harness.log.getvalue()


@CALLS
def test_an_unmarked_answer_of_a_service_that_crashed_is_not_taken_for_whole(ticket):
    harness = CallHarness()
    harness.call(1, ticket=ticket)
    harness.service.answer(b"a part", framing=Framing.CONNECTION, close=Close.CLEAN)
    if harness.service.connections == 2:
        assert harness.runner.running == 1
        harness.service.refuse()
    [refusal] = harness.link.sent
    assert (type(refusal), refusal.outcome) == (Refused, "unknown")
    assert "a part" not in harness.log.getvalue()
    assert harness.runner.running == 0


@CALLS
def test_an_unmarked_answer_that_was_reset_is_not_taken_for_whole(ticket):
    harness = CallHarness()
    harness.call(1, ticket=ticket)
    harness.service.answer(b"a part", framing=Framing.CONNECTION, close=Close.RESET)
    [refusal] = harness.link.sent
    assert (type(refusal), refusal.outcome) == (Refused, "unknown")
    assert harness.service.connections == 1


def test_a_booking_with_an_unmarked_answer_is_answered_again_from_the_ledger():
    harness = CallHarness()
    harness.call(1, ticket=TICKET)
    harness.service.answer(b"whole", framing=Framing.CONNECTION, close=Close.CLEAN)
    if harness.service.connections == 2:
        harness.service.open()
    harness.call(2, ticket=TICKET)
    answers = [item for item in harness.link.sent if isinstance(item, ServiceAnswer)]
    assert [(item.attempt, item.body, bool(item.replayed)) for item in answers] == [
        (1, b"whole", False),
        (2, b"whole", True),
    ]
