"""What the client connections of all listeners of a process may occupy together."""

import resource
from collections import Counter
from enum import Enum
from typing import Protocol

from bilberryring.budget import (
    MIN_UNREAD_LAG_SECONDS,
    Account,
    BudgetLimits,
    MemoryBudget,
    choose_connection,
    choose_memory,
    limits_of_machine,
)

SEARCH_SECONDS = 0.05
"""Seconds for which nothing is searched after no connection could give way. A search
looks at all connections, and a crowd would cause one with each request."""


class Cause(Enum):
    """Why a request was refused, or a connection closed."""

    MEMORY_SHORT = "memory_short"
    EVICTED = "evicted"
    TOO_MANY_CONNECTIONS = "too_many_connections"


class BudgetedConnection(Protocol):
    """A connection with an account."""

    def evict(self, cause: Cause) -> None:
        """Release what the connection holds; close the account if it is closed."""

    def update_output(self) -> None:
        """Count what the client has not read."""


class ClientBudget:
    """Opens accounts for connections, and ends those that have to give way."""

    def __init__(self, *, clock, limits: BudgetLimits):
        self._clock = clock
        self._limits = limits
        self._budget = MemoryBudget(limit_bytes=limits.memory_bytes)
        self._connections: dict[Account, BudgetedConnection] = {}
        self._n_requests = 0
        self._causes: Counter[Cause] = Counter()
        self._searches_from = 0.0

    @property
    def limits(self) -> BudgetLimits:
        """What all clients may occupy together."""
        return self._limits

    @property
    def held_bytes(self) -> int:
        """The bytes that are held for all clients."""
        return self._budget.held_bytes + self._budget.other_bytes

    @property
    def n_connections(self) -> int:
        """The number of open connections."""
        return self._budget.n_open

    def open(self, connection: BudgetedConnection, *, address: str) -> Account:
        """Return the account of a new connection."""
        account = self._budget.open(address=address, now=self._clock.seconds())
        self._connections[account] = connection
        return account

    def admit(self, account: Account) -> None:
        """Close a connection if a new one is too many: the new one if all are busy."""
        if self._budget.n_open > self._limits.max_connections:
            now = self._clock.seconds()
            victim = choose_connection(self._budget, now=now, requester=account)
            self._evict(victim or account, Cause.TOO_MANY_CONNECTIONS)

    def close(self, account: Account) -> None:
        """Forget a connection that was closed."""
        account.close()
        self._connections.pop(account, None)

    @property
    def is_unread_too_much(self) -> bool:
        """Whether responses that nobody reads take more than their share."""
        return self._budget.is_unread_too_much

    def hold_others(self, n_bytes: int) -> None:
        """Count memory that is held for clients and belongs to no connection."""
        self._budget.hold_others(n_bytes)

    def make_room(self, account: Account, n_bytes: int) -> bool:
        """Whether a connection may hold `n_bytes` more; others may give way for it."""
        if self._budget.fits(n_bytes):
            return True
        now = self._clock.seconds()
        if now >= self._searches_from:
            while victim := choose_memory(self._budget, now=now, requester=account):
                self._evict(victim, Cause.EVICTED)
                if self._budget.fits(n_bytes):
                    return True
            self._searches_from = now + SEARCH_SECONDS
        return False

    def make_room_for_request(self, account: Account, n_bytes: int) -> bool:
        """Whether a request may be handled; idle connections may give way for it.

        It needs `n_bytes`, and a descriptor for the connection to its endpoint.
        """
        if not self.make_room(account, n_bytes):
            return False
        n_sockets = self._budget.n_open + self._n_requests
        if n_sockets < self._limits.max_sockets:
            return True
        now = self._clock.seconds()
        victim = choose_connection(self._budget, now=now, requester=account)
        if victim is None:
            return False
        self._evict(victim, Cause.TOO_MANY_CONNECTIONS)
        return True

    def count_refusal(self) -> None:
        """Count a request that is refused, as there is no room for it."""
        self._causes[Cause.MEMORY_SHORT] += 1

    def begin_request(self) -> None:
        """Count a request that is handled."""
        self._n_requests += 1

    def end_request(self) -> None:
        """Count a request that is handled no longer."""
        self._n_requests -= 1

    def update(self) -> int:
        """Count unread output, free memory that is short, and audit the sum.

        Returns by how many bytes the sum was off, which is a fault of this program.
        """
        for connection in tuple(self._connections.values()):
            connection.update_output()
        while victim := self._choose_surplus():
            self._evict(victim, Cause.EVICTED)
        return self._budget.correct()

    def take_causes(self) -> dict[Cause, int]:
        """Return the refusals and closed connections by cause since the last call."""
        causes, self._causes = dict(self._causes), Counter()
        return causes

    def _choose_surplus(self) -> Account | None:
        """Return who gives way as more is held than may be, if somebody does."""
        is_unread_only = self._budget.is_unread_too_much
        if not is_unread_only and self._budget.fits(0):
            return None
        return choose_memory(
            self._budget,
            now=self._clock.seconds(),
            min_lag=MIN_UNREAD_LAG_SECONDS,
            is_unread_only=is_unread_only,
        )

    def _evict(self, account: Account, cause: Cause) -> None:
        self._causes[cause] += 1
        connection = self._connections.get(account)
        held = account.held_bytes
        if connection is not None:
            connection.evict(cause)
        if account.is_open and account.held_bytes >= held:
            # It must not be chosen for ever.
            self.close(account)


def make_client_budget(
    *,
    clock,
    largest_request_bytes: int,
    memory_bytes: int | None = None,
    max_descriptors: int | None = None,
    connects_to_endpoints: bool = True,
) -> ClientBudget:
    """Return the budget of a process on a machine; `None` stands for no setting.

    `connects_to_endpoints` is whether each request may need a connection of its own.
    """
    return ClientBudget(
        clock=clock,
        limits=limits_of_machine(
            memory_bytes=memory_bytes,
            max_descriptors=max_descriptors,
            largest_request_bytes=largest_request_bytes,
            connects_to_endpoints=connects_to_endpoints,
            available_descriptors=resource.getrlimit(resource.RLIMIT_NOFILE)[0],
        ),
    )
