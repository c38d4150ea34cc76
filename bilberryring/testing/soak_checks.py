"""Checks over the records of a soak: each returns its findings.

They use only what callers, endpoints and operators recorded, and, for the last records
of requests, the gateways' logs. Bounds are in seconds.
"""

import itertools
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from functools import cached_property

from bilberryring.core import Delivery
from bilberryring.telemetry.request_endings import read_endings, read_last_records
from bilberryring.testing.soak_answers import answer_body, whole_stream
from bilberryring.testing.soak_faults import EndpointSilence
from bilberryring.testing.soak_records import (
    AT_MOST_ONCE,
    EXIT,
    STREAMS,
    CallRecord,
    FaultRecord,
    PublishedRecord,
    RunRecord,
    SoakConfiguration,
    SoakRecords,
)

STABILITY_SECONDS = 3.0
ANSWER_SLACK_SECONDS = 0.5
LOSS_SLACK_SECONDS = 0.2
EDGE_SECONDS = 0.1
"""How much before its time limit a request may end and count as timed out."""
GRACE_SECONDS = 6.0
LATE_STOP_SHARE = 5 / 6
EARLY_STOP_SECONDS = 3.0
DRAIN_SECONDS = 2.0
EVACUATE_SECONDS = 5.0
APPLY_SECONDS = 2.0
ROLLBACK_SLACK_SECONDS = 0.25
BUDGET_WINDOW_SECONDS = 10.0
CALLER_SLACK_SECONDS = 1.0
"""Seconds after its deadline at which a caller leaves."""
FAILED_STATUSES = frozenset((500, 502, 504))
MS_PER_SECOND = 1_000.0
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
STAMP = "bilberryring-response-stamp"
STORE = "store"


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """A broken promise: the name of the check, the request if any, and the details."""

    check: str
    request: str
    at: float
    detail: str


class SoakHistory:
    """The records of a soak, indexed for the checks."""

    def __init__(self, records: SoakRecords):
        self.records = records
        self._faults: dict[str, list[FaultRecord]] = defaultdict(list)
        for fault in records.faults:
            for target in fault.targets:
                self._faults[target].append(fault)

    @cached_property
    def calls(self) -> dict[str, CallRecord]:
        """The calls by the id of their request."""
        return {call.request: call for call in self.records.calls}

    @cached_property
    def runs(self) -> dict[str, list[RunRecord]]:
        """The arrivals of each request, in the order of their times."""
        runs: dict[str, list[RunRecord]] = defaultdict(list)
        for run in sorted(self.records.runs, key=lambda run: run.at):
            runs[run.request].append(run)
        return runs

    def faults(
        self, target: str, begin: float, end: float, *, planned: bool | None = None
    ) -> list[FaultRecord]:
        """Return the faults of a target that overlap a span.

        `planned` selects planned work or faults; `None` selects both.
        """
        return [
            fault
            for fault in self._faults[target]
            if fault.began_at <= end
            and fault.ended_at >= begin
            and planned in (None, fault.is_planned)
        ]

    def is_in_touch(self, gateway: int, at: float) -> bool:
        """Whether a gateway, the store and the way between them were undisturbed.

        That holds for the stability window before a time.
        """
        begin = at - STABILITY_SECONDS
        names = (gateway_name(gateway), store_link_name(gateway), STORE)
        return not any(self.faults(name, begin, at) for name in names)

    def is_gateway_sound(self, call: CallRecord) -> bool:
        """Whether a call's gateway had planned work at most, up to the call's end."""
        begin = call.sent_at - STABILITY_SECONDS
        name = gateway_name(call.gateway)
        return not self.faults(name, begin, call.ended_at, planned=False)

    def are_endpoints_sound(self, call: CallRecord) -> bool:
        """Whether a call ran, and only at endpoints that were sound or silent."""
        runs = [run for run in self.runs.get(call.request, []) if run.has_run]
        begin = call.sent_at - STABILITY_SECONDS
        return bool(runs) and not any(
            run.is_failed
            or self.faults(run.endpoint, begin, call.ended_at, planned=False)
            for run in runs
        )

    def is_read(self, call: CallRecord) -> bool:
        """Whether a call was read, as far as endpoints and the call itself show."""
        is_late = call.seconds_since_written > LOSS_SLACK_SECONDS
        return call.request in self.runs or is_late

    def has_endpoint_exited(self, call: CallRecord) -> bool:
        """Whether an endpoint that left exited while it was at work on a call."""
        return any(
            fault.kind == EXIT
            for run in self.runs.get(call.request, [])
            for fault in self.faults(run.endpoint, run.at, call.ended_at)
        )

    def is_beside_silence(self, call: CallRecord) -> bool:
        """Whether an endpoint that had a call was silent during it."""
        return any(
            fault.kind == EndpointSilence.__name__
            for run in self.runs.get(call.request, [])
            for fault in self.faults(run.endpoint, run.at, call.ended_at)
        )

    @cached_property
    def last_records(self) -> dict[str, str]:
        """What the gateways' last records say that callers got."""
        lines = itertools.chain.from_iterable(log.lines for log in self.records.logs)
        return read_last_records(lines)

    def time_limit(self, call: CallRecord) -> float:
        """Return the seconds after which a call may end without its answer."""
        timeouts = [p.configuration.timeout_ms for p in self.records.published]
        return min([call.deadline, *(ms / 1_000.0 for ms in timeouts)])

    def is_stopped_at_work(self, call: CallRecord) -> bool:
        """Whether an early request of a planned stop was at work late in the grace."""
        name = gateway_name(call.gateway)
        for stop in self.faults(name, call.sent_at, call.ended_at, planned=True):
            late = stop.began_at + LATE_STOP_SHARE * GRACE_SECONDS
            is_early = call.sent_at <= stop.began_at + EARLY_STOP_SECONDS
            runs = self.runs.get(call.request, [])
            if is_early and any(run.ended_at >= late for run in runs):
                return True
        return False

    def published_between(self, call: CallRecord) -> list[PublishedRecord]:
        """Return the configurations that may be in force for a call."""
        newest = [p for p in self.records.published if p.sent_at <= call.ended_at]
        if not self.is_in_touch(call.gateway, call.sent_at):
            return newest
        applied = [
            p.configuration.version
            for p in newest
            if p.acknowledged_at + APPLY_SECONDS < call.sent_at
        ]
        oldest = max(applied, default=0)
        return [p for p in newest if p.configuration.version >= oldest]


