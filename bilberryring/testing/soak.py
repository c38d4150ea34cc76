"""The command that runs a soak and reports faults, checked requests and findings."""

import itertools
import json
import shutil
import signal
import sys
import time
from collections import Counter
from dataclasses import asdict
from enum import Enum
from pathlib import Path

import click

from bilberryring.testing.soak_checks import Finding, SoakHistory, run_checks
from bilberryring.testing.soak_faults import SoakFleet, draw_schedule, plan_endpoints
from bilberryring.testing.soak_records import SoakRecords
from bilberryring.testing.soak_run import Soak
from bilberryring.testing.soak_seeds import KEPT_SEEDS, PLANNED_SEEDS

SECONDS_PER_MINUTE = 60.0
MINUTES = 0.66
PLANNED_MINUTES = 1.0


def report_lines(records: SoakRecords, findings: list[Finding]) -> list[dict]:
    """Return the injected faults, the numbers of requests and the findings."""
    faults = Counter(fault.kind for fault in records.faults)
    requests = Counter(call.path.strip("/") for call in records.calls)
    statuses = Counter(
        f"{call.answer.status}{' cut' if call.answer.is_cut else ''}"
        for call in records.calls
        if not call.has_left
    )
    history = SoakHistory(records)
    unread = Counter(
        "on a kept connection" if call.is_kept else "on a new connection"
        for call in records.calls
        if not (call.answer.status or call.has_left or history.is_read(call))
    )
    given_up = Counter(
        ("in a stream" if call.answer.body else "with nothing")
        + (", beside a silence" if history.is_beside_silence(call) else "")
        for call in records.calls
        if call.has_given_up
    )
    return [
        {"faults": dict(sorted(faults.items()))},
        {
            "requests": dict(sorted(requests.items())),
            "runs": len(records.runs),
            "statuses": dict(sorted(statuses.items())),
            "closed before read": dict(sorted(unread.items())),
            "given up after a silence": dict(sorted(given_up.items())),
        },
        *({"finding": asdict(finding)} for finding in findings),
    ]


def keep_records(directory: Path, records: SoakRecords, lines: list[dict]) -> None:
    """Write the report, the records and the gateways' logs to a directory."""
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    for log in records.logs:
        path = directory / f"gateway-{log.gateway}.{log.incarnation}.jsonl"
        path.write_text("\n".join(log.lines) + "\n", "utf-8")
    ledgers = {
        "calls": records.calls,
        "runs": records.runs,
        "faults": records.faults,
        "published": records.published,
        "departures": records.departures,
        "evacuations": records.evacuations,
    }
    for name, ledger in ledgers.items():
        text = "".join(_encode(asdict(record)) + "\n" for record in ledger)
        (directory / f"{name}.jsonl").write_text(text, "utf-8")
    text = "".join(_encode(line) + "\n" for line in lines)
    (directory / "report.jsonl").write_text(text, "utf-8")


def _encode(value: object) -> str:
    return json.dumps(value, default=_encode_other)


def _encode_other(value: object) -> object:
    match value:
        case bytes():
            return f"{len(value)} bytes, ends with {value[-60:]!r}"
        case Enum():
            return value.value
        case _:
            return str(value)


@click.command()
@click.option("--seed", default=None, type=int, help="The seed of the schedule.")
@click.option(
    "--planned", "is_planned", is_flag=True, help="Draw planned work and silences only."
)
@click.option(
    "--minutes",
    default=None,
    type=float,
    help=f"The length of the schedule: {MINUTES}, or {PLANNED_MINUTES} with --planned.",
)
@click.option("--gateways", default=3, help="The number of gateways.")
@click.option("--rate", default=60.0, help="Requests per second of all callers.")
@click.option("--drop", "dropped", multiple=True, type=int, help="Omit this fault.")
@click.option(
    "--keep",
    type=Path,
    default=None,
    help="Write logs and ledgers to a directory in it.",
)
@click.option("--plot", type=Path, default=None, help="Plot the answers to this file.")
@click.option("--list", "is_list_only", is_flag=True, help="Print the schedule only.")
@click.option("--kept", "is_kept", is_flag=True, help="Run all kept seeds in turn.")
def main(
    seed: int | None,
    is_planned: bool,
    minutes: float | None,
    gateways: int,
    rate: float,
    dropped: tuple[int, ...],
    keep: Path | None,
    plot: Path | None,
    is_list_only: bool,
    is_kept: bool,
) -> None:
    """Run gateways, endpoints and callers on loopback, and inject faults.

    The exit status is 1 if a check has a finding. `--drop` may be repeated: it omits
    a fault of the printed schedule, to find the shortest one that still fails.
    `--kept` runs the seeds that once had findings, each with its kind of schedule.
    """
    # Children would inherit that a hangup is ignored, as under nohup.
    if signal.getsignal(signal.SIGHUP) is signal.SIG_IGN:
        signal.signal(signal.SIGHUP, lambda *_: None)
    seeds = [(int(time.time()) if seed is None else seed, is_planned)]
    if is_kept:
        seeds = [(kept, False) for kept in KEPT_SEEDS]
        seeds += [(kept, True) for kept in PLANNED_SEEDS]
    n_findings = 0
    for number, is_planned in seeds:
        fleet = SoakFleet(
            gateways=gateways, endpoints=plan_endpoints(has_unmarked=is_planned)
        )
        default_minutes = PLANNED_MINUTES if is_planned else MINUTES
        seconds = (minutes or default_minutes) * SECONDS_PER_MINUTE
        drawn = draw_schedule(
            seed=number, seconds=seconds, fleet=fleet, is_planned=is_planned
        )
        schedule = tuple(fault for fault in drawn if fault.number not in dropped)
        for fault in schedule:
            click.echo(f"{fault.number:4d} {fault.at:7.2f} s  {fault.fault}")
        if is_list_only:
            continue
        soak = Soak(
            schedule=schedule,
            seconds=seconds,
            seed=number,
            fleet=fleet,
            rate=rate,
            is_planned=is_planned,
        )
        records = soak.run()
        n_findings += _report(number, records, soak.skipped, keep=keep, plot=plot)
    sys.exit(1 if n_findings else 0)


def _report(
    seed: int,
    records: SoakRecords,
    skipped: tuple[int, ...],
    *,
    keep: Path | None,
    plot: Path | None,
) -> int:
    """Print and keep what a soak recorded; return the number of findings."""
    findings = run_checks(records)
    lines = report_lines(records, findings)
    for line in itertools.chain([{"seed": seed, "skipped": skipped}], lines):
        click.echo(_encode(line))
    if keep is not None:
        keep_records(keep / str(seed), records, lines)
    if plot is not None:
        from bilberryring.testing.soak_plot import plot_answers

        plot_answers(records, plot)
    click.echo(
        f"seed {seed}: {len(records.faults)} faults, {len(records.calls)} requests, "
        f"{len(findings)} findings"
    )
    return len(findings)


if __name__ == "__main__":
    main()
