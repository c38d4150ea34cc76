"""What a burst without a fault costs in second attempts, by simulated fleet."""

from bilberryring.testing.burst_fleet import play_burst

FLEETS = ((3, 18), (25, 69), (68, 172))
"""Numbers of gateways and endpoints."""
COLUMNS = (
    "gateways",
    "endpoints",
    "requests",
    "whole",
    "silent_attempts",
    "second_attempts",
    "reread_tokens",
)


def run_table(*, fleets: tuple[tuple[int, int], ...] = FLEETS, seed: int) -> None:
    """Print a row for each fleet."""
    print(f"| {' | '.join(COLUMNS)} |")
    print("| --- |" + " --- |" * (len(COLUMNS) - 1))
    for gateways, endpoints in fleets:
        result = play_burst(gateways=gateways, endpoints=endpoints, seed=seed)
        cells = [str(getattr(result, name)) for name in COLUMNS]
        print(f"| {' | '.join(cells)} |", flush=True)
