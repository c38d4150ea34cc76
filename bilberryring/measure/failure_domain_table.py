"""The table and the JSON lines of the failure-domain measure."""

import itertools
from concurrent.futures import ProcessPoolExecutor

import click
import msgspec

from bilberryring.measure.failure_domain import (
    FailureDomainResult,
    FailureDomainRun,
    Ramp,
)

LOADS = (0.4, 0.6, 0.8)
WORKERS = 5


def _measure(order: tuple[Ramp, float, int]) -> FailureDomainResult:
    ramp, load, seed = order
    return FailureDomainRun(ramp=ramp, load=load, seed=seed).run()


def run_table(*, seed: int) -> None:
    """Measure each ramp at each load and print the table."""
    orders = [
        (ramp, load, seed) for load, ramp in itertools.product(LOADS, tuple(Ramp))
    ]
    click.echo(
        f"{'ramp':<20}{'load':>6}{'sent':>7}{'late new':>10}{'falls':>7}{'cut':>6}"
        f"{'refused by rank':>18}{'p99 before':>12}{'out':>8}{'ratio':>7}{'back':>8}"
        f"{'all before':>12}{'all out':>9}{'full after':>12}"
    )
    with ProcessPoolExecutor(WORKERS) as pool:
        results = list(pool.map(_measure, orders))
    for result in results:
        refused = "/".join(str(count) for count in result.refused)
        full = result.full_service_after
        click.echo(
            f"{result.ramp:<20}{result.load:>6.2f}{result.sent:>7}"
            f"{result.new_work_after_notice:>10}{result.falls:>7}{result.cut:>6}"
            f"{refused:>18}{result.high_99_before:>12.3f}{result.high_99_out:>8.3f}"
            f"{result.high_ratio_out:>7.2f}{result.high_99_back:>8.3f}"
            f"{result.high_all_99_before:>12.1f}{result.high_all_99_out:>9.1f}"
            f"{'never' if full is None else f'{full:.1f} s':>12}"
        )
    for result in results:
        click.echo(msgspec.json.encode(result).decode())
