"""For how long callers wait for the next event of a stream before they leave.

Source: the platform's protocol.
"""

MIN_PATIENCE_MS = 2_000.0
"""Time in milliseconds for which each caller waits at least."""
FIRST_OBJECTIVE_FACTOR = 4.0
"""Multiple of the objective for the first event for which a caller waits."""
GAP_OBJECTIVE_FACTOR = 8.0
"""Multiple of the objective for the gap between events for which a caller waits."""


def patience_ms(*, first_ms: float = 0.0, gap_ms: float | None = None) -> float:
    """Return the milliseconds without an event after which a caller leaves.

    `first_ms` and `gap_ms` are the stream's objectives in milliseconds. Without the
    first one, as for the streams of peers, the result is the least possible.

    >>> patience_ms(first_ms=300.0, gap_ms=250.0)
    2000.0
    >>> patience_ms(first_ms=3_000.0, gap_ms=1_000.0), patience_ms(gap_ms=1_000.0)
    (12000.0, 8000.0)
    """
    return max(
        MIN_PATIENCE_MS,
        FIRST_OBJECTIVE_FACTOR * first_ms,
        GAP_OBJECTIVE_FACTOR * (gap_ms or 0.0),
    )
