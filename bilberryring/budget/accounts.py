"""Accounts of what each client connection holds, and the budget of all of them.

>>> budget = MemoryBudget(limit_bytes=1_000_000)
>>> account = budget.open(address="192.0.2.1", now=0.0)
>>> account.hold(900_000)
>>> budget.fits(200_000), budget.fits(100_000)
(False, True)
>>> account.close()
>>> budget.held_bytes
0
"""

from collections.abc import Iterator

SMALL_BYTES = 256 * 1024
"""Size up to which a request may use all of the budget."""
LARGE_SHARE = 0.875
"""Share of the budget that larger requests may use, so that small ones, which are most,
are still served while large bodies occupy the rest."""
PROGRESS_RATE = 16 * 1024
"""Bytes per second at which a client makes full progress. A body that needs the whole
60 s allowed for it comes at 70 KiB/s if it has the largest published size."""
ALONE_FACTOR = 2.0
"""How much larger than the limit a request may be that is served alone."""
ALONE_SHARE = 0.125
"""Share of the budget up to which others may hold memory beside such a request."""
UNREAD_SHARE = 0.5
"""Share of the budget for responses that callers have not read. Above it no further
response that is held whole is read from an endpoint."""


class Account:
    """What one connection holds, and when it last made progress.

    A client that sends or reads fewer than `PROGRESS_RATE` bytes per second falls
    behind: its lag grows with the time that the missing bytes would have taken.
    """

    __slots__ = (
        "_address",
        "_budget",
        "_held_bytes",
        "_progress_at",
        "_unread_bytes",
        "has_served",
        "is_evictable",
    )

    def __init__(self, *, budget: "MemoryBudget", address: str, now: float):
        self._budget: MemoryBudget | None = budget
        self._address = address
        self._held_bytes = 0
        self._unread_bytes = 0
        self._progress_at = now
        self.has_served = False
        self.is_evictable = True

    @property
    def address(self) -> str:
        """The address of the client."""
        return self._address

    @property
    def held_bytes(self) -> int:
        """The bytes that the connection holds."""
        return self._held_bytes

    @property
    def unread_bytes(self) -> int:
        """Those of the bytes that are responses which the client has not read."""
        return self._unread_bytes

    @property
    def is_open(self) -> bool:
        """Whether the account counts for its budget."""
        return self._budget is not None

    def lag(self, *, now: float) -> float:
        """Return by how many seconds the client is behind the expected rate."""
        return max(0.0, now - self._progress_at)

    def begin(self, *, now: float) -> None:
        """Expect progress from now on, as when a request begins."""
        self._progress_at = now

    def advance(self, n_bytes: int, *, now: float) -> None:
        """Record that the client has sent or read `n_bytes`."""
        self._progress_at = min(now, self._progress_at + n_bytes / PROGRESS_RATE)

    def acquire(self, n_bytes: int) -> None:
        """Hold `n_bytes` more."""
        self.hold(self._held_bytes + n_bytes)

    def release(self, n_bytes: int) -> None:
        """Hold `n_bytes` less."""
        self.hold(self._held_bytes - n_bytes)

    def hold(self, n_bytes: int) -> None:
        """Hold `n_bytes` in all; a closed account holds nothing."""
        change = n_bytes - self._held_bytes
        if change and self._budget is not None:
            self._held_bytes = n_bytes
            self._budget.count(self, change)

    def hold_unread(self, n_bytes: int) -> None:
        """State how many of the bytes are responses that the client has not read."""
        change = n_bytes - self._unread_bytes
        if change and self._budget is not None:
            self._unread_bytes = n_bytes
            self._budget.count_unread(change)

    def close(self) -> None:
        """Release all bytes, and count for the budget no longer."""
        if self._budget is not None:
            self.hold(0)
            self.hold_unread(0)
            self._budget.forget(self)
            self._budget = None


class MemoryBudget:
    """The bytes that all accounts may hold together."""

    def __init__(self, *, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self._held_bytes = 0
        self._unread_bytes = 0
        self._other_bytes = 0
        self._accounts: dict[Account, None] = {}
        self._held_by_address: dict[str, int] = {}
        self._open_by_address: dict[str, int] = {}

    @property
    def limit_bytes(self) -> int:
        """The bytes that all accounts may hold together."""
        return self._limit_bytes

    @property
    def held_bytes(self) -> int:
        """The bytes that all accounts hold."""
        return self._held_bytes

    @property
    def other_bytes(self) -> int:
        """The bytes that are held for clients and belong to no connection."""
        return self._other_bytes

    @property
    def n_open(self) -> int:
        """The number of open accounts."""
        return len(self._accounts)

    @property
    def accounts(self) -> Iterator[Account]:
        """The open accounts, the oldest first."""
        return iter(self._accounts)

    def open(self, *, address: str, now: float) -> Account:
        """Return a new account, which must be closed."""
        account = Account(budget=self, address=address, now=now)
        self._accounts[account] = None
        opened = self._open_by_address.get(address, 0)
        self._open_by_address[address] = opened + 1
        return account

    def fits(self, n_bytes: int) -> bool:
        """Whether a request may hold `n_bytes` more.

        One that is larger than all may be is served alone, as long as the memory of the
        machine allows it: the operators may have published a larger limit on bodies.
        """
        limit = self._limit_bytes
        held = self._held_bytes + self._other_bytes
        if n_bytes > SMALL_BYTES:
            limit *= LARGE_SHARE
            if n_bytes > limit:
                return n_bytes <= ALONE_FACTOR * limit and held <= limit * ALONE_SHARE
        return held + n_bytes <= limit

    @property
    def is_unread_too_much(self) -> bool:
        """Whether responses that nobody reads take more than their share."""
        return self._unread_bytes > self._limit_bytes * UNREAD_SHARE

    def hold_others(self, n_bytes: int) -> None:
        """Count memory that is held for clients and belongs to no connection."""
        self._other_bytes = n_bytes

    def main_address(self) -> str | None:
        """Return the address whose connections hold more than half, if there is one."""
        return _majority(self._held_by_address, self._held_bytes)

    def most_connected_address(self) -> str | None:
        """Return the address of more than half of the connections, if there is one."""
        return _majority(self._open_by_address, len(self._accounts))

    def count(self, account: Account, change: int) -> None:
        """Count a change of an account; called by the account."""
        self._held_bytes += change
        held = self._held_by_address.get(account.address, 0) + change
        if held:
            self._held_by_address[account.address] = held
        else:
            self._held_by_address.pop(account.address, None)

    def count_unread(self, change: int) -> None:
        """Count a change of an account; called by the account."""
        self._unread_bytes += change

    def forget(self, account: Account) -> None:
        """Forget an account; called by the account."""
        del self._accounts[account]
        left = self._open_by_address[account.address] - 1
        if left:
            self._open_by_address[account.address] = left
        else:
            del self._open_by_address[account.address]

    def correct(self) -> int:
        """Recompute the sums from the open accounts; return by how much one was off."""
        self._unread_bytes = sum(account.unread_bytes for account in self._accounts)
        held: dict[str, int] = {}
        for account in self._accounts:
            if account.held_bytes:
                address = account.address
                held[address] = held.get(address, 0) + account.held_bytes
        difference = self._held_bytes - sum(held.values())
        self._held_bytes -= difference
        self._held_by_address = held
        return difference


def _majority(counts: dict[str, int], total: int) -> str | None:
    """Return the key whose count is above half of the total.

    A single address has no others to be told apart from.
    """
    if len(counts) < 2:
        return None
    key = max(counts, key=counts.__getitem__)
    return key if 2 * counts[key] > total else None
