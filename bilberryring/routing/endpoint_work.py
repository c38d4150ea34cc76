"""Requests in progress on each endpoint, as one entry knows them.

An entry records its own requests in a `WorkTracker` and receives those of the other
entries in their reports; both are summed as `EndpointWork`.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from bilberryring.routing.patience import FIRST_OBJECTIVE_FACTOR, patience_ms

MILLISECONDS_PER_SECOND = 1_000.0
MIN_REMAINING_SHARE = 0.1
"""Share of the predicted prefill time that still counts as remaining when the
prefill takes longer than predicted: no first token has arrived yet."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DecodeGroup:
    """Streams in decode on one endpoint with the same objective for token gaps.

    `value` is the total weight of their on-time answers, where the answer to a short
    prompt weighs 1.
    """

    gap_ms: int
    count: int
    value: float

    @property
    def patience_ms(self) -> float:
        """The least time without an event after which the callers leave."""
        return patience_ms(gap_ms=self.gap_ms)


@dataclass(frozen=True, slots=True, kw_only=True)
class PrefillStream:
    """A stream whose prompt is in prefill.

    Its first token is due in `due_ms`, which is negative once it is late.
    """

    gap_ms: int
    value: float
    due_ms: float

    @property
    def patience_ms(self) -> float:
        """The least time without an event after which the caller leaves."""
        return patience_ms(gap_ms=self.gap_ms)

    @property
    def leaves_ms(self) -> float:
        """The least time until the caller leaves without a first token."""
        return self.due_ms + self.patience_ms * (1.0 - 1.0 / FIRST_OBJECTIVE_FACTOR)


@dataclass(frozen=True, slots=True, kw_only=True)
class LeavingCallers:
    """Callers that leave their streams; `value` is that of their answers."""

    count: int = 0
    value: float = 0.0


NO_CALLERS = LeavingCallers()


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointWork:
    """Requests in progress on one endpoint.

    `requests` counts those that the endpoint leads. `prefill_ms` is the predicted
    prefill time of all prompts that are not yet prefilled, and `prefill_elapsed_ms`
    the part of it that has passed. `kv_tokens` is the most KV memory that the
    requests can take.

    >>> work = EndpointWork(requests=1, prefill_ms=800.0, prefill_elapsed_ms=500.0)
    >>> work.remaining_ms
    300.0
    >>> (work + EndpointWork(requests=1, prefill_ms=100.0)).remaining_ms
    400.0
    """

    requests: int = 0
    prefill_ms: float = 0.0
    prefill_elapsed_ms: float = 0.0
    kv_tokens: int = 0
    decode_groups: tuple[DecodeGroup, ...] = ()
    prefill_streams: tuple[PrefillStream, ...] = ()

    @property
    def remaining_ms(self) -> float:
        """Predicted time until the present prompts are prefilled."""
        minimum = self.prefill_ms * MIN_REMAINING_SHARE
        return max(self.prefill_ms - self.prefill_elapsed_ms, minimum)

    def remaining_ms_at(self, slowdown: float) -> float:
        """Return the same for an engine that takes `slowdown` times as long."""
        if slowdown == 1.0:
            return self.remaining_ms
        prefill_ms = self.prefill_ms * slowdown
        minimum = prefill_ms * MIN_REMAINING_SHARE
        return max(prefill_ms - self.prefill_elapsed_ms, minimum)

    def __add__(self, other: "EndpointWork") -> "EndpointWork":
        if not (other.requests or other.prefill_ms or other.kv_tokens):
            return self
        if not (self.requests or self.prefill_ms or self.kv_tokens):
            return other
        return EndpointWork(
            requests=self.requests + other.requests,
            prefill_ms=self.prefill_ms + other.prefill_ms,
            prefill_elapsed_ms=max(self.prefill_elapsed_ms, other.prefill_elapsed_ms),
            kv_tokens=self.kv_tokens + other.kv_tokens,
            decode_groups=_merge_by_gap(self.decode_groups + other.decode_groups),
            prefill_streams=self.prefill_streams + other.prefill_streams,
        )

    def advanced_by(self, milliseconds: float) -> "EndpointWork":
        """Return the same work as it stands `milliseconds` later."""
        if not self.prefill_ms:
            return self
        return EndpointWork(
            requests=self.requests,
            prefill_ms=self.prefill_ms,
            prefill_elapsed_ms=self.prefill_elapsed_ms + milliseconds,
            kv_tokens=self.kv_tokens,
            decode_groups=self.decode_groups,
            prefill_streams=tuple(
                PrefillStream(
                    gap_ms=stream.gap_ms,
                    value=stream.value,
                    due_ms=stream.due_ms - milliseconds,
                )
                for stream in self.prefill_streams
            ),
        )

    def count_late_streams(self, *, pass_ms: float) -> int:
        """Return how many streams miss their gap objective in a pass of `pass_ms`."""
        decoding = sum(
            group.count for group in self.decode_groups if group.gap_ms < pass_ms
        )
        return decoding + sum(
            1 for item in self.prefill_streams if item.gap_ms < pass_ms
        )

    def count_streams_with_gap(self, gap_ms: int) -> int:
        """Return how many streams have `gap_ms` as their objective for token gaps."""
        decoding = sum(
            group.count for group in self.decode_groups if group.gap_ms == gap_ms
        )
        return decoding + sum(
            1 for item in self.prefill_streams if item.gap_ms == gap_ms
        )

    def late_decode_value(self, *, pass_ms: float) -> float:
        """Return the value of the streams in decode that a pass makes late."""
        return sum(
            group.value for group in self.decode_groups if group.gap_ms < pass_ms
        )

    def late_prefill_value(self, *, pass_ms: float) -> float:
        """Return the value of the streams in prefill that a pass would make late."""
        return sum(item.value for item in self.prefill_streams if item.gap_ms < pass_ms)

    def leaving(self, *, bare_pass_ms: float, part_ms: float) -> LeavingCallers:
        """Return the callers that leave because of one more part of a prompt.

        A pass without prefill takes `bare_pass_ms`. Present prompts are prefilled in
        the same pass as the part; streams that they stop for as long go on between the
        passes if they are not, and are stopped again by a part that is long by itself.
        """
        present_ms = bare_pass_ms + self.remaining_ms
        count, value = 0, 0.0
        for group in self.decode_groups:
            limit = group.patience_ms
            if limit > present_ms + part_ms:
                continue
            if limit > present_ms or limit <= bare_pass_ms + part_ms:
                count += group.count
                value += group.value
        for stream in self.prefill_streams:
            if present_ms < stream.leaves_ms <= present_ms + part_ms:
                count += 1
                value += stream.value
        return LeavingCallers(count=count, value=value)

    def overdue_prefill_value(self, *, first_token_ms: float) -> float:
        """Return the value of the streams due before a first token at that time."""
        return sum(
            item.value for item in self.prefill_streams if item.due_ms < first_token_ms
        )


