"""The pace of one stream in decode, from the gaps between its events.

Most gaps are one pass of the engine. Single ones are longer, by a prompt that is
prefilled in the pass or by a lost packet, and others shorter, as what was lost arrives
together with what follows. So the pace lies between the lower median of a few gaps and
their mean, which are the same for an even stream.
"""

MIN_GAPS = 2
MIN_SECONDS = 0.25
"""Fewest gaps of a window and its shortest time; a sample costs as much as some twenty
events."""
MAX_GAPS = 32
"""Most gaps of a window; a fast stream is sampled sooner."""


class PaceWindow:
    """The gaps since the last sample of one stream; times are in seconds.

    >>> window = PaceWindow(now=0.0)
    >>> [window.add(now=at) for at in (0.05, 0.1, 0.15, 0.2)]
    [None, None, None, None]
    >>> [round(gap, 3) for gap in window.add(now=0.6)]
    [0.05, 0.12]
    """

    __slots__ = ("_began_at", "_last_at", "_gaps")

    def __init__(self, *, now: float):
        self._began_at = now
        self._last_at = now
        self._gaps: list[float] = []

    @property
    def began_at(self) -> float:
        """The time since which the gaps count."""
        return self._began_at

    def add(self, *, now: float) -> tuple[float, float] | None:
        """Count an event; return the bounds of the pace if the window ends with it."""
        gaps = self._gaps
        gaps.append(now - self._last_at)
        self._last_at = now
        if len(gaps) < MIN_GAPS:
            return None
        if now - self._began_at < MIN_SECONDS and len(gaps) < MAX_GAPS:
            return None
        middle = sorted(gaps)[(len(gaps) - 1) // 2]
        return middle, max(middle, (now - self._began_at) / len(gaps))

    def restart(self, *, now: float) -> None:
        """Begin a new window."""
        self._began_at = now
        self._last_at = now
        self._gaps.clear()
