"""`bin/measure`: the project's measurements, each a command."""

from pathlib import Path

import click

from bilberryring.measure import failure_domain_table, head_of_line_table
from bilberryring.measure.head_of_line_table import FLEETS


@click.group()
def main() -> None:
    """Measure; every command prints a table and JSON lines."""


@main.command("head-of-line")
@click.option("--fleet", "fleets", type=int, multiple=True, default=tuple(FLEETS))
@click.option("--seed", default=1)
@click.option("--plot", "out", type=click.Path(path_type=Path))
def head_of_line(fleets: tuple[int, ...], seed: int, out: Path | None) -> None:
    """Short prompts behind long ones, by policy, load and fleet."""
    head_of_line_table.run_table(fleets=fleets, seed=seed, out=out)


@main.command("failure-domain")
@click.option("--seed", default=1)
def failure_domain(seed: int) -> None:
    """A failure domain out and back, by load and ramp."""
    failure_domain_table.run_table(seed=seed)


if __name__ == "__main__":
    main()
