"""Tests of `PromptRequest` with fake links and sidecars and a test clock."""

import io
from types import SimpleNamespace

import pytest
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import Clock

from bilberryring.core import Fingerprint, RequestId, ServingError
from bilberryring.entry.attempt_channel import (
    AttemptChannel,
    EndpointSilent,
    LinkLost,
)
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
        self.is_receiving = False

    def send(self, message: object) -> bool:
        self.sent.append(message)
        return self.is_open


class FakeDeaths:
    """Suspects no prompt unless the test says so."""

    def __init__(self):
        self.is_quarantined = False
        self.is_suspect = False

    def standing(self, fingerprint):
        if self.is_quarantined:
            return PromptStanding.QUARANTINED
        return PromptStanding.SUSPECT if self.is_suspect else PromptStanding.CLEAR

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

    def __init__(
        self,
        *,
        max_tokens: int = 3,
        n_retries: float = 10.0,
        is_suspect: bool = False,
    ):
        self.clock = Clock()
        self.output = io.StringIO()
        self.sink = FakeSink()
        self.channels: list[AttemptChannel] = []
        self.deaths = FakeDeaths()
        if is_suspect:
            suspect(self)
        self.silent: set[str] = set()
        self.has_endpoints = True
        self.budget = RetryBudget(reserve=n_retries)
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
            budget=self.budget,
            objects=ObjectSet,
            log=EventLog(process="p", role="entry", stream=self.output),
            on_token_gap=lambda gap: None,
        )
        self.outcome: list[object] = []
        self.task = Deferred.fromCoroutine(self.request.run())
        self.task.addBoth(self.outcome.append)

    def choose(self, prompt, objects, *, excluded, is_isolated):
        if not self.has_endpoints:
            return None
        return PlacedPrompt(endpoint=f"e{len(self.channels)}")

    def is_silent(self, record):
        return record.endpoint.name in self.silent

    def fall_silent(self, index: int) -> None:
        self.silent.add(f"e{index}")
        self.channels[index].deliver(EndpointSilent())

    def lose_link(self, index: int) -> None:
        self.channels[index].link.is_open = False
        self.channels[index].deliver(LinkLost())

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


def test_a_silent_attempt_goes_on_if_there_is_no_other_endpoint():
    harness = PromptHarness()
    harness.has_endpoints = False
    harness.channels[0].deliver(tokens(1, 0, "a"))
    harness.fall_silent(0)
    assert Cancel not in harness.sent(0) and not harness.outcome
    harness.channels[0].deliver(tokens(1, 1, "b", "c"))
    harness.channels[0].deliver(finished(1, 3))
    assert harness.sink.end == "abc"


def test_a_silent_attempt_goes_on_if_the_retry_budget_is_spent():
    harness = PromptHarness(n_retries=0.0)
    harness.fall_silent(0)
    assert Cancel not in harness.sent(0) and len(harness.channels) == 1
    harness.channels[0].deliver(tokens(1, 0, "a", "b", "c"))
    harness.channels[0].deliver(finished(1, 3))
    assert harness.sink.end == "abc"


def test_a_silent_attempt_ends_once_another_has_delivered_something():
    harness = PromptHarness()
    harness.channels[0].deliver(tokens(1, 0, "a"))
    harness.fall_silent(0)
    assert Cancel not in harness.sent(0)
    harness.channels[1].deliver(tokens(2, 1, "b"))
    assert Cancel in harness.sent(0)
    harness.request._mailbox.put(tokens(1, 1, "x", "y"))
    harness.request._mailbox.put(finished(1, 3))
    harness.channels[1].deliver(tokens(2, 2, "c"))
    harness.channels[1].deliver(finished(2, 3))
    assert harness.sink.texts == ["a", "b", "c"]
    assert harness.sink.end == "abc"


def test_a_silent_attempt_that_goes_on_first_ends_the_other():
    harness = PromptHarness()
    harness.channels[0].deliver(tokens(1, 0, "a"))
    harness.fall_silent(0)
    harness.silent.clear()
    harness.channels[0].deliver(tokens(1, 1, "b"))
    assert Cancel in harness.sent(1) and Cancel not in harness.sent(0)
    harness.request._mailbox.put(tokens(2, 1, "x"))
    harness.channels[0].deliver(tokens(1, 2, "c"))
    harness.channels[0].deliver(finished(1, 3))
    assert harness.sink.texts == ["a", "b", "c"]


