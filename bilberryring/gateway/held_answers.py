"""Flow control for answers that are held in memory until they are whole.

A gateway passes an answer that is no stream on only when it has all of it, so that an
endpoint that breaks off or sends without end costs the caller an error or a retry, and
not a part of an answer. While many are held, only the one that was long first is read
on, and the connections of the other long ones are paused. That one ends or reaches its
own bound, and the next follows.
"""

MAX_HELD_BYTES = 8 * 1024 * 1024
"""Bytes of all held answers above which long ones wait for each other."""
SHORT_ANSWER_BYTES = 128 * 1024
"""Bytes up to which an answer never waits for another one."""


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
    """Counts the bytes of all held answers, and decides which ones are read on."""

    def __init__(self):
        self._n_bytes = 0
        self._long: dict[HeldAnswer, None] = {}

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
        if not answer.is_long:
            return
        self._long.setdefault(answer)
        if self._n_bytes > MAX_HELD_BYTES and next(iter(self._long)) is not answer:
            answer.pause()

    def remove(self, answer: HeldAnswer) -> None:
        """Forget an answer, and read on what need not wait now."""
        self._n_bytes -= answer.n_bytes
        self._long.pop(answer, None)
        if self._n_bytes <= MAX_HELD_BYTES:
            for waiting in tuple(self._long):
                waiting.resume()
        elif self._long:
            next(iter(self._long)).resume()
