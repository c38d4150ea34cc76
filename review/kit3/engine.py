"""A model server of the operators' platform, as a process of its own.

It answers prompts with a stream of events, sets memory aside by orders, and reads a
prompt with the helpers that the request names, whose tickets it uses. With `--hang
FILE` it never answers a prompt that has helpers, unless another server has done so
before: then FILE exists. It logs what memory is set aside, used and freed.
"""

import argparse
import asyncio
import json
import sys
import time
from pathlib import Path


def log(text: str) -> None:
    """Log one line with the time of the machine's steady clock."""
    sys.stdout.write(f"[{time.monotonic():.3f}] {text}\n")
    sys.stdout.flush()


class Engine:
    """One model server with its tickets: tokens, the end of the lease, whether used."""

    def __init__(self, options: argparse.Namespace):
        self._options = options
        self._tickets: dict[str, dict] = {}

    async def expire(self) -> None:
        """Free the tickets whose lease has run out."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for name, ticket in tuple(self._tickets.items()):
                if now >= ticket["until"]:
                    del self._tickets[name]
                    log(f"{self._options.id} frees {name} (expired)")

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
        if headers.get("bilberryring-target-instance", self._options.id) != (
            self._options.id
        ):
            self._answer(writer, 421, {}, f"At-Server: {self._options.id}\r\n")
        elif target == "/v1/order":
            status, content = self._order(json.loads(body))
            self._answer(writer, status, content)
        elif target == "/between-engines/use":
            ticket = self._tickets.get(body.decode())
            if ticket is not None:
                ticket["used"] = True
                log(f"{self._options.id} has {body.decode()} used")
            self._answer(writer, 200 if ticket else 404, {})
        elif method == "GET":
            self._answer(writer, 200, {})
        else:
            return await self._run(reader, writer, target, headers)
        return True

    def _order(self, order: dict) -> tuple[int, dict]:
        name, held = order.get("id", ""), self._tickets
        if order.get("op") == "release":
            if held.pop(name, None) is not None:
                log(f"{self._options.id} frees {name} (released)")
        elif order.get("op") != "reserve":
            return 400, {}
        else:
            free = self._options.kv - sum(item["tokens"] for item in held.values())
            if name not in held and order["tokens"] > free:
                return 409, {"free": free}
            until = time.monotonic() + order["hold_ms"] / 1000
            if name not in held:
                log(f"{self._options.id} sets aside {name} tokens={order['tokens']}")
                held[name] = {"tokens": order["tokens"], "used": False}
            held[name]["until"] = until
        free = self._options.kv - sum(item["tokens"] for item in held.values())
        return 200, {"free": free}

    async def _run(self, reader, writer, target: str, headers: dict) -> bool:
        request = headers.get("bilberryring-request-id", "")
        helpers = [item for item in headers.get("bilberryring-helpers", "").split(",")]
        helpers = [item.strip() for item in helpers if item.strip()]
        log(f"{self._options.id} got {request} helpers={helpers}")
        if helpers and self._is_first(self._options.hang):
            log(f"{self._options.id} hangs with {request}")
            await reader.read(1)
            log(f"{self._options.id} sees that {request} was given up")
            return False
        for helper in helpers:
            address, _, ticket = helper.partition("/")
            if ticket and not await _use(address, ticket):
                self._answer(writer, 503, {}, "Bilberryring-Not-Executed: 1\r\n")
                return True
        await asyncio.sleep(1.0 if helpers else 0.05)
        log(f"{self._options.id} runs {request} {target}")
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Bilberryring-Request-Id: {request}\r\n"
                f"Bilberryring-Response-Stamp: stamp.{self._options.id}.{request}\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for number in range(int(headers.get("last-event-id", 0) or 0) + 1, 11):
            event = b"id: %d\ndata: %d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")
        return True

    def _is_first(self, path: str) -> bool:
        """Whether no server has created a file yet; none does if `path` is empty."""
        if not path:
            return False
        try:
            Path(path).touch(exist_ok=False)
        except FileExistsError:
            return False
        return True

    def _answer(self, writer, status: int, content: dict, headers: str = "") -> None:
        body = json.dumps(content).encode()
        head = f"HTTP/1.1 {status} X\r\n{headers}Content-Type: application/json\r\n"
        writer.write(head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body)


async def _use(address: str, ticket: str) -> bool:
    """Tell a helper that its ticket is used now; return whether it has it."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"PUT /between-engines/use HTTP/1.1\r\nContent-Length: {len(ticket)}"
        writer.write(f"{head}\r\n\r\n{ticket}".encode())
        status = (await reader.readline()).split(b" ")[1]
        writer.close()
    except OSError:
        return False
    return status == b"200"


async def main() -> None:
    """Listen until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--kv", type=int, default=315_000)
    parser.add_argument("--hang", default="")
    options = parser.parse_args()
    engine = Engine(options)
    host, _, port = options.address.rpartition(":")
    server = await asyncio.start_server(engine.serve, host, int(port), backlog=256)
    log(f"{options.id} listens at {options.address}")
    await asyncio.gather(server.serve_forever(), engine.expire())


asyncio.run(main())