def test_a_refusal_of_the_second_endpoint_does_not_end_a_silent_attempt():
    harness = PromptHarness(n_retries=1.0)
    harness.fall_silent(0)
    harness.channels[1].deliver(
        Refused(
            attempt=2, code="queue_full", detail="", outcome="not_run", retry_after=0
        )
    )
    assert not harness.outcome
    harness.channels[0].deliver(tokens(1, 0, "a", "b", "c"))
    harness.channels[0].deliver(finished(1, 3))
    assert harness.sink.end == "abc"


def test_a_lost_link_of_the_second_endpoint_does_not_end_a_silent_attempt():
    harness = PromptHarness(n_retries=1.0)
    harness.fall_silent(0)
    harness.lose_link(1)
    assert not harness.outcome
    harness.channels[0].deliver(tokens(1, 0, "a", "b", "c"))
    harness.channels[0].deliver(finished(1, 3))
    assert harness.sink.end == "abc"


def test_another_attempt_follows_if_the_second_endpoint_falls_silent_too():
    harness = PromptHarness()
    harness.fall_silent(0)
    harness.fall_silent(1)
    assert len(harness.channels) == 3
    harness.channels[2].deliver(tokens(3, 0, "a"))
    assert Cancel in harness.sent(0) and Cancel in harness.sent(1)


def test_a_silent_endpoint_gets_no_successor_while_another_attempt_runs():
    harness = PromptHarness()
    harness.fall_silent(0)
    harness.channels[0].deliver(EndpointSilent())
    assert len(harness.channels) == 2
    assert harness.budget.balance == 9.0


def test_a_quarantined_prompt_gets_no_attempt_beside_a_silent_one():
    harness = PromptHarness()
    harness.deaths.is_quarantined = True
    harness.fall_silent(0)
    assert len(harness.channels) == 1
    assert Cancel not in harness.sent(0) and not harness.outcome


def test_the_deadline_cancels_a_silent_attempt_and_the_one_beside_it():
    harness = PromptHarness()
    harness.fall_silent(0)
    harness.clock.advance(31.0)
    assert harness.outcome[0].value.code.value == "deadline_passed"
    assert Cancel in harness.sent(0) and Cancel in harness.sent(1)


def test_no_retry_is_paid_for_without_an_endpoint():
    harness = PromptHarness()
    harness.has_endpoints = False
    harness.fall_silent(0)
    harness.lose_link(0)
    assert harness.outcome[0].value.code.value == "endpoint_failed"
    assert harness.budget.balance == 10.0


def test_a_refusal_of_a_newer_version_leads_to_another_attempt():
    harness = PromptHarness()
    harness.channels[0].deliver(
        Refused(attempt=1, code="new", detail="", outcome="new", retry_after=0)
    )
    assert len(harness.channels) == 2 and not harness.outcome
    harness.clock.advance(31.0)
    assert harness.outcome[0].value.outcome.value == "unknown"


def suspect(harness):
    """Suspect the prompt; return its turn, which does not come, and the questions."""
    turn = Deferred()
    questions = []

    async def wait_for_turn(fingerprint, request):
        questions.append(request)
        await turn

    harness.suspects = SimpleNamespace(wait_for_turn=wait_for_turn)
    harness.deaths.is_suspect = True
    return turn, questions


def suspect_while_silent(harness):
    """Suspect the prompt, let its endpoint be silent, and return the open question."""
    turn, questions = suspect(harness)
    harness.channels[0].deliver(tokens(1, 0, "a"))
    for _ in range(3):
        harness.fall_silent(0)
    assert len(questions) == 1
    return turn


def test_a_silent_endpoint_that_goes_on_is_read_while_a_suspected_prompt_waits():
    harness = PromptHarness()
    suspect_while_silent(harness)
    harness.silent.clear()
    harness.channels[0].deliver(tokens(1, 1, "b", "c"))
    harness.channels[0].deliver(finished(1, 3))
    assert harness.sink.end == "abc"
    assert len(harness.channels) == 1


def test_the_deadline_ends_a_silent_prompt_that_waits_because_it_is_suspected():
    harness = PromptHarness()
    suspect_while_silent(harness)
    harness.clock.advance(30.0)
    assert harness.outcome[0].value.code.value == "deadline_passed"


