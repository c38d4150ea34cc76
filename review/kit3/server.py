"""A plain server of the operators' platform, as a process of its own.

It answers what the path asks for: `/.../whole?bytes=800&ms=60` is one body after some
work, and `/.../stream?pieces=20&gap_ms=100` a stream of events with rising ids. It logs
each run to its output.
"""

import argparse
import asyncio
import sys
import time
from urllib.parse import parse_qs, urlsplit


def log(text: str) -> None:
    """Log one line with the time of the machine's steady clock."""
    sys.stdout.write(f"[{time.monotonic():.3f}] {text}\n")
    sys.stdout.flush()


class Server:
    """One server; `options` are those of the command line."""

    def __init__(self, options: argparse.Namespace):
        self._options = options

    async def serve(self, reader, writer) -> None:
        """Answer the requests of one connection, one after the other."""
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ")
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        name = self._options.id
        request = headers.get("bilberryring-request-id", "")
        common = (
            f"Bilberryring-Request-Id: {request}\r\n"
            f"Bilberryring-Response-Stamp: stamp.{name}.{request}\r\n"
        )
        path = urlsplit(target)
        if path.path == "/health":
            self._write(writer, 200, f"Bilberryring-Instance-Id: {name}\r\n", b"")
            return True
        wanted = headers.get("bilberryring-target-instance", name)
        if wanted != name:
            more = f"Bilberryring-Request-Id: {request}\r\nAt-Server: {name}\r\n"
            self._write(writer, 421, more, b"")
            return True
        query = {key: values[0] for key, values in parse_qs(path.query).items()}
        tenant = headers.get("bilberryring-tenant")
        log(f"{name} runs {request} {method} {target} body={len(body)} {tenant=!a}")
        if path.path.endswith("/stream"):
            await self._write_stream(writer, query, common, headers)
        else:
            await asyncio.sleep(int(query.get("ms", 60)) / 1000)
            self._write(writer, 200, common, b"x" * int(query.get("bytes", 800)))
        log(f"{name} has answered {request}")
        return True

    async def _write_stream(self, writer, query, common, headers) -> None:
        first = int(headers.get("last-event-id", 0) or 0) + 1
        count = int(query.get("pieces", 20))
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"{common}Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for number in range(first, count + 1):
            await asyncio.sleep(int(query.get("gap_ms", 100)) / 1000)
            event = b"id: %d\ndata: piece %d of %d\n\n" % (number, number, count)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _write(self, writer, status: int, headers: str, body: bytes) -> None:
        head = f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)


async def main() -> None:
    """Listen until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--id", required=True)
    options = parser.parse_args()
    host, _, port = options.address.rpartition(":")
    server = await asyncio.start_server(
        Server(options).serve, host, int(port), backlog=256
    )
    log(f"{options.id} listens at {options.address}")
    await server.serve_forever()


asyncio.run(main())
