"""Reading and writing of HTTP/1.1 messages for the stand-ins."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Head:
    """The first line and the headers, with names in lower case."""

    first: list[str]
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def target(self) -> str:
        return self.first[1]

    @property
    def status(self) -> int:
        return int(self.first[1])


@dataclass
class Answer:
    """What a client got; `is_complete` is how it looks by HTTP's own rules."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    detail: str = ""


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.split("\r\n")
    head = Head(first=lines[0].split(" ", 2))
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            head.headers[name.lower()] = value.strip()
    return head


def write_answer(writer, status: int, headers, body: bytes) -> None:
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode("latin-1") + body)


async def _read_chunks(reader, answer: Answer) -> None:
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        answer.body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            answer.is_complete = True
            return


async def _read_body(reader, answer: Answer) -> None:
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        await _read_chunks(reader, answer)
    elif "content-length" in answer.headers:
        while missing := int(answer.headers["content-length"]) - len(answer.body):
            data = await reader.read(missing)
            if not data:
                return
            answer.body += data
        answer.is_complete = True
    else:
        # RFC 9112, 6.3: the end of the connection is the end of the answer. A reset
        # raises ConnectionError, and leaves it incomplete.
        while data := await reader.read(65536):
            answer.body += data
        answer.is_complete = True


async def call(
    address: tuple[str, int], method: str, path: str, headers, *, seconds: float
) -> Answer:
    """Send one request on a new connection, as a client, and return its answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1"))
            head = await read_head(reader)
            if head is None:
                answer.detail = "closed without an answer"
                return answer
            answer.status, answer.headers = head.status, head.headers
            await _read_body(reader, answer)
    except TimeoutError:
        answer.detail = "no end of the answer in time"
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.detail = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer
