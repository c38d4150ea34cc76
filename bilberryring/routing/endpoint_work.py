"""What an endpoint has to do, as one entry knows it from itself and its peers."""

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, kw_only=True)
class WriterGroup:
    """Streams on one endpoint that share an objective for their gaps."""

    gap_ms: int
    count: int


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointWork:
    """Requests in progress on one endpoint.

    `reading_ms` is the time in which its engine reads what is not yet read,
    `kv_tokens` the memory that its requests can come to hold.
    """

    requests: int = 0
    reading_ms: float = 0.0
    kv_tokens: int = 0
    writers: tuple[WriterGroup, ...] = ()

    def __add__(self, other: "EndpointWork") -> "EndpointWork":
        if not other.requests and not other.reading_ms:
            return self
        return EndpointWork(
            requests=self.requests + other.requests,
            reading_ms=self.reading_ms + other.reading_ms,
            kv_tokens=self.kv_tokens + other.kv_tokens,
            writers=_merged(self.writers + other.writers),
        )

    def writers_broken(self, *, pass_ms: float) -> int:
        """Return how many streams a pass of that length makes late."""
        return sum(group.count for group in self.writers if group.gap_ms < pass_ms)


NO_WORK = EndpointWork()


def _merged(groups: Iterable[WriterGroup]) -> tuple[WriterGroup, ...]:
    counts: dict[int, int] = {}
    for group in groups:
        counts[group.gap_ms] = counts.get(group.gap_ms, 0) + group.count
    return tuple(
        WriterGroup(gap_ms=gap, count=count) for gap, count in sorted(counts.items())
    )


@dataclass(slots=True, kw_only=True, eq=False)
class PlacedRequest:
    """One request on its endpoints; `part_ms` is what each of them reads.

    `holders` are the helpers that keep `holder_tokens` each until the end.
    """

    lead: str
    helpers: tuple[str, ...] = ()
    holders: tuple[str, ...] = ()
    holder_tokens: int = 0
    part_ms: float = 0.0
    kv_tokens: int = 0
    gap_ms: int | None = None
    is_reading: bool = True

    @property
    def endpoints(self) -> tuple[str, ...]:
        """The endpoints that the request concerns now."""
        helpers = self.helpers if self.is_reading else self.holders
        return (self.lead, *helpers)


@dataclass(slots=True, kw_only=True)
class _Tally:
    requests: dict[PlacedRequest, None] = field(default_factory=dict)
    work: EndpointWork | None = None


class WorkBook:
    """The work of one entry's own requests, by endpoint.

    >>> book = WorkBook()
    >>> placed = book.place(PlacedRequest(lead="a", helpers=("b",), part_ms=40.0))
    >>> book.work("b").reading_ms
    40.0
    >>> book.mark_read(placed)
    >>> book.work("b").reading_ms, book.work("a").requests
    (0.0, 1)
    >>> book.remove(placed)
    >>> book.work("a").requests
    0
    """

    def __init__(self):
        self._tallies: dict[str, _Tally] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """A number that grows with each change."""
        return self._version

    @property
    def endpoints(self) -> tuple[str, ...]:
        """The endpoints with work."""
        return tuple(self._tallies)

    def work(self, endpoint: str) -> EndpointWork:
        """Return the work on one endpoint."""
        tally = self._tallies.get(endpoint)
        if tally is None:
            return NO_WORK
        if tally.work is None:
            tally.work = _summed(endpoint, tally.requests)
        return tally.work

    def place(self, request: PlacedRequest) -> PlacedRequest:
        """Add a request."""
        for endpoint in request.endpoints:
            tally = self._tallies.setdefault(endpoint, _Tally())
            tally.requests[request] = None
            tally.work = None
        self._version += 1
        return request

    def mark_read(self, request: PlacedRequest) -> None:
        """Note that the prompt is read: its helpers are free."""
        if not request.is_reading:
            return
        for helper in request.helpers:
            if helper not in request.holders:
                self._drop(helper, request)
        request.is_reading = False
        for endpoint in request.endpoints:
            if endpoint in self._tallies:
                self._tallies[endpoint].work = None
        self._version += 1

    def remove(self, request: PlacedRequest) -> None:
        """Remove a request that has ended."""
        for endpoint in (request.lead, *request.helpers):
            self._drop(endpoint, request)
        self._version += 1

    def _drop(self, endpoint: str, request: PlacedRequest) -> None:
        tally = self._tallies.get(endpoint)
        if tally is None:
            return
        tally.requests.pop(request, None)
        tally.work = None
        if not tally.requests:
            del self._tallies[endpoint]


def _summed(endpoint: str, requests: Iterable[PlacedRequest]) -> EndpointWork:
    count = kv_tokens = 0
    reading_ms = 0.0
    groups = []
    for request in requests:
        if request.is_reading:
            reading_ms += request.part_ms
        if endpoint in request.holders:
            kv_tokens += request.holder_tokens
        if request.lead != endpoint:
            continue
        count += 1
        kv_tokens += request.kv_tokens
        if request.gap_ms is not None:
            groups.append(WriterGroup(gap_ms=request.gap_ms, count=1))
    return EndpointWork(
        requests=count,
        reading_ms=reading_ms,
        kv_tokens=kv_tokens,
        writers=_merged(groups),
    )
