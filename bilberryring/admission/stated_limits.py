"""Limits on requests that endpoints state for all gateways together.

Each gateway starts requests on such an endpoint at fixed intervals, so that the sum
stays near the limit although no gateway knows what the others send. Only a few of the
gateways that use the endpoint share its limit, because even an interval of minutes
allows each of them one request at any moment. The others try it once in a while, which
also tells them when the limit has ended.

Nothing here does I/O or reads a clock; times are in seconds and passed in.

>>> limits = StatedLimits(seed=1)
>>> place = UserPlace(rank=0, users=2)
>>> limits.record_statement("a", 1.0, place=place, sent_at=0.0, now=0.0)
True
>>> limits.record_start("a", now=2.0)
>>> limits.may_start("a", now=3.9), limits.may_start("a", now=4.0)
(False, True)
>>> limits.record_statement("a", None, place=place, sent_at=4.0, now=4.1)
True
>>> limits.may_start("a", now=4.1)
True
"""

import random
from dataclasses import dataclass

MIN_STARTERS = 3
"""Gateways that share the limit of an endpoint, besides one for each request a second.
Each of them may start one request at the same moment. The operators allow half as many
requests again as the limit in 4 s, and five: with the trials of the others, the sum of
4 requests a second and this many remains below."""
TRIAL_SECONDS = 30.0
"""Shortest interval of the other gateways, and longest of those that share a limit."""
TRIAL_WINDOW_SECONDS = 2.0
"""Seconds within which a trial must start. One that is not used lapses, so that after a
quiet time not all gateways try at once."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UserPlace:
    """The rank of a gateway, from 0, among the `users` of an endpoint.

    All gateways must rank them in the same order.
    """

    rank: int
    users: int


@dataclass(slots=True, kw_only=True)
class _Limit:
    """`trial_interval` is set if this gateway does not share the limit."""

    per_second: float
    place: UserPlace | None
    stated_at: float
    next_start_at: float
    trial_interval: float | None = None

    @property
    def starters(self) -> int:
        return MIN_STARTERS + int(self.per_second)

    @property
    def is_shared(self) -> bool:
        """Whether this gateway is one of those that share the limit."""
        return (
            self.place is not None
            and self.place.rank < self.starters
            and self.per_second > 0.0
        )


class StatedLimits:
    """The limits of endpoints as one gateway heard them."""

    def __init__(self, *, seed: int | None = None):
        self._random = random.Random(seed)
        self._limits: dict[str, _Limit] = {}

    def is_limited(self, endpoint: str) -> bool:
        """Whether an endpoint states a limit."""
        return endpoint in self._limits

    def may_start(self, endpoint: str, *, now: float) -> bool:
        """Whether this gateway may start a request on an endpoint."""
        return self.seconds_until_start(endpoint, now=now) <= 0.0

    def seconds_until_start(self, endpoint: str, *, now: float) -> float:
        """Return how long this gateway must not start a request on an endpoint."""
        limit = self._limits.get(endpoint)
        if limit is None:
            return 0.0
        if limit.trial_interval is None or now < limit.next_start_at:
            return max(0.0, limit.next_start_at - now)
        into_interval = (now - limit.next_start_at) % limit.trial_interval
        if into_interval < TRIAL_WINDOW_SECONDS:
            return 0.0
        return limit.trial_interval - into_interval

    def record_start(self, endpoint: str, *, now: float) -> None:
        """Record that a request is started on an endpoint."""
        limit = self._limits.get(endpoint)
        if limit is not None:
            self._schedule(limit, now)

    def record_statement(
        self,
        endpoint: str,
        per_second: float | None,
        *,
        place: UserPlace | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Record what an answer says; `per_second` is `None` if it names no limit.

        `place` is `None` while the other gateways are not known. An answer ends the
        limit only if its request was sent, at `sent_at`, after the last answer that
        named one. Returns whether the limit is new, has changed or has ended.
        """
        limit = self._limits.get(endpoint)
        if per_second is None:
            if limit is None or sent_at <= limit.stated_at:
                return False
            del self._limits[endpoint]
            return True
        if limit is None:
            limit = _Limit(
                per_second=per_second, place=place, stated_at=now, next_start_at=now
            )
            self._limits[endpoint] = limit
            self._schedule(limit, now)
            # Gateways that hear of a limit together must not start together.
            wait = limit.next_start_at - now
            limit.next_start_at = now + self._random.random() * wait
            return True
        limit.stated_at = now
        if (limit.per_second, limit.place) == (per_second, place):
            return False
        has_changed = limit.per_second != per_second
        earlier = limit.next_start_at
        limit.per_second, limit.place = per_second, place
        self._schedule(limit, now)
        if limit.is_shared:
            limit.next_start_at = min(earlier, limit.next_start_at)
        return has_changed

    def forget(self, endpoint: str) -> None:
        """Remove the limit of an endpoint that is no longer announced."""
        self._limits.pop(endpoint, None)

    def _schedule(self, limit: _Limit, now: float) -> None:
        """Set when this gateway may start the next request on an endpoint."""
        if limit.is_shared:
            sharers = min(limit.place.users, limit.starters)
            interval = min(sharers / limit.per_second, TRIAL_SECONDS)
            limit.trial_interval = None
        else:
            interval = TRIAL_SECONDS * self._random.uniform(1.0, 2.0)
            limit.trial_interval = interval
        limit.next_start_at = now + interval
