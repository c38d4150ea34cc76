"""The watch over an engine: fencing, pauses, restarts and what has no owner."""

import io

from twisted.internet.task import Clock

from bilberryring.adapters import EngineError, HeldAnswer, HeldRequest
from bilberryring.sidecar.engine_watch import (
    FRESH_SECONDS,
    LOOK_SECONDS,
    EngineWatch,
    holder_name,
)
from bilberryring.telemetry import EventLog


class FakeEngine:
    """Answers at once, or not at all."""

    def __init__(self):
        self.incarnation = "engine-1"
        self.highest_fence = 0
        self.requests: list[HeldRequest] = []
        self.cancelled: list[str] = []
        self.is_up = True

    async def held(self) -> HeldAnswer:
        if not self.is_up:
            raise EngineError("engine_unreachable")
        return HeldAnswer(
            incarnation=self.incarnation,
            kv_used=0,
            kv_tokens=1_000,
            highest_fence=self.highest_fence,
            requests=tuple(self.requests),
        )

    async def cancel(self, order) -> None:
        self.cancelled.append(order.request)


class Watched:
    """A watch on a test clock, and what it called."""

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
            owned=lambda: frozenset(self.owned),
            on_restart=lambda: self.calls.append("restart"),
            on_lost=lambda: self.calls.append("lost"),
            on_look=lambda: self.calls.append("look"),
        )

    def held(self, name: str, holder: str) -> None:
        self.engine.requests.append(
            HeldRequest(request=name, holder=holder, kv_tokens=10)
        )


def test_orders_are_given_only_after_a_look():
    watched = Watched()
    assert not watched.watch.may_order
    watched.watch.start()
    assert watched.watch.may_order


def test_after_a_pause_of_its_own_it_looks_before_it_orders():
    watched = Watched()
    watched.watch.start()
    watched.clock.rightNow += FRESH_SECONDS + 1.0
    assert not watched.watch.may_order
    watched.clock.advance(LOOK_SECONDS)
    assert watched.watch.may_order


def test_a_higher_fencing_number_makes_it_step_aside():
    watched = Watched()
    watched.watch.start()
    watched.engine.highest_fence = watched.watch.fence + 1
    watched.held("other/1", holder_name(watched.watch.fence + 1, "sidecar-2"))
    watched.clock.advance(LOOK_SECONDS)
    assert watched.watch.is_superseded and not watched.watch.may_order
    assert watched.engine.cancelled == []


def test_the_holder_tells_where_the_engine_ignores_fencing():
    watched = Watched()
    watched.watch.start()
    watched.held("other/1", holder_name(watched.watch.fence + 5, "sidecar-2"))
    watched.clock.advance(LOOK_SECONDS)
    assert watched.watch.is_superseded
    assert watched.engine.cancelled == []


def test_its_fencing_number_is_above_what_the_engine_saw():
    watched = Watched()
    watched.engine.highest_fence = 2**60
    watched.watch.start()
    assert watched.watch.fence == 2**60 + 1


def test_memory_without_an_owner_is_freed_and_owned_memory_is_not():
    watched = Watched()
    watched.owned = {"mine/1"}
    watched.held("mine/1", "5-sidecar-1")
    watched.held("dead/7", "4-sidecar-0")
    watched.watch.start()
    assert watched.engine.cancelled == ["dead/7"]


def test_a_restart_and_a_loss_are_told_once():
    watched = Watched()
    watched.watch.start()
    watched.engine.incarnation = "engine-2"
    watched.clock.advance(LOOK_SECONDS)
    assert watched.calls.count("restart") == 1
    watched.engine.is_up = False
    watched.clock.pump([LOOK_SECONDS] * 5)
    assert watched.watch.is_lost and not watched.watch.may_order
    assert watched.calls.count("lost") == 1


def test_after_a_break_only_a_new_look_is_trusted():
    watched = Watched()
    watched.watch.start()
    watched.engine.is_up = False
    watched.clock.advance(0.1)
    watched.watch.look_again()
    assert not watched.watch.may_order
    watched.engine.is_up = True
    watched.clock.advance(LOOK_SECONDS)
    assert watched.watch.may_order
