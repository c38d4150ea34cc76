"""Stalls of this process, and the delay of links: what is not the endpoint's time."""

import math

TICK_SECONDS = 0.05
"""Seconds between two ticks, so that a stall of at least as long delays one."""
LATE_SECONDS = 0.04
"""Lateness of a tick from which the process counts as stalled. Samples of short prompts
are some 100 ms."""
LINK_RISE = 1.25
LINK_RISE_SECONDS = 0.001
"""Most by which the delay of a link rises with one connection: a single slow one may be
a lost packet."""
MAX_LINKS = 8_192
"""Endpoints whose delay is remembered; twice those of a large fleet."""


class StallRecord:
    """Notices from regular ticks when this process did not run.

    Timers run before sockets are read, so that a stall is known before what arrived in
    it is read.

    >>> stalls = StallRecord()
    >>> for now in (0.0, 0.05, 0.4):
    ...     stalls.tick(now=now)
    >>> stalls.has_stalled(since=0.1), stalls.has_stalled(since=0.5)
    (True, False)
    """

    __slots__ = ("_last_tick", "_stalled_at")

    def __init__(self):
        self._last_tick = math.inf
        self._stalled_at = -math.inf

    def tick(self, *, now: float) -> None:
        """Note the time; called every `TICK_SECONDS`."""
        if now - self._last_tick > TICK_SECONDS + LATE_SECONDS:
            self._stalled_at = now
        self._last_tick = now

    def has_stalled(self, *, since: float) -> bool:
        """Whether the process was stalled at any time since then."""
        return self._stalled_at >= since


class LinkDelays:
    """The round-trip times to endpoints, from how long their connections took to open.

    >>> links = LinkDelays()
    >>> links.record("a", 0.080), links.record("a", 0.300)
    (None, None)
    >>> round(links.seconds("a"), 3), links.seconds("b")
    (0.101, 0.0)
    """

    __slots__ = ("_seconds",)

    def __init__(self):
        self._seconds: dict[str, float] = {}

    def seconds(self, endpoint: str) -> float:
        """Return the round-trip time, 0 if it is not known."""
        return self._seconds.get(endpoint, 0.0)

    def record(self, endpoint: str, seconds: float) -> None:
        """Record how long a connection took to open."""
        known = self._seconds.get(endpoint)
        if known is not None:
            seconds = min(seconds, known * LINK_RISE + LINK_RISE_SECONDS)
        elif len(self._seconds) >= MAX_LINKS:
            return
        self._seconds[endpoint] = seconds

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that is no longer announced."""
        self._seconds.pop(endpoint, None)
