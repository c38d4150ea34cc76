"""Which gateways read the platform's store.

Each call to the store has a price, and each reader's watch is answered at each change.
So only a few gateways of each neighbourhood on the ring read; the others copy the
changes from them. Nothing is agreed on: each gateway decides from the last reports of
its live neighbours. When it hears of fewer readers than `READERS`, it reads itself. A
report shows only that packets pass in one direction: once a copy has failed, a
neighbour counts again after a copy from it has succeeded.

Nothing here does I/O.
"""

from collections.abc import Callable, Mapping
from enum import Enum

from bilberryring.routing import hash_order

READERS = 5
"""Readers among a gateway and its live neighbours, if as many can reach the store."""
FAILURE_MEMORY_SECONDS = 4.0
"""Seconds after a failed read for which a gateway leaves the reading to others."""
SETTLE_SECONDS = 0.6
"""Seconds after the start in which the first reports of peers arrive."""
SALT = "reader"
"""Tells the order of readers from the order on the ring."""


class StoreAccess(Enum):
    """What a gateway knows of its own access to the store."""

    UNUSED = 0
    """It has not read lately."""
    WORKING = 1
    """Its last read succeeded."""
    FAILING = 2
    """Its last read failed."""


def is_reader(
    *, own_host: str, own_access: StoreAccess, peers: Mapping[str, StoreAccess]
) -> bool:
    """Whether a gateway is to read, by the access of its live peers by host.

    The first `READERS` gateways in the order of their hashes read, also while their
    reads fail. For each one whose reads fail, the next one whose reads do not fail
    reads as well. The hashes differ from those on the ring, where the gateways in one
    neighbourhood have similar ones, so that each neighbourhood has readers.

    >>> peers = {f"h{number}": StoreAccess.WORKING for number in range(9)}
    >>> sum(is_reader(own_host=host, own_access=StoreAccess.WORKING, peers=peers)
    ...     for host in peers)
    5
    """
    everyone = {**peers, own_host: own_access}
    if own_host in hash_order(everyone, salt=SALT)[:READERS]:
        return True
    return own_host in _order_of_able(everyone)[:READERS]


def _order_of_able(everyone: Mapping[str, StoreAccess]) -> tuple[str, ...]:
    """Return the hosts whose reads do not fail, in the order in which they read."""
    able = [
        host for host, access in everyone.items() if access is not StoreAccess.FAILING
    ]
    return hash_order(able, salt=SALT)


class ReadingDuty:
    """Whether this gateway reads the store now.

    `peers` returns the access of each live peer that is relied on, by host. `clock` is
    the reactor.
    """

    def __init__(
        self,
        *,
        clock,
        own_host: str,
        is_alone: bool,
        peers: Callable[[], Mapping[str, StoreAccess]],
    ):
        self._clock = clock
        self._own_host = own_host
        self._peers = peers
        self._access = StoreAccess.UNUSED
        self._accessed_at = 0.0
        delay = 0.0 if is_alone else SETTLE_SECONDS
        self._settled_at = clock.seconds() + delay

    @property
    def access(self) -> StoreAccess:
        """This gateway's own access to the store."""
        age = self._clock.seconds() - self._accessed_at
        is_old = age > FAILURE_MEMORY_SECONDS
        if self._access is StoreAccess.FAILING and is_old:
            return StoreAccess.UNUSED
        return self._access

    @property
    def seconds_until_settled(self) -> float:
        """Seconds until the peers are known; until then each gateway reads."""
        return max(0.0, self._settled_at - self._clock.seconds())

    @property
    def is_due(self) -> bool:
        """Whether this gateway is to read now."""
        if self.seconds_until_settled:
            return True
        return is_reader(
            own_host=self._own_host, own_access=self.access, peers=self._peers()
        )

    @property
    def is_first(self) -> bool:
        """Whether this gateway is the first of those whose reads do not fail."""
        everyone = {**self._peers(), self._own_host: self.access}
        return _order_of_able(everyone)[:1] == (self._own_host,)

    def record(self, access: StoreAccess) -> None:
        """Record the outcome of a read, or that this gateway reads no more."""
        self._access = access
        self._accessed_at = self._clock.seconds()
