"""What an endpoint has to do, as one entry knows it from itself and its peers."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

MILLISECONDS = 1_000.0
LEAST_REMAINING_SHARE = 0.1
"""Share of a reading time that is assumed to remain once it is over: the prompt is
not reported as read yet."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WriterGroup:
    """Streams on one endpoint that share an objective for their gaps.

    `value` is what their answers in time weigh together, in short requests.
    """

    gap_ms: int
    count: int
    value: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Starter:
    """A stream whose prompt its endpoint reads; it is due in `due_ms`."""

    gap_ms: int
    value: float
    due_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointWork:
    """Requests in progress on one endpoint.

    `reading_ms` is the time that its engine takes for the prompts it has not read,
    of which `reading_for_ms` have passed. `kv_tokens` is the memory that its requests
    can come to hold. `writers` have begun to write, `starters` are still being read.

    >>> work = EndpointWork(requests=1, reading_ms=800.0, reading_for_ms=500.0)
    >>> work.remaining_ms
    300.0
    >>> (work + EndpointWork(requests=1, reading_ms=100.0)).remaining_ms
    400.0
    """

    requests: int = 0
    reading_ms: float = 0.0
    reading_for_ms: float = 0.0
    kv_tokens: int = 0
    writers: tuple[WriterGroup, ...] = ()
    starters: tuple[Starter, ...] = ()

    @property
    def remaining_ms(self) -> float:
        """The time until the engine has read the prompts of now."""
        least = self.reading_ms * LEAST_REMAINING_SHARE
        return max(self.reading_ms - self.reading_for_ms, least)

    def __add__(self, other: "EndpointWork") -> "EndpointWork":
        if not other.requests and not other.reading_ms:
            return self
        return EndpointWork(
            requests=self.requests + other.requests,
            reading_ms=self.reading_ms + other.reading_ms,
            reading_for_ms=max(self.reading_for_ms, other.reading_for_ms),
            kv_tokens=self.kv_tokens + other.kv_tokens,
            writers=_merged(self.writers + other.writers),
            starters=self.starters + other.starters,
        )

    def aged(self, milliseconds: float) -> "EndpointWork":
        """Return the same work so much later."""
        if not self.reading_ms:
            return self
        return replace(
            self,
            reading_for_ms=self.reading_for_ms + milliseconds,
            starters=tuple(
                replace(starter, due_ms=starter.due_ms - milliseconds)
                for starter in self.starters
            ),
        )

    def streams_broken(self, *, pass_ms: float) -> int:
        """Return how many streams a pass of that length makes late."""
        broken = sum(group.count for group in self.writers if group.gap_ms < pass_ms)
        return broken + sum(1 for item in self.starters if item.gap_ms < pass_ms)

    def streams_alike(self, gap_ms: int) -> int:
        """Return how many streams have that objective for their gaps."""
        alike = sum(group.count for group in self.writers if group.gap_ms == gap_ms)
        return alike + sum(1 for item in self.starters if item.gap_ms == gap_ms)

    def writers_lost(self, *, pass_ms: float) -> float:
        """Return the value of the writing streams that such a pass makes late."""
        return sum(group.value for group in self.writers if group.gap_ms < pass_ms)

    def starters_lost(self, *, pass_ms: float) -> float:
        """Return the value of the starting streams that such a pass makes late."""
        return sum(item.value for item in self.starters if item.gap_ms < pass_ms)

    def starters_overdue(self, *, first_ms: float) -> float:
        """Return the value of those that are late when they begin in that time."""
        return sum(item.value for item in self.starters if item.due_ms < first_ms)


NO_WORK = EndpointWork()


def _merged(groups: Iterable[WriterGroup]) -> tuple[WriterGroup, ...]:
    merged: dict[int, WriterGroup] = {}
    for group in groups:
        known = merged.get(group.gap_ms)
        if known is not None:
            group = WriterGroup(
                gap_ms=group.gap_ms,
                count=known.count + group.count,
                value=known.value + group.value,
            )
        merged[group.gap_ms] = group
    return tuple(merged[gap] for gap in sorted(merged))


