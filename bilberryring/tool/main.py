"""The command-line interface of `bilberryring`, the tool for operators."""

import sys
from pathlib import Path
from typing import TextIO

import click

from bilberryring.core import MalformedJsonError
from bilberryring.objects import SetNumber
from bilberryring.process.explanations import Explanation
from bilberryring.telemetry import RequestEndings, read_endings
from bilberryring.tool.commands import render_into
from bilberryring.tool.output import (
    ERROR_EXIT_CODE,
    PROBLEMS_EXIT_CODE,
    json_option,
    print_json,
    print_rows,
)
from bilberryring.tool.queries import (
    StatusReport,
    check_directory,
    collect_status,
    explain_prompt,
)
from bilberryring.tool.validation import (
    check,
    count_objects,
    diff,
    print_findings,
    read_rendered_or_exit,
)
from bilberryring.validation import check_objects

DIGEST_PREFIX_LENGTH = 12
SHOWN_SLOWDOWN = 1.5
"""Slowdown of an endpoint from which `status` shows it."""
"""Number of hexadecimal digits that are printed of a digest."""

directory_argument = click.argument(
    "directory", type=click.Path(exists=True, file_okay=False, path_type=Path)
)


@click.group()
def main() -> None:
    """Check and render the configuration of bilberryring, and query processes.

    \b
    The steps of a configuration change:
      1. edit the object files         (JSON with comments)
      2. bilberryring check DIR        reports all problems in one run
      3. bilberryring diff DIR --onto SET
      4. bilberryring render DIR --onto SET --out NEW
      5. publish the keys in NEW/keys.txt with the tools of the platform
      6. bilberryring status --at ...  until no process is behind

    SET is the directory that an earlier render wrote for the set in force.

    On the operators' platform, `check FILE --store HOST:PORT` and `diff FILE --store
    HOST:PORT` precede the publication of a configuration.
    """


main.add_command(check)
main.add_command(diff)


@main.command()
@directory_argument
@click.option("--out", required=True, type=click.Path(path_type=Path))
@click.option(
    "--onto",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="Directory of the set in force. Omit it for the first set.",
)
@click.option(
    "--number",
    type=int,
    help="Number of the set. Use it to skip numbers that `status` shows as refused.",
)
def render(directory: Path, out: Path, onto: Path | None, number: int | None) -> None:
    """Render the object files in DIRECTORY and write the set to OUT.

    Nothing is written if the check finds problems.
    """
    result = check_directory(directory)
    if result.findings:
        print_findings(
            check_objects(result.objects, findings=result.findings),
            count=count_objects(result.objects),
        )
        sys.exit(PROBLEMS_EXIT_CODE)
    predecessor = read_rendered_or_exit(onto)[0] if onto else None
    set_number = SetNumber(number) if number is not None else None
    canonical = render_into(
        out, result.objects, predecessor=predecessor, number=set_number
    )
    manifest = canonical.manifest
    click.echo(
        f"set {manifest.number} {manifest.digest[:DIGEST_PREFIX_LENGTH]}: "
        f"{len(manifest.parts)} parts; publish the keys in {out / 'keys.txt'}"
    )


@main.command()
@click.option(
    "--at",
    "addresses",
    multiple=True,
    required=True,
    help="Operators' address of a process. Repeat it, or separate several by commas.",
)
@json_option
def status(addresses: tuple[str, ...], as_json: bool) -> None:
    """Show which set each process has in force, and any anomalies.

    The exit status is 1 if a process is behind or unreachable, or if processes have
    different sets with the same number.
    """
    address_list = [part for item in addresses for part in item.split(",") if part]
    report = collect_status(address_list)
    if as_json:
        print_json(report)
    else:
        _print_status(report)
    if report.behind or report.unreachable or report.forked:
        sys.exit(PROBLEMS_EXIT_CODE)


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
    help="Name of a model, or of a service of the gateway.",
)
@click.option("--prompt-tokens", required=True, type=click.IntRange(min=1))
@click.option("--max-tokens", default=256, type=click.IntRange(min=1))
@json_option
def explain(
    address: str, model: str, prompt_tokens: int, max_tokens: int, as_json: bool
) -> None:
    """Show where an entry or a gateway would send a prompt now, and why."""
    try:
        explanation = explain_prompt(
            address, model=model, prompt_tokens=prompt_tokens, max_tokens=max_tokens
        )
    except (OSError, MalformedJsonError) as error:
        click.echo(
            f"unreachable: {address}: {error}. Remedy: name a running entry or gateway."
        )
        sys.exit(ERROR_EXIT_CODE)
    if as_json:
        print_json(explanation)
        return
    _print_explanation(explanation)


