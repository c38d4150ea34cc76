"""Takes the signals of a process from its first statement to its last.

A program installs the handlers before it imports anything that takes time, since the
default action of these signals ends a process. This module imports nothing but small
parts of the standard library for the same reason.
"""

import atexit
import signal
from collections import deque
from collections.abc import Callable

TERMINATIONS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (signal.SIGHUP, *TERMINATIONS)


class ProcessSignals:
    """Keeps the signals of a process in their order until the process acts on them.

    >>> signals = ProcessSignals()
    >>> signals.add(signal.SIGHUP)
    >>> signals.add(signal.SIGTERM)
    >>> signals.has_termination
    True
    >>> [number.name for number in signals.take()]
    ['SIGHUP', 'SIGTERM']
    """

    def __init__(self):
        self._waiting: deque[signal.Signals] = deque()
        self._listener: Callable[[], object] | None = None

    @property
    def has_termination(self) -> bool:
        """Whether a signal that ends the process waits to be acted on."""
        return any(number in TERMINATIONS for number in tuple(self._waiting))

    def install(self) -> None:
        """Take the signals from now on, and ignore them once the interpreter exits.

        The interpreter restores the default action of all signals that have a handler
        before it has exited, but not of those that are ignored.
        """
        for number in HANDLED_SIGNALS:
            signal.signal(number, lambda number, _frame: self.add(number))
        atexit.register(self.ignore)

    def ignore(self) -> None:
        """Let further signals change nothing; the process is about to exit."""
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def add(self, number: int) -> None:
        """Keep a signal, and tell the listener if there is one."""
        self._waiting.append(signal.Signals(number))
        if self._listener is not None:
            self._listener()

    def set_listener(self, listener: Callable[[], object]) -> None:
        """Call the listener for each signal, and at once if some wait.

        It is called within the handler of a signal, between any two statements.
        """
        self._listener = listener
        if self._waiting:
            listener()

    def take(self) -> list[signal.Signals]:
        """Return the signals that wait, in their order, and keep them no longer."""
        taken = []
        while self._waiting:
            taken.append(self._waiting.popleft())
        return taken


PROCESS_SIGNALS = ProcessSignals()
"""The signals of this process; its program installs them in its first statements."""
