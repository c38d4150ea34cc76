"""Times of rest for which endpoints ask one gateway.

When a rest is over, the gateway returns with one request, and with more soon after. The
gateways that use an endpoint return one after the other, since all of them may have
been asked at the same moment.

Nothing here does I/O or reads a clock; times are in seconds and passed in.

>>> rests = StatedRests(seed=1)
>>> rests.record_rest("a", 3.0, users=4, now=0.0)
True
>>> rests.seconds_until_start("a", now=1.0) >= 2.0
True
>>> rests.record_rest("a", 1.0, users=4, now=0.5)  # A shorter rest ends no longer one.
False
>>> rests.is_resting("a", now=2.9), rests.is_resting("a", now=3.2)
(True, False)
"""

import random
from dataclasses import dataclass

MAX_REST_SECONDS = 300.0
"""Longest rest in seconds. An endpoint that asks for more is tried again after that, so
that a faulty statement does not end its use."""
RETURN_INTERVAL_SECONDS = 0.02
"""Mean time in seconds between the returns of two gateways to one endpoint."""
ASSUMED_USERS = 12
"""Gateways that are assumed to use an endpoint while they are not known."""
DOUBLING_SECONDS = 0.1
"""Seconds after which a gateway that has returned may have started twice as many
requests."""
FULL_STARTS = 16
"""Starts after which the return is complete."""


@dataclass(slots=True, kw_only=True)
class _Rest:
    """`first_start_at` is when the gateway returned, if it has."""

    stated_at: float
    until: float
    returns_at: float
    first_start_at: float | None = None
    n_starts: int = 0

    def allowed_starts(self, now: float) -> int:
        """Return how many requests may have been started since the return."""
        if self.first_start_at is None:
            return 1
        return 2 ** int((now - self.first_start_at) / DOUBLING_SECONDS)

    def is_over(self, now: float) -> bool:
        """Whether the return is complete."""
        return (
            self.first_start_at is not None and self.allowed_starts(now) >= FULL_STARTS
        )

    def seconds_until_start(self, now: float) -> float:
        """Return how long no request may be started."""
        if now < self.returns_at:
            return self.returns_at - now
        if self.n_starts < self.allowed_starts(now):
            return 0.0
        n_doublings = self.n_starts.bit_length()
        return self.first_start_at + n_doublings * DOUBLING_SECONDS - now


class StatedRests:
    """The times of rest that endpoints asked of one gateway."""

    def __init__(self, *, seed: int | None = None):
        self._random = random.Random(seed)
        self._rests: dict[str, _Rest] = {}

    def is_resting(self, endpoint: str, *, now: float) -> bool:
        """Whether an endpoint wants nothing from this gateway now."""
        rest = self._rests.get(endpoint)
        return rest is not None and now < rest.until

    def is_returning(self, endpoint: str, *, now: float) -> bool:
        """Whether the rest is over and this gateway holds requests back still."""
        rest = self._rests.get(endpoint)
        return rest is not None and now >= rest.until and not rest.is_over(now)

    def seconds_until_start(self, endpoint: str, *, now: float) -> float:
        """Return how long this gateway must not start a request on an endpoint."""
        rest = self._rests.get(endpoint)
        if rest is None or rest.is_over(now):
            return 0.0
        return rest.seconds_until_start(now)

    def stated_seconds_ago(self, endpoint: str, *, now: float) -> float | None:
        """Return how long ago an endpoint asked for its rest, if it has."""
        rest = self._rests.get(endpoint)
        return None if rest is None else now - rest.stated_at

    def record_rest(
        self, endpoint: str, seconds: float, *, users: int | None, now: float
    ) -> bool:
        """Record that an endpoint asks for rest; return whether it lasts longer now.

        `users` is the number of gateways that use the endpoint, if known.
        """
        until = now + min(seconds, MAX_REST_SECONDS)
        known = self._rests.get(endpoint)
        if known is not None and until <= known.until:
            return False
        spread = RETURN_INTERVAL_SECONDS * (users or ASSUMED_USERS)
        self._rests[endpoint] = _Rest(
            stated_at=now,
            until=until,
            returns_at=until + self._random.uniform(0.0, spread),
        )
        return True

    def record_start(self, endpoint: str, *, now: float) -> None:
        """Record that a request is started on an endpoint."""
        rest = self._rests.get(endpoint)
        if rest is None or now < rest.until:
            return
        if rest.first_start_at is None:
            rest.first_start_at = now
        rest.n_starts += 1

    def expire(self, *, now: float) -> None:
        """Drop the rests from which this gateway has returned, or never will."""
        self._rests = {
            endpoint: rest
            for endpoint, rest in self._rests.items()
            if not rest.is_over(now) and now < rest.until + MAX_REST_SECONDS
        }
