"""A bound on the objects that the body of a request is decoded to.

>>> most_objects(b'{"messages": [{"role": "user", "content": "say \\\\"hi\\\\""}]}')
3
"""

from bilberryring.core import ErrorCode, RunOutcome, ServingError
from bilberryring.http import BoundedRequest

MAX_OBJECTS = 100_000
"""Objects of one body, as `most_objects` counts them. A chat of 30,000 messages has
fewer; a body of 24 MiB with empty messages has two million."""
FEW_OBJECTS = 1_000
"""Objects for which no room is made: they take less than a connection's head."""
OBJECT_BYTES = 200
"""Memory of a decoded message or part with short texts."""


def most_objects(body: bytes) -> int:
    """Return a number that the messages and parts of a JSON text do not exceed.

    Each has a key and a value that are strings. Of their four quotes one, the last of
    the value, may look like an escaped one.
    """
    return (body.count(b'"') - body.count(b'\\"')) // 3


def check_objects(request: BoundedRequest, body: bytes) -> bytes:
    """Return the body of a request if what it is decoded to fits into memory.

    Raises `ServingError` otherwise.
    """
    n_objects = most_objects(body)
    if n_objects > MAX_OBJECTS:
        raise ServingError(
            code=ErrorCode.BODY_TOO_LARGE,
            outcome=RunOutcome.NOT_RUN,
            detail="the body has too many messages or fields",
        )
    if n_objects > FEW_OBJECTS:
        has_room = request.channel.make_room_for_objects(n_objects * OBJECT_BYTES)
        if not has_room:
            raise ServingError(
                code=ErrorCode.MEMORY_SHORT,
                outcome=RunOutcome.NOT_RUN,
                retry_after=1.0,
            )
    return body
