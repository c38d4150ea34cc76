"""What this gateway and its neighbours have learned of the speed of endpoints.

The estimates of an endpoint's speed are combined and compared with those of the other
endpoints of its service. Only the relation counts: if all are slow, as in an overload
of the whole service, no endpoint is preferred to another one.
"""

import math
import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from bilberryring.capacity.records import (
    NO_SPEEDS,
    PEER_EXPIRY_SECONDS,
    ReportedSpeed,
    Speed,
    SpeedChange,
    SpeedRecord,
    SpeedTable,
    passed_steps,
    run_tag,
)
from bilberryring.capacity.speed import (
    FRESH_SECONDS,
    NOISY_FALL,
    NOISY_RISE,
    Interval,
    clamped_log,
)
from bilberryring.capacity.usual_times import UsualTimes

NOTABLE_LOG = math.log(1.35)
"""Distance from the other endpoints up to which one counts as equal to them. The errors
of predictions differ by endpoint for a while, and choices shall not follow them."""
MAX_PEER_LOG = math.log(8.0)
"""Largest distance that a neighbour's estimate counts."""
MAX_PEERS = 32
"""Neighbours whose estimates of one endpoint are kept; gateways have no more."""
PROBE_SECONDS = 1.0
"""Seconds without a sample after which a slow endpoint gets one request like others,
so that its recovery is noticed. It varies by half of it, so that gateways take turns.
"""
TABLE_SECONDS = 0.1
"""Seconds for which the relations of one service's endpoints are kept."""
MAX_REPORTED = 32
"""Most estimates of one report, the slowest first. Each takes 7 bytes, and some 30
where the report tells no work of the endpoint."""
MAX_RECORDS = 8_192
"""Endpoints of which neighbours' estimates are kept; twice those of a large fleet."""


@dataclass(slots=True, kw_only=True)
class _Table:
    speeds: SpeedTable
    valid_until: float