NO_WORK = EndpointWork()


def _merge_by_gap(groups: Iterable[DecodeGroup]) -> tuple[DecodeGroup, ...]:
    merged: dict[int, DecodeGroup] = {}
    for group in groups:
        known = merged.get(group.gap_ms)
        if known is not None:
            group = DecodeGroup(
                gap_ms=group.gap_ms,
                count=known.count + group.count,
                value=known.value + group.value,
            )
        merged[group.gap_ms] = group
    return tuple(merged[gap] for gap in sorted(merged))


@dataclass(slots=True, kw_only=True, eq=False)
class PlacedRequest:
    """One request and the endpoints that it uses.

    The lead decodes; lead and helpers each prefill a part, which takes `part_ms`.
    `holders` are the helpers that keep `holder_tokens` of KV memory each until the
    request ends; `kv_tokens` is what the lead keeps. `value` is the weight of an
    on-time answer, where the answer to a short prompt weighs 1, and `due_at` the time
    in seconds by which the first token must arrive. `gap_ms` is the objective for
    token gaps, `None` without one.
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
    is_in_prefill: bool = True

    @property
    def endpoints(self) -> tuple[str, ...]:
        """The endpoints that now do work or keep memory for the request."""
        helpers = self.helpers if self.is_in_prefill else self.holders
        return (self.lead, *helpers)


@dataclass(slots=True, kw_only=True)
class _EndpointRequests:
    """The requests on one endpoint, in order of arrival, and their cached sum.

    `prefill_since` is the time at which the prefill in progress began. `cached_work`
    is the sum as of that time, `None` after a change.
    """

    requests: dict[PlacedRequest, None] = field(default_factory=dict)
    cached_work: EndpointWork | None = None
    prefill_since: float = 0.0

    @property
    def first_in_prefill(self) -> PlacedRequest | None:
        """The request whose prompt the endpoint prefills now, or `None`."""
        in_prefill = (request for request in self.requests if request.is_in_prefill)
        return next(in_prefill, None)


class WorkTracker:
    """Tracks one entry's own requests by endpoint; times are in seconds.

    >>> tracker = WorkTracker()
    >>> request = PlacedRequest(lead="a", helpers=("b",), part_ms=40.0)
    >>> placed = tracker.place(request, now=1.0)
    >>> work = tracker.work("b", now=1.03)
    >>> work.prefill_ms, round(work.remaining_ms)
    (40.0, 10)
    >>> tracker.mark_prefilled(placed, now=1.05)
    >>> tracker.work("b", now=1.05).prefill_ms, tracker.work("a", now=1.05).requests
    (0.0, 1)
    >>> tracker.remove(placed, now=2.0)
    >>> tracker.work("a", now=2.0).requests
    0
    """

    def __init__(self):
        self._by_endpoint: dict[str, _EndpointRequests] = {}
        self._changed: set[str] = set()

    @property
    def changed(self) -> tuple[str, ...]:
        """The endpoints whose work changed since the last call of `clear_changed`."""
        return tuple(sorted(self._changed))

    @property
    def endpoints(self) -> tuple[str, ...]:
        """The endpoints with at least one request in progress."""
        return tuple(self._by_endpoint)

    def work(self, endpoint: str, *, now: float) -> EndpointWork:
        """Return the work on one endpoint, `NO_WORK` if it has no request."""
        in_progress = self._by_endpoint.get(endpoint)
        if in_progress is None:
            return NO_WORK
        if in_progress.cached_work is None:
            in_progress.cached_work = _sum_requests(endpoint, in_progress)
        return in_progress.cached_work.advanced_by(
            (now - in_progress.prefill_since) * MILLISECONDS_PER_SECOND
        )

    def clear_changed(self) -> None:
        """Start a new set of changed endpoints, after all of them were reported."""
        self._changed.clear()

    def place(self, request: PlacedRequest, *, now: float) -> PlacedRequest:
        """Add a request to its endpoints and return it."""
        for endpoint in request.endpoints:
            in_progress = self._by_endpoint.setdefault(endpoint, _EndpointRequests())
            if in_progress.first_in_prefill is None:
                in_progress.prefill_since = now
            in_progress.requests[request] = None
            in_progress.cached_work = None
        self._changed.update(request.endpoints)
        return request

    def mark_prefilled(self, request: PlacedRequest, *, now: float) -> None:
        """Record the end of the prefill and free the helpers that hold no memory."""
        if not request.is_in_prefill:
            return
        self._end_prefill(request, now)
        for helper in request.helpers:
            if helper not in request.holders:
                self._drop(helper, request)
        request.is_in_prefill = False

    def remove(self, request: PlacedRequest, *, now: float) -> None:
        """Remove a request that has ended from all its endpoints."""
        if request.is_in_prefill:
            self._end_prefill(request, now)
        for endpoint in (request.lead, *request.helpers):
            self._drop(endpoint, request)

    def _end_prefill(self, request: PlacedRequest, now: float) -> None:
        """Start the prefill time of the next prompt on the request's endpoints."""
        for endpoint in (request.lead, *request.helpers):
            in_progress = self._by_endpoint.get(endpoint)
            if in_progress is None:
                continue
            if in_progress.first_in_prefill is request:
                in_progress.prefill_since = now
            in_progress.cached_work = None
            self._changed.add(endpoint)

    def _drop(self, endpoint: str, request: PlacedRequest) -> None:
        in_progress = self._by_endpoint.get(endpoint)
        if in_progress is None or request not in in_progress.requests:
            return
        del in_progress.requests[request]
        in_progress.cached_work = None
        self._changed.add(endpoint)
        if not in_progress.requests:
            del self._by_endpoint[endpoint]


