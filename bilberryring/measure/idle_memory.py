"""Where the memory of an idle gateway goes: its moments, and the imports."""

import json
import os
import re
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from bilberryring.standins.gateway_site import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    GatewaySite,
    make_configuration,
    make_route,
)
from bilberryring.standins.scripted_endpoint import answer_all

RUNS = 5
SETTLING_SECONDS = 2.5
"""Seconds within which a gateway has read a configuration and has acted on it."""
REQUESTS = 500
ROUTES = 600
TENANTS = 200
ROUTE_KINDS = (
    ("idempotent", PLAIN_SERVICE),
    ("non_idempotent", PLAIN_SERVICE),
    ("streaming", MODEL_SERVICE),
)
STATUS_FIELDS = ("VmRSS", "VmHWM", "RssAnon", "RssFile")
ROLLUP_FIELDS = ("Pss", "Private_Dirty", "Private_Clean", "Shared_Clean")
FIELDS = (*STATUS_FIELDS, *ROLLUP_FIELDS)
MIN_PACKAGE_KB = 100
IMPORTS = """
import json, sys
from collections import Counter
from importlib.machinery import ExtensionFileLoader, SourceFileLoader

def resident():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4

own, inner = Counter(), [0]

def wrap(loader, method):
    original = getattr(loader, method)
    def measured(self, argument):
        before = resident()
        inner.append(0)
        try:
            return original(self, argument)
        finally:
            grown = resident() - before
            own[self.name] += grown - inner.pop()
            inner[-1] += grown
    setattr(loader, method, measured)

wrap(SourceFileLoader, "exec_module")
wrap(ExtensionFileLoader, "create_module")
wrap(ExtensionFileLoader, "exec_module")
before = resident()
from bilberryring.platform.process import import_gateway
import_gateway()
print(json.dumps({"before": before, "after": resident(), "own": own}))
"""


def run_table() -> None:
    """Print the memory at each moment, and what each package adds; all in kB.

    All modules are compiled before, as the build of a deployment does.
    """
    own = dict(os.environ)
    with tempfile.TemporaryDirectory() as folder:
        os.environ["PYTHONPYCACHEPREFIX"] = folder
        os.environ["PYTHONDONTWRITEBYTECODE"] = ""
        try:
            _measure_imports()
            rows = [_measure_gateway() for _ in range(RUNS + 1)][1:]
            _print_moments(rows)
            _print_imports([_measure_imports() for _ in range(RUNS)])
        finally:
            os.environ.clear()
            os.environ.update(own)


def _print_moments(rows: list[dict[str, dict[str, int]]]) -> None:
    print("| moment | " + " | ".join(FIELDS) + " |")
    print("| --- |" + " --- |" * len(FIELDS))
    for moment in rows[0]:
        medians = [
            f"{statistics.median(row[moment][field] for row in rows):,.0f}"
            for field in FIELDS
        ]
        print(f"| {moment} | " + " | ".join(medians) + " |")
    print(json.dumps({"moments": rows}))


def _print_imports(runs: list[dict]) -> None:
    before = statistics.median(run["before"] for run in runs)
    after = statistics.median(run["after"] for run in runs)
    print(f"imports: {before:,.0f} kB before, {after:,.0f} kB after")
    totals = [_by_package(run["own"]) for run in runs]
    medians = {
        package: statistics.median(total.get(package, 0) for total in totals)
        for package in set().union(*totals)
    }
    print("| package | kB |")
    print("| --- | --- |")
    for package, size in sorted(medians.items(), key=lambda item: -item[1]):
        if size >= MIN_PACKAGE_KB:
            print(f"| {package} | {size:,.0f} |")


def _by_package(own: dict[str, int]) -> dict[str, int]:
    """Return the sums of packages; those of large ones by their second name."""
    totals: dict[str, int] = {}
    for module, size in own.items():
        names = module.split(".")
        is_large = names[0] in ("twisted", "bilberryring")
        package = ".".join(names[: 2 if is_large else 1])
        totals[package] = totals.get(package, 0) + size
    return totals


def _measure_imports() -> dict:
    output = subprocess.run(
        [sys.executable, "-c", IMPORTS], check=True, capture_output=True, text=True
    ).stdout
    return json.loads(output)


def _measure_gateway() -> dict[str, dict[str, int]]:
    site = GatewaySite().start()
    try:
        site.publish(make_configuration())
        site.add_endpoint("a", answer_all)
        site.start_gateway()
        process = site.process("gateway-1").process_id
        moments = {}
        time.sleep(SETTLING_SECONDS)
        moments["idle"] = _memory(process)
        for version in (2, 3):
            site.publish(_large_configuration(version))
            time.sleep(SETTLING_SECONDS)
            moments[f"{ROUTES} routes, version {version}"] = _memory(process)
        connection = site.connect()
        for _ in range(REQUESTS):
            site.call("/r0/", connection=connection)
        moments[f"{REQUESTS} requests later"] = _memory(process)
        site.metrics()
        moments["metrics were read"] = _memory(process)
        return moments
    finally:
        site.stop()


def _large_configuration(version: int) -> dict:
    routes = [
        make_route(f"/r{number}/", *ROUTE_KINDS[number % len(ROUTE_KINDS)])
        for number in range(ROUTES)
    ]
    tenants = [
        {"name": f"t{number}", "api_keys": [f"key-{number}"], "priority": 1}
        for number in range(TENANTS)
    ]
    return make_configuration(version, routes=routes, tenants=tenants)


def _memory(process_id: int) -> dict[str, int]:
    """Return the fields of a process's memory in kB."""
    folder = Path(f"/proc/{process_id}")
    text = (folder / "status").read_text() + (folder / "smaps_rollup").read_text()
    return {
        field: int(re.search(rf"^{field}:\s+(\d+) kB", text, re.MULTILINE)[1])
        for field in FIELDS
    }