def gateway_name(number: int) -> str:
    """Return the name of the process of a gateway."""
    return f"gateway-{number}"


def store_link_name(gateway: int) -> str:
    """Return the name of the connections of a gateway to the store."""
    return f"{gateway_name(gateway)} store"


def run_checks(records: SoakRecords) -> list[Finding]:
    """Return the findings of all checks."""
    history = SoakHistory(records)
    return [
        Finding(check=name, request=request, at=at, detail=detail)
        for name, check in CHECKS.items()
        for request, at, detail in check(history)
    ]


_Findings = Iterator[tuple[str, float, str]]


def _check_own_answer(history: SoakHistory) -> _Findings:
    """A success is the endpoint's own and whole answer; a stream has no gap."""
    for call in history.records.calls:
        answer = call.answer
        if not 200 <= answer.status < 300 or call.has_left:
            continue
        is_stream = call.path in STREAMS
        whole = (whole_stream if is_stream else answer_body)(call.request)
        if STAMP not in answer.headers:
            yield call.request, call.ended_at, "a success without a stamp"
        elif not answer.is_cut and answer.body != whole:
            yield call.request, call.ended_at, "the answer is not the endpoint's"
        elif answer.is_cut and not whole.startswith(answer.body):
            yield call.request, call.ended_at, "a part is not the endpoint's"


def _check_at_most_once(history: SoakHistory) -> _Findings:
    """A request that may run once at most has run once at most."""
    for request, runs in history.runs.items():
        call = history.calls.get(request)
        n_runs = sum(run.has_run for run in runs)
        if call is not None and call.path in AT_MOST_ONCE and n_runs > 1:
            yield request, runs[-1].at, f"{n_runs} runs"


def _check_not_run(history: SoakHistory) -> _Findings:
    """A request that was answered as not run has not run."""
    for call in history.records.calls:
        has_run = any(run.has_run for run in history.runs.get(call.request, []))
        if call.answer.status in NOT_RUN_STATUSES and has_run:
            yield call.request, call.ended_at, f"status {call.answer.status}"


def _check_answered(history: SoakHistory) -> _Findings:
    """Each request that a sound gateway read gets an answer.

    A caller may get nothing of a stream that its endpoint breaks off.
    """
    for call in history.records.calls:
        if call.answer.status or call.has_left or not history.is_gateway_sound(call):
            continue
        has_arrived = call.request in history.runs
        is_broken = call.path in STREAMS and not history.are_endpoints_sound(call)
        is_excused = history.is_stopped_at_work(call) or (is_broken and has_arrived)
        if history.is_read(call) and not is_excused:
            where = "after it reached an endpoint" if has_arrived else "unsent"
            yield (
                call.request,
                call.ended_at,
                f"no answer in {call.seconds:.2f} s, {where}",
            )


