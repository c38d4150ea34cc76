"""A stand-in for many quick application servers in one process.

`many_servers.py HOST COUNT PREFIX LOG` prints the first port; the servers listen on it
and the ports after it. Server N has the id PREFIX-N. Each line of LOG is a request that
a server has run, with the time of the steady clock.
"""

import asyncio
import pathlib
import socket
import sys
import time


def name_of(prefix, number):
    return f"{prefix}-{number:03d}"


def listen(host, count):
    for _ in range(50):
        sockets = [socket.socket() for _ in range(count)]
        try:
            sockets[0].bind((host, 0))
            first = sockets[0].getsockname()[1]
            for number in range(1, count):
                sockets[number].bind((host, first + number))
            return first, sockets
        except (OSError, OverflowError):
            for item in sockets:
                item.close()
    raise SystemExit("no free ports")


async def main():
    host, count, prefix, log_path = sys.argv[1:5]
    first, sockets = listen(host, int(count))
    log = pathlib.Path(log_path).open("a", encoding="utf-8", buffering=1)  # noqa: SIM115

    def server(name):
        async def serve(reader, writer):
            try:
                while await answer(name, reader, writer, log):
                    pass
            except (OSError, asyncio.IncompleteReadError, ValueError):
                pass
            finally:
                writer.close()

        return serve

    for number, item in enumerate(sockets):
        await asyncio.start_server(
            server(name_of(prefix, number)), sock=item, backlog=64
        )
    print(first, flush=True)
    await asyncio.Event().wait()


async def answer(name, reader, writer, log):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = dict(line.split(": ", 1) for line in head[1:] if ": " in line)
    headers = {key.lower(): value for key, value in fields.items()}
    await reader.readexactly(int(headers.get("content-length", "0")))
    request_id = headers.get("bilberryring-request-id", "")
    if headers.get("bilberryring-target-instance", name) != name:
        writer.write(
            b"HTTP/1.1 421 Misdirected\r\nBilberryring-Not-Executed: 1\r\n"
            b"Bilberryring-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
            % request_id.encode()
        )
        await writer.drain()
        return True
    log.write(f"{time.monotonic():.4f} {name} {request_id}\n")
    await asyncio.sleep(0.005)
    body = f"{name} {request_id}".encode()
    writer.write(
        b"HTTP/1.1 200 OK\r\nBilberryring-Request-Id: %s\r\n"
        b"Bilberryring-Response-Stamp: s.%s\r\nKeep-Alive: timeout=5\r\n"
        b"Content-Length: %d\r\n\r\n%s"
        % (request_id.encode(), name.encode(), len(body), body)
    )
    await writer.drain()
    return True


if __name__ == "__main__":
    asyncio.run(main())