class EndpointSpeeds:
    """The learned speeds by endpoint; times are in seconds.

    `run` identifies a run of an endpoint: with a new one its estimate begins anew.
    Unless `is_on`, nothing is learned from others' reports.

    >>> speeds = EndpointSpeeds(seed=1)
    >>> slow = Interval(low=3.0, high=3.0)
    >>> for number in range(5):
    ...     speeds.observe_step("a", "a/1", slow, now=0.1 * number)
    >>> endpoints = (("a", "a/1"), ("b", "b/1"), ("c", "c/1"))
    >>> table = speeds.table("s", endpoints, now=0.5)
    >>> round(table["a"].step, 1), "b" in table
    (3.0, False)
    >>> speeds.table("s", (("a", "a/2"), ("b", "b/1")), now=0.7)
    {}
    """

    def __init__(self, *, is_on: bool = True, seed: int | None = None):
        self._is_on = is_on
        self._records: dict[str, SpeedRecord] = {}
        self._usual: dict[str, UsualTimes] = {}
        self._tables: dict[object, _Table] = {}
        self._notable: set[str] = set()
        self._changed: set[str] = set()
        self._shown: set[str] = set()
        self._random = random.Random(seed)

    @property
    def notable(self) -> tuple[str, ...]:
        """The endpoints that differ from the prediction, or have a limit."""
        return tuple(self._notable)

    def observe_step(
        self,
        endpoint: str,
        run: str,
        sample: Interval,
        *,
        now: float,
        requests: int = 0,
    ) -> None:
        """Count a sample of an engine that was taken with `requests` in progress."""
        record = self._record(endpoint, run)
        self._schedule_probe(record, sample, now)
        record.step.observe(sample, now=now)
        if requests:
            record.limit.observe(
                requests=requests, low=sample.low, high=sample.high, now=now
            )
        self._update(endpoint, record, now)

    def observe_prefill(
        self, endpoint: str, run: str, sample: Interval, *, now: float
    ) -> None:
        """Count a sample of the time in which a long prompt was prefilled."""
        record = self._record(endpoint, run)
        record.prefill.observe(sample, now=now)
        self._delay_probe(record, now)
        self._update(endpoint, record, now)

    def observe_wait(self, endpoint: str, run: str, low: float, *, now: float) -> None:
        """Count an awaited first token: the slowdown is not below `low`."""
        record = self._records.get(endpoint)
        if low <= 1.0 and record is None:
            return
        record = self._record(endpoint, run)
        record.step.raise_to(low, now=now)
        self._delay_probe(record, now)
        self._update(endpoint, record, now)

    def observe_response(
        self,
        service: str,
        endpoint: str,
        run: str,
        seconds: float,
        *,
        requests: int,
        slots: int,
        now: float,
    ) -> None:
        """Count the response time of a plain service with `requests` in progress."""
        usual = self._usual.setdefault(service, UsualTimes())
        sample = usual.observe(seconds, requests=requests, slots=slots)
        if sample is None:
            return
        record = self._record(endpoint, run)
        self._schedule_probe(record, sample, now)
        record.step.observe(sample, now=now, rise=NOISY_RISE, fall=NOISY_FALL)
        ratio = math.exp(record.step.log(now=now))
        record.limit.observe(requests=requests, low=ratio, high=ratio, now=now)
        self._update(endpoint, record, now)

    def record_peer(self, host: str, reported: ReportedSpeed, *, now: float) -> None:
        """Store a neighbour's estimate unless it is of another run.

        The run of an endpoint without a record is not known here; `table` drops the
        estimate if it is of another one.
        """
        if not self._is_on:
            return
        record = self._records.get(reported.endpoint)
        if record is None:
            if len(self._records) >= MAX_RECORDS:
                return
            record = SpeedRecord(tag=reported.run_tag)
            self._records[reported.endpoint] = record
        if record.tag != reported.run_tag:
            return
        if host not in record.peers and len(record.peers) >= MAX_PEERS:
            return
        log = clamped_log(reported.slowdown)
        log = min(MAX_PEER_LOG, max(-MAX_PEER_LOG, log))
        record.peers[host] = (log, now)
        self._delay_probe(record, now)
        self._update(reported.endpoint, record, now)

    def table(
        self, key: object, endpoints: Sequence[tuple[str, str]], *, now: float
    ) -> SpeedTable:
        """Return the speeds of those endpoints that are not like the others.

        `endpoints` are the names and runs of all endpoints of one service that this
        gateway uses; `key` identifies them. The table holds for a moment.
        """
        if not self._notable:
            return NO_SPEEDS
        known = self._tables.get(key)
        if known is None or now >= known.valid_until:
            known = _Table(
                speeds=self._compare(endpoints, now), valid_until=now + TABLE_SECONDS
            )
            self._tables[key] = known
        return known.speeds

    def is_current(self, key: object, *, now: float) -> bool:
        """Whether `table` needs no endpoints: it has them, or nothing is notable."""
        if not self._notable:
            return True
        known = self._tables.get(key)
        return known is not None and now < known.valid_until

    def record_start(self, endpoint: str, *, now: float) -> None:
        """Record a request to an endpoint: a due probe is made with it."""
        if endpoint not in self._notable:
            return
        record = self._records[endpoint]
        if now >= record.probe_at:
            self._delay_probe(record, now)
            self._tables.clear()

    def slowdown(self, endpoint: str, *, now: float) -> float:
        """Return the estimate of one endpoint, not related to the others."""
        record = self._records.get(endpoint)
        return math.exp(record.log(now)) if record else 1.0

    def limit(self, endpoint: str, *, now: float) -> float:
        """Return the learned concurrency of one endpoint, infinite if unknown."""
        record = self._records.get(endpoint)
        return record.limit.value(now=now) if record else math.inf

    def reports(
        self, endpoints: Collection[str], *, now: float, is_complete: bool
    ) -> dict[str, ReportedSpeed]:
        """Return this gateway's own estimates that others should know.

        If `is_complete`, these are all that differ from the prediction by a step, by
        this gateway's samples or by those of others. Otherwise they are those that
        changed by a step since reported, and those of `endpoints`, of which the report
        tells the work. Estimates without fresh samples are left out.
        """
        if not (self._notable or self._changed):
            return {}
        chosen = self._notable
        if not is_complete:
            chosen = self._changed | self._notable.intersection(endpoints)
        found = []
        for endpoint in chosen:
            record = self._records.get(endpoint)
            if record is None or now - record.step.sampled_at > PEER_EXPIRY_SECONDS:
                continue
            log = record.step.log(now=now)
            found.append((-abs(log), endpoint, record, log))
        self._changed.clear()
        reports = {}
        for _, endpoint, record, log in sorted(found)[:MAX_REPORTED]:
            record.reported = log if abs(log) >= NOTABLE_LOG else 0.0
            reports[endpoint] = ReportedSpeed(
                endpoint=endpoint, run_tag=record.tag, slowdown=math.exp(log)
            )
        return reports

    def take_changes(self, *, now: float, most: int) -> tuple[SpeedChange, ...]:
        """Return up to `most` estimates that passed a step since they were returned."""
        changes = []
        for endpoint in sorted(self._notable | self._shown):
            record = self._records.get(endpoint)
            if record is None:
                self._shown.discard(endpoint)
                continue
            log = record.log(now)
            step = passed_steps(log, record.shown_step)
            limit = record.limit.value(now=now)
            shown_limit = None if math.isinf(limit) else int(limit)
            if step == record.shown_step and shown_limit == record.shown_limit:
                continue
            if len(changes) >= most:
                break
            changes.append(
                SpeedChange(
                    endpoint=endpoint,
                    slowdown=math.exp(log),
                    was_step=record.shown_step,
                    step=step,
                    limit=shown_limit,
                )
            )
            record.shown_step, record.shown_limit = step, shown_limit
            if step or shown_limit is not None:
                self._shown.add(endpoint)
            else:
                self._shown.discard(endpoint)
        return tuple(changes)

    def expire(self, *, now: float) -> None:
        """Drop the estimates of neighbours that were not repeated."""
        for endpoint in tuple(self._notable):
            record = self._records[endpoint]
            for host, (_, at) in tuple(record.peers.items()):
                if now - at > PEER_EXPIRY_SECONDS:
                    del record.peers[host]
            self._update(endpoint, record, now)
            if not (record.has_samples or record.peers):
                self.forget(endpoint)

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that is no longer announced."""
        self._records.pop(endpoint, None)
        self._notable.discard(endpoint)
        self._changed.discard(endpoint)
        self._shown.discard(endpoint)
        self._tables.clear()

    def _record(self, endpoint: str, run: str) -> SpeedRecord:
        record = self._records.get(endpoint)
        tag = run_tag(run)
        if record is None or record.tag != tag:
            record = self._records[endpoint] = SpeedRecord(tag=tag)
            self._notable.discard(endpoint)
            self._tables.clear()
        record.has_samples = True
        return record

    def _update(self, endpoint: str, record: SpeedRecord, now: float) -> None:
        """Note whether an endpoint is like its prediction after a change."""
        log = record.log(now)
        is_notable = (
            abs(log) >= NOTABLE_LOG
            or abs(record.prefill.log(now=now)) >= NOTABLE_LOG
            or not math.isinf(record.limit.value(now=now))
        )
        if is_notable:
            self._notable.add(endpoint)
        else:
            self._notable.discard(endpoint)
        own = record.step.log(now=now)
        own = own if abs(own) >= NOTABLE_LOG else 0.0
        if abs(own - record.reported) >= NOTABLE_LOG or (not own and record.reported):
            self._changed.add(endpoint)

    def _schedule_probe(
        self, record: SpeedRecord, sample: Interval, now: float
    ) -> None:
        """Delay the next probe, unless a fast sample shows that the speed changes."""
        if clamped_log(sample.high) < record.log(now) - NOTABLE_LOG:
            record.probe_at = now
        else:
            self._delay_probe(record, now)

    def _delay_probe(self, record: SpeedRecord, now: float) -> None:
        record.probe_at = now + PROBE_SECONDS * self._random.uniform(0.5, 1.5)

    def _compare(self, endpoints: Sequence[tuple[str, str]], now: float) -> SpeedTable:
        """Return the speeds of the endpoints that are not like the others."""
        records, logs, prefill_logs = {}, [], []
        for endpoint, run in endpoints:
            record = self._records.get(endpoint)
            if record is not None and record.tag != run_tag(run):
                self.forget(endpoint)
                record = None
            log = record.log(now) if record is not None else 0.0
            logs.append(log)
            if record is not None:
                records[endpoint] = record, log
                if now - record.prefill.sampled_at <= 4.0 * FRESH_SECONDS:
                    prefill_logs.append(record.prefill.log(now=now))
        if not records:
            return NO_SPEEDS
        usual = _lower_median(logs)
        usual_prefill = _lower_median(prefill_logs) if prefill_logs else usual
        table = {}
        for endpoint, (record, log) in records.items():
            step = _relation(log - usual)
            prefill = step
            if now - record.prefill.sampled_at <= 4.0 * FRESH_SECONDS:
                prefill = _relation(record.prefill.log(now=now) - usual_prefill)
            if now >= record.probe_at:
                step = min(1.0, step)
                prefill = min(1.0, prefill)
            limit = record.limit.value(now=now)
            if step != 1.0 or prefill != 1.0 or not math.isinf(limit):
                table[endpoint] = Speed(step=step, prefill=prefill, limit=limit)
        return table


def _relation(log: float) -> float:
    return 1.0 if abs(log) < NOTABLE_LOG else math.exp(log)


def _lower_median(values: list[float]) -> float:
    return sorted(values)[(len(values) - 1) // 2]