@main.command()
@click.argument("logs", nargs=-1, required=True, type=click.File("r"))
@json_option
def losses(logs: tuple[TextIO, ...], as_json: bool) -> None:
    """Show the requests in LOGS that ended without a whole answer.

    LOGS are those of gateways and entries.

    The exit status is 1 if there are any: requests without a last record or with
    several, and those whose callers stayed and got no whole answer.
    """
    endings = read_endings(line for log in logs for line in log)
    if as_json:
        print_json(endings)
    else:
        _print_endings(endings)
    if not endings.is_clean:
        sys.exit(PROBLEMS_EXIT_CODE)


def _print_status(report: StatusReport) -> None:
    rows = [
        (
            item.process,
            item.role,
            item.failure_domain,
            item.state,
            str(item.set_number),
            item.set_digest[:DIGEST_PREFIX_LENGTH],
            str(item.in_progress),
        )
        for item in report.processes
    ]
    header = (
        "process",
        "role",
        "failure domain",
        "state",
        "set",
        "digest",
        "in progress",
    )
    print_rows(header, rows)
    if len(report.domains) > 1:
        _print_domains(report)
    for name in report.behind:
        click.echo(f"behind: {name}")
    for item in report.unreachable:
        click.echo(f"unreachable: {item.address}: {item.detail}")
    for name in report.forked:
        click.echo(f"another set of the same number: {name}")
    _print_anomalies(report)


def _print_domains(report: StatusReport) -> None:
    rows = [
        (
            item.failure_domain,
            item.role,
            str(item.processes),
            str(item.live),
            str(item.readers),
            str(item.in_progress),
        )
        for item in report.domains
    ]
    header = ("failure domain", "role", "processes", "live", "readers", "in progress")
    print_rows(header, rows)


def _print_explanation(explanation: Explanation) -> None:
    click.echo(f"chosen: {explanation.chosen or 'none'}")
    if explanation.detail:
        click.echo(f"why: {explanation.detail}")
    if explanation.chosen:
        click.echo(f"seconds to the first token: {explanation.first_token_seconds:.3f}")
    if explanation.helpers:
        click.echo(f"helpers: {', '.join(explanation.helpers)}")
    rows = [
        (
            item.endpoint,
            item.failure_domain,
            item.standing,
            str(item.requests),
            f"{item.first_token_seconds:.3f}" if item.is_candidate else "-",
            f"{item.slowdown:.2f}",
            str(item.learned_limit or "-"),
        )
        for item in explanation.endpoints
    ]
    header = (
        "endpoint",
        "failure domain",
        "standing",
        "requests",
        "first token alone (s)",
        "slowdown",
        "learned limit",
    )
    print_rows(header, rows)


def _print_endings(endings: RequestEndings) -> None:
    click.echo(f"{endings.requests} requests, {endings.dropped_lines} lines dropped")
    groups = {
        "no last record": endings.unended,
        "several last records": endings.repeated,
        "a part of an answer": endings.cut,
        "an answer without the mark of its end": endings.unmarked,
        "no answer": endings.unanswered,
    }
    for description, requests in groups.items():
        for request in requests:
            click.echo(f"{description}: {request}")
    for cause, count in endings.left_silent.items():
        click.echo(f"callers that left after a silence: {count}, cause {cause}")


def _print_anomalies(report: StatusReport) -> None:
    for item in report.processes:
        if item.silent_attempts or item.reread_tokens:
            click.echo(
                f"silent attempts: {item.process} {item.silent_attempts}, "
                f"prompt tokens read again {item.reread_tokens}"
            )
    refused = {
        refused.digest: refused
        for item in report.processes
        for refused in item.refused_sets
    }
    for item in refused.values():
        click.echo(
            f"refused set {item.number} {item.digest[:DIGEST_PREFIX_LENGTH]}: "
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
    slowdowns: dict[str, float] = {}
    for item in report.processes:
        for endpoint in item.endpoints:
            if endpoint.slowdown >= SHOWN_SLOWDOWN:
                known = slowdowns.get(endpoint.endpoint, 0.0)
                slowdowns[endpoint.endpoint] = max(known, endpoint.slowdown)
    for name, slowdown in sorted(slowdowns.items()):
        click.echo(f"slow: {name} takes {slowdown:.1f} times as long as predicted")
    for digest in sorted({q for item in report.processes for q in item.quarantined}):
        click.echo(f"quarantined: {digest}")


if __name__ == "__main__":
    main()
