"""Messages of any content to an entry, after which it still uses its endpoints."""

import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryring.entry.sidecar_links import SILENCE_CHECK_SECONDS
from bilberryring.entry.tests.test_sidecar_links import LinksHarness
from bilberryring.membership import (
    HEARTBEAT_SECONDS,
    REPORT_FRESH_SECONDS,
    SidecarState,
    Standing,
)
from bilberryring.routing import LengthAware, Placement, PromptShape
from bilberryring.testing.link_messages import message, messages
from bilberryring.wire import (
    Finished,
    Heartbeat,
    Hello,
    Refused,
    ServiceAnswer,
    TokenBatch,
    Tokens,
)

EXAMPLES = int(os.environ.get("BILBERRYRING_EXAMPLES", "100"))
FUZZED = settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
SHAPE = PromptShape(prompt_tokens=100, max_tokens=10)
PLACEMENT = Placement(policy=LengthAware(), seed=1)


def take_over(harness, link):
    """Let the sidecar send a proper hello and report again."""
    harness.tell(link, Hello(process="s", role="sidecar", incarnation="i2"))
    harness.report(link)


@FUZZED
@given(sent=st.lists(messages(), max_size=8))
def test_after_messages_of_any_content_an_endpoint_is_used(sent):
    harness = LinksHarness()
    link = harness.connect("10.0.0.1:9")
    for item in sent:
        harness.tell(link, item)
        harness.pass_time(SILENCE_CHECK_SECONDS)
    assert link.is_open
    take_over(harness, link)
    assert harness.links.standing("e") is Standing.LIVE
    channel = harness.links.open_attempt("e", harness.mailbox, shape=SHAPE)
    harness.tell(
        link,
        TokenBatch(items=[Tokens(attempt=channel.attempt, first_index=0, texts=["a"])]),
    )
    assert harness.delivered(Tokens)
    harness.pass_time(REPORT_FRESH_SECONDS + HEARTBEAT_SECONDS)
    assert harness.links.standing("e") is Standing.SILENT


@FUZZED
@given(heartbeat=message(Heartbeat))
def test_a_report_of_any_content_leaves_endpoints_comparable(heartbeat):
    harness = LinksHarness()
    link = harness.connect("10.0.0.1:9")
    heartbeat.state = SidecarState.READY.value
    harness.tell(link, heartbeat)
    loads = harness.links.loads(["e"])
    PLACEMENT.choose(SHAPE, loads)
    assert all(load.waiting_tokens >= 0 for load in loads)


@pytest.mark.parametrize("kind", [Tokens, Finished, Refused, ServiceAnswer])
def test_an_answer_without_its_fields_ends_its_attempt_alone(kind):
    harness = LinksHarness()
    link = harness.connect("10.0.0.1:9")
    channel = harness.links.open_attempt("e", harness.mailbox, shape=SHAPE)
    answer = kind(attempt=channel.attempt)
    harness.tell(link, TokenBatch(items=[answer]) if kind is Tokens else answer)
    assert link.is_open
    assert harness.delivered(kind)
