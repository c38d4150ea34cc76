"""Actions that one thread runs when they are due.

>>> queue, done = ActionQueue(), []
>>> queue.call_later(0.0, lambda: done.append("now"))
>>> queue.call_later(60.0, lambda: done.append("later"))
>>> queue.run_due()
>>> done
['now']
"""

import heapq
import itertools
import time
from collections.abc import Callable


class ActionQueue:
    """Actions in the order of their times on the monotonic clock."""

    def __init__(self):
        self._actions: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def call_later(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action after some seconds."""
        at = time.monotonic() + seconds
        heapq.heappush(self._actions, (at, next(self._order), action))

    def run_due(self) -> None:
        """Run all actions that are due."""
        while self._actions and self._actions[0][0] <= time.monotonic():
            heapq.heappop(self._actions)[2]()
