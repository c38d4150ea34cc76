"""A plain server that ends itself when it begins to run a certain request.

It answers each other request after some work. It logs each run to its output.
"""

import argparse
import asyncio
import os
import time


def log(text: str) -> None:
    """Log one line at once with the time of the machine's steady clock."""
    os.write(1, f"[{time.monotonic():.3f}] {text}\n".encode())


class Server:
    """One server; a request whose path has the word `crash` ends the process."""

    def __init__(self, name: str):
        self._name = name

    async def serve(self, reader, writer) -> None:
        """Answer the requests of one connection, one after the other."""
        try:
            while True:
                await self._serve_one(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        await reader.readexactly(int(headers.get("content-length", 0)))
        request = headers.get("bilberryring-request-id", "")
        common = f"Bilberryring-Request-Id: {request}\r\n"
        if headers.get("bilberryring-target-instance", self._name) != self._name:
            head = f"HTTP/1.1 421 X\r\n{common}Content-Length: 0\r\n\r\n"
            writer.write(head.encode())
            return
        if "crash" in head[0]:
            log(f"{self._name} crashes under {request}")
            os._exit(1)
        log(f"{self._name} runs {request}")
        await asyncio.sleep(0.06)
        stamp = f"Bilberryring-Response-Stamp: stamp.{self._name}.{request}\r\n"
        head = f"HTTP/1.1 200 OK\r\n{common}{stamp}Content-Length: 2\r\n\r\n"
        writer.write(head.encode() + b"ok")


async def main() -> None:
    """Listen until the process ends."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--id", required=True)
    options = parser.parse_args()
    host, _, port = options.address.rpartition(":")
    server = await asyncio.start_server(
        Server(options.id).serve, host, int(port), backlog=256
    )
    log(f"{options.id} listens at {options.address}")
    await server.serve_forever()


asyncio.run(main())
