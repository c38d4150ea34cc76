"""`bin/measure`: the project's measurements, each a command."""

from pathlib import Path

import click

from bilberryring.measure import (
    burst,
    capacity,
    configuration_step,
    endless_answers,
    failure_domain_table,
    gateway,
    head_of_line_table,
    idle_memory,
    misbehaving_clients,
    planned_stop,
    prediction,
    relay,
    start,
)
from bilberryring.measure.head_of_line_table import FLEETS, LOADS


@click.group()
def main() -> None:
    """Measure; every command prints a table and JSON lines."""


@main.command("head-of-line")
@click.option("--fleet", "fleets", type=int, multiple=True, default=tuple(FLEETS))
@click.option("--load", "loads", type=float, multiple=True, default=LOADS)
@click.option("--seed", default=1)
@click.option("--subsets", is_flag=True, help="How many endpoints an entry knows.")
@click.option("--plot", "out", type=click.Path(path_type=Path))
def head_of_line(
    fleets: tuple[int, ...],
    loads: tuple[float, ...],
    seed: int,
    subsets: bool,
    out: Path | None,
) -> None:
    """Short prompts behind long ones, by policy, load and fleet."""
    head_of_line_table.run_table(
        fleets=fleets, loads=loads, seed=seed, subsets=subsets, out=out
    )


@main.command("failure-domain")
@click.option("--seed", default=1)
def failure_domain(seed: int) -> None:
    """A failure domain out and back, by load and ramp."""
    failure_domain_table.run_table(seed=seed)


@main.command("burst")
@click.option("--seed", default=1)
def burst_command(seed: int) -> None:
    """Silent attempts and prompt tokens read again in a burst without a fault."""
    burst.run_table(seed=seed)


@main.command("capacity")
def capacity_command() -> None:
    """The slopes behind docs/CAPACITY.md."""
    capacity.run_table()


@main.command("endless-answers")
def endless_answers_command() -> None:
    """Memory and other callers' times while endpoints send without end."""
    endless_answers.run_table()


@main.command("gateway")
def gateway_command() -> None:
    """CPU of a gateway at rest, per request and per event, and of a plan."""
    gateway.run_table()


@main.command("configuration")
def configuration_command() -> None:
    """The step in which a gateway takes a configuration with many routes."""
    configuration_step.run_table()


@main.command("misbehaving-clients")
@click.option("--memory-mb", "memories", type=float, multiple=True, default=(300, 152))
@click.option("--connections", "counts", type=int, multiple=True, default=(200, 1_000))
@click.option("--kind", "kinds", multiple=True, help="Only kinds that begin like this.")
def misbehaving_clients_command(
    memories: tuple[float, ...], counts: tuple[int, ...], kinds: tuple[str, ...]
) -> None:
    """Memory and descriptors of a gateway beside clients out of its control."""
    misbehaving_clients.run_table(memories=memories, counts=counts, kinds=kinds)


@main.command("planned-stop")
def planned_stop_command() -> None:
    """What callers get while a gateway is stopped under load."""
    planned_stop.run_table()


@main.command("prediction")
@click.argument(
    "logs", type=click.Path(exists=True, path_type=Path), nargs=-1, required=True
)
@click.option("--plot", "out", type=click.Path(path_type=Path))
def prediction_command(logs: tuple[Path, ...], out: Path | None) -> None:
    """Predicted and seen times to the first token, from gateways' LOGS."""
    prediction.run_table(logs=logs, out=out)


@main.command("relay")
def relay_command() -> None:
    """CPU per relayed token and the time that relaying adds."""
    relay.run_table()


@main.command("idle-memory")
def idle_memory_command() -> None:
    """Memory of an idle gateway, by moment and by imported package."""
    idle_memory.run_table()


@main.command("start")
def start_command() -> None:
    """Processor time of a start, and the time until a gateway is ready."""
    start.run_table()


if __name__ == "__main__":
    main()
