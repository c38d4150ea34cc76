"""The metrics of a gateway that count requests and attempts."""

from bilberryring.core import Delivery
from bilberryring.telemetry import Metrics

CALLER_LEFT = "caller_left"
"""The ending of a request whose caller closed its connection before the answer."""


class GatewayCounters:
    """Counts requests and attempts, and exports process totals.

    `silent_attempts` is the number of attempts whose endpoint counted as silent, and
    `reread_tokens` the prompt tokens of attempts after one that may have been read,
    since the process started.
    """

    def __init__(self, *, metrics: Metrics):
        self._requests = metrics.counter(
            name="requests_total", doc="Requests by route and how they ended"
        )
        self._deliveries = metrics.counter(
            name="deliveries_total",
            doc="Requests by what their callers got, and whether these left",
        )
        self._attempts = metrics.counter(
            name="attempts_total", doc="Attempts that failed, by reason"
        )
        self._silent_attempts = metrics.counter(
            name="silent_attempts_total",
            doc="Attempts whose endpoint counted as silent, by route",
        )
        self._reread_tokens = metrics.counter(
            name="reread_prompt_tokens_total",
            doc="Prompt tokens that were sent to be read again, by route",
        )
        self.silent_attempts = 0
        self.reread_tokens = 0
        self._totals = metrics.gauge(
            name="process_totals", doc="Calls, connections, reports, requests now"
        )

    def count_request(self, route: str, ending: str, delivery: Delivery) -> None:
        """Count a request that ended.

        `ending` is its HTTP status, an error code, or `CALLER_LEFT`.
        """
        self._requests.inc({"route": route, "ending": ending})
        has_left = str(ending == CALLER_LEFT).lower()
        self._deliveries.inc({"delivered": delivery.value, "caller_left": has_left})

    def count_failed_attempt(self, reason: str) -> None:
        """Count an attempt that failed."""
        self._attempts.inc({"reason": reason})

    def count_silent_attempt(self, route: str) -> None:
        """Count an attempt whose endpoint counts as silent."""
        self._silent_attempts.inc({"route": route})
        self.silent_attempts += 1

    def count_reread(self, route: str, tokens: int) -> None:
        """Count the prompt tokens of an attempt after one that may have been read."""
        self._reread_tokens.add({"route": route}, tokens)
        self.reread_tokens += tokens

    def set_totals(self, **totals: int) -> None:
        """Set the totals since the process started and the requests in progress."""
        for name, value in totals.items():
            self._totals.set({"what": name}, value)
