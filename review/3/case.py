"""Case 3: a rolling restart of the gateways forgets a request that crashes servers."""

import asyncio
import itertools
import sys
import time
from pathlib import Path

from review.kit.http_parts import Head
from review.kit.server import Server
from review.kit.site import (
    HOST,
    KEY,
    STABILITY_SECONDS,
    TENANT,
    CannotRun,
    Site,
    run_case,
)

POISON = "/lohu930/poison"
MAX_RETRIES = 3
DEADLINE_MS = 2500
PAUSE_SECONDS = 1.0
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
    "services": [{"name": "noleggi", "max_connections": 100}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
}


class CrashingServer(Server):
    """Crashes each time that it begins to run POISON."""

    def __init__(self, site: Site, host: str):
        super().__init__(site, host)
        self.arrivals: list[tuple[float, str]] = []

    async def answer(self, head: Head, writer) -> None:
        if head.target != POISON:
            await super().answer(head, writer)
            return
        request_id = head.headers["bilberryring-request-id"]
        self.arrivals.append((time.monotonic(), request_id))
        self.site.record(f"{self.id} begins to run {request_id} and crashes")
        self.crash()


async def usual_traffic(site: Site, counts: dict) -> None:
    """Look-ups of other clients, a few a second at each gateway."""

    async def one(gateway, number):
        path = f"/lohu930/{number:x}"
        _, answer = await site.call(gateway, "GET", path, deadline_ms=DEADLINE_MS)
        counts[answer.status] = counts.get(answer.status, 0) + 1

    tasks = set()
    for number in itertools.count():
        for gateway in site.gateways:
            task = asyncio.create_task(one(gateway, number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.25)


async def poison(site: Site, gateway) -> str:
    """The request comes again at a gateway; the client makes one attempt."""
    request_id, answer = await site.call(
        gateway, "GET", POISON, deadline_ms=DEADLINE_MS
    )
    site.record(
        f"{request_id} sent at front-{gateway.number}: "
        f"{answer.status or 'no answer'} {answer.detail}"
    )
    return request_id


async def case(site: Site, trouble: bool) -> bool:
    await site.start(CONFIGURATION)
    servers = [CrashingServer(site, f"{site.net}.{30 + number}") for number in range(8)]
    for server in servers:
        await server.start()
    await site.start_gateways()
    counts: dict[int, int] = {}
    traffic = asyncio.create_task(usual_traffic(site, counts))
    await asyncio.sleep(STABILITY_SECONDS + 1)

    def arrivals():
        return sorted(arrival for server in servers for arrival in server.arrivals)

    for gateway in itertools.cycle(site.gateways):
        await poison(site, gateway)
        if len(arrivals()) >= MAX_RETRIES:
            break
        await asyncio.sleep(PAUSE_SECONDS)
    third = arrivals()[MAX_RETRIES - 1][0]
    site.record("it has crashed the third server")
    await asyncio.sleep(STABILITY_SECONDS + PAUSE_SECONDS)

    in_touch: set[str] = set()
    for gateway in site.gateways:
        if trouble:
            site.record(f"front-{gateway.number} is stopped and started again")
            await gateway.stop()
            gateway.start()
            await gateway.wait_ready()
        await asyncio.sleep(STABILITY_SECONDS + PAUSE_SECONDS)
        for _ in range(2):
            in_touch.add(await poison(site, gateway))
            await asyncio.sleep(PAUSE_SECONDS)
    traffic.cancel()
    if not counts.get(200):
        raise CannotRun("no other request was served")
    late = [item for item in arrivals() if item[0] > third + STABILITY_SECONDS]
    retries = {request_id for _, request_id in late} & in_touch
    site.record(f"answers to other requests, by status: {dict(sorted(counts.items()))}")
    site.record(
        f"{len(retries)} retries of the request, sent by machines in touch, reached "
        f"servers later than {STABILITY_SECONDS:.0f} s after the third crash, with "
        f"{len(late)} further crashes; {MAX_RETRIES} retries are allowed"
    )
    return len(retries) <= MAX_RETRIES


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, 4, case))