def _check_in_time(history: SoakHistory) -> _Findings:
    """Each answer of a sound gateway ends soon after the deadline at the latest."""
    for call in history.records.calls:
        is_late = call.seconds > call.deadline + ANSWER_SLACK_SECONDS
        if is_late and not call.has_left and history.is_gateway_sound(call):
            yield call.request, call.ended_at, f"ended after {call.seconds:.2f} s"


def _check_lost(history: SoakHistory) -> _Findings:
    """Nothing but a fault cuts an answer that a sound or silent endpoint gives."""
    for call in history.records.calls:
        status, is_cut = call.answer.status, call.answer.is_cut
        is_failed = status in FAILED_STATUSES and STAMP not in call.answer.headers
        if call.has_left or not status or not (is_cut or is_failed):
            continue
        if (
            call.seconds < history.time_limit(call) - EDGE_SECONDS
            and history.is_gateway_sound(call)
            and history.are_endpoints_sound(call)
            and not history.is_stopped_at_work(call)
        ):
            what = "cut" if is_cut else f"status {status}"
            yield call.request, call.ended_at, f"{what} after {call.seconds:.2f} s"


def _check_planned_work(history: SoakHistory) -> _Findings:
    """Beside planned work alone, each request that was read is answered or refused."""
    if not history.records.is_planned:
        return
    for call in history.records.calls:
        answer = call.answer
        is_failed = answer.status in FAILED_STATUSES and STAMP not in answer.headers
        is_ended = answer.status and not (answer.is_cut or is_failed)
        if call.has_left or is_ended or not history.is_read(call):
            continue
        timeouts = (
            p.configuration.timeout_ms / MS_PER_SECOND
            for p in history.published_between(call)
        )
        time_limit = min((call.deadline, *timeouts)) - EDGE_SECONDS
        is_timed_out = answer.status and call.seconds >= time_limit
        is_excused = (
            is_timed_out
            or history.has_endpoint_exited(call)
            or history.is_stopped_at_work(call)
        )
        if not is_excused:
            what = f"status {answer.status}" if is_failed else saw(call).value
            yield call.request, call.ended_at, f"{what} after {call.seconds:.2f} s"


def _check_last_record_agrees(history: SoakHistory) -> _Findings:
    """Beside planned work alone, last records say what the callers saw."""
    if not history.records.is_planned:
        return
    logs = history.records.logs
    whole_logs = {(log.gateway, log.incarnation) for log in logs if log.has_exited}
    for call in history.records.calls:
        if call.has_left or call.seconds >= call.deadline + CALLER_SLACK_SECONDS:
            continue
        delivery = saw(call)
        told = history.last_records.get(call.request)
        is_logged = (call.gateway, call.incarnation) in whole_logs
        is_missing = told is None and 200 <= call.answer.status < 300 and is_logged
        # A caller that speaks HTTP/1.1 cannot tell a missing mark from a cut.
        if told == Delivery.UNMARKED.value:
            told_delivery = Delivery.CUT.value
        else:
            told_delivery = told
        if is_missing or told_delivery not in (None, delivery.value):
            detail = f"the caller saw {delivery.value}, its last record says {told}"
            yield call.request, call.ended_at, detail


def saw(call: CallRecord) -> Delivery:
    """Return what a caller got of its answer."""
    if not call.answer.status:
        return Delivery.NOTHING
    return Delivery.CUT if call.answer.is_cut else Delivery.WHOLE


def _check_departures(history: SoakHistory) -> _Findings:
    """No work goes to endpoints that left, nor to domains that were taken out.

    A departure counts if the store was stable when it acknowledged it.
    """
    departures = [
        out
        for out in history.records.departures
        if not history.faults(
            STORE, out.acknowledged_at - STABILITY_SECONDS, out.acknowledged_at
        )
    ]
    for run in history.records.runs:
        call = history.calls.get(run.request)
        if call is None or run.is_foreign or call.has_left:
            continue
        begin = run.at - STABILITY_SECONDS
        is_held = history.faults(run.endpoint, begin, run.at, planned=False)
        if is_held or not history.is_in_touch(call.gateway, run.at):
            continue
        for outs, name, bound in (
            (departures, run.instance, DRAIN_SECONDS),
            (history.records.evacuations, run.domain, EVACUATE_SECONDS),
        ):
            for out in outs:
                since = run.at - out.acknowledged_at
                if out.name == name and bound < since and run.at < out.ended_at:
                    yield run.request, run.at, f"{name} has been out for {since:.2f} s"


