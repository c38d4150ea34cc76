"""Standard output that never blocks and whose volume is bounded.

>>> pieces = []
>>> output = BoundedOutput(write=pieces.append, seconds=lambda: 0.0, burst=2)
>>> for line in ("a\\n", "b\\n", "c\\n"): output.write(line)
>>> pieces, output.dropped
(['a\\n', 'b\\n'], 1)
"""

import os
from collections.abc import Callable

LINES_PER_SECOND = 300.0
"""Lines that one process writes in a second of lasting load. Source: the
platform charges processor time for each line."""
BURST_LINES = 900
"""Lines that may come at once after a quiet time."""


class BoundedOutput:
    """A text stream that drops lines over its rate and counts them."""

    def __init__(
        self,
        *,
        write: Callable[[str], None],
        seconds: Callable[[], float],
        rate: float = LINES_PER_SECOND,
        burst: int = BURST_LINES,
    ):
        self._write = write
        self._seconds = seconds
        self._rate = rate
        self._burst = burst
        self._left = float(burst)
        self._refilled_at = seconds()
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """The lines dropped since the last call of `take_dropped`."""
        return self._dropped

    def take_dropped(self) -> int:
        """Return how many lines were dropped, and count from zero again."""
        dropped, self._dropped = self._dropped, 0
        return dropped

    def write(self, text: str) -> None:
        """Write a text of whole lines, or drop it."""
        now = self._seconds()
        refill = (now - self._refilled_at) * self._rate
        self._left = min(self._burst, self._left + refill)
        self._refilled_at = now
        if self._left < 1.0:
            self._dropped += 1
            return
        self._left -= 1.0
        try:
            self._write(text)
        except BlockingIOError:
            self._dropped += 1

    def flush(self) -> None:
        """Nothing is held back."""


def standard_output(*, seconds: Callable[[], float]) -> BoundedOutput:
    """Return the process's standard output, set not to block."""
    descriptor = 1
    os.set_blocking(descriptor, False)

    def write(text: str) -> None:
        os.write(descriptor, text.encode())

    return BoundedOutput(write=write, seconds=seconds)
