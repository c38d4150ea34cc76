"""The attempts of one request that run at the same time.

An attempt whose endpoint falls silent goes on until another one answers, as a silent
endpoint may be sound. The first attempt with an answer for the caller ends the others.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from twisted.internet.defer import CancelledError, Deferred, DeferredQueue
from twisted.internet.interfaces import IDelayedCall

from bilberryring.gateway.request_context import Attempt


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptSilent:
    """An endpoint has sent nothing for longer than expected."""

    attempt: Attempt


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptEnded:
    """An attempt has ended; without `error` the caller has the answer."""

    attempt: Attempt
    error: Exception | None


@dataclass(frozen=True, slots=True, kw_only=True)
class StopEnded:
    """The process exits: the request is to be answered now."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfirmationOverdue:
    """The caller has waited long enough for the end of a stream to be confirmed."""


AttemptEvent = AttemptSilent | AttemptEnded | StopEnded | ConfirmationOverdue


class RunningAttempts:
    """Owns the tasks of a request's attempts, which report to the request's task.

    `run` makes one attempt. `on_superseded` is called with each attempt that ends
    because another one has answered, and `on_fault` with an exception of a task that
    nothing waits for any more.
    """

    def __init__(
        self,
        *,
        run: Callable[[Attempt], Awaitable[None]],
        on_superseded: Callable[[Attempt], None],
        on_fault: Callable[[Exception], None],
    ):
        self._run = run
        self._on_superseded = on_superseded
        self._on_fault = on_fault
        self._tasks: dict[Attempt, Deferred] = {}
        self._events = DeferredQueue()
        self._confirmation_timer: IDelayedCall | None = None

    def __len__(self) -> int:
        return len(self._tasks)

    def __contains__(self, attempt: Attempt) -> bool:
        return attempt in self._tasks

    @property
    def are_over(self) -> bool:
        """Whether no attempt runs and the end of each has been read."""
        return not self._tasks and not self._has_unread_end

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt that still runs has sent the request."""
        return any(attempt.number for attempt in self._tasks)

    @property
    def n_unsent(self) -> int:
        """The number of attempts that have not sent the request."""
        return sum(not attempt.number for attempt in self._tasks)

    @property
    def are_all_silent(self) -> bool:
        """Whether no endpoint sends anything."""
        return all(attempt.is_silent for attempt in self._tasks)

    @property
    def _has_unread_end(self) -> bool:
        return any(isinstance(event, AttemptEnded) for event in self._events.pending)

    def start(self, attempt: Attempt) -> None:
        """Start the task of an attempt."""
        task = Deferred.fromCoroutine(self._run(attempt))
        self._tasks[attempt] = task
        task.addCallbacks(
            lambda _: self._end(attempt, None),
            lambda failure: self._end(attempt, failure.value),
        )

    async def next_event(self) -> AttemptEvent:
        """Return the next event of an attempt that still runs, or has just ended."""
        while True:
            match await self._events.get():
                case AttemptSilent(attempt=attempt) if attempt not in self._tasks:
                    continue
                case StopEnded() if self._has_unread_end:
                    # What has happened until now decides about the answer.
                    self._events.put(StopEnded())
                case event:
                    return event

    def report_silence(self, attempt: Attempt) -> None:
        """Tell the request's task that the endpoint of an attempt is silent."""
        self._events.put(AttemptSilent(attempt=attempt))

    def end_stop(self) -> None:
        """Tell the request's task to answer once it has read how attempts ended."""
        self._events.put(StopEnded())

    def end_confirmation_after(self, seconds: float, *, clock) -> None:
        """Tell the request's task later to wait no longer for a confirmation.

        Only the first call has an effect.
        """
        if self._confirmation_timer is None:
            self._confirmation_timer = clock.callLater(
                seconds, self._events.put, ConfirmationOverdue()
            )

    def claim(self, attempt: Attempt) -> None:
        """End all other attempts, as this one has an answer for the caller."""
        for other in tuple(self._tasks):
            if other is not attempt:
                self._cancel(other)
                self._on_superseded(other)

    def end_unsent(self, attempt: Attempt) -> None:
        """End the other attempts that have not sent the request, as this one does now.

        What they have reserved is released.
        """
        for other in tuple(self._tasks):
            if other is not attempt and not other.number:
                self._cancel(other)
                self._on_superseded(other)

    def cancel(self) -> None:
        """End all attempts, and the wait for a confirmation."""
        timer = self._confirmation_timer
        if timer is not None and timer.active():
            timer.cancel()
        for attempt in tuple(self._tasks):
            self._cancel(attempt)

    def _cancel(self, attempt: Attempt) -> None:
        self._tasks.pop(attempt).cancel()

    def _end(self, attempt: Attempt, error: Exception | None) -> None:
        if self._tasks.pop(attempt, None) is not None:
            self._events.put(AttemptEnded(attempt=attempt, error=error))
        elif error is not None and not isinstance(error, CancelledError):
            self._on_fault(error)
