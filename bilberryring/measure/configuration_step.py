"""Processor time of the step in which a gateway takes a large configuration."""

import json
import time

from bilberryring.standins.gateway_site import (
    PLAIN_SERVICE,
    make_configuration,
    make_route,
)
from bilberryring.testing.played_gateway import PlayedGateway

N_ROUTES = (600, 1_400, 3_000)
N_TOGETHER = 8
MS_PER_SECOND = 1_000.0


def run_table() -> None:
    """Print the milliseconds of a first version, a next one and several together."""
    print(f"| routes more | first ms | next ms | {N_TOGETHER} read together ms |")
    print("| --- | --- | --- | --- |")
    for n_routes in N_ROUTES:
        site = PlayedGateway()
        site.publish(1)
        steps = [
            _step_ms(site, n_routes, versions)
            for versions in ((2,), (3,), range(4, 4 + N_TOGETHER))
        ]
        print(f"| {n_routes} | " + " | ".join(f"{ms:.1f}" for ms in steps) + " |")


def _step_ms(site: PlayedGateway, n_routes: int, versions) -> float:
    """Return the processor time of one step; each version has another first route."""
    values = [_encode(version, n_routes) for version in versions]
    began_at = time.process_time()
    site.publish_encoded(values)
    return (time.process_time() - began_at) * MS_PER_SECOND


def _encode(version: int, n_routes: int) -> bytes:
    routes = make_configuration()["routes"]
    more = [
        make_route(f"/{n_routes}-{number}/", "idempotent", PLAIN_SERVICE)
        for number in range(n_routes)
    ]
    more[0]["timeout_ms"] += version
    return json.dumps(make_configuration(version, routes=routes + more)).encode()
