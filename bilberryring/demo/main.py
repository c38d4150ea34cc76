"""The command that runs the demo: prompts and bookings on a small fleet."""

import sys

import click

from bilberryring.demo.report import Tally, print_table
from bilberryring.demo.work import DemoWork
from bilberryring.objects import DomainState
from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import FleetPlan
from bilberryring.testing.processes import pause

OUT_AT_SECONDS = 5.0
BACK_AT_SECONDS = 12.0
DOMAIN = "vina-b"


@click.command()
@click.option("--seconds", default=20.0, help="Duration of sending, in seconds.")
@click.option("--seed", default=1, help="Seed for the lengths of the prompts.")
def main(seconds: float, seed: int) -> None:
    """Send prompts and bookings while a failure domain is taken out and back.

    The exit status is 0 when the result is good.
    """
    tally = Tally()
    fleet = Fleet(plan=FleetPlan(kv_tokens=900_000, total_seconds=90.0))
    try:
        click.echo("Starting platform, engines, services, sidecars and entries ...")
        fleet.start()
        click.echo(f"Sending work for {seconds:.0f} s ...")
        work = DemoWork(fleet=fleet, tally=tally, seed=seed)
        work.start(seconds)
        pause(OUT_AT_SECONDS)
        click.echo(f"Taking failure domain {DOMAIN} out ...")
        fleet.set_domain(DOMAIN, DomainState.OUT)
        pause(BACK_AT_SECONDS - OUT_AT_SECONDS)
        click.echo(f"Taking failure domain {DOMAIN} back ...")
        fleet.set_domain(DOMAIN, DomainState.IN)
        work.join()
        tally.effects = fleet.effects()
    finally:
        fleet.stop()
    print_table(tally)
    sys.exit(0 if tally.has_passed else 1)


if __name__ == "__main__":
    main()
