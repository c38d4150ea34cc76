"""Output of the tool as text tables or JSON."""

import click
import msgspec

PROBLEMS_EXIT_CODE = 1
"""Exit status when a check or a status query found problems."""
ERROR_EXIT_CODE = 2
"""Exit status when what is needed cannot be read or a process does not answer."""
WARNINGS_EXIT_CODE = 3
"""Exit status when a check found warnings, but no errors."""

json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


def print_json(value: object) -> None:
    """Print a value as one indented JSON document."""
    click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_rows(header: tuple[str, ...], rows: list[tuple[str, ...]]) -> None:
    """Print a table whose columns are as wide as their longest cell."""
    widths = [
        max(len(row[column]) for row in (header, *rows))
        for column in range(len(header))
    ]
    for row in (header, *rows):
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        click.echo("  ".join(cells).rstrip())
