"""`bilberryring`: the operators' tool. It checks, renders, explains, reports."""

import sys
from pathlib import Path

import click
import msgspec

from bilberryring.objects import (
    Change,
    SetError,
    SetNumber,
    SourceResult,
    build_set,
)
from bilberryring.process.explanations import Explanation
from bilberryring.tool.commands import render_into
from bilberryring.tool.output import print_json, print_rows
from bilberryring.tool.queries import (
    StatusReport,
    changes_between,
    check_directory,
    explain_prompt,
    finding_texts,
    read_rendered,
    report_status,
)

FAULT_STATUS = 1
USAGE_STATUS = 2
DIGEST_SHOWN = 12

directory_argument = click.argument(
    "directory", type=click.Path(exists=True, file_okay=False, path_type=Path)
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@click.group()
def main() -> None:
    """Check, render and explain what bilberryring is to do.

    \b
    The usual way of a change:
      1. edit the object files         (JSON with comments)
      2. bilberryring check DIR        every fault in one run
      3. bilberryring diff DIR --onto SET
      4. bilberryring render DIR --onto SET --out NEW
      5. publish the keys of NEW/keys.txt with the platform's own means
      6. bilberryring status --at ...  until nobody is behind

    SET is the directory of the set in force, as an earlier render wrote it.
    """


@main.command()
@directory_argument
@json_option
def check(directory: Path, as_json: bool) -> None:
    """Check the object files of DIRECTORY and show every fault.

    Exits with 0 when there is none, with 1 otherwise.
    """
    reading = check_directory(directory)
    if as_json:
        print_json({"findings": finding_texts(reading.findings)})
    else:
        _print_findings(reading)
    if reading.findings:
        sys.exit(FAULT_STATUS)


@main.command()
@directory_argument
@click.option(
    "--onto",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="The rendered set in force; without it, everything is new.",
)
@json_option
def diff(directory: Path, onto: Path | None, as_json: bool) -> None:
    """Show what the object files of DIRECTORY would change."""
    reading = check_directory(directory)
    old = _rendered(onto)[1] if onto else build_set(iter(()))
    changes = changes_between(old, reading.objects)
    if as_json:
        print_json([_change_fields(change) for change in changes])
        return
    for change in changes:
        fields = f" ({', '.join(change.fields)})" if change.fields else ""
        click.echo(f"{change.change.value} {change.kind.value}/{change.name}{fields}")
    click.echo(f"{len(changes)} objects differ")


@main.command()
@directory_argument
@click.option("--out", required=True, type=click.Path(path_type=Path))
@click.option(
    "--onto",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="The rendered set in force; leave out for the first set.",
)
@click.option(
    "--number",
    type=int,
    help="A number further on, when `status` says that the next one was refused.",
)
def render(directory: Path, out: Path, onto: Path | None, number: int | None) -> None:
    """Write the canonical set of DIRECTORY, ready to publish, into OUT.

    Nothing is rendered while the check finds a fault.
    """
    reading = check_directory(directory)
    if reading.findings:
        _print_findings(reading)
        sys.exit(FAULT_STATUS)
    predecessor = _rendered(onto)[0] if onto else None
    wanted = SetNumber(number) if number is not None else None
    canonical = render_into(
        out, reading.objects, predecessor=predecessor, number=wanted
    )
    manifest = canonical.manifest
    click.echo(
        f"set {manifest.number} {manifest.digest[:DIGEST_SHOWN]}: "
        f"{len(manifest.parts)} parts; publish the keys in {out / 'keys.txt'}"
    )


@main.command()
@click.option(
    "--at",
    "addresses",
    multiple=True,
    required=True,
    help="Operators' address of a process; repeat it, or separate with commas.",
)
@json_option
def status(addresses: tuple[str, ...], as_json: bool) -> None:
    """Show what each process has in force, and what stands out.

    Exits with 1 when a process is behind, unreachable or on another set of the
    same number.
    """
    split = [part for item in addresses for part in item.split(",") if part]
    report = report_status(split)
    if as_json:
        print_json(report)
    else:
        _print_status(report)
    if report.behind or report.unreachable or report.forked:
        sys.exit(FAULT_STATUS)


@main.command()
@click.option(
    "--at",
    "address",
    required=True,
    help="Operators' address of an entry, or metrics address of a gateway.",
)
@click.option(
    "--model",
    "--service",
    "model",
    required=True,
    help="The model, or the gateway's service.",
)
@click.option("--prompt-tokens", required=True, type=click.IntRange(min=1))
@click.option("--max-tokens", default=256, type=click.IntRange(min=1))
@json_option
def explain(
    address: str, model: str, prompt_tokens: int, max_tokens: int, as_json: bool
) -> None:
    """Show where an entry would send a prompt now, and why."""
    try:
        answer = explain_prompt(
            address, model=model, prompt_tokens=prompt_tokens, max_tokens=max_tokens
        )
    except (OSError, msgspec.DecodeError) as error:
        click.echo(
            f"unreachable: {address}: {error}. Remedy: name a running entry or gateway."
        )
        sys.exit(USAGE_STATUS)
    if as_json:
        print_json(answer)
        return
    _print_explanation(answer)


def _rendered(directory: Path):
    try:
        return read_rendered(directory)
    except SetError as error:
        click.echo(str(error), err=True)
        sys.exit(USAGE_STATUS)


def _print_findings(reading: SourceResult) -> None:
    for line in finding_texts(reading.findings):
        click.echo(line)
    count = sum(1 for _ in reading.objects.all_objects())
    click.echo(f"{count} objects, {len(reading.findings)} findings")


def _change_fields(change: Change) -> dict:
    return {
        "change": change.change.value,
        "kind": change.kind.value,
        "name": change.name,
        "fields": change.fields,
    }


def _print_status(report: StatusReport) -> None:
    rows = [
        (
            item.process,
            item.role,
            item.failure_domain,
            item.state,
            str(item.set_number),
            item.set_digest[:DIGEST_SHOWN],
            str(item.in_progress),
        )
        for item in report.processes
    ]
    header = ("process", "role", "failure domain", "state", "set", "digest", "runs")
    print_rows(header, rows)
    for name in report.behind:
        click.echo(f"behind: {name}")
    for item in report.unreachable:
        click.echo(f"unreachable: {item.address}: {item.detail}")
    for name in report.forked:
        click.echo(f"another set of the same number: {name}")
    _print_stands_out(report)


def _print_explanation(answer: Explanation) -> None:
    click.echo(f"chosen: {answer.chosen or 'none'}")
    if answer.detail:
        click.echo(f"why: {answer.detail}")
    if answer.chosen:
        click.echo(f"first token s: {answer.first_token_seconds:.3f}")
    if answer.helpers:
        click.echo(f"helpers: {', '.join(answer.helpers)}")
    rows = [
        (
            item.endpoint,
            item.failure_domain,
            item.standing,
            str(item.requests),
            f"{item.first_token_seconds:.3f}" if item.is_candidate else "-",
        )
        for item in answer.endpoints
    ]
    header = ("endpoint", "failure domain", "standing", "requests", "alone s")
    print_rows(header, rows)


def _print_stands_out(report: StatusReport) -> None:
    refused = {
        refused.digest: refused
        for item in report.processes
        for refused in item.refused_sets
    }
    for item in refused.values():
        click.echo(
            f"refused set {item.number} {item.digest[:DIGEST_SHOWN]}: "
            f"{item.reason}. Remedy: {item.remedy}"
        )
    standings = {
        (endpoint.endpoint, endpoint.standing)
        for item in report.processes
        for endpoint in item.endpoints
        if endpoint.standing != "live"
    }
    for endpoint, standing in sorted(standings):
        click.echo(f"{standing}: {endpoint}")
    for digest in sorted({q for item in report.processes for q in item.quarantined}):
        click.echo(f"quarantined: {digest}")


if __name__ == "__main__":
    main()