def _evidence(
    history: SoakHistory, call: CallRecord
) -> Iterator[tuple[float, str, tuple[int, ...]]]:
    """Yield what shows how a call was handled, and the versions that explain it."""
    published = [p.configuration for p in history.records.published]

    def explained(is_allowed) -> tuple[int, ...]:
        return tuple(c.version for c in published if is_allowed(c))

    def allows(configuration: SoakConfiguration, service: str) -> bool:
        is_right = configuration.service_of(call.path) == service
        return is_right and configuration.allows_key(call.key)

    for run in history.runs.get(call.request, []):
        at_service = run.service
        what = f"arrived at {at_service}"
        yield run.at, what, explained(lambda c, s=at_service: allows(c, s))
    match call.answer.status:
        case 401:
            versions = explained(lambda c: not c.allows_key(call.key))
            yield call.ended_at, "status 401", versions
        case 404:
            versions = explained(lambda c: c.service_of(call.path) is None)
            yield call.ended_at, "status 404", versions


def _check_configuration(history: SoakHistory) -> _Findings:
    """A request is handled as a configuration that may be in force allows."""
    for call in history.records.calls:
        allowed = {p.configuration.version for p in history.published_between(call)}
        for at, what, versions in _evidence(history, call):
            if at <= call.ended_at and not allowed.intersection(versions):
                yield call.request, at, f"{what} for {call.path}, {sorted(allowed)}"


def _check_forward(history: SoakHistory) -> _Findings:
    """In one process, no configuration follows a newer one."""
    seen: dict[tuple[int, int], list[tuple[float, int]]] = defaultdict(list)
    for call in history.records.calls:
        for at, _, versions in _evidence(history, call):
            if versions:
                seen[call.gateway, call.incarnation].append((at, min(versions)))
    for call in history.records.calls:
        before = call.sent_at - ROLLBACK_SLACK_SECONDS
        shown = seen[call.gateway, call.incarnation]
        newest = max((version for at, version in shown if at < before), default=0)
        for at, what, versions in _evidence(history, call):
            if versions and max(versions) < newest:
                yield call.request, at, f"{what} for {call.path} after {newest}"


def _check_retry_budget(history: SoakHistory) -> _Findings:
    """All gateways together keep the retry budget of each service."""
    sent: dict[str, list[float]] = defaultdict(list)
    extra: dict[str, list[tuple[float, str]]] = defaultdict(list)
    published = history.records.published
    for call in history.records.calls:
        configurations = [p for p in published if p.sent_at <= call.ended_at]
        runs = history.runs.get(call.request, [])
        services = {run.service for run in runs} or {
            configurations[-1].configuration.service_of(call.path)
        }
        for service in filter(None, services):
            sent[service].append(call.sent_at)
        for run in runs[1:]:
            extra[run.service].append((run.at, call.request))
    window = BUDGET_WINDOW_SECONDS
    for service, arrivals in extra.items():
        arrivals.sort()
        for at, request in arrivals:
            n_extra = sum(at - window < other <= at for other, _ in arrivals)
            n_sent = max(
                sum(end - window < other <= end for other in sent[service])
                for end in (at, at - window / 2, at - window)
            )
            records = history.records
            bound = records.retry_ratio * n_sent + records.retry_slack
            if n_extra > bound:
                yield (
                    request,
                    at,
                    f"{n_extra} retries to {service}, at most {bound:.0f}",
                )


def _check_last_records(history: SoakHistory) -> _Findings:
    """Each request in the log of a gateway that was not killed has one last record."""
    for log in history.records.logs:
        if not log.has_exited:
            continue
        endings = read_endings(log.lines)
        name = f"{gateway_name(log.gateway)}, start {log.incarnation}"
        if endings.dropped_lines:
            yield "", 0.0, f"{endings.dropped_lines} log lines of {name} are missing"
            continue
        for what, requests in (
            ("no last record", endings.unended),
            ("several last records", endings.repeated),
        ):
            for request in requests:
                yield request, 0.0, f"{what} at {name}"


def _check_processes(history: SoakHistory) -> _Findings:
    """No gateway ends by itself, nor a stop with another status than 0."""
    for gateway, at in history.records.own_ends:
        yield "", at, f"{gateway_name(gateway)} ended by itself"


CHECKS = {
    "own answer": _check_own_answer,
    "at most once": _check_at_most_once,
    "not run": _check_not_run,
    "answered": _check_answered,
    "in time": _check_in_time,
    "lost": _check_lost,
    "planned work": _check_planned_work,
    "last record says otherwise": _check_last_record_agrees,
    "no work to those out": _check_departures,
    "configuration in force": _check_configuration,
    "configuration forward": _check_forward,
    "retry budget": _check_retry_budget,
    "last records": _check_last_records,
    "processes stay": _check_processes,
}
