"""Whole events of a `text/event-stream`, so that a stream can be resumed.

Only whole events are passed on. After a break the stream can then go on after
the last one, and no event comes twice or in part.

>>> events = EventStream()
>>> events.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
b'id: 1\\ndata: a\\n\\n'
>>> events.last_id
'1'
>>> events.discard_partial()
>>> events.feed(b"id: 2\\ndata: b\\n\\n")
b'id: 2\\ndata: b\\n\\n'
"""

BLANK_LINE = b"\n\n"
BLANK_LINE_CRLF = b"\r\n\r\n"
ID_FIELD = b"id:"


class EventStream:
    """Splits the bytes of a stream into whole events and a rest."""

    def __init__(self, *, last_id: str = ""):
        self._rest = b""
        self._last_id = last_id

    @property
    def last_id(self) -> str:
        """The id of the last whole event."""
        return self._last_id

    @property
    def has_partial(self) -> bool:
        """Whether bytes of an incomplete event are held."""
        return bool(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that are whole now."""
        self._rest += data
        end = self._end_of_last_event()
        whole, self._rest = self._rest[:end], self._rest[end:]
        self._note_id(whole)
        return whole

    def discard_partial(self) -> None:
        """Drop the bytes of an event that was cut."""
        self._rest = b""

    def take_partial(self) -> bytes:
        """Return the bytes after the last whole event of a whole stream."""
        rest, self._rest = self._rest, b""
        return rest

    def _end_of_last_event(self) -> int:
        ends = [
            position + len(mark)
            for mark in (BLANK_LINE, BLANK_LINE_CRLF)
            if (position := self._rest.rfind(mark)) >= 0
        ]
        return max(ends, default=0)

    def _note_id(self, whole: bytes) -> None:
        for line in reversed(whole.split(b"\n")):
            if line.startswith(ID_FIELD):
                value = line[len(ID_FIELD) :].strip()
                self._last_id = value.decode("latin-1")
                return
