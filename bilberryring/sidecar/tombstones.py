"""Attempts that were cancelled before they arrived; they are refused then."""

from collections import OrderedDict

from bilberryring.admission import WorkKey

KEPT_SECONDS = 900.0
MAX_KEPT = 50_000


class Tombstones:
    """Remembers cancelled attempts for longer than any deadline.

    >>> stones = Tombstones()
    >>> stones.add(WorkKey("e/1"), now=0.0)
    >>> stones.holds(WorkKey("e/1"), now=1.0), stones.holds(WorkKey("e/2"), now=1.0)
    (True, False)
    """

    def __init__(self):
        self._added: OrderedDict[WorkKey, float] = OrderedDict()

    def add(self, key: WorkKey, *, now: float) -> None:
        """Remember an attempt as cancelled."""
        self._added[key] = now
        while len(self._added) > MAX_KEPT:
            self._added.popitem(last=False)

    def holds(self, key: WorkKey, *, now: float) -> bool:
        """Whether the attempt was cancelled."""
        while self._added:
            oldest = next(iter(self._added.values()))
            if now - oldest <= KEPT_SECONDS:
                break
            self._added.popitem(last=False)
        return key in self._added
