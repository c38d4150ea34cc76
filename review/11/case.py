"""A leaving server is gone while it sends answers that have no length."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from kit3.stand import (  # noqa: E402
    CannotRunError,
    ask,
    configuration,
    entry,
    free_ports,
    request_headers,
    route,
    run,
    trouble,
)

PIECES = 40
GAP_MS = 100
N_EACH = 14
N_SERVERS = 7
NOTICE_SECONDS = 2.0
ROUTES = [
    route("lookup", "/lookup/", "idempotent", "app"),
    route("booking", "/booking/", "non_idempotent", "app", attempts=1),
    route("draft", "/draft/", "streaming", "app", gap_aim_ms=250),
]


async def play(fleet):
    """Return how the rule was broken."""
    fleet.store.put("op/config", configuration(1, ROUTES, ["app"]))
    servers = {}
    for number in range(1, N_SERVERS + 1):
        name, ip = f"i-{number}", fleet.new_ip()
        address = f"{ip}:{free_ports(ip, 1)[0]}"
        process = await fleet.start_server(
            "--address", address, "--id", name, "--unframed"
        )
        servers[name] = (address, process)
    await asyncio.sleep(1.0)
    for name, (address, _) in servers.items():
        fleet.store.put(f"servers/{name}", entry(address, "app"))
    address, leaving = servers["i-1"]
    await fleet.start_gateways(2)
    await asyncio.sleep(3.5)

    requests = []
    for number in range(N_EACH):
        for path in ("lookup/slow", "booking/slow", "draft/stream"):
            requests.append((f"{path.split('/')[0]}-{number}", path))
    tasks = []
    for number, (name, path) in enumerate(requests):
        gateway = fleet.gateways[number % 2]
        target = f"/{path}?pieces={PIECES}&gap_ms={GAP_MS}&n={name}"
        method = "GET" if path.startswith("lookup") else "POST"
        fleet.record.write(f"client    sends {name}: {method} {target}")
        tasks.append(
            asyncio.create_task(
                ask(gateway.front, method, target, request_headers(name, 9000))
            )
        )
    await asyncio.sleep(0.5)
    fleet.store.put("servers/i-1", entry(address, "app", state="draining", sequence=2))
    await asyncio.sleep(NOTICE_SECONDS)
    if trouble():
        fleet.record.write("server    i-1 is killed, 2 s after its notice")
        leaving.kill()
    answers = await asyncio.gather(*tasks)

    breaches = []
    n_answered = 0
    for (name, path), answer in zip(requests, answers, strict=True):
        pieces = answer.body.count(b"data: " if "stream" in path else b"\n")
        fleet.record.write(
            f"client    {name}: status {answer.status}, {answer.end}, {pieces} pieces"
            f" of {PIECES}, stamp {answer.headers.get('bilberryring-response-stamp')}"
        )
        n_answered += answer.status != 0
        if answer.status == 200 and answer.end == "whole" and pieces < PIECES:
            breaches.append(f"{name}: 200, complete, with {pieces} of {PIECES} pieces")
    if not n_answered:
        raise CannotRunError("no request was answered")
    return breaches


run(play, Path(__file__).parent)
