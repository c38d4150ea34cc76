"""Whether an attempt whose endpoint is silent gets a successor beside it.

The silent attempt goes on in either case: its endpoint may be sound, and only another
attempt that answers, the deadline or the end of its connection end it.
"""

from enum import Enum


class SilenceDecision(Enum):
    """What follows from the silence of an endpoint."""

    SUCCESSOR = "successor"
    """Another attempt starts beside the silent one."""
    NOT_ALLOWED = "not_allowed"
    """The route, the stream, the attempts made, the time left or a stop allow none, or
    the prompt is suspected of crashing engines and waits for its turn."""
    QUARANTINED = "quarantined"
    """Endpoints crashed under the request or a part of its prompt."""
    NO_ENDPOINT = "no_endpoint"
    """No other endpoint can answer in time."""
    NO_BUDGET = "no_budget"
    """The retry budget is spent."""
