"""Log output that never blocks and is limited in lines per second.

>>> pieces = []
>>> output = BoundedOutput(write=pieces.append, seconds=lambda: 0.0, burst=2)
>>> for line in ("a\\n", "b\\n", "c\\n"): output.write(line)
>>> pieces, output.dropped
(['a\\n', 'b\\n'], 1)

Lines that must not be missing have room of their own:

>>> pieces = []
>>> output = BoundedOutput(
...     write=pieces.append, seconds=lambda: 0.0, burst=1, reserved_lines=1
... )
>>> for line in ("a\\n", "b\\n"): output.write(line)
>>> output.reserved.write("the last record\\n")
>>> pieces, output.dropped
(['a\\n', 'the last record\\n'], 1)
"""

import os
from collections.abc import Callable

LINES_PER_SECOND = 300.0
"""Lines per second that one process may write under sustained load. The limit
exists because the platform charges processor time for each line."""
BURST_LINES = 900
"""Lines that may be written at once after a period without output."""
RESERVED_LINES = 300
"""Lines beyond these that only the reserved stream may write at once."""


class BoundedOutput:
    """A text stream that limits its rate with a token bucket.

    Each call of `write` takes one token. Text that finds no token, or that
    cannot be written at once, is dropped and counted. `rate` is in lines per second.
    The last `reserved_lines` tokens are for text that is written to `reserved`.
    """

    def __init__(
        self,
        *,
        write: Callable[[str], None],
        seconds: Callable[[], float],
        rate: float = LINES_PER_SECOND,
        burst: int = BURST_LINES,
        reserved_lines: int = 0,
    ):
        self._write = write
        self._seconds = seconds
        self._rate = rate
        self._capacity = burst + reserved_lines
        self._reserved_lines = reserved_lines
        self._reserved = _ReservedStream(output=self)
        self._available_lines = float(self._capacity)
        self._refilled_at = seconds()
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """The number of lines dropped since the last call of `take_dropped`."""
        return self._dropped

    @property
    def reserved(self) -> "_ReservedStream":
        """A stream for lines that may use the reserved tokens as well."""
        return self._reserved

    def take_dropped(self) -> int:
        """Return the number of dropped lines and reset it to zero."""
        dropped, self._dropped = self._dropped, 0
        return dropped

    def write(self, text: str) -> None:
        """Write one log line, or drop it and count it as dropped."""
        self.write_above(text, kept_lines=self._reserved_lines)

    def write_above(self, text: str, *, kept_lines: int) -> None:
        """Write one log line if `kept_lines` tokens are left after it."""
        now = self._seconds()
        refill = (now - self._refilled_at) * self._rate
        self._available_lines = min(self._capacity, self._available_lines + refill)
        self._refilled_at = now
        if self._available_lines < kept_lines + 1.0:
            self._dropped += 1
            return
        self._available_lines -= 1.0
        try:
            self._write(text)
        except OSError:
            # The pipe or the disk is full; the process serves its callers all the same.
            self._dropped += 1

    def flush(self) -> None:
        """Do nothing, because `write` does not buffer."""


class _ReservedStream:
    """The text stream of lines that may use all tokens of an output."""

    def __init__(self, *, output: BoundedOutput):
        self._output = output

    def write(self, text: str) -> None:
        """Write one log line, or drop it and count it as dropped."""
        self._output.write_above(text, kept_lines=0)

    def flush(self) -> None:
        """Do nothing, because `write` does not buffer."""


def standard_output(*, seconds: Callable[[], float]) -> BoundedOutput:
    """Return the standard output of the process, switched to non-blocking mode."""
    descriptor = 1
    os.set_blocking(descriptor, False)

    def write(text: str) -> None:
        os.write(descriptor, text.encode())

    return BoundedOutput(write=write, seconds=seconds, reserved_lines=RESERVED_LINES)
