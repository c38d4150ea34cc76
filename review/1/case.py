"""Case 1: a gateway that is heard by no other one keeps an old configuration."""

import asyncio
import copy
import importlib
import sys
import time
from pathlib import Path

from review.kit.http_parts import Head
from review.kit.server import Server
from review.kit.site import (
    HOST,
    KEY,
    PROXIED_PORT,
    STABILITY_SECONDS,
    TENANT,
    CannotRun,
    Site,
    run_case,
)

links = importlib.import_module("review.1.links")

GATEWAYS = 8
CUT_SECONDS = 5.5
APPLY_SECONDS = 3.0
DUTY_SECONDS = 20.0
DEADLINE_MS = 2500
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "disponibilita",
            "host": HOST,
            "prefix": "/lohu930/",
            "kind": "idempotent",
            "timeout_ms": 2500,
            "target_latency_ms": 250,
            "priority": 2,
            "service": "noleggi",
            "attempts": 2,
        }
    ],
    "services": [
        {"name": "noleggi", "max_connections": 100},
        {"name": "noleggi-nuovo", "max_connections": 100},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
}


def later_configuration() -> dict:
    """The route goes to another service."""
    later = copy.deepcopy(CONFIGURATION)
    later["version"] = 7
    later["routes"][0]["service"] = "noleggi-nuovo"
    return later


class NotingServer(Server):
    """Notes which requests it has run."""

    def __init__(self, site: Site, host: str, service: str, zone: str):
        super().__init__(site, host, zone=zone)
        self.service = service
        self.ran: set[str] = set()

    async def answer(self, head: Head, writer) -> None:
        self.ran.add(head.headers["bilberryring-request-id"])
        await super().answer(head, writer)


def reads_the_store(gateway) -> bool:
    duties = {
        line["prefix"]: line["is_reading"]
        for line in gateway.log_events("reader_duty_changed")
    }
    return duties.get("op/", False)


async def wait_for_followers(gateways) -> list:
    """Return those that leave the reading to others, once their watch is over."""
    until = time.monotonic() + DUTY_SECONDS
    while not (found := [item for item in gateways if not reads_the_store(item)]):
        if time.monotonic() > until:
            raise CannotRun("each gateway reads the store")
        await asyncio.sleep(0.25)
    return found


async def case(site: Site, trouble: bool) -> bool:
    await site.start(CONFIGURATION)
    old, new = (
        [
            NotingServer(site, f"{site.net}.{first + number}", service, zone)
            for number, zone in enumerate(("sondrio", "bormio"))
        ]
        for first, service in ((30, "noleggi"), (40, "noleggi-nuovo"))
    )
    for server in (*old, *new):
        await server.start()
    for gateway in site.gateways:
        gateway.write_settings(zone="bormio")
    await site.start_gateways()
    await asyncio.sleep(STABILITY_SECONDS + 1)

    # One that leaves the reading to others is moved to sondrio, behind the proxy.
    gateway = (await wait_for_followers(site.gateways))[0]
    others = [item for item in site.gateways if item is not gateway]
    await gateway.stop()
    proxy = links.OneWayLinks(gateway.ip, [item.ip for item in others])
    await proxy.start()
    gateway.write_settings(zone="sondrio", peer_port=PROXIED_PORT)
    gateway.start()
    await gateway.wait_ready()
    await asyncio.sleep(STABILITY_SECONDS + 2)
    await wait_for_followers([gateway])
    site.record(f"front-{gateway.number} is in touch and does not read the store")

    cut_at = time.monotonic()
    if trouble:
        proxy.is_cut = True
        site.record(f"nothing passes from front-{gateway.number} to other gateways")
    await asyncio.sleep(0.5)
    site.store.put("op/config", later_configuration())
    acknowledged_at = time.monotonic()
    site.record("version 7 is acknowledged: the route leads to noleggi-nuovo")
    sent: dict[str, float] = {}
    while time.monotonic() < cut_at + CUT_SECONDS:
        for item in (gateway, others[0]):
            sent_at = time.monotonic() - acknowledged_at
            request_id, answer = await site.call(
                item, "GET", "/lohu930/2f", deadline_ms=DEADLINE_MS
            )
            ran = [server for server in (*old, *new) if request_id in server.ran]
            where = [f"{server.service} in {server.zone}" for server in ran]
            site.record(
                f"{request_id} sent {sent_at:.2f} s after it at front-{item.number}: "
                f"{answer.status}, run by {where or 'no server'}"
            )
            # From sondrio nothing would reach a server in bormio.
            is_old = any(server is old[0] for server in ran)
            if item is gateway and is_old and sent_at > APPLY_SECONDS:
                sent[request_id] = sent_at
        await asyncio.sleep(0.25)
    proxy.close()
    await asyncio.sleep(0.1)
    site.record(
        f"{len(sent)} requests that were sent later than {APPLY_SECONDS:.0f} s after "
        "the acknowledgement were run by the old service"
    )
    return not sent


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, GATEWAYS, case))
