"""The watch over an engine: its incarnation, its requests, and its highest fence.

The sidecar sends requests only while its last successful poll of the engine is recent.
After its process was paused it polls again first, and sends no more requests if another
sidecar has meanwhile used a higher fencing number.
"""

import time
from collections.abc import Callable

from twisted.internet.task import LoopingCall

from bilberryring.adapters import (
    MAX_FENCE,
    CancelRequest,
    EngineClient,
    EngineError,
    EngineSilentError,
    HeldResponse,
)
from bilberryring.core import parse_whole_number
from bilberryring.process.loops import start_task
from bilberryring.telemetry import EventLog, LogEvent

POLL_SECONDS = 0.5
MAX_POLL_AGE_SECONDS = 1.6
FAILED_POLLS_UNTIL_LOST = 2
HOLDER_SEPARATOR = "-"


def holder_name(fence: int, incarnation: str) -> str:
    """Return the holder that a sidecar names in its requests.

    It contains the fencing number, for engines that do not check fences themselves.

    >>> fence_of_holder(holder_name(12, "ab"))
    12
    """
    return f"{fence}{HOLDER_SEPARATOR}{incarnation}"


def fence_of_holder(holder: str) -> int:
    """Return the fencing number in a holder's name, or 0 when it has none."""
    digits = holder.split(HOLDER_SEPARATOR)[0]
    return parse_whole_number(digits.encode(), most=MAX_FENCE) or 0


class EngineWatch:
    """Polls the engine at intervals and cancels requests that no attempt owns.

    `owned_requests` returns the requests that this sidecar has in the engine.
    `on_restart` is called when the engine's incarnation changed, and `on_poll` after
    each successful poll. `on_silent` is called when the engine stopped answering: it
    may be sound and go on with its requests. `on_lost` is called when it cannot be
    reached, or refuses or breaks off polls, and `on_still_lost` at each further such
    poll.
    """

    def __init__(
        self,
        *,
        reactor,
        engine: EngineClient,
        log: EventLog,
        incarnation: str,
        owned_requests: Callable[[], frozenset[str]],
        on_restart: Callable[[], None],
        on_silent: Callable[[], None],
        on_lost: Callable[[], None],
        on_still_lost: Callable[[], None],
        on_poll: Callable[[], None],
    ):
        self._reactor = reactor
        self._engine = engine
        self._log = log
        self._incarnation = incarnation
        self._owned_requests = owned_requests
        self._on_restart = on_restart
        self._on_silent = on_silent
        self._on_lost = on_lost
        self._on_still_lost = on_still_lost
        self._on_poll = on_poll
        self._engine_incarnation = ""
        self._last_poll = -MAX_POLL_AGE_SECONDS
        self._earliest_valid_poll = 0.0
        self._failed_polls = 0
        self._broken_polls = 0
        self._is_polling = False
        self._fence = 0
        self._is_superseded = False
        self._loop = LoopingCall(self._start_poll)
        self._loop.clock = reactor

    @property
    def fence(self) -> int:
        """The fencing number of this sidecar's requests; 0 before the first poll."""
        return self._fence

    @property
    def holder(self) -> str:
        """The holder named in this sidecar's requests."""
        return holder_name(self._fence, self._incarnation)

    @property
    def engine_incarnation(self) -> str:
        """The engine's incarnation at the last poll; empty before the first."""
        return self._engine_incarnation

    @property
    def is_superseded(self) -> bool:
        """Whether another sidecar has used a higher fencing number."""
        return self._is_superseded

    @property
    def is_lost(self) -> bool:
        """Whether the last polls failed, or none has succeeded yet."""
        return (
            self._failed_polls >= FAILED_POLLS_UNTIL_LOST
            or not self._engine_incarnation
        )

    @property
    def can_send_requests(self) -> bool:
        """Whether requests may be sent to the engine now."""
        age = self._reactor.seconds() - self._last_poll
        is_fresh = (
            age <= MAX_POLL_AGE_SECONDS and self._last_poll >= self._earliest_valid_poll
        )
        return is_fresh and not self._is_superseded and not self.is_lost

    def start(self) -> None:
        """Start polling."""
        self._loop.start(POLL_SECONDS)

    def stop(self) -> None:
        """Stop polling."""
        if self._loop.running:
            self._loop.stop()

    def require_new_poll(self) -> None:
        """Allow no requests until a poll that starts now or later has succeeded."""
        self._earliest_valid_poll = self._reactor.seconds()
        self._start_poll()

    def _start_poll(self) -> None:
        if not self._is_polling:
            self._is_polling = True
            start_task(self._poll(), log=self._log)

    async def _poll(self) -> None:
        """Ask the engine what it holds, and act on the answer.

        The poll dates from when it was sent, not from when it was answered.
        """
        poll_started_at = self._reactor.seconds()
        owned_before = self._owned_requests()
        try:
            held = await self._engine.held()
        except EngineError as error:
            self._record_failed_poll(error)
            return
        finally:
            self._is_polling = False
        self._failed_polls = self._broken_polls = 0
        self._update_fence(held)
        self._update_incarnation(held)
        self._last_poll = poll_started_at
        if not self._is_superseded:
            await self._cancel_orphans(held, owned_before)
        self._on_poll()

    def _record_failed_poll(self, error: EngineError) -> None:
        self._failed_polls += 1
        is_silent = isinstance(error, EngineSilentError)
        self._broken_polls = 0 if is_silent else self._broken_polls + 1
        if self._failed_polls == FAILED_POLLS_UNTIL_LOST:
            self._log.write(LogEvent.ENGINE_LOST, detail=str(error))
            self._on_silent()
        if self._broken_polls == FAILED_POLLS_UNTIL_LOST:
            self._on_lost()
        elif self._broken_polls > FAILED_POLLS_UNTIL_LOST:
            self._on_still_lost()

    def _update_fence(self, held: HeldResponse) -> None:
        """Choose the fence at the first poll; at later ones look for a higher one."""
        fences = [fence_of_holder(item.holder) for item in held.requests]
        highest = max((held.highest_fence, *fences))
        if self._fence == 0:
            milliseconds = int(time.time() * 1000)
            self._fence = max(milliseconds, highest + 1)
        elif highest > self._fence:
            self._is_superseded = True

    def _update_incarnation(self, held: HeldResponse) -> None:
        if held.incarnation == self._engine_incarnation:
            return
        is_first = not self._engine_incarnation
        self._engine_incarnation = held.incarnation
        if is_first:
            self._log.write(LogEvent.ENGINE_FOUND, engine=held.incarnation)
            return
        self._log.write(LogEvent.ENGINE_RESTARTED, engine=held.incarnation)
        self._on_restart()

    async def _cancel_orphans(
        self, held: HeldResponse, owned_before: frozenset[str]
    ) -> None:
        """Cancel the requests in the engine that no attempt owns.

        Those owned before the poll count as owned, as they may have ended since.
        """
        owned = owned_before | self._owned_requests()
        for item in held.requests:
            if item.request in owned:
                continue
            self._log.write(
                LogEvent.MEMORY_FREED, work=item.request, kv_tokens=item.kv_tokens
            )
            try:
                await self._engine.cancel(
                    CancelRequest(request=item.request, fence=self._fence)
                )
            except EngineError:
                return
