"""Records of attempts that were cancelled before they arrived.

Such an attempt is refused when it arrives.
"""

from collections import OrderedDict

from bilberryring.admission import WorkKey

KEPT_SECONDS = 900.0
MAX_KEPT = 50_000


class Tombstones:
    """The keys of cancelled attempts, kept for `KEPT_SECONDS`, at most `MAX_KEPT`.

    When there are too many, the oldest is dropped. An attempt that
    arrives after its deadline is refused in any case, so its key is of no more use.

    >>> tombstones = Tombstones()
    >>> tombstones.add(WorkKey("e/1"), now=0.0)
    >>> [tombstones.contains(WorkKey(key), now=1.0) for key in ("e/1", "e/2")]
    [True, False]
    """

    def __init__(self):
        self._added: OrderedDict[WorkKey, float] = OrderedDict()

    def add(self, key: WorkKey, *, now: float) -> None:
        """Record an attempt as cancelled."""
        self._added[key] = now
        while len(self._added) > MAX_KEPT:
            self._added.popitem(last=False)

    def contains(self, key: WorkKey, *, now: float) -> bool:
        """Whether the attempt was cancelled in the last `KEPT_SECONDS`."""
        while self._added:
            oldest = next(iter(self._added.values()))
            if now - oldest <= KEPT_SECONDS:
                break
            self._added.popitem(last=False)
        return key in self._added
