"""A sound server of a service, which registers itself in the store."""

import asyncio
import itertools
import time

from review.kit.http_parts import Head, read_head, write_answer
from review.kit.site import HEARTBEAT_SECONDS, Site

PORT = 8080
BACK_SECONDS = 2.0


class Server:
    """Runs each request for 20 ms; `answer` says how it is run and answered."""

    service = "noleggi"
    _numbers = itertools.count(1)

    def __init__(self, site: Site, host: str, *, zone: str = "sondrio"):
        self.site = site
        self.zone = zone
        self.host = host
        self.id = ""
        self._connections = set()
        self._server = None

    async def start(self) -> None:
        """Begin a new incarnation, with a new id, and register it."""
        self._server = await asyncio.start_server(self._serve, self.host, PORT)
        self.id = f"i-{next(self._numbers):08x}"
        entry = {
            "service": self.service,
            "address": f"{self.host}:{PORT}",
            "zone": self.zone,
            "version": "1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
        }
        self.site.store.put(f"servers/{self.id}", entry)

    def crash(self) -> None:
        """End at once; the server is back after some seconds.

        Its entry is removed after three heartbeats of silence.
        """
        self._server.close()
        for writer in self._connections:
            writer.transport.abort()
        self._connections.clear()
        key, loop = f"servers/{self.id}", asyncio.get_running_loop()
        self.id = ""
        loop.call_later(3 * HEARTBEAT_SECONDS, self.site.store.remove, key)
        loop.call_later(BACK_SECONDS, lambda: loop.create_task(self.start()))

    async def answer(self, head: Head, writer) -> None:
        """Run a request and answer it."""
        await asyncio.sleep(0.02)
        write_answer(writer, 200, stamped_headers(head), b"ok")
        await writer.drain()

    async def _serve(self, reader, writer) -> None:
        self._connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                if head.headers.get("bilberryring-target-instance") in (None, self.id):
                    await self.answer(head, writer)
                    if writer.is_closing():
                        return
                    continue
                headers = [id_header(head), ("Bilberryring-Not-Executed", "1")]
                write_answer(writer, 421, headers, b"")
        except OSError:
            pass
        finally:
            self._connections.discard(writer)
            writer.close()


def id_header(head: Head) -> tuple[str, str]:
    return "Bilberryring-Request-Id", head.headers["bilberryring-request-id"]


def stamped_headers(head: Head) -> list[tuple[str, str]]:
    request_id = id_header(head)
    return [request_id, ("Bilberryring-Response-Stamp", f"{request_id[1]}.ok")]
