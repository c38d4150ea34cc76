"""Histograms with bounded label sets, rendered without holding the reactor.

Observations are counted in plain lists. A scrape turns a slice of the series
at a time into collectors of aioprometheus, renders them, and lets the reactor
run before the next slice.
"""

import bisect
import math
from collections.abc import Iterator

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.collectors import Collector
from aioprometheus.formats.text import TextFormatter
from aioprometheus.histogram import Histogram as CountedHistogram

SERIES_PER_SLICE = 8
OTHER_LABEL = "other"
FIRST_TOKEN_BOUNDS = (0.05, 0.1, 0.2, 0.38, 0.75, 1.5, 5.0, 30.0)
TOKEN_GAP_BOUNDS = (0.01, 0.02, 0.035, 0.07, 0.2, 1.0)


class LabelledHistograms:
    """One metric with a series for each combination of labels.

    At most `max_series` combinations are kept; observations of further ones
    are counted under `other`, so nothing is lost and memory stays bounded.

    >>> first = LabelledHistograms(
    ...     name="first_token_seconds", doc="Time", labels=("workspace",),
    ...     bounds=(0.1, 1.0), max_series=1)
    >>> first.observe(("a",), 0.05)
    >>> first.observe(("b",), 0.5)
    >>> [labels for labels in first.series]
    [('a',), ('other',)]
    """

    def __init__(
        self,
        *,
        name: str,
        doc: str,
        labels: tuple[str, ...],
        bounds: tuple[float, ...],
        max_series: int,
    ):
        self._name = name
        self._doc = doc
        self._labels = labels
        self._bounds = bounds
        self._max_series = max_series
        self._counts: dict[tuple[str, ...], list[int]] = {}
        self._sums: dict[tuple[str, ...], float] = {}

    @property
    def series(self) -> tuple[tuple[str, ...], ...]:
        """The label values of each series."""
        return tuple(self._counts)

    def observe(self, labels: tuple[str, ...], value: float) -> None:
        """Count one value, in seconds."""
        counts = self._counts.get(labels)
        if counts is None:
            labels = self._admit(labels)
            counts = self._counts[labels]
        counts[bisect.bisect_left(self._bounds, value)] += 1
        self._sums[labels] += value

    def collectors(self) -> Iterator[Collector]:
        """Yield collectors of a few series each."""
        keys = tuple(self._counts)
        for start in range(0, len(keys), SERIES_PER_SLICE):
            histogram = Histogram(
                self._name,
                self._doc,
                registry=Registry(),
                buckets=(*self._bounds, math.inf),
            )
            for labels in keys[start : start + SERIES_PER_SLICE]:
                self._fill(histogram, labels)
            yield histogram

    def _admit(self, labels: tuple[str, ...]) -> tuple[str, ...]:
        if len(self._counts) >= self._max_series:
            labels = (OTHER_LABEL,) * len(self._labels)
        if labels not in self._counts:
            self._counts[labels] = [0] * (len(self._bounds) + 1)
            self._sums[labels] = 0.0
        return labels

    def _fill(self, histogram: Histogram, labels: tuple[str, ...]) -> None:
        bounds = (*self._bounds, math.inf)
        counted = CountedHistogram(*bounds)
        total = 0
        for bound, count in zip(bounds, self._counts[labels], strict=True):
            total += count
            counted.buckets[bound] = total
        counted.observations = total
        counted.sum = self._sums[labels]
        histogram.set_value(dict(zip(self._labels, labels, strict=True)), counted)


class Metrics:
    """All metrics of a process."""

    def __init__(self):
        self._registry = Registry()
        self._histograms: list[LabelledHistograms] = []
        self._collectors: list[Collector] = []

    def histograms(
        self,
        *,
        name: str,
        doc: str,
        labels: tuple[str, ...],
        bounds: tuple[float, ...],
        max_series: int,
    ) -> LabelledHistograms:
        """Create a metric of histograms and keep it for scrapes."""
        created = LabelledHistograms(
            name=name, doc=doc, labels=labels, bounds=bounds, max_series=max_series
        )
        self._histograms.append(created)
        return created

    def counter(self, *, name: str, doc: str) -> Counter:
        """Create a counter and keep it for scrapes."""
        created = Counter(name, doc, registry=self._registry)
        self._collectors.append(created)
        return created

    def gauge(self, *, name: str, doc: str) -> Gauge:
        """Create a gauge and keep it for scrapes."""
        created = Gauge(name, doc, registry=self._registry)
        self._collectors.append(created)
        return created

    def render(self) -> Iterator[bytes]:
        """Yield the text format piece by piece; a caller may pause between."""
        formatter = TextFormatter()
        for collector in self._collectors:
            yield _text_of(formatter, collector, with_header=True)
        for histograms in self._histograms:
            with_header = True
            for collector in histograms.collectors():
                yield _text_of(formatter, collector, with_header=with_header)
                with_header = False


def _text_of(
    formatter: TextFormatter, collector: Collector, *, with_header: bool
) -> bytes:
    lines = formatter.marshall_lines(collector)
    if not with_header:
        lines = [line for line in lines if not line.startswith("#")]
    return ("\n".join(lines) + "\n").encode()
