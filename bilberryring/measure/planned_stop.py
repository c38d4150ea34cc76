"""What callers of a gateway get while it is stopped under load."""

import json
import time
from collections import Counter

from bilberryring.measure.statistics import percentile
from bilberryring.standins.gateway_site import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    GatewaySite,
    make_configuration,
    make_route,
)
from bilberryring.standins.scripted_endpoint import (
    Script,
    answer_all,
    chunk,
    event,
    stream_head,
)
from bilberryring.standins.stop_callers import (
    PATHS,
    ConnectionUse,
    StopCallers,
    StopRequest,
    wait_until_moment,
)
from bilberryring.testing.processes import pause

GRACE_SECONDS = 8.0
INTERVAL_SECONDS = 0.25
LAST_SECONDS = 4.0
"""Seconds after the signal until which requests are sent."""
START_SECONDS = 1.0
USES = (ConnectionUse.KEPT, ConnectionUse.NEW)
RUN_SECONDS = (0.1, 2.0, 5.0)
DEADLINES_MS = (1_500, 10_000)
N_EVENTS = 4
OUTCOMES = ("served", "refused", "failed", "cut", "closed")


def run_table() -> None:
    """Print a row for each duration of requests, deadline of callers and path.

    A request is cut if an endpoint got it and its caller a part of an answer or
    nothing, and closed if no endpoint got it and its connection was closed. The times
    are those of whole answers.
    """
    print(f"| run s | deadline ms | path | {' | '.join(OUTCOMES)} | p99 s |")
    print("| --- | --- | --- |" + " --- |" * (len(OUTCOMES) + 1))
    for run_seconds in RUN_SECONDS:
        for deadline_ms in DEADLINES_MS:
            requests, runs = _stop(run_seconds, deadline_ms)
            for path in PATHS:
                _print_row(
                    run_seconds,
                    deadline_ms,
                    path,
                    [request for request in requests if request.path == path],
                    runs,
                )


def _print_row(
    run_seconds: float,
    deadline_ms: int,
    path: str,
    requests: list[StopRequest],
    runs: frozenset[str],
) -> None:
    counts = Counter(_outcome(request, runs) for request in requests)
    times = [request.answered_after for request in requests if request.answer.is_whole]
    p99 = percentile(times, 0.99) if times else 0.0
    cells = " | ".join(str(counts[outcome]) for outcome in OUTCOMES)
    print(f"| {run_seconds} | {deadline_ms} | {path} | {cells} | {p99:.2f} |")
    print(json.dumps({"run": run_seconds, "path": path} | counts))


def _outcome(request: StopRequest, runs: frozenset[str]) -> str:
    answer = request.answer
    if answer.is_whole and answer.status == 200:
        return "served"
    if answer.is_whole:
        return "refused" if answer.status == 503 else "failed"
    return "cut" if request.request_id in runs else "closed"


def _stop(
    run_seconds: float, deadline_ms: int
) -> tuple[list[StopRequest], frozenset[str]]:
    """Return the requests around one stop, and the ids of those that ran."""
    site = GatewaySite(grace=GRACE_SECONDS).start()
    try:
        kinds = zip(PATHS, ("non_idempotent", "idempotent", "streaming"), strict=True)
        routes = [
            make_route(
                path,
                kind,
                MODEL_SERVICE if kind == "streaming" else PLAIN_SERVICE,
                timeout_ms=deadline_ms,
            )
            for path, kind in kinds
        ]
        site.publish(make_configuration(routes=routes))
        endpoints = [
            site.add_endpoint(service, _answer_after(run_seconds), service=service)
            for service in (PLAIN_SERVICE, MODEL_SERVICE)
        ]
        site.start_gateway()
        callers = StopCallers(
            site=site,
            moments=[
                INTERVAL_SECONDS * n
                for n in range(-4, int(LAST_SECONDS / INTERVAL_SECONDS))
            ],
            deadline_ms=deadline_ms,
            uses=USES,
        )
        callers.start()
        stop_at = time.monotonic() + START_SECONDS + 1.0
        callers.begin(stop_at)
        wait_until_moment(stop_at)
        site.process("gateway-1").terminate()
        wait_until_moment(stop_at + GRACE_SECONDS)
        callers.join()
        runs = frozenset(
            request.request_id
            for endpoint in endpoints
            for request in endpoint.requests
        )
        return callers.requests, runs
    finally:
        site.stop()


def _answer_after(seconds: float) -> Script:
    def script(request, connection):
        if not request.target.startswith("/chat/"):
            pause(seconds)
            answer_all(request, connection)
            return
        connection.sendall(stream_head(request.request_id))
        for number in range(1, N_EVENTS + 1):
            connection.sendall(chunk(event(number)))
            pause(seconds / N_EVENTS)
        connection.sendall(chunk(b""))

    return script
