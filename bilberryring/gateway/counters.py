"""The counters of a gateway, served on its metrics address."""

from bilberryring.telemetry import Metrics


class GatewayCounters:
    """Counts what the gateway decided; a scrape reads it."""

    def __init__(self, *, metrics: Metrics):
        self._requests = metrics.counter(
            name="requests_total", doc="Requests by route and how they ended"
        )
        self._attempts = metrics.counter(
            name="attempts_total", doc="Attempts that failed, by reason"
        )
        self._totals = metrics.gauge(
            name="process_totals", doc="Calls, connections, reports, requests now"
        )

    def count_request(self, route: str, ending: str) -> None:
        """Count the end of a request: an HTTP status or an error's code."""
        self._requests.inc({"route": route, "ending": ending})

    def count_failed_attempt(self, reason: str) -> None:
        """Count an attempt without a whole answer."""
        self._attempts.inc({"reason": reason})

    def set_totals(self, **totals: int) -> None:
        """Set the totals since the start, and the requests in progress."""
        for name, value in totals.items():
            self._totals.set({"what": name}, value)