@dataclass(slots=True, kw_only=True, eq=False)
class PlacedRequest:
    """One request on its endpoints; `part_ms` is what each of them reads.

    `holders` are the helpers that keep `holder_tokens` each until the end. `value`
    is what an answer in time weighs, in short requests, and `due_at` the time in
    seconds at which it has to begin for that.
    """

    lead: str
    helpers: tuple[str, ...] = ()
    holders: tuple[str, ...] = ()
    holder_tokens: int = 0
    part_ms: float = 0.0
    kv_tokens: int = 0
    gap_ms: int | None = None
    value: float = 1.0
    due_at: float = math.inf
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
    reading_since: float = 0.0

    @property
    def first_reading(self) -> PlacedRequest | None:
        """The request whose prompt the endpoint reads now."""
        reading = (request for request in self.requests if request.is_reading)
        return next(reading, None)


class WorkBook:
    """The work of one entry's own requests, by endpoint; times are in seconds.

    >>> book = WorkBook()
    >>> read = PlacedRequest(lead="a", helpers=("b",), part_ms=40.0)
    >>> placed = book.place(read, now=1.0)
    >>> work = book.work("b", now=1.03)
    >>> work.reading_ms, round(work.remaining_ms)
    (40.0, 10)
    >>> book.mark_read(placed, now=1.05)
    >>> book.work("b", now=1.05).reading_ms, book.work("a", now=1.05).requests
    (0.0, 1)
    >>> book.remove(placed, now=2.0)
    >>> book.work("a", now=2.0).requests
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

    def work(self, endpoint: str, *, now: float) -> EndpointWork:
        """Return the work on one endpoint."""
        tally = self._tallies.get(endpoint)
        if tally is None:
            return NO_WORK
        if tally.work is None:
            tally.work = _summed(endpoint, tally)
        return tally.work.aged((now - tally.reading_since) * MILLISECONDS)

    def place(self, request: PlacedRequest, *, now: float) -> PlacedRequest:
        """Add a request."""
        for endpoint in request.endpoints:
            tally = self._tallies.setdefault(endpoint, _Tally())
            if tally.first_reading is None:
                tally.reading_since = now
            tally.requests[request] = None
            tally.work = None
        self._version += 1
        return request

    def mark_read(self, request: PlacedRequest, *, now: float) -> None:
        """Note that the prompt is read: its helpers are free."""
        if not request.is_reading:
            return
        self._end_reading(request, now)
        for helper in request.helpers:
            if helper not in request.holders:
                self._drop(helper, request)
        request.is_reading = False
        self._version += 1

    def remove(self, request: PlacedRequest, *, now: float) -> None:
        """Remove a request that has ended."""
        if request.is_reading:
            self._end_reading(request, now)
        for endpoint in (request.lead, *request.helpers):
            self._drop(endpoint, request)
        self._version += 1

    def _end_reading(self, request: PlacedRequest, now: float) -> None:
        """Have its endpoints begin with the next prompt."""
        for endpoint in (request.lead, *request.helpers):
            tally = self._tallies.get(endpoint)
            if tally is None:
                continue
            if tally.first_reading is request:
                tally.reading_since = now
            tally.work = None

    def _drop(self, endpoint: str, request: PlacedRequest) -> None:
        tally = self._tallies.get(endpoint)
        if tally is None:
            return
        tally.requests.pop(request, None)
        tally.work = None
        if not tally.requests:
            del self._tallies[endpoint]


def _summed(endpoint: str, tally: _Tally) -> EndpointWork:
    """Return the work as it was when the endpoint began with the present prompt."""
    count = kv_tokens = 0
    reading_ms = 0.0
    writers, starters = [], []
    for request in tally.requests:
        if request.is_reading:
            reading_ms += request.part_ms
        if endpoint in request.holders:
            kv_tokens += request.holder_tokens
        if request.lead != endpoint:
            continue
        count += 1
        kv_tokens += request.kv_tokens
        if request.gap_ms is not None:
            if request.is_reading:
                starters.append(_starter(request, request.gap_ms, tally.reading_since))
            else:
                writers.append(
                    WriterGroup(gap_ms=request.gap_ms, count=1, value=request.value)
                )
    return EndpointWork(
        requests=count,
        reading_ms=reading_ms,
        kv_tokens=kv_tokens,
        writers=_merged(writers),
        starters=tuple(starters),
    )


def _starter(request: PlacedRequest, gap_ms: int, now: float) -> Starter:
    due_ms = (request.due_at - now) * MILLISECONDS
    return Starter(gap_ms=gap_ms, value=request.value, due_ms=due_ms)