def _sum_requests(endpoint: str, in_progress: _EndpointRequests) -> EndpointWork:
    """Return the work as of the start of the prefill in progress."""
    count = kv_tokens = 0
    prefill_ms = 0.0
    decode_groups, prefill_streams = [], []
    for request in in_progress.requests:
        if request.is_in_prefill:
            prefill_ms += request.part_ms
        if endpoint in request.holders:
            kv_tokens += request.holder_tokens
        if request.lead != endpoint:
            continue
        count += 1
        kv_tokens += request.kv_tokens
        if request.gap_ms is not None:
            if request.is_in_prefill:
                prefill_streams.append(
                    _prefill_stream(request, request.gap_ms, in_progress.prefill_since)
                )
            else:
                decode_groups.append(
                    DecodeGroup(gap_ms=request.gap_ms, count=1, value=request.value)
                )
    return EndpointWork(
        requests=count,
        prefill_ms=prefill_ms,
        kv_tokens=kv_tokens,
        decode_groups=_merge_by_gap(decode_groups),
        prefill_streams=tuple(prefill_streams),
    )


def _prefill_stream(request: PlacedRequest, gap_ms: int, now: float) -> PrefillStream:
    due_ms = (request.due_at - now) * MILLISECONDS_PER_SECOND
    return PrefillStream(gap_ms=gap_ms, value=request.value, due_ms=due_ms)
