"""Metrics and log lines on what clients occupy, and who was refused for it."""

from bilberryring.http import Cause, ClientBudget
from bilberryring.process.allocator import FreePages
from bilberryring.telemetry import EventLog, LogEvent, Metrics

UPDATE_SECONDS = 0.25
"""Seconds between two updates."""
LOG_SECONDS = 1.0
"""Least time in seconds between two lines on refused clients."""


class ClientBudgetReport:
    """Reports on a budget each time it is updated."""

    def __init__(self, *, clock, budget: ClientBudget, metrics: Metrics, log: EventLog):
        self._clock = clock
        self._budget = budget
        self._log = log
        self._memory = metrics.gauge(
            name="client_memory_bytes",
            doc="Memory that client connections hold, and may hold",
        )
        self._connections = metrics.gauge(
            name="client_connections",
            doc="Open client connections, and the limit",
        )
        self._refusals = metrics.counter(
            name="client_refusals_total",
            doc="Requests refused and connections closed for lack of room, by cause",
        )
        machine_bytes = budget.limits.machine_bytes
        self._free_pages = FreePages(clock=clock, above_bytes=machine_bytes // 2)
        self._unlogged: dict[str, int] = {}
        self._logs_from = 0.0
        self._is_floor_logged = False

    def update(self) -> None:
        """Let the budget do its periodic work, and report on it."""
        miscounted = self._budget.update()
        self._free_pages.update()
        if miscounted:
            self._log.write(LogEvent.CLIENT_MEMORY_MISCOUNTED, bytes=miscounted)
        limits = self._budget.limits
        if limits.is_floor and not self._is_floor_logged:
            self._is_floor_logged = True
            self._log.write(LogEvent.CLIENT_MEMORY_AT_FLOOR, bytes=limits.memory_bytes)
        self._memory.set({"what": "held"}, self._budget.held_bytes)
        self._memory.set({"what": "limit"}, limits.memory_bytes)
        self._connections.set({"what": "open"}, self._budget.n_connections)
        self._connections.set({"what": "limit"}, limits.max_connections)
        self._count(self._budget.take_causes())

    def _count(self, causes: dict[Cause, int]) -> None:
        for cause, number in causes.items():
            self._refusals.add({"cause": cause.value}, number)
            unlogged = self._unlogged.get(cause.value, 0)
            self._unlogged[cause.value] = unlogged + number
        now = self._clock.seconds()
        if self._unlogged and now >= self._logs_from:
            self._logs_from = now + LOG_SECONDS
            counts, self._unlogged = self._unlogged, {}
            self._log.write(
                LogEvent.CLIENTS_REFUSED, held_bytes=self._budget.held_bytes, **counts
            )
