"""Another writer announces a service that is not named, at the address of a server."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from kit3.stand import (  # noqa: E402
    HOST,
    Answer,
    CannotRunError,
    configuration,
    entry,
    read_answer,
    request_headers,
    route,
    run,
    trouble,
)

N_STREAMS = 12
N_BOOKINGS = 4
N_SLOTS = 16
PIECES = 40
GAP_MS = 100
ALLOWED_LOSSES = 3
ROUTES = [
    route("booking", "/booking/", "non_idempotent", "app", attempts=1),
    route("draft", "/draft/", "streaming", "app", gap_aim_ms=250),
]


async def play(fleet):
    """Return how the rule was broken."""
    fleet.store.put("op/config", configuration(1, ROUTES, ["app"]))
    address = fleet.new_address()
    await fleet.start_server("--address", address, "--id", "i-1")
    await asyncio.sleep(0.7)
    own = entry(address, "app", slots=N_SLOTS)
    fleet.store.put("servers/i-1", own)
    await fleet.start_gateways(2)
    await asyncio.sleep(3.5)

    async def client(number, kind):
        """Send two requests on one connection; return the answer to the second."""
        gateway = fleet.gateways[number % 2]
        reader, writer = await asyncio.open_connection(*gateway.front)
        name = f"{kind}-{number}"
        target = f"/draft/stream?pieces={PIECES}&gap_ms={GAP_MS}&n={name}"
        if kind == "booking":
            target = f"/booking/whole?ms={PIECES * GAP_MS}&n={name}"
        for request, wanted in (
            (f"{name}-first", f"/booking/whole?ms=20&n={name}"),
            (name, target),
        ):
            headers = request_headers(request, 9000)
            lines = [f"POST {wanted} HTTP/1.1", f"Host: {HOST}", "Content-Length: 0"]
            lines += [f"{key}: {value}" for key, value in headers.items()]
            fleet.record.write(f"client    sends {request} to {gateway.name}: {wanted}")
            writer.write("\r\n".join([*lines, "", ""]).encode())
            answer = Answer()
            try:
                async with asyncio.timeout(10):
                    await read_answer(reader, answer)
            except (
                asyncio.IncompleteReadError,
                ConnectionError,
                TimeoutError,
            ) as error:
                answer.end = f"cut ({type(error).__name__})"
            fleet.record.write(
                f"client    {request}: status {answer.status}, {answer.end},"
                f" {answer.body.count(b'data: ')} events"
            )
        writer.close()
        return gateway.name, name, answer

    tasks = [
        asyncio.create_task(client(number, kind))
        for kind, count in (("draft", N_STREAMS), ("booking", N_BOOKINGS))
        for number in range(count)
    ]
    await asyncio.sleep(1.5)
    if trouble():
        # An entry of another writer, which names a service that is not named here.
        odd = entry(address, "audit", born=int(time.time() * 1000))
        fleet.store.put("servers/agent-7", odd)
    await asyncio.sleep(1.2)
    # The server writes about every 1.2 s.
    fleet.store.put("servers/i-1", {**own, "sequence": 2})
    answers = await asyncio.gather(*tasks)
    if not all(answer.status for _, _, answer in answers):
        raise CannotRunError("a request got no answer at all, not even a part")
    breaches = []
    for gateway in fleet.gateways:
        lost = [
            f"{gateway.name} {name}: status {answer.status}, {answer.end}"
            for machine, name, answer in answers
            if machine == gateway.name
            and name.startswith("draft")
            and answer.end != "whole"
        ]
        fleet.record.write(f"closed    {len(lost)} kept connections at {gateway.name}")
        if len(lost) > ALLOWED_LOSSES:
            breaches += lost
    return breaches


run(play, Path(__file__).parent)
