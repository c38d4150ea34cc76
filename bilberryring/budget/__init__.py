"""The memory and the connections that clients may occupy in one process.

The package is pure: it opens no sockets, writes no logs and gets the time passed in.
"""

from bilberryring.budget.accounts import Account, MemoryBudget
from bilberryring.budget.eviction import (
    MIN_LAG_SECONDS,
    MIN_UNREAD_LAG_SECONDS,
    choose_connection,
    choose_memory,
)
from bilberryring.budget.limits import (
    DEFAULT_MEMORY_BYTES,
    PROCESS_BYTES,
    BudgetLimits,
    limits_of_machine,
)

__all__ = [
    "Account",
    "BudgetLimits",
    "DEFAULT_MEMORY_BYTES",
    "MIN_LAG_SECONDS",
    "MIN_UNREAD_LAG_SECONDS",
    "MemoryBudget",
    "PROCESS_BYTES",
    "choose_connection",
    "choose_memory",
    "limits_of_machine",
]
