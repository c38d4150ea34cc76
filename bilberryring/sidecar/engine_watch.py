"""The watch over an engine: its incarnation, what it holds, and who orders it.

The sidecar gives an order only while its last look at the engine is fresh.
After a pause of its own it looks again first, and steps aside when another
sidecar has given orders with a higher fencing number meanwhile.
"""

import time
from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from bilberryring.adapters import CancelOrder, EngineClient, EngineError, HeldAnswer
from bilberryring.telemetry import EventLog, LogEvent

LOOK_SECONDS = 0.5
FRESH_SECONDS = 1.6
MISSES_UNTIL_LOST = 2
HOLDER_SEPARATOR = "-"


def holder_name(fence: int, incarnation: str) -> str:
    """Return the holder that orders name; it carries the fencing number.

    >>> fence_of_holder(holder_name(12, "ab"))
    12
    """
    return f"{fence}{HOLDER_SEPARATOR}{incarnation}"


def fence_of_holder(holder: str) -> int:
    """Return the fencing number in a holder, or 0."""
    digits = holder.split(HOLDER_SEPARATOR)[0]
    return int(digits) if digits.isdigit() else 0


class EngineWatch:
    """Looks at the engine at intervals and frees what has no owner."""

    def __init__(
        self,
        *,
        reactor,
        engine: EngineClient,
        log: EventLog,
        incarnation: str,
        owned: Callable[[], frozenset[str]],
        on_restart: Callable[[], None],
        on_lost: Callable[[], None],
        on_look: Callable[[], None],
    ):
        self._reactor = reactor
        self._engine = engine
        self._log = log
        self._incarnation = incarnation
        self._owned = owned
        self._on_restart = on_restart
        self._on_lost = on_lost
        self._on_look = on_look
        self._engine_incarnation = ""
        self._last_look = -FRESH_SECONDS
        self._trusted_from = 0.0
        self._misses = 0
        self._is_looking = False
        self._fence = 0
        self._is_superseded = False
        self._loop = LoopingCall(self._look_soon)
        self._loop.clock = reactor

    @property
    def fence(self) -> int:
        """The fencing number of this sidecar's orders."""
        return self._fence

    @property
    def holder(self) -> str:
        """The holder that this sidecar's orders name."""
        return holder_name(self._fence, self._incarnation)

    @property
    def engine_incarnation(self) -> str:
        """The engine's incarnation at the last look."""
        return self._engine_incarnation

    @property
    def is_superseded(self) -> bool:
        """Whether another sidecar has taken over the engine."""
        return self._is_superseded

    @property
    def is_lost(self) -> bool:
        """Whether the engine does not answer."""
        return self._misses >= MISSES_UNTIL_LOST or not self._engine_incarnation

    @property
    def may_order(self) -> bool:
        """Whether an order may be given now."""
        age = self._reactor.seconds() - self._last_look
        is_fresh = age <= FRESH_SECONDS and self._last_look >= self._trusted_from
        return is_fresh and not self._is_superseded and not self.is_lost

    def start(self) -> None:
        """Begin to look."""
        self._loop.start(LOOK_SECONDS)

    def stop(self) -> None:
        """Cease to look."""
        if self._loop.running:
            self._loop.stop()

    def look_again(self) -> None:
        """Give no order until a look that begins from now on has succeeded."""
        self._trusted_from = self._reactor.seconds()
        self._look_soon()

    def _look_soon(self) -> None:
        if not self._is_looking:
            self._is_looking = True
            Deferred.fromCoroutine(self._look())

    async def _look(self) -> None:
        asked_at = self._reactor.seconds()
        owned_before = self._owned()
        try:
            held = await self._engine.held()
        except EngineError as error:
            self._misses += 1
            if self._misses == MISSES_UNTIL_LOST:
                self._log.write(LogEvent.ENGINE_LOST, detail=str(error))
                self._on_lost()
            return
        finally:
            self._is_looking = False
        self._misses = 0
        self._take_fence(held)
        self._take_incarnation(held)
        self._last_look = asked_at
        if not self._is_superseded:
            await self._free_orphans(held, owned_before)
        self._on_look()

    def _take_fence(self, held: HeldAnswer) -> None:
        fences = [fence_of_holder(item.holder) for item in held.requests]
        highest = max((held.highest_fence, *fences))
        if self._fence == 0:
            milliseconds = int(time.time() * 1000)
            self._fence = max(milliseconds, highest + 1)
        elif highest > self._fence:
            self._is_superseded = True

    def _take_incarnation(self, held: HeldAnswer) -> None:
        if held.incarnation == self._engine_incarnation:
            return
        is_first = not self._engine_incarnation
        self._engine_incarnation = held.incarnation
        if is_first:
            self._log.write(LogEvent.ENGINE_FOUND, engine=held.incarnation)
            return
        self._log.write(LogEvent.ENGINE_RESTARTED, engine=held.incarnation)
        self._on_restart()

    async def _free_orphans(
        self, held: HeldAnswer, owned_before: frozenset[str]
    ) -> None:
        owned = owned_before | self._owned()
        for item in held.requests:
            if item.request in owned:
                continue
            self._log.write(
                LogEvent.MEMORY_FREED, work=item.request, kv_tokens=item.kv_tokens
            )
            try:
                await self._engine.cancel(
                    CancelOrder(request=item.request, fence=self._fence)
                )
            except EngineError:
                return
