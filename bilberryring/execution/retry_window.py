"""The part of a service's retry budget that one entry may spend.

Operators bound the repeats of all entries in a sliding window: a share of the
requests plus a fixed number. Each entry takes its share of its own requests and
an even part of the fixed number, so the sum stays within the bound although no
entry knows what the others spend.

>>> window = RetryWindow(ratio=0.5, slack=4.0, seconds=10.0)
>>> [window.try_spend(now=0.0, entries=2) for _ in range(2)]
[True, False]
>>> for _ in range(4): window.record_request(now=1.0)
>>> window.try_spend(now=1.0, entries=2)
True
>>> window.try_spend(now=20.0, entries=2)
True
"""

from collections import deque

SAFE_SHARE = 0.8
"""Share of the bound that is used, since windows of the entries differ."""


class RetryWindow:
    """Repeats of one entry for one service; `seconds` is the window."""

    def __init__(self, *, ratio: float, slack: float, seconds: float):
        self._ratio = ratio
        self._slack = slack
        self._seconds = seconds
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def record_request(self, *, now: float) -> None:
        """Count a caller's request."""
        self._forget(now)
        self._requests.append(now)

    def try_spend(self, *, now: float, entries: int) -> bool:
        """Spend one repeat; `False` when the bound could be passed."""
        self._forget(now)
        bound = self._ratio * len(self._requests) + self._slack / max(1, entries)
        if len(self._repeats) + 1 > SAFE_SHARE * bound:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self._seconds:
                times.popleft()
