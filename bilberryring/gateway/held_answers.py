"""Flow control for answers that are held in memory until they are whole.

A gateway passes an answer that is no stream on only when it has all of it, so that an
endpoint that breaks off or sends without end costs the caller an error or a retry, and
not a part of an answer. While many are held, only the one that was long first is read
on, and the connections of the other long ones are paused. That one ends or reaches its
own bound, and the next follows. While very many are held, short ones wait too.
"""

from collections.abc import Callable

MAX_HELD_BYTES = 8 * 1024 * 1024
"""Bytes of all held answers above which long ones wait for each other."""
SHORT_ANSWER_BYTES = 128 * 1024
"""Bytes up to which an answer waits for another one only while very many are held."""
MAX_SHORT_BYTES = 2 * MAX_HELD_BYTES
"""Bytes of all held answers above which short ones wait as well. A crowd of requests
whose answers are long would otherwise hold 192 KiB for each of them."""


class HeldAnswer:
    """The bytes of one answer; `response` is what is paused and resumed."""

    def __init__(self, *, answers: "HeldAnswers", response):
        self._answers = answers
        self._response = response
        self._n_bytes = 0
        self._is_paused = False

    @property
    def n_bytes(self) -> int:
        """The number of bytes that are held."""
        return self._n_bytes

    @property
    def is_long(self) -> bool:
        """Whether the answer may have to wait for others."""
        return self._n_bytes > SHORT_ANSWER_BYTES

    def add(self, n_bytes: int) -> None:
        """Count bytes that were received, and pause the response if it has to wait."""
        self._n_bytes += n_bytes
        self._answers.add(self, n_bytes)

    def release(self) -> None:
        """Count the answer no longer; its connection is read again."""
        self._answers.remove(self)
        self.resume()

    def pause(self) -> None:
        """Read no more of the response."""
        if not self._is_paused:
            self._is_paused = True
            self._response.pause()

    def resume(self) -> None:
        """Read on if the response was paused."""
        if self._is_paused:
            self._is_paused = False
            self._response.resume()


class HeldAnswers:
    """Counts the bytes of all held answers, and decides which ones are read on.

    `on_change` is called with their number when it changes. While `must_wait` returns
    true, since callers do not read what they have got, none is read on.
    """

    def __init__(
        self,
        *,
        on_change: Callable[[int], None] = lambda n_bytes: None,
        must_wait: Callable[[], bool] = lambda: False,
    ):
        self._on_change = on_change
        self._must_wait = must_wait
        self._n_bytes = 0
        self._long: dict[HeldAnswer, None] = {}
        self._short: dict[HeldAnswer, None] = {}

    @property
    def n_bytes(self) -> int:
        """The number of bytes that are held."""
        return self._n_bytes

    def begin(self, response) -> HeldAnswer:
        """Return an empty answer, which must be released."""
        return HeldAnswer(answers=self, response=response)

    def add(self, answer: HeldAnswer, n_bytes: int) -> None:
        """Count bytes of an answer; called by the answer."""
        self._n_bytes += n_bytes
        self._on_change(self._n_bytes)
        if not answer.is_long:
            is_crowded = self._n_bytes > MAX_SHORT_BYTES and self._long
            if is_crowded or self._must_wait():
                self._short[answer] = None
                answer.pause()
            return
        self._short.pop(answer, None)
        self._long.setdefault(answer)
        is_next = next(iter(self._long)) is answer
        if (self._n_bytes > MAX_HELD_BYTES and not is_next) or self._must_wait():
            answer.pause()

    def remove(self, answer: HeldAnswer) -> None:
        """Forget an answer, and read on what need not wait now."""
        self._n_bytes -= answer.n_bytes
        self._on_change(self._n_bytes)
        self._long.pop(answer, None)
        self._short.pop(answer, None)
        self.resume()

    def resume(self) -> None:
        """Read on what need not wait now; called again after `must_wait` was true."""
        if self._must_wait():
            return
        if self._n_bytes <= MAX_SHORT_BYTES or not self._long:
            waiting_short, self._short = self._short, {}
            for waiting in waiting_short:
                waiting.resume()
        if self._n_bytes <= MAX_HELD_BYTES:
            for waiting in tuple(self._long):
                waiting.resume()
        elif self._long:
            next(iter(self._long)).resume()
