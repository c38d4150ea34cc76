"""The metrics of a gateway that count requests and attempts."""

from bilberryring.telemetry import Metrics


class GatewayCounters:
    """Counts finished requests and failed attempts, and exports process totals."""

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
        """Count a finished request; `ending` is its HTTP status or error code."""
        self._requests.inc({"route": route, "ending": ending})

    def count_failed_attempt(self, reason: str) -> None:
        """Count an attempt that failed."""
        self._attempts.inc({"reason": reason})

    def set_totals(self, **totals: int) -> None:
        """Set the totals since the process started and the requests in progress."""
        for name, value in totals.items():
            self._totals.set({"what": name}, value)
