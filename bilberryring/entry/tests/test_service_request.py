"""Tests of `ServiceRequest` with fake links and sidecars and a test clock."""

import io

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bilberryring.core import RequestId
from bilberryring.entry.attempt_channel import AttemptChannel, LinkLost
from bilberryring.entry.endpoint_record import EndpointRecord
from bilberryring.entry.service_request import ServiceCall, ServiceRequest
from bilberryring.execution import RetryBudget
from bilberryring.objects import ObjectSet, Service, ServiceEndpoint, Workspace
from bilberryring.routing import EndpointLoad
from bilberryring.telemetry import EventLog
from bilberryring.wire import Beat, Refused, ServiceAnswer


class FakeLink:
    """Records the messages that were sent."""

    def __init__(self):
        self.sent: list[object] = []
        self.is_open = True
        self.is_receiving = False

    def send(self, message: object) -> bool:
        self.sent.append(message)
        return self.is_open


class CallHarness:
    """A running call that may be repeated, whose attempts the test answers."""

    def __init__(self, *, n_endpoints: int = 3, n_retries: float = 10.0):
        self.clock = Clock()
        self.channels: list[AttemptChannel] = []
        self.budget = RetryBudget(reserve=n_retries)
        self.endpoints = {
            f"e{index}": ServiceEndpoint(
                name=f"e{index}", failure_domain="d", sidecar="10.0.0.1:9", service="s"
            )
            for index in range(n_endpoints)
        }
        objects = ObjectSet(service_endpoints=self.endpoints)
        self.request = ServiceRequest(
            reactor=self.clock,
            call=ServiceCall(
                request_id=RequestId("r"),
                workspace=Workspace(name="w", priority="p", key_digests=()),
                service=Service(name="s"),
                method="GET",
                path="look",
                content_type="",
                body=b"",
                ticket_text="",
                deadline=5.0,
            ),
            links=self,
            budget=self.budget,
            objects=lambda: objects,
            log=EventLog(process="p", role="entry", stream=io.StringIO()),
        )
        self.outcome: list[object] = []
        Deferred.fromCoroutine(self.request.run()).addBoth(self.outcome.append)

    def loads(self, names, *, excluded=frozenset()):
        return [
            EndpointLoad(
                endpoint=name,
                backlog_tokens=(0, 0, 0, 0),
                sent_tokens=(0, 0, 0, 0),
                outstanding=0,
                allowance=8,
                free_kv_tokens=0,
                kv_tokens=0,
                prefill_rate=1.0,
                round_trip_seconds=0.0,
                is_cold=False,
            )
            for name in names
            if name not in excluded
        ]

    def open_attempt(self, name, mailbox):
        record = EndpointRecord(endpoint=self.endpoints[name])
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

    def lose_link(self) -> None:
        self.channels[-1].link.is_open = False
        self.channels[-1].deliver(LinkLost())

    def refuse(self) -> None:
        channel = self.channels[-1]
        channel.deliver(
            Refused(
                attempt=channel.attempt,
                code="queue_full",
                detail="",
                outcome="not_run",
                retry_after=0,
            )
        )


def test_a_call_whose_link_is_lost_is_answered_by_another_endpoint():
    harness = CallHarness()
    harness.lose_link()
    answer = ServiceAnswer(
        attempt=2, status=200, content_type="", body=b"", replayed=False
    )
    harness.channels[1].deliver(answer)
    assert harness.outcome == [answer]


def test_a_call_that_may_have_run_is_not_said_not_to_have_run():
    harness = CallHarness(n_endpoints=2)
    harness.lose_link()
    harness.refuse()
    error = harness.outcome[0].value
    assert (error.code.value, error.outcome.value) == ("queue_full", "unknown")


def test_a_call_that_all_endpoints_refused_has_not_run():
    harness = CallHarness(n_endpoints=2)
    harness.refuse()
    harness.refuse()
    error = harness.outcome[0].value
    assert (error.code.value, error.outcome.value) == ("queue_full", "not_run")


def test_a_call_is_not_repeated_for_a_caller_that_has_left():
    harness = CallHarness()
    harness.request.caller_disconnected()
    assert harness.outcome[0].value.code.value == "cancelled"
    assert len(harness.channels) == 1


def test_a_repeated_call_is_not_paid_for_without_an_endpoint():
    harness = CallHarness(n_endpoints=1)
    harness.lose_link()
    assert harness.outcome and harness.budget.balance == 10.0


def test_a_call_is_not_repeated_after_the_budget_is_spent():
    harness = CallHarness(n_retries=1.0)
    harness.lose_link()
    harness.lose_link()
    assert harness.outcome[0].value.outcome.value == "unknown"
    assert len(harness.channels) == 2
