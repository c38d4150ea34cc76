"""A booking that crashes servers comes again after all gateways were killed."""

import asyncio
import re
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from kit3.stand import (  # noqa: E402
    CannotRunError,
    ask,
    configuration,
    entry,
    request_headers,
    route,
    run,
    trouble,
)

N_GATEWAYS = 4
N_SERVERS = 8
N_KILLS = 2
COMINGS = 4
ALLOWED_RETRIES = 3
STABILITY_SECONDS = 3.0
BACK_SECONDS = 2.0
ROUTES = [
    route("booking", "/booking/", "non_idempotent", "app", attempts=1, timeout_ms=800)
]


async def play(fleet):
    """Return how the rule was broken."""
    fleet.store.put("op/config", configuration(1, ROUTES, ["app"]))
    state = {"ends": False, "servers": 0}

    async def keep_server():
        """Start a server under a new id whenever the one before has crashed."""
        address = fleet.new_address()
        while not state["ends"]:
            state["servers"] += 1
            name = f"i-{state['servers']}"
            process = await fleet.start_server(
                "--address", address, "--id", name, program="crasher.py"
            )
            await asyncio.sleep(0.3)
            born = int(time.time() * 1000)
            fleet.store.put(f"servers/{name}", entry(address, "app", born=born))
            await process.wait()
            loop = asyncio.get_running_loop()
            # The store removes an entry after three heartbeats of silence.
            loop.call_later(3.6, fleet.store.remove, f"servers/{name}")
            await asyncio.sleep(BACK_SECONDS)

    async def keep_client(number):
        """Send other bookings all the while, three a second from all clients."""
        count = 0
        while not state["ends"]:
            count += 1
            name = f"other-{number}-{count}"
            gateway = fleet.gateways[(number + count) % N_GATEWAYS]
            headers = request_headers(name, 1500)
            await ask(gateway.front, "POST", f"/booking/{name}", headers, seconds=1.5)
            await asyncio.sleep(1.0)

    tasks = [asyncio.create_task(keep_server()) for _ in range(N_SERVERS)]
    await asyncio.sleep(1.0)
    await fleet.start_gateways(N_GATEWAYS)
    await asyncio.sleep(STABILITY_SECONDS + 1.0)
    tasks += [asyncio.create_task(keep_client(number)) for number in range(3)]
    ready_at = 0.0
    sent: dict[str, float] = {}
    for phase in range(N_KILLS + 1):
        for number in range(COMINGS):
            name = f"phase-{phase}-coming-{number}"
            sent[name] = time.monotonic()
            if sent[name] < ready_at + STABILITY_SECONDS:
                raise CannotRunError("a gateway was not in touch")
            answer = await ask(
                fleet.gateways[number % N_GATEWAYS].front,
                "POST",
                "/booking/crash",
                request_headers(name, 1500),
                body=b"the same body",
                seconds=1.5,
            )
            fleet.record.write(f"client    {name}: status {answer.status}")
            await asyncio.sleep(0.5)
        if phase == N_KILLS:
            break
        if trouble():
            fleet.record.write("gateways  all are killed")
            for gateway in fleet.gateways:
                gateway.process.kill()
            for gateway in fleet.gateways:
                await gateway.process.wait()
                await fleet.start_gateway(gateway)
            for gateway in fleet.gateways:
                await fleet.wait_ready(gateway)
            ready_at = time.monotonic()
        await asyncio.sleep(2 * STABILITY_SECONDS)
    state["ends"] = True
    await asyncio.sleep(1.6)
    for task in tasks:
        task.cancel()
    return breaches(fleet, sent)


def breaches(fleet, sent):
    """Return the comings that reached a server too late, if there are too many."""
    crashes = [
        (float(match[1]), match[2])
        for line in fleet.server_lines()
        if (match := re.match(r"\[([\d.]+)\] \S+ crashes under (\S+)", line))
    ]
    fleet.record.write(f"crashes   {len(crashes)}")
    if not crashes:
        raise CannotRunError("the request has reached no server")
    if len(crashes) < 3:
        return []
    bound = crashes[2][0] + STABILITY_SECONDS
    late = sorted({name for _, name in crashes if sent[name] > bound})
    fleet.record.write(f"retries   {len(late)}: {' '.join(late)}")
    return late if len(late) > ALLOWED_RETRIES else []


run(play, Path(__file__).parent)
