"""Reading of what has arrived while the process was held up.

Timers run before sockets are read. After a pause of the process or its host a deadline
may be due whose answer waits in the kernel, and one read takes a part of it only.
"""

from collections.abc import Callable

from twisted.internet.task import deferLater

LATE_SECONDS = 0.25
"""Seconds by which a timer has to be late for the process to count as held up."""
READ_SECONDS = 1.0
"""Longest time for which what has arrived is read."""
CHECK_SECONDS = 0.01


async def read_arrived(
    reactor, is_receiving: Callable[[], bool], *, due_at: float
) -> None:
    """Return once what arrived before now was read, at a time that was due at `due_at`.

    In time, sockets are read once. `is_receiving` says whether more has arrived or is
    arriving; late, reading goes on until it is false.
    """
    now = reactor.seconds()
    is_late = now - due_at >= LATE_SECONDS
    await deferLater(reactor, 0)
    while is_late and is_receiving() and reactor.seconds() < now + READ_SECONDS:
        await deferLater(reactor, CHECK_SECONDS)
