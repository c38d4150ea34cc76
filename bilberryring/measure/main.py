"""`bin/measure`: the project's measurements, each a command."""

from pathlib import Path

import click

from bilberryring.measure.head_of_line_table import FLEETS, run_table


@click.group()
def main() -> None:
    """Measure; every command prints a table and JSON lines."""


@main.command("head-of-line")
@click.option("--fleet", "fleets", type=int, multiple=True, default=tuple(FLEETS))
@click.option("--seed", default=1)
@click.option("--plot", "out", type=click.Path(path_type=Path))
def head_of_line(fleets: tuple[int, ...], seed: int, out: Path | None) -> None:
    """Short prompts behind long ones, by policy, load and fleet."""
    run_table(fleets=fleets, seed=seed, out=out)


if __name__ == "__main__":
    main()
