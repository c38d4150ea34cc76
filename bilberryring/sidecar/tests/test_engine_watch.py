"""The watch over an engine: fencing, pauses, restarts and unowned requests."""

import io

import pytest
from twisted.internet.task import Clock

from bilberryring.adapters import EngineError, HeldRequest, HeldResponse
from bilberryring.sidecar.engine_watch import (
    MAX_POLL_AGE_SECONDS,
    POLL_SECONDS,
    EngineWatch,
    holder_name,
)
from bilberryring.telemetry import EventLog


class FakeEngine:
    """Answers at once, or raises an error when it is down."""

    def __init__(self):
        self.incarnation = "engine-1"
        self.highest_fence = 0
        self.requests: list[HeldRequest] = []
        self.cancelled: list[str] = []
        self.is_up = True

    async def held(self) -> HeldResponse:
        if not self.is_up:
            raise EngineError("engine_unreachable")
        return HeldResponse(
            incarnation=self.incarnation,
            kv_used=0,
            kv_tokens=1_000,
            highest_fence=self.highest_fence,
            requests=tuple(self.requests),
        )

    async def cancel(self, request) -> None:
        self.cancelled.append(request.request)


class Watched:
    """A watch on a test clock, and a record of its callbacks."""

    def __init__(self):
        self.clock = Clock()
        self.engine = FakeEngine()
        self.owned: set[str] = set()
        self.calls: list[str] = []
        self.watch = EngineWatch(
            reactor=self.clock,
            engine=self.engine,
            log=EventLog(process="p", role="sidecar", stream=io.StringIO()),
            incarnation="sidecar-1",
            owned_requests=lambda: frozenset(self.owned),
            on_restart=lambda: self.calls.append("restart"),
            on_silent=lambda: self.calls.append("silent"),
            on_lost=lambda: self.calls.append("lost"),
            on_still_lost=lambda: self.calls.append("still lost"),
            on_poll=lambda: self.calls.append("poll"),
        )

    def hold(self, name: str, holder: str) -> None:
        self.engine.requests.append(
            HeldRequest(request=name, holder=holder, kv_tokens=10)
        )


def test_no_requests_before_the_first_poll():
    watched = Watched()
    assert not watched.watch.can_send_requests
    watched.watch.start()
    assert watched.watch.can_send_requests


def test_no_requests_after_a_pause_of_the_process_until_a_new_poll():
    watched = Watched()
    watched.watch.start()
    watched.clock.rightNow += MAX_POLL_AGE_SECONDS + 1.0
    assert not watched.watch.can_send_requests
    watched.clock.advance(POLL_SECONDS)
    assert watched.watch.can_send_requests


def test_a_higher_fence_in_the_engine_supersedes_the_sidecar():
    watched = Watched()
    watched.watch.start()
    watched.engine.highest_fence = watched.watch.fence + 1
    watched.hold("other/1", holder_name(watched.watch.fence + 1, "sidecar-2"))
    watched.clock.advance(POLL_SECONDS)
    assert watched.watch.is_superseded and not watched.watch.can_send_requests
    assert watched.engine.cancelled == []


def test_a_higher_fence_in_a_holder_supersedes_when_the_engine_ignores_fencing():
    watched = Watched()
    watched.watch.start()
    watched.hold("other/1", holder_name(watched.watch.fence + 5, "sidecar-2"))
    watched.clock.advance(POLL_SECONDS)
    assert watched.watch.is_superseded
    assert watched.engine.cancelled == []


def test_the_first_fence_is_above_the_highest_that_the_engine_has_seen():
    watched = Watched()
    watched.engine.highest_fence = 2**60
    watched.watch.start()
    assert watched.watch.fence == 2**60 + 1


def test_only_requests_without_an_owner_are_cancelled():
    watched = Watched()
    watched.owned = {"mine/1"}
    watched.hold("mine/1", "5-sidecar-1")
    watched.hold("dead/7", "4-sidecar-0")
    watched.watch.start()
    assert watched.engine.cancelled == ["dead/7"]


def test_a_restart_and_a_loss_are_each_reported_once():
    watched = Watched()
    watched.watch.start()
    watched.engine.incarnation = "engine-2"
    watched.clock.advance(POLL_SECONDS)
    assert watched.calls.count("restart") == 1
    watched.engine.is_up = False
    watched.clock.pump([POLL_SECONDS] * 5)
    assert watched.watch.is_lost and not watched.watch.can_send_requests
    assert watched.calls.count("lost") == 1
    assert watched.calls.count("still lost") == 3


def test_no_requests_after_a_broken_answer_until_a_new_poll():
    watched = Watched()
    watched.watch.start()
    watched.engine.is_up = False
    watched.clock.advance(0.1)
    watched.watch.require_new_poll()
    assert not watched.watch.can_send_requests
    watched.engine.is_up = True
    watched.clock.advance(POLL_SECONDS)
    assert watched.watch.can_send_requests


@pytest.mark.parametrize(
    "holder",
    [
        "",
        "-",
        "9" * 400 + "-a",
        "9" * 5_000 + "-a",
        "\u00b2-a",
        "\u0661-a",
        "-1-a",
        "x",
    ],
    ids=lambda holder: repr(holder[:9]),
)
def test_an_odd_holder_in_the_engine_keeps_no_sidecar_from_sending(holder):
    watched = Watched()
    odd = HeldRequest(request="r", holder=holder, kv_tokens=5)
    watched.engine.requests = [odd]
    watched.watch.start()
    watched.clock.advance(POLL_SECONDS)
    assert watched.watch.can_send_requests
    assert 0 < watched.watch.fence < 2**62
    assert watched.watch.holder
    assert "r" in watched.engine.cancelled
