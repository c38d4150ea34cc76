"""The choice of the connections that give way when a process runs short.

A client that makes progress has no lag and is never chosen for its memory. Among the
others the one goes first that has wasted the most: its lag times the bytes it holds.
Where one address holds more than half, its connections go before those of others.
"""

from collections.abc import Iterable

from bilberryring.budget.accounts import Account, MemoryBudget

MIN_LAG_SECONDS = 1.0
"""Lag from which a connection may give way. A client within the published limits that
pauses for a shorter time, as after a lost packet, keeps its connection."""
FIRST_REQUEST_SECONDS = 0.25
"""Time in which a new connection is expected to send a request."""
MIN_UNREAD_LAG_SECONDS = 0.5
"""The same while more is held than may be. What has been answered already cannot be
refused; a client that reads acknowledges some of it within this time."""


def choose_memory(
    budget: MemoryBudget,
    *,
    now: float,
    requester: Account | None = None,
    min_lag: float = MIN_LAG_SECONDS,
    is_unread_only: bool = False,
) -> Account | None:
    """Return the account whose memory is to be freed first, if there is one.

    `requester` is never chosen; with `is_unread_only` only clients are that have not
    read their responses.
    """
    candidates = [
        account
        for account in budget.accounts
        if account.is_evictable
        and account is not requester
        and (account.unread_bytes if is_unread_only else account.held_bytes)
        and account.lag(now=now) >= min_lag
    ]
    candidates = _of_address(candidates, budget.main_address())
    return max(
        candidates,
        key=lambda account: account.lag(now=now) * account.held_bytes,
        default=None,
    )


def choose_connection(
    budget: MemoryBudget, *, now: float, requester: Account | None = None
) -> Account | None:
    """Return the account whose connection is to be closed for a new one.

    Connections that sent no request in `FIRST_REQUEST_SECONDS` go first, then those
    that have been without progress for longest. One with a request in progress is never
    chosen.
    """
    candidates = [
        account
        for account in budget.accounts
        if account.is_evictable and account is not requester
    ]
    candidates = _of_address(candidates, budget.most_connected_address())
    return max(
        candidates,
        key=lambda account: (
            not account.has_served and account.lag(now=now) >= FIRST_REQUEST_SECONDS,
            account.lag(now=now),
        ),
        default=None,
    )


def _of_address(candidates: Iterable[Account], address: str | None) -> list[Account]:
    """Return those of an address if there are any, and all otherwise."""
    chosen = [account for account in candidates if account.address == address]
    return chosen or list(candidates)
