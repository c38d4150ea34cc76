"""Statistics of measurements."""

import math


def percentile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies.

    >>> percentile([4.0, 1.0, 2.0, 3.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]
