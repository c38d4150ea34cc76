"""A stand-in for servers that write reports field by field, without a buffer.

`report_server.py HOST COUNT PREFIX LOG` prints the first port, as `many_servers.py`. An
answer under `/informe/` is a valid answer in chunks, one for each field of 20 bytes;
any other one is short and has a length.
"""

import asyncio
import pathlib
import sys
import time

from many_servers import listen, name_of

SIZE = 700_000
FIELD = 20
CHUNK = b"%x\r\n%s\r\n" % (FIELD, b"7" * FIELD)
REPORT = CHUNK * (SIZE // FIELD) + b"0\r\n\r\n"


async def main():
    host, count, prefix, log_path = sys.argv[1:5]
    first, sockets = listen(host, int(count))
    log = pathlib.Path(log_path).open("a", encoding="utf-8", buffering=1)  # noqa: SIM115

    def server(name):
        async def serve(reader, writer):
            try:
                while await answer(name, reader, writer, log):
                    pass
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        return serve

    for number, item in enumerate(sockets):
        name = name_of(prefix, number)
        await asyncio.start_server(server(name), sock=item, backlog=64)
    print(first, flush=True)
    await asyncio.Event().wait()


async def answer(name, reader, writer, log):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = dict(line.split(": ", 1) for line in head[1:] if ": " in line)
    headers = {key.lower(): value for key, value in fields.items()}
    await reader.readexactly(int(headers.get("content-length", "0")))
    request_id = headers.get("bilberryring-request-id", "")
    log.write(f"{time.monotonic():.3f} {name} runs {request_id}\n")
    start = (
        f"HTTP/1.1 200 OK\r\nBilberryring-Request-Id: {request_id}\r\n"
        f"Bilberryring-Response-Stamp: s.{name}\r\n"
    )
    if head[0].split()[1].startswith("/informe/"):
        writer.write(start.encode() + b"Transfer-Encoding: chunked\r\n\r\n" + REPORT)
    else:
        writer.write(start.encode() + b"Content-Length: 2\r\n\r\nok")
    await writer.drain()
    log.write(f"{time.monotonic():.3f} {name} has written all of {request_id}\n")
    return True


if __name__ == "__main__":
    asyncio.run(main())
