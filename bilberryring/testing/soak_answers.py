"""The answers that a soak's endpoints give, which follow from the request's id."""

import zlib

LARGE_BODY_BYTES = 60_000
MAX_EVENTS = 18


def answer_body(request: str) -> bytes:
    """Return the whole body of the answer to a look-up or a charge.

    >>> answer_body("a")[:9]
    b'body of a'
    """
    size = LARGE_BODY_BYTES if _digest(request) % 8 == 0 else 40
    line = b"body of %s;" % request.encode()
    return (line * (1 + size // len(line)))[: max(size, len(line))]


def event_count(request: str) -> int:
    """Return the number of events in the whole answer to a stream request."""
    return 3 + _digest(request) % (MAX_EVENTS - 2)


def answer_event(request: str, number: int) -> bytes:
    """Return one event of a stream; the first number is 1.

    >>> answer_event("a", 1)
    b'id: 1\\ndata: piece 1 of a\\n\\n'
    """
    return b"id: %d\ndata: piece %d of %s\n\n" % (number, number, request.encode())


def whole_stream(request: str) -> bytes:
    """Return all events of a stream."""
    last = event_count(request)
    return b"".join(answer_event(request, n) for n in range(1, last + 1))


def work_seconds(request: str) -> float:
    """Return how long an endpoint works before it answers, or between two events."""
    return 0.005 + 0.003 * (_digest(request[::-1]) % 20)


def _digest(request: str) -> int:
    return zlib.crc32(request.encode())
