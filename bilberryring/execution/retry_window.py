"""The part of a service's retry limit that one entry may use.

Operators limit the retries of all entries together in a sliding window: to a share of
the requests plus a fixed number. Each entry may retry that share of its own requests,
plus an equal part of the fixed number. The sum thus stays within the limit although no
entry knows the retries of the others.

>>> window = RetryWindow(ratio=0.5, slack=4.0, window_seconds=10.0)
>>> [window.try_spend(now=0.0, entries=2) for _ in range(2)]
[True, False]
>>> for _ in range(4): window.record_request(now=1.0)
>>> window.try_spend(now=1.0, entries=2)
True
>>> window.try_spend(now=20.0, entries=2)
True
"""

from collections import deque

SAFETY_FACTOR = 0.8
"""Share of the limit that entries use, as their windows differ."""


class RetryWindow:
    """Counts the retries of one entry to one service in a sliding window.

    `ratio` is the share of the requests that may be retried, `slack` the fixed number
    for all entries, and `window_seconds` the length of the window.
    """

    def __init__(self, *, ratio: float, slack: float, window_seconds: float):
        self._ratio = ratio
        self._slack = slack
        self._window_seconds = window_seconds
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, *, now: float) -> None:
        """Count a request of a caller; `now` is in seconds."""
        self._drop_expired(now)
        self._requests.append(now)

    def try_spend(self, *, now: float, entries: int) -> bool:
        """Count one retry, or return `False` if it could exceed the limit."""
        if not self.can_spend(now=now, entries=entries):
            return False
        self._retries.append(now)
        return True

    def can_spend(self, *, now: float, entries: int, share: float = 1.0) -> bool:
        """Whether one more retry is within `share` of the limit; it is not counted."""
        self._drop_expired(now)
        limit = self._ratio * len(self._requests) + self._slack / max(1, entries)
        return len(self._retries) + 1 <= share * SAFETY_FACTOR * limit

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_seconds:
                times.popleft()
