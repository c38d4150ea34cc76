"""What operators see of the learned speed of endpoints: log events and metrics."""

from bilberryring.capacity import EndpointSpeeds
from bilberryring.fleet import FleetState
from bilberryring.telemetry import EventLog, LogEvent, Metrics

REPORT_SECONDS = 1.0
"""Seconds between two updates of the metrics."""
MAX_LINES = 8
"""Most log lines of one update; others follow in later ones, if they still hold."""


class CapacityReport:
    """Logs and exports learned speeds; `update` is called by the housekeeping."""

    def __init__(
        self,
        *,
        clock,
        speeds: EndpointSpeeds,
        fleet: FleetState,
        metrics: Metrics,
        log: EventLog,
    ):
        self._clock = clock
        self._speeds = speeds
        self._fleet = fleet
        self._log = log
        self._gauge = metrics.gauge(
            name="endpoint_slowdown",
            doc="Estimated time of endpoints as a multiple of the predicted one",
        )
        self._updated_at = 0.0
        self._slow_services: set[str] = set()

    def update(self) -> None:
        """Drop old estimates, and log and export what has changed."""
        now = self._clock.seconds()
        self._speeds.expire(now=now)
        if now - self._updated_at < REPORT_SECONDS:
            return
        self._updated_at = now
        for change in self._speeds.take_changes(now=now, most=MAX_LINES):
            self._log.write(
                LogEvent.ENDPOINT_SPEED_CHANGED,
                endpoint=change.endpoint,
                slowdown=round(change.slowdown, 2),
                was_step=change.was_step,
                step=change.step,
                limit=change.limit,
            )
        self._set_gauges(now)

    def _set_gauges(self, now: float) -> None:
        """Export the slowest and the median endpoint of each service with a slow one.

        A service without any is exported once more when its last one has recovered.
        """
        known = self._fleet.endpoints
        slow = {
            endpoint.service
            for name in self._speeds.notable
            if (endpoint := known.get(name)) is not None
        }
        for service in slow | self._slow_services:
            slowdowns = sorted(
                self._speeds.slowdown(endpoint.id, now=now)
                for endpoint in known.usable(service)
            ) or [1.0]
            median = slowdowns[(len(slowdowns) - 1) // 2]
            for what, value in (("slowest", slowdowns[-1]), ("median", median)):
                labels = {"service": service, "what": what}
                self._gauge.set(labels, round(value, 2))
        self._slow_services = slow
