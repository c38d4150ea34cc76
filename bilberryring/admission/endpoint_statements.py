"""What endpoints say of themselves in their answers, and what that allows.

An endpoint may state a limit on its requests, ask one gateway for a time of rest, or
say that it leaves. Every sender of requests asks here whether an endpoint wants one:
when it is chosen, and again just before the request is written. A statement belongs to
one run of an endpoint, so a new start under the same id ends it.

Nothing here does I/O or reads a clock; times are in seconds and passed in.

>>> statements = EndpointStatements(seed=1)
>>> statements.record_answer(
...     "a/1", Statement(rest=3.0), place=None, sent_at=0.0, now=0.1)
(<StatementKind.REST: 'rest'>,)
>>> statements.standing("a/1", now=1.0), statements.standing("a/2", now=1.0)
(<StatedStanding.RESTING: 'resting'>, <StatedStanding.FREE: 'free'>)
>>> statements.wants_requests("a/1", now=3.1)
True
"""

import math
from dataclasses import dataclass
from enum import Enum

from bilberryring.admission.stated_limits import StatedLimits, UserPlace
from bilberryring.admission.stated_rests import StatedRests

LEAVING_MEMORY_SECONDS = 3_600.0
"""Seconds for which the leaving of a run is remembered, in case its announcement is
still there or comes back. Endpoints are gone after seconds or minutes."""


class StatementKind(Enum):
    """What an answer stated anew."""

    LIMIT = "limit"
    REST = "rest"
    LEAVING = "leaving"


class StatedStanding(Enum):
    """How an endpoint stands by its own statements."""

    FREE = "free"
    LIMITED = "limited"
    RETURNING = "returning"
    RESTING = "resting"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Statement:
    """What one answer says of its endpoint.

    `requests_per_second` is the limit for all gateways together, if there is one.
    `rest` is for how many seconds the endpoint wants nothing from this gateway.
    `is_success` is true for an answer with success, which ends an earlier limit.
    """

    requests_per_second: float | None = None
    rest: float | None = None
    is_leaving: bool = False
    is_success: bool = False

    @property
    def is_empty(self) -> bool:
        """Whether the answer states nothing."""
        return (
            self.requests_per_second is None
            and self.rest is None
            and not self.is_leaving
        )


class EndpointStatements:
    """The statements of endpoints as one gateway heard them, by run."""

    def __init__(self, *, seed: int | None = None):
        self._limits = StatedLimits(seed=seed)
        self._rests = StatedRests(seed=seed)
        self._leaving_at: dict[str, float] = {}

    def standing(self, run: str, *, now: float) -> StatedStanding:
        """Return how an endpoint stands by what it said."""
        if run in self._leaving_at:
            return StatedStanding.LEAVING
        if self._rests.is_resting(run, now=now):
            return StatedStanding.RESTING
        if self._rests.is_returning(run, now=now):
            return StatedStanding.RETURNING
        if self._limits.is_limited(run):
            return StatedStanding.LIMITED
        return StatedStanding.FREE

    def is_limited(self, run: str) -> bool:
        """Whether an endpoint states a limit."""
        return self._limits.is_limited(run)

    def wants_requests(self, run: str, *, now: float) -> bool:
        """Whether a request that was chosen for an endpoint may still be written.

        Its start is counted already, so only rest and leaving matter.
        """
        return run not in self._leaving_at and not self._rests.is_resting(run, now=now)

    def may_start(self, run: str, *, now: float) -> bool:
        """Whether this gateway may choose an endpoint for a request."""
        return self.seconds_until_start(run, now=now) <= 0.0

    def seconds_until_start(self, run: str, *, now: float) -> float:
        """Return how long this gateway must not start a request on an endpoint.

        Returns infinity for an endpoint that leaves.
        """
        if run in self._leaving_at:
            return math.inf
        rest = self._rests.seconds_until_start(run, now=now)
        # A start that the limit allows may lapse during the rest.
        return rest + self._limits.seconds_until_start(run, now=now + rest)

    def stated_seconds_ago(self, run: str, *, now: float) -> float | None:
        """Return the age of what bars an endpoint: that it leaves, or else rests."""
        leaving_at = self._leaving_at.get(run)
        if leaving_at is not None:
            return now - leaving_at
        return self._rests.stated_seconds_ago(run, now=now)

    def record_start(self, run: str, *, now: float) -> None:
        """Record that a request is started on an endpoint."""
        self._limits.record_start(run, now=now)
        self._rests.record_start(run, now=now)

    def record_answer(
        self,
        run: str,
        statement: Statement,
        *,
        place: UserPlace | None,
        sent_at: float,
        now: float,
    ) -> tuple[StatementKind, ...]:
        """Record what an answer says; return the kinds of what is new in it.

        `place` is this gateway's place among those that use the endpoint, if known.
        The request was sent at `sent_at`.
        """
        changes = []
        limit = statement.requests_per_second
        if (limit is not None or statement.is_success) and (
            self._limits.record_statement(
                run, limit, place=place, sent_at=sent_at, now=now
            )
        ):
            changes.append(StatementKind.LIMIT)
        if statement.rest and self._rests.record_rest(
            run, statement.rest, users=place and place.users, now=now
        ):
            changes.append(StatementKind.REST)
        if statement.is_leaving:
            if run not in self._leaving_at:
                changes.append(StatementKind.LEAVING)
            self._leaving_at.setdefault(run, now)
        return tuple(changes)

    def forget_limit(self, run: str) -> None:
        """Remove the limit of a run that is no longer announced.

        That it rests or leaves is kept, since its announcement may come back.
        """
        self._limits.forget(run)

    def expire(self, *, now: float) -> None:
        """Drop what no longer matters; called regularly."""
        self._rests.expire(now=now)
        self._leaving_at = {
            run: at
            for run, at in self._leaving_at.items()
            if now - at < LEAVING_MEMORY_SECONDS
        }
