"""Memory of a gateway, and the times of other callers, beside answers without end."""

import json
import threading
import time
from dataclasses import dataclass
from pathlib import Path

from bilberryring.measure.statistics import percentile
from bilberryring.standins.endless_answers import (
    ENDLESS_ANSWERS,
    Endless,
    unending_body,
)
from bilberryring.standins.gateway_site import GatewaySite, make_configuration
from bilberryring.standins.scripted_endpoint import answer_all

PHASE_SECONDS = 4.0
CALLERS = 4
CALL_INTERVAL_SECONDS = 0.02
KB_PER_MB = 1_024.0
SOUND = "sound answers"
"""The kind whose answers end: what one more caller without a pause costs the others."""
AT_ONCE = 12
BODIES_AT_ONCE = f"{AT_ONCE} slow bodies at once"
SLOW_BLOCK_SECONDS = 0.005
"""Seconds between two blocks of a slow body."""
SCRIPTS = ENDLESS_ANSWERS | {
    BODIES_AT_ONCE: Endless(unending_body, every=SLOW_BLOCK_SECONDS)
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Phase:
    """What was measured while one kind of answer was sent without end, or none.

    `p99_ms` is that of the other callers. `n_answers` counts the endless answers, or
    the sound ones in their place.
    """

    kind: str
    p99_ms: float
    peak_mb: float
    n_answers: int


def run_table() -> None:
    """Print a row for each kind, with the growth of the peak of resident memory."""
    first, sound = _measure("none"), _measure(SOUND)
    columns = "answers | p99 ms | of none | of sound | peak MB | growth MB"
    print(f"| kind | {columns} |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for kind in ("none", SOUND, *SCRIPTS):
        phase = _measure(kind)
        growth = phase.peak_mb - first.peak_mb
        print(
            f"| {kind} | {phase.n_answers} | {phase.p99_ms:.1f} "
            f"| {phase.p99_ms / first.p99_ms:.2f} | {phase.p99_ms / sound.p99_ms:.2f} "
            f"| {phase.peak_mb:.1f} | {growth:.1f} |"
        )
        print(json.dumps({"kind": kind, "p99_ms": phase.p99_ms, "growth_mb": growth}))


def _measure(kind: str) -> Phase:
    site = GatewaySite(gateways=1).start()
    try:
        site.publish(make_configuration())
        n_answers = 0

        def answer(request, connection):
            nonlocal n_answers
            if request.target != "/charge/":
                answer_all(request, connection)
                return
            n_answers += 1
            script = answer_all if kind == SOUND else SCRIPTS[kind].again()
            script(request, connection)

        for name in "abc":
            site.add_endpoint(name, answer)
        site.start_gateway()
        times: list[float] = []
        end_at = time.monotonic() + PHASE_SECONDS
        threads = [
            threading.Thread(target=_call, args=(site, times, end_at))
            for _ in range(CALLERS)
        ]
        if kind != "none":
            n_chargers = AT_ONCE if kind == BODIES_AT_ONCE else 1
            threads += [
                threading.Thread(target=_charge, args=(site, end_at))
                for _ in range(n_chargers)
            ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return Phase(
            kind=kind,
            p99_ms=percentile(times, 0.99) * 1_000.0,
            peak_mb=_peak_mb(site.process("gateway-1").process_id),
            n_answers=n_answers,
        )
    finally:
        site.stop()


def _call(site: GatewaySite, times: list[float], end_at: float) -> None:
    connection = site.connect()
    while (began_at := time.monotonic()) < end_at:
        answer = site.call("/look/", connection=connection)
        times.append(time.monotonic() - began_at)
        if answer.status != 200 or answer.headers.get("connection") == "close":
            connection.close()
        time.sleep(CALL_INTERVAL_SECONDS)


def _charge(site: GatewaySite, end_at: float) -> None:
    """Ask for answers without a pause."""
    while time.monotonic() < end_at:
        site.call("/charge/")


def _peak_mb(pid: int) -> float:
    """Return the peak of a process's resident memory, from procfs."""
    for line in Path(f"/proc/{pid}/status").read_text("ascii").splitlines():
        name, _, value = line.partition(":")
        if name == "VmHWM":
            return int(value.split()[0]) / KB_PER_MB
    raise LookupError("VmHWM")
