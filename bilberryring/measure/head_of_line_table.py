"""The table, the JSON lines and the plot of the head-of-line measure."""

import itertools
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click
import msgspec

from bilberryring.measure.head_of_line import (
    POLICY_CASES,
    SUBSET_CASES,
    HeadOfLineResult,
    measure_case,
)

FLEETS = {6: 300.0, 20: 120.0, 200: 30.0}
"""Seconds of arrivals for each number of endpoints."""
LOADS = (0.5, 0.7, 0.85, 0.95)
WORKERS = 5
PLOTTED_FLEET = 20
ALL_CASES = POLICY_CASES + SUBSET_CASES


def _measure(order: tuple[int, float, int, int]) -> HeadOfLineResult:
    endpoints, load, case_index, seed = order
    return measure_case(
        ALL_CASES[case_index],
        endpoints=endpoints,
        load=load,
        seed=seed,
        seconds=FLEETS[endpoints],
    )


def run_table(
    *,
    fleets: tuple[int, ...],
    loads: tuple[float, ...],
    seed: int,
    subsets: bool,
    out: Path | None,
) -> None:
    """Measure every policy, or every size of subset, at every load."""
    first = len(POLICY_CASES) if subsets else 0
    last = len(ALL_CASES) if subsets else len(POLICY_CASES)
    orders = [
        (endpoints, load, case, seed)
        for endpoints, load, case in itertools.product(
            fleets, loads, range(first, last)
        )
    ]
    results = []
    click.echo(
        f"{'policy':<24}{'fleet':>6}{'load':>6}{'short 95':>10}{'short 99':>10}"
        f"{'ratio 95':>10}{'ratio 99':>10}{'long mean':>11}{'long worst':>12}"
    )
    with ProcessPoolExecutor(WORKERS) as pool:
        for result in pool.map(_measure, orders):
            results.append(result)
            click.echo(
                f"{result.policy:<24}{result.endpoints:>6}{result.load:>6.2f}"
                f"{result.short_95:>10.3f}{result.short_99:>10.3f}"
                f"{result.short_ratio_95:>10.2f}{result.short_ratio_99:>10.2f}"
                f"{result.long_mean:>11.1f}{result.long_worst:>12.1f}"
            )
    for result in results:
        click.echo(msgspec.json.encode(result).decode())
    if out is not None:
        plot(results, out)


def plot(results: list[HeadOfLineResult], out: Path) -> None:
    """Draw short prompts' 95th percentile by load, a line for each policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(11, 4))
    for case in POLICY_CASES:
        rows = [
            result
            for result in results
            if result.policy == case.name and result.endpoints == PLOTTED_FLEET
        ]
        loads = [100 * row.load for row in rows]
        axes[0].semilogy(loads, [row.short_95 for row in rows], "o-", label=case.name)
        axes[1].plot(loads, [row.long_mean for row in rows], "o-", label=case.name)
    axes[0].set_title("short prompts: 95th percentile of first token")
    axes[1].set_title("prompts over 100 k tokens: mean completion")
    for axis in axes:
        axis.set_xlabel(f"load, % of {PLOTTED_FLEET} endpoints' prefill")
        axis.set_ylabel("seconds")
        axis.grid(alpha=0.3)
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(out, dpi=90)