def test_a_suspected_prompt_runs_beside_its_silent_endpoint_when_it_is_its_turn():
    harness = PromptHarness()
    turn = suspect_while_silent(harness)
    assert len(harness.channels) == 1
    turn.callback(None)
    assert harness.channels[1].link.sent[0].isolated
    assert harness.budget.balance == 9.0


def retry_while_suspected(harness):
    """Let a suspected prompt lose its endpoint; return its turn and the questions."""
    turn, questions = suspect(harness)
    harness.lose_link(0)
    assert len(questions) == 1
    assert len(harness.channels) == 1
    return turn, questions


def test_a_suspected_prompt_that_waits_for_its_retry_ends_at_its_deadline():
    harness = PromptHarness()
    harness.clock.advance(28.0)
    turn, _ = retry_while_suspected(harness)
    harness.clock.advance(2.0)
    (failure,) = harness.outcome
    assert failure.value.code.value == "deadline_passed"
    assert failure.value.outcome.value == "unknown"
    assert turn.called
    assert len(harness.channels) == 1


def test_a_suspected_prompt_ends_at_its_deadline_before_its_first_attempt():
    harness = PromptHarness(is_suspect=True)
    harness.clock.advance(30.0)
    (failure,) = harness.outcome
    assert failure.value.code.value == "deadline_passed"
    assert failure.value.outcome.value == "not_run"
    assert not harness.channels


@pytest.mark.parametrize("has_run", [False, True])
def test_a_caller_that_leaves_ends_the_wait_of_a_suspected_prompt(has_run):
    harness = PromptHarness(is_suspect=not has_run)
    if has_run:
        retry_while_suspected(harness)
    harness.request.caller_disconnected()
    (failure,) = harness.outcome
    assert failure.value.code.value == "cancelled"
    assert failure.value.outcome.value == ("unknown" if has_run else "not_run")
    assert len(harness.channels) == has_run


def test_a_suspected_prompt_is_tried_again_when_it_is_its_turn():
    harness = PromptHarness()
    turn, questions = retry_while_suspected(harness)
    turn.callback(None)
    assert harness.channels[1].link.sent[0].isolated
    harness.channels[1].deliver(tokens(2, 0, "a", "b", "c"))
    harness.channels[1].deliver(finished(2, 3))
    assert harness.sink.end == "abc"
    assert len(questions) == 1
    assert harness.budget.balance == 9.0


def test_a_prompt_that_is_quarantined_while_it_waits_gets_no_second_attempt():
    harness = PromptHarness()
    turn, _ = retry_while_suspected(harness)
    harness.deaths.is_quarantined = True
    turn.callback(None)
    assert harness.outcome[0].value.code.value == "quarantined"
    assert len(harness.channels) == 1


def test_a_turn_that_came_in_an_earlier_silence_is_asked_for_again():
    harness = PromptHarness()
    earlier = suspect_while_silent(harness)
    harness.silent.clear()
    earlier.callback(None)
    retry_while_suspected(harness)


def test_an_unknown_error_of_a_question_is_logged_and_ends_no_prompt():
    harness = PromptHarness()
    turn, _ = retry_while_suspected(harness)
    turn.errback(ValueError("unexpected"))
    assert harness.output.getvalue().count("internal_fault") == 1
    assert not harness.outcome
    assert harness.channels[1].link.sent[0].isolated


def test_a_deadline_between_the_last_token_and_the_end_message_costs_no_end():
    """The deadline may pass while the sidecar or the entry is suspended."""
    harness = PromptHarness()
    harness.channels[0].deliver(tokens(1, 0, "a", "b", "c"))
    harness.clock.advance(31.0)
    assert harness.sink.end == "abc"
    assert harness.outcome[0].token_count == 3
    assert Cancel in harness.sent(0)


def test_a_stop_between_the_last_token_and_the_end_message_costs_no_end():
    harness = PromptHarness()
    harness.channels[0].deliver(tokens(1, 0, "a", "b", "c"))
    harness.task.cancel()
    assert harness.sink.end == "abc"
    assert harness.outcome[0].token_count == 3


def test_a_stop_before_the_last_token_does_not_end_an_answer_as_whole():
    harness = PromptHarness()
    harness.channels[0].deliver(tokens(1, 0, "a", "b"))
    harness.task.cancel()
    assert not harness.sink.end
    assert harness.outcome[0].check(CancelledError)
    assert Cancel in harness.sent(0)
