"""Tests of `PromptRequest` with fake links and sidecars and a test clock."""

import io

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bilberryring.core import Fingerprint, RequestId, ServingError
from bilberryring.entry.attempt_channel import AttemptChannel, LinkLost
from bilberryring.entry.caller_prompt import CallerPrompt
from bilberryring.entry.endpoint_record import EndpointRecord
from bilberryring.entry.prompt_placement import PlacedPrompt
from bilberryring.entry.prompt_request import PromptRequest
from bilberryring.execution import RetryBudget
from bilberryring.objects import (
    Model,
    ModelEndpoint,
    ObjectSet,
    Priority,
    Workspace,
)
from bilberryring.quarantine import PromptStanding
from bilberryring.routing import PromptShape
from bilberryring.telemetry import EventLog
from bilberryring.wire import Beat, Cancel, Finished, Refused, RunPrompt, Tokens


class FakeLink:
    """Records the messages that were sent."""

    def __init__(self):
        self.sent: list[object] = []
        self.is_open = True

    def send(self, message: object) -> bool:
        self.sent.append(message)
        return self.is_open


class FakeDeaths:
    """Suspects no prompt."""

    def standing(self, fingerprint):
        return PromptStanding.CLEAR

    def clear(self, fingerprint):
        pass


class FakeSink:
    """Records what the caller would receive."""

    def __init__(self):
        self.texts: list[str] = []
        self.end = ""
        self.is_abandoned = False

    def write_tokens(self, texts):
        self.texts += texts

    def finish(self, text, completion_tokens):
        self.end = text

    def abandon(self):
        self.is_abandoned = True


class PromptHarness:
    """A running `PromptRequest` whose attempts the test answers.

    It also takes the place of the links and of the placement.
    """

    def __init__(self, *, max_tokens: int = 3):
        self.clock = Clock()
        self.sink = FakeSink()
        self.channels: list[AttemptChannel] = []
        self.deaths = FakeDeaths()
        model = Model(name="m", default_version="v")
        prompt = CallerPrompt(
            request_id=RequestId("r"),
            workspace=Workspace(name="w", priority="p", key_digests=()),
            priority=Priority(name="p", rank=0),
            model=model,
            text=b"hola",
            shape=PromptShape(prompt_tokens=1, max_tokens=max_tokens),
            fingerprint=Fingerprint("f"),
            received_at=0.0,
            deadline=30.0,
        )
        self.request = PromptRequest(
            reactor=self.clock,
            prompt=prompt,
            sink=self.sink,
            links=self,
            placement=self,
            budget=RetryBudget(),
            objects=ObjectSet,
            log=EventLog(process="p", role="entry", stream=io.StringIO()),
            on_token_gap=lambda gap: None,
        )
        self.outcome: list[object] = []
        Deferred.fromCoroutine(self.request.run()).addBoth(self.outcome.append)

    def choose(self, prompt, objects, *, excluded, is_isolated):
        return PlacedPrompt(endpoint=f"e{len(self.channels)}")

    def open_attempt(self, name, mailbox, *, shape):
        endpoint = ModelEndpoint(
            name=name, failure_domain="d", sidecar="10.0.0.1:9", versions=()
        )
        record = EndpointRecord(endpoint=endpoint)
        record.apply_beat(Beat(sender_clock=0), now=0.0)
        channel = AttemptChannel(
            attempt=len(self.channels) + 1,
            record=record,
            link=FakeLink(),
            mailbox=mailbox,
            on_close=lambda closed: None,
        )
        self.channels.append(channel)
        return channel

    def sent(self, index: int) -> list[type]:
        return [type(message) for message in self.channels[index].link.sent]


def tokens(attempt: int, first_index: int, *texts: str) -> Tokens:
    return Tokens(attempt=attempt, first_index=first_index, texts=list(texts))


def finished(attempt: int, count: int) -> Finished:
    return Finished(attempt=attempt, token_count=count, reason="length")


def test_tokens_and_end_complete_an_answer():
    harness = PromptHarness()
    harness.channels[0].deliver(tokens(1, 0, "a", "b", "c"))
    harness.channels[0].deliver(finished(1, 3))
    assert harness.sink.end == "abc"
    assert harness.outcome[0].token_count == 3


def test_a_second_attempt_continues_after_the_delivered_tokens():
    harness = PromptHarness()
    harness.channels[0].deliver(tokens(1, 0, "a"))
    harness.channels[0].link.is_open = False
    harness.channels[0].deliver(LinkLost())
    asked = harness.channels[1].link.sent[0]
    assert isinstance(asked, RunPrompt) and asked.delivered_tokens == 1
    harness.channels[1].deliver(tokens(2, 1, "b", "c"))
    harness.channels[1].deliver(finished(2, 3))
    assert harness.sink.end == "abc"


def test_late_messages_of_an_abandoned_attempt_are_dropped():
    harness = PromptHarness()
    first = harness.channels[0]
    first.link.is_open = False
    mailbox = first._mailbox
    first.deliver(LinkLost())
    mailbox.put(tokens(1, 0, "x"))
    mailbox.put(finished(1, 1))
    harness.channels[1].deliver(tokens(2, 0, "a", "b", "c"))
    harness.channels[1].deliver(finished(2, 3))
    assert harness.sink.end == "abc"
    assert len(harness.channels) == 2


def test_an_end_before_all_tokens_causes_another_attempt():
    harness = PromptHarness()
    harness.channels[0].deliver(tokens(1, 0, "a"))
    harness.channels[0].deliver(finished(1, 3))
    assert Cancel in harness.sent(0)
    assert len(harness.channels) == 2 and not harness.sink.end


def test_an_end_lost_after_the_last_token_causes_no_other_attempt():
    harness = PromptHarness()
    harness.channels[0].deliver(tokens(1, 0, "a", "b", "c"))
    harness.channels[0].link.is_open = False
    harness.channels[0].deliver(LinkLost())
    assert harness.sink.end == "abc"
    assert len(harness.channels) == 1


def test_the_deadline_fails_the_request_and_cancels_the_attempt():
    harness = PromptHarness()
    harness.clock.advance(31.0)
    error = harness.outcome[0].value
    assert isinstance(error, ServingError)
    assert error.code.value == "deadline_passed"
    assert Cancel in harness.sent(0)


def test_a_disconnected_caller_cancels_the_attempt_and_the_output():
    harness = PromptHarness()
    harness.request.caller_disconnected()
    assert harness.sink.is_abandoned
    assert Cancel in harness.sent(0)


def test_attempts_stop_at_their_limit_with_the_last_refusal():
    harness = PromptHarness()
    while not harness.outcome:
        channel = harness.channels[-1]
        channel.deliver(
            Refused(
                attempt=channel.attempt,
                code="too_late",
                detail="",
                outcome="not_run",
                retry_after=2_000_000,
            )
        )
    error = harness.outcome[0].value
    assert error.code.value == "too_late" and error.outcome.value == "not_run"
    assert error.retry_after == 2.0
    assert len(harness.channels) == 6
