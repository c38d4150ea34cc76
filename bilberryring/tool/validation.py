"""The commands that check a configuration before it is published.

A directory holds object files; a file holds a configuration of the operators'
platform.
"""

import sys
from collections.abc import Iterable, Mapping
from pathlib import Path

import click

from bilberryring.objects import Change, Manifest, ObjectSet, SetError, build_set
from bilberryring.platform.configuration import ContentError
from bilberryring.platform.listing import FIELD_NAMES, decode_listing
from bilberryring.tool.files import read_bounded
from bilberryring.tool.in_force import (
    InForce,
    in_force_of_file,
    in_force_of_store,
)
from bilberryring.tool.output import (
    ERROR_EXIT_CODE,
    PROBLEMS_EXIT_CODE,
    WARNINGS_EXIT_CODE,
    json_option,
    print_json,
)
from bilberryring.tool.queries import (
    changes_between,
    check_directory,
    read_rendered,
)
from bilberryring.validation import (
    NO_NAMES,
    ConfigurationListing,
    Difference,
    Finding,
    FindingCode,
    Location,
    Section,
    Severity,
    check_configuration,
    check_objects,
    compare_configurations,
    make_finding,
    printable,
)

path_argument = click.argument("path", type=click.Path(exists=True, path_type=Path))
onto_option = click.option(
    "--onto",
    type=click.Path(exists=True, path_type=Path),
    help="The version in force: the directory of a rendered set, or a file.",
)
store_option = click.option(
    "--store",
    metavar="HOST:PORT",
    help="Address of the platform's store, which has the version in force.",
)


@click.command()
@path_argument
@onto_option
@store_option
@json_option
def check(path: Path, onto: Path | None, store: str | None, as_json: bool) -> None:
    """Check the object files in a directory, or a file for the platform.

    All problems are shown, each with its code, location and remedy. With the version
    in force of a file for the platform, its number is compared too, and with a store
    also the number of endpoints. docs/ERRORS.md lists the codes.

    The exit status is 0 without findings, 1 with errors and 3 with warnings only.
    """
    if path.is_dir():
        if onto or store is not None:
            raise click.UsageError("--onto and --store need a file for the platform")
        result = check_directory(path)
        findings = check_objects(result.objects, findings=result.findings)
        count, names = count_objects(result.objects), NO_NAMES
    else:
        listing, findings = _check_file(path, _read_in_force(onto, store))
        count, names = _count_entries(listing), FIELD_NAMES
    if as_json:
        print_json(_findings_to_dict(findings, names))
    else:
        noun = "objects" if path.is_dir() else "entries"
        print_findings(findings, count=count, noun=noun, names=names)
    _exit_with(findings)


@click.command()
@path_argument
@onto_option
@store_option
@json_option
def diff(path: Path, onto: Path | None, store: str | None, as_json: bool) -> None:
    """Show what a directory of object files or a file for the platform would change.

    Without a version in force all entries count as added. If it cannot be read, the
    findings of `check` are shown, the difference is unknown, and the exit status is 2;
    it is 1 if the file itself is unreadable. API keys are counted, not shown.
    """
    if path.is_dir():
        if store is not None:
            raise click.UsageError("--store needs a file for the platform")
        _print_object_changes(path, onto, as_json)
    else:
        _print_differences(path, _read_in_force(onto, store), as_json)


def _print_object_changes(path: Path, onto: Path | None, as_json: bool) -> None:
    result = check_directory(path)
    old = read_rendered_or_exit(onto)[1] if onto else build_set(iter(()))
    changes = changes_between(old, result.objects)
    if as_json:
        print_json([_change_to_dict(change) for change in changes])
        return
    for change in changes:
        fields = f" ({', '.join(change.fields)})" if change.fields else ""
        click.echo(f"{change.change.value} {change.kind.value}/{change.name}{fields}")
    click.echo(f"{len(changes)} objects differ")


def _print_differences(path: Path, in_force: InForce, as_json: bool) -> None:
    listing, findings = _check_file(path, in_force)
    is_readable = listing is not None and listing.is_readable
    if not is_readable or in_force.problem:
        _print_unknown(listing, findings, in_force, as_json)
        sys.exit(ERROR_EXIT_CODE if is_readable else PROBLEMS_EXIT_CODE)
    differences = compare_configurations(in_force.listing, listing)
    if as_json:
        print_json([_difference_to_dict(item) for item in differences])
        return
    for item in differences:
        click.echo(item.text(names=FIELD_NAMES))
    click.echo(f"{len(differences)} entries differ")


