"""Case 2: a stream that a killed gateway cuts off looks complete to its client."""

import asyncio
import sys
from pathlib import Path

from review.kit.http_parts import Answer, Head
from review.kit.server import Server, stamped_headers
from review.kit.site import (
    HOST,
    KEY,
    STABILITY_SECONDS,
    TENANT,
    CannotRun,
    Site,
    run_case,
)

PIECES = 10
PIECE_SECONDS = 0.2
KILL_AFTER_SECONDS = 1.0
DEADLINE_MS = 10_000
STREAMS = 3
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "preventivo",
            "host": HOST,
            "prefix": "/lohu930/",
            "kind": "streaming",
            "timeout_ms": 10000,
            "target_latency_ms": 300,
            "gap_aim_ms": 250,
            "priority": 1,
            "service": "assistente",
            "attempts": 2,
        }
    ],
    "services": [{"name": "assistente", "max_connections": 424}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
}


class StreamingServer(Server):
    """Streams events; its answer has no length and ends with its connection."""

    service = "assistente"

    async def answer(self, head: Head, writer) -> None:
        request_id = head.headers["bilberryring-request-id"]
        self.site.record(f"{self.id} runs {request_id}")
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in stamped_headers(head)]
        lines += ["Content-Type: text/event-stream", "Connection: close", "", ""]
        writer.write("\r\n".join(lines).encode())
        for number in range(1, PIECES + 1):
            writer.write(b"id: %d\ndata: %d of %d\n\n" % (number, number, PIECES))
            await writer.drain()
            await asyncio.sleep(PIECE_SECONDS)
        writer.close()


def is_truncated(answer: Answer) -> bool:
    """Whether a stream ends as a complete success before its last piece."""
    is_success = answer.status == 200 and answer.is_complete
    return is_success and answer.body.count(b"data:") < PIECES


async def case(site: Site, trouble: bool) -> bool:
    await site.start(CONFIGURATION)
    for number in range(3):
        await StreamingServer(site, f"{site.net}.{30 + number}").start()
    await site.start_gateways()
    await asyncio.sleep(STABILITY_SECONDS + 1)
    gateway = site.gateways[0]
    calls = [
        asyncio.create_task(
            site.call(gateway, "POST", "/lohu930/2f", deadline_ms=DEADLINE_MS)
        )
        for _ in range(STREAMS)
    ]
    await asyncio.sleep(KILL_AFTER_SECONDS)
    if trouble:
        site.record(f"front-{gateway.number} is killed")
        gateway.process.kill()
    answers = await asyncio.gather(*calls)
    for request_id, answer in answers:
        end = "looks complete" if answer.is_complete else f"cut: {answer.detail}"
        pieces = answer.body.count(b"data:")
        stamp = answer.headers.get("bilberryring-response-stamp")
        site.record(
            f"{request_id}: {answer.status}, stamp {stamp}, {pieces} of {PIECES} "
            f"pieces, {end}"
        )
    if not all(answer.body for _, answer in answers):
        raise CannotRun("not every stream began")
    if not trouble and any(not answer.is_complete for _, answer in answers):
        return False
    return not any(is_truncated(answer) for _, answer in answers)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, 2, case))
