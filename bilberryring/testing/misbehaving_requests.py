"""Requests that make a server hold what their clients send, or do not read.

A `Kind` says what each client of a crowd sends.
"""

import itertools
import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from functools import partial

from bilberryring.standins.gateway_site import request_headers

BODY_BYTES = 4 * 1024 * 1024
"""The largest body that is legal by default."""
HEAD_BYTES = 16_384
"""The largest head that is legal by default."""
OVERSIZED_BYTES = 39_000_000
PIECE_BYTES = 1_000
SLOW_SECONDS = 0.05
RUN_SECONDS = 20.0
"""The longest time for which a crowd sends."""
BULK_PATH = "/bulk/"
LARGE_PATH = f"{BULK_PATH}large"
HUGE_PATH = f"{BULK_PATH}huge"
HELD_PATH = f"{BULK_PATH}held"
ORDINARY_PATH = "/look/"

Parts = Callable[[int], Iterable[bytes]]
"""Returns what the client with a number sends, in the pieces in which it sends it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """What each client of a crowd sends, and to which port of a gateway.

    A client reads at most `read_bytes` in a round. A round takes at least `interval`
    seconds, and the crowd sends for at most `seconds`.
    """

    parts: Parts
    port: str = "caller"
    read_bytes: int = 0
    interval: float = 0.0
    seconds: float = RUN_SECONDS


def request_head(
    *lines: str, target: str = ORDINARY_PATH, method: str = "POST", **changes: str
) -> bytes:
    """Return the head of a legal request with lines added and headers replaced."""
    fields = request_headers() | changes
    text = [f"{name}: {value}" for name, value in fields.items()]
    head = [f"{method} {target} HTTP/1.1", *text, *lines, "", ""]
    return "\r\n".join(head).encode()


def chunk_of(size: int) -> bytes:
    """Return one chunk with so many bytes of content."""
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


def unfinished_body(
    number: int,
    *,
    head: Callable[..., bytes] = request_head,
    n_bytes: int = BODY_BYTES,
) -> Iterator[bytes]:
    """Send a request whose body is one byte short."""
    yield head(f"Content-Length: {n_bytes}")
    yield from repeated_body(n_bytes - 1)


def repeated_body(n_bytes: int) -> Iterator[bytes]:
    """Return a body in large pieces, which all bodies share."""
    n_whole, rest = divmod(n_bytes, BODY_BYTES)
    yield from itertools.repeat(_BODY, n_whole)
    yield _BODY[:rest]


def _body_in_pieces(number: int) -> Iterator[bytes]:
    yield request_head(f"Content-Length: {BODY_BYTES}")
    yield from itertools.repeat(_BODY[:PIECE_BYTES], (BODY_BYTES - 1) // PIECE_BYTES)


def _body_in_chunks(number: int, *, size: int, n_bytes: int, first: int = 0):
    """Send a chunk of `first` bytes and then small ones, up to `n_bytes` of body."""
    yield request_head("Transfer-Encoding: chunked")
    if first:
        yield chunk_of(first)
    n_chunks = (n_bytes - first) // size
    block = chunk_of(size) * min(n_chunks, PIECE_BYTES)
    yield from itertools.repeat(block, n_chunks // PIECE_BYTES)


def _stopped_body(number: int) -> Iterator[bytes]:
    """Stop at a point of the body that the number of the client decides."""
    yield request_head(f"Content-Length: {BODY_BYTES}")
    yield _BODY[: random.Random(number).randrange(BODY_BYTES)]


def _json_body(number: int) -> Iterator[bytes]:
    yield request_head(f"Content-Length: {BODY_BYTES}", target=HELD_PATH)
    yield b"[" + b"{}," * ((BODY_BYTES - 4) // 3) + b"{}" + b" " + b"]"


def _many_headers(number: int) -> Iterator[bytes]:
    """Send all but the end of a head with nearly as many fields as are parsed."""
    lines = [f"k{field}-{number}: {field:x}" for field in range(480)]
    yield request_head(*lines)[:-2]


def _many_cookies(number: int) -> Iterator[bytes]:
    cookies = "".join(f"{name}=;" for name in itertools.islice(_short_names(), 3_900))
    yield request_head(f"Cookie: {cookies}", "Content-Length: 1")


def _many_arguments(number: int) -> Iterator[bytes]:
    names = itertools.islice(_short_names(), 3_900)
    query = "&".join(f"{name}=" for name in names)
    yield request_head(target=f"{HELD_PATH}?{query}", method="GET")


def _many_trailers(number: int) -> Iterator[bytes]:
    yield request_head("Transfer-Encoding: chunked") + b"0\r\n"
    yield b"a:\r\n" * 15_900


def _pipelined(number: int, *, target: str, n: int) -> Iterator[bytes]:
    for _ in range(n):
        yield request_head(target=target, method="GET")


def _pipelined_short(number: int, *, target: str) -> Iterator[bytes]:
    """Send as many requests as the server reads, with the shortest heads."""
    block = f"GET {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode() * PIECE_BYTES
    return itertools.repeat(block)


def _byte_by_byte(number: int) -> Iterator[bytes]:
    request = request_head("Content-Length: 100") + b"x" * 100
    return (request[index : index + 1] for index in range(len(request) - 1))


def _stopped_request(number: int) -> Iterator[bytes]:
    """Stop at any byte of a request, by the number of the client."""
    request = request_head("Content-Length: 9") + b"x" * 9
    yield request[: number % len(request)]


def _nothing(number: int) -> Iterator[bytes]:
    return iter(())


def _short_names() -> Iterator[str]:
    letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-"
    return ("".join(pair) for pair in itertools.product(letters, repeat=2))


_BODY = bytes(BODY_BYTES)
_no_route = partial(request_head, target="/no/such/route")
_unknown_key = partial(request_head, Authorization="Bearer nobody")
_readiness = partial(request_head, target="/v1/ready")
_metrics = partial(request_head, target="/metrics")

UNFINISHED_BODIES = {
    "one piece": Kind(parts=unfinished_body),
    "small pieces": Kind(parts=_body_in_pieces),
    "chunks": Kind(parts=partial(_body_in_chunks, size=16, n_bytes=BODY_BYTES)),
    "chunks of a byte": Kind(
        parts=partial(
            _body_in_chunks, size=1, n_bytes=BODY_BYTES, first=BODY_BYTES - 4_000
        )
    ),
    "any point": Kind(parts=_stopped_body),
    "no route": Kind(parts=partial(unfinished_body, head=_no_route)),
    "unknown key": Kind(parts=partial(unfinished_body, head=_unknown_key)),
    "readiness": Kind(parts=partial(unfinished_body, head=_readiness), port="ready"),
    "operators": Kind(parts=partial(unfinished_body, head=_metrics), port="operators"),
}
"""Bodies of legal size that are sent but for their end."""

ONLY_CHUNKS_OF_A_BYTE = Kind(
    parts=partial(_body_in_chunks, size=1, n_bytes=50_000), seconds=10.0
)
"""A part of a body in chunks of one byte, whose framing is most of what arrives."""


def _oversized_body(number: int) -> Iterator[bytes]:
    yield request_head(f"Content-Length: {OVERSIZED_BYTES}")
    yield from repeated_body(OVERSIZED_BYTES)


def _oversized_chunks(number: int, *, head: Callable[..., bytes] = request_head):
    yield head("Transfer-Encoding: chunked")
    yield from itertools.repeat(chunk_of(65_536), OVERSIZED_BYTES // 65_536)


OVERSIZED_BODIES = {
    "declared": Kind(parts=_oversized_body),
    "chunked": Kind(parts=_oversized_chunks),
    "chunked, readiness": Kind(
        parts=partial(_oversized_chunks, head=_readiness), port="ready"
    ),
    "chunked, operators": Kind(
        parts=partial(_oversized_chunks, head=_metrics), port="operators"
    ),
}
"""Bodies far over the limit."""

SHORT_FIELDS = {
    "headers": Kind(parts=_many_headers),
    "cookies": Kind(parts=_many_cookies),
    "query": Kind(parts=_many_arguments),
    "trailers": Kind(parts=_many_trailers),
    "JSON": Kind(parts=_json_body),
}
"""Requests of legal size with as many short fields as fit."""

UNREAD_ANSWERS = {
    "8 large": Kind(parts=partial(_pipelined, target=LARGE_PATH, n=8)),
    "200 large": Kind(parts=partial(_pipelined, target=LARGE_PATH, n=200)),
    "refusals": Kind(parts=partial(_pipelined_short, target="/no")),
    "readiness": Kind(
        parts=partial(_pipelined_short, target="/v1/ready"), port="ready"
    ),
    "metrics": Kind(
        parts=partial(_pipelined_short, target="/metrics"), port="operators"
    ),
}
"""Pipelined requests of clients that read none of the answers."""

SLOW_READER = Kind(
    parts=partial(_pipelined, target=HUGE_PATH, n=1),
    read_bytes=100,
    interval=SLOW_SECONDS,
    seconds=6.0,
)
"""Clients that read a huge answer in small pieces."""

HELD_CONNECTIONS = {
    "slow sender": Kind(parts=_byte_by_byte, interval=SLOW_SECONDS, seconds=6.0),
    "any byte": Kind(parts=_stopped_request),
    "abandoned": Kind(parts=_nothing),
}
"""Connections that send little, and are left open."""


def at_port(kind: Kind, port: str) -> Kind:
    """Return the kind with another port."""
    return replace(kind, port=port)
