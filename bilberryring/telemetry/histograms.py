"""Metrics with a bounded number of series, rendered without blocking the reactor.

Observations are counted in plain lists. For a scrape, a few series at a time are
converted to an aioprometheus collector and rendered, so that the caller can let
the reactor run before the next ones.
"""

import bisect
import math
from collections.abc import Iterator

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.collectors import Collector
from aioprometheus.formats.text import TextFormatter
from aioprometheus.histogram import Histogram as HistogramData

SERIES_PER_SLICE = 8
"""Histogram series that are rendered in one piece of a scrape."""
OTHER_LABEL = "other"
"""Label value of the series that counts the combinations over `max_series`."""
FIRST_TOKEN_BUCKETS = (0.05, 0.1, 0.2, 0.38, 0.75, 1.5, 5.0, 30.0)
"""Upper bounds of the buckets for times to the first token, in seconds."""
TOKEN_GAP_BUCKETS = (0.01, 0.02, 0.035, 0.07, 0.2, 1.0)
"""Upper bounds of the buckets for times between tokens, in seconds."""


class LabelledHistogram:
    """A histogram metric with one series for each combination of label values.

    At most `max_series` combinations get a series of their own. Observations of
    all further combinations are counted in one series whose label values are
    `other`, so every observation is counted and memory stays bounded. `buckets`
    are the upper bounds of the buckets, in ascending order.

    >>> first = LabelledHistogram(
    ...     name="first_token_seconds", doc="Time", labels=("workspace",),
    ...     buckets=(0.1, 1.0), max_series=1)
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
        buckets: tuple[float, ...],
        max_series: int,
    ):
        self._name = name
        self._doc = doc
        self._labels = labels
        self._buckets = buckets
        self._max_series = max_series
        self._counts: dict[tuple[str, ...], list[int]] = {}
        self._sums: dict[tuple[str, ...], float] = {}

    @property
    def series(self) -> tuple[tuple[str, ...], ...]:
        """The combinations of label values that have a series."""
        return tuple(self._counts)

    def observe(self, labels: tuple[str, ...], value: float) -> None:
        """Count one observation; `value` is in the unit of `buckets`."""
        counts = self._counts.get(labels)
        if counts is None:
            labels = self._find_or_add_series(labels)
            counts = self._counts[labels]
        counts[bisect.bisect_left(self._buckets, value)] += 1
        self._sums[labels] += value

    def collectors(self) -> Iterator[Collector]:
        """Yield aioprometheus collectors with up to `SERIES_PER_SLICE` series each."""
        keys = tuple(self._counts)
        for start in range(0, len(keys), SERIES_PER_SLICE):
            histogram = Histogram(
                self._name,
                self._doc,
                registry=Registry(),
                buckets=(*self._buckets, math.inf),
            )
            for labels in keys[start : start + SERIES_PER_SLICE]:
                self._set_series(histogram, labels)
            yield histogram

    def _find_or_add_series(self, labels: tuple[str, ...]) -> tuple[str, ...]:
        if len(self._counts) >= self._max_series:
            labels = (OTHER_LABEL,) * len(self._labels)
        if labels not in self._counts:
            self._counts[labels] = [0] * (len(self._buckets) + 1)
            self._sums[labels] = 0.0
        return labels

    def _set_series(self, histogram: Histogram, labels: tuple[str, ...]) -> None:
        bounds = (*self._buckets, math.inf)
        data = HistogramData(*bounds)
        total = 0
        for bound, count in zip(bounds, self._counts[labels], strict=True):
            total += count
            data.buckets[bound] = total
        data.observations = total
        data.sum = self._sums[labels]
        histogram.set_value(dict(zip(self._labels, labels, strict=True)), data)


class Metrics:
    """The metrics of one process."""

    def __init__(self):
        self._registry = Registry()
        self._histograms: list[LabelledHistogram] = []
        self._collectors: list[Collector] = []

    def histogram(
        self,
        *,
        name: str,
        doc: str,
        labels: tuple[str, ...],
        buckets: tuple[float, ...],
        max_series: int,
    ) -> LabelledHistogram:
        """Create a histogram metric that is included in each scrape."""
        histogram = LabelledHistogram(
            name=name, doc=doc, labels=labels, buckets=buckets, max_series=max_series
        )
        self._histograms.append(histogram)
        return histogram

    def counter(self, *, name: str, doc: str) -> Counter:
        """Create a counter that is included in each scrape."""
        counter = Counter(name, doc, registry=self._registry)
        self._collectors.append(counter)
        return counter

    def gauge(self, *, name: str, doc: str) -> Gauge:
        """Create a gauge that is included in each scrape."""
        gauge = Gauge(name, doc, registry=self._registry)
        self._collectors.append(gauge)
        return gauge

    def render(self) -> Iterator[bytes]:
        """Yield all metrics in the Prometheus text format, in small pieces.

        The caller may let other work run between the pieces.
        """
        formatter = TextFormatter()
        for collector in self._collectors:
            yield _format_collector(formatter, collector, with_header=True)
        for histogram in self._histograms:
            with_header = True
            for collector in histogram.collectors():
                yield _format_collector(formatter, collector, with_header=with_header)
                with_header = False


def _format_collector(
    formatter: TextFormatter, collector: Collector, *, with_header: bool
) -> bytes:
    lines = formatter.marshall_lines(collector)
    if not with_header:
        lines = [line for line in lines if not line.startswith("#")]
    return ("\n".join(lines) + "\n").encode()
