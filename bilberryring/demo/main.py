"""The demo: both deployments' kinds of work on a small fleet of processes."""

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
@click.option("--seconds", default=20.0, help="How long work is sent.")
@click.option("--seed", default=1, help="Seed of the work.")
def main(seconds: float, seed: int) -> None:
    """Run both kinds of work while a failure domain leaves and returns."""
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
    sys.exit(0 if tally.is_good else 1)


if __name__ == "__main__":
    main()