def _print_unknown(
    listing: ConfigurationListing | None,
    findings: tuple[Finding, ...],
    in_force: InForce,
    as_json: bool,
) -> None:
    detail = printable(in_force.problem or "the file cannot be read")
    remedy = FindingCode.IN_FORCE_UNKNOWN.remedy
    if not in_force.problem:
        remedy = "correct the errors above"
    if as_json:
        unknown = {"difference": "unknown", "detail": detail, "remedy": remedy}
        print_json(unknown | _findings_to_dict(findings, FIELD_NAMES))
        return
    print_findings(
        findings, count=_count_entries(listing), noun="entries", names=FIELD_NAMES
    )
    click.echo(f"difference unknown: {detail}. Remedy: {remedy}.")


def _read_in_force(onto: Path | None, store: str | None) -> InForce:
    if onto and store is not None:
        raise click.UsageError("give --onto or --store, not both")
    if store is not None:
        return in_force_of_store(store)
    return in_force_of_file(onto) if onto else InForce()


def _check_file(
    path: Path, in_force: InForce
) -> tuple[ConfigurationListing | None, tuple[Finding, ...]]:
    """Return the entries of a file, unless it is unreadable, and all findings."""
    unknown = ()
    if in_force.problem:
        location = Location(section=Section.VERSION.value)
        unknown = (
            make_finding(
                FindingCode.IN_FORCE_UNKNOWN, location, printable(in_force.problem)
            ),
        )
    try:
        listing = decode_listing(read_bounded(path))
    except OSError as error:
        code, detail = FindingCode.INPUT_UNREADABLE, str(error)
    except ContentError as error:
        code, detail = FindingCode.CONFIGURATION_UNREADABLE, error.detail
    else:
        findings = check_configuration(
            listing,
            in_force=in_force.listing,
            endpoint_counts=in_force.endpoint_counts,
        )
        return listing, (*findings, *unknown)
    location = Location(section=path.name)
    return None, (make_finding(code, location, detail), *unknown)


def read_rendered_or_exit(directory: Path) -> tuple[Manifest, ObjectSet]:
    """Return a rendered set, or print why there is none and exit."""
    try:
        return read_rendered(directory)
    except SetError as error:
        click.echo(str(error), err=True)
        sys.exit(ERROR_EXIT_CODE)


def count_objects(objects: ObjectSet) -> int:
    """Return the number of all objects."""
    return sum(1 for _ in objects.all_objects())


def _count_entries(listing: ConfigurationListing | None) -> int:
    if listing is None:
        return 0
    return len(listing.routes) + len(listing.services) + len(listing.workspaces or ())


def print_findings(
    findings: Iterable[Finding],
    *,
    count: int,
    noun: str = "objects",
    names: Mapping[str, str] = NO_NAMES,
) -> None:
    """Print each finding on a line, and then how many there are."""
    n_findings = n_warnings = 0
    for finding in findings:
        click.echo(finding.text(names=names))
        n_findings += 1
        n_warnings += finding.severity is Severity.WARNING
    warnings = f" ({n_warnings} warnings)" if n_warnings else ""
    click.echo(f"{count} {noun}, {n_findings} findings{warnings}")


def _exit_with(findings: tuple[Finding, ...]) -> None:
    if any(finding.severity is Severity.ERROR for finding in findings):
        sys.exit(PROBLEMS_EXIT_CODE)
    if findings:
        sys.exit(WARNINGS_EXIT_CODE)


def _findings_to_dict(
    findings: tuple[Finding, ...], names: Mapping[str, str]
) -> dict[str, object]:
    details = [
        {
            "code": finding.code.value,
            "severity": finding.severity.value,
            "file": printable(finding.file),
            "location": finding.location.text(names=names),
            "message": printable(finding.message),
            "remedy": finding.remedy,
        }
        for finding in findings
    ]
    texts = [finding.text(names=names) for finding in findings]
    return {"findings": texts, "details": details}


def _change_to_dict(change: Change) -> dict:
    return {
        "change": change.change.value,
        "kind": change.kind.value,
        "name": change.name,
        "fields": change.fields,
    }


def _difference_to_dict(item: Difference) -> dict:
    section = item.section.value
    return {
        "change": item.change.value,
        "kind": FIELD_NAMES.get(section, section),
        "name": printable(item.name),
        "fields": [FIELD_NAMES.get(field, field) for field in item.fields],
        "detail": item.detail,
    }
