"""Processor time and wall time of the start of a process."""

import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from bilberryring.standins.gateway_site import GatewaySite, make_configuration
from bilberryring.standins.scripted_endpoint import answer_all

RUNS = 7
STATEMENTS = {
    "signals are taken": "import bilberryring.process.early_signals",
    "gateway is imported": """
from bilberryring.platform.process import import_gateway
import_gateway()
""",
    "entry and sidecar are imported": """
from bilberryring.process.collection import no_collection
with no_collection():
    import bilberryring.commands
""",
}
PROGRAM = """
import time
{statement}
print(time.process_time(), time.monotonic())
"""
COMPILED = "compiled"
AS_IT_IS = "as the tree is"
STAT_USER_FIELD = 11
"""Place of the user time after the name in `/proc/PID/stat`, before the system's."""


def run_table() -> None:
    """Print a row for each moment of a start: medians of `RUNS` processes.

    The rows are for the tree as it is, whose modules may be compiled at each start, and
    for modules that were compiled before.
    """
    print("| moment | modules | processor s | wall s |")
    print("| --- | --- | --- | --- |")
    with tempfile.TemporaryDirectory() as folder:
        caching = {"PYTHONPYCACHEPREFIX": folder, "PYTHONDONTWRITEBYTECODE": ""}
        for modules, extra in ((AS_IT_IS, {}), (COMPILED, caching)):
            environment = os.environ | extra
            for moment, statement in STATEMENTS.items():
                _run(statement, environment)
                times = [_run(statement, environment) for _ in range(RUNS)]
                _print_row(moment, modules, times)
            _print_row("gateway is ready", modules, _measure_ready(extra))


def _print_row(moment: str, modules: str, times: list[tuple[float, float]]) -> None:
    processor, wall = (statistics.median(column) for column in zip(*times, strict=True))
    print(f"| {moment} | {modules} | {processor:.3f} | {wall:.3f} |")
    print(json.dumps({"moment": moment, "modules": modules, "times": times}))


def _run(statement: str, environment: dict[str, str]) -> tuple[float, float]:
    """Return the processor time and the wall time until a statement has run."""
    started_at = time.monotonic()
    output = subprocess.run(
        [sys.executable, "-c", PROGRAM.format(statement=statement)],
        env=environment,
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    processor, ended_at = map(float, output.split())
    return processor, ended_at - started_at


def _measure_ready(extra: dict[str, str]) -> list[tuple[float, float]]:
    """Return the times until a gateway that is killed and started again is ready."""
    times = []
    own = dict(os.environ)
    site = GatewaySite().start()
    try:
        site.publish(make_configuration())
        site.add_endpoint("a", answer_all)
        os.environ.update(extra)
        site.start_gateway()
        for _ in range(RUNS):
            site.process("gateway-1").kill()
            started_at = time.monotonic()
            site.start_gateway()
            wall = time.monotonic() - started_at
            times.append((_processor_time(site.process("gateway-1").process_id), wall))
    finally:
        os.environ.clear()
        os.environ.update(own)
        site.stop()
    return times


def _processor_time(process_id: int) -> float:
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    ticks = sum(map(int, fields[STAT_USER_FIELD : STAT_USER_FIELD + 2]))
    return ticks / os.sysconf("SC_CLK_TCK")
