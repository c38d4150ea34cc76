"""Splitting of a `text/event-stream` into complete events, so that it can be resumed.

Only complete events are passed on. If the connection breaks, the stream can therefore
be resumed after the last of them without a duplicate or partial event.

>>> events = EventStream()
>>> events.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
b'id: 1\\ndata: a\\n\\n'
>>> events.last_id
'1'
>>> events.place
<Place.INSIDE_EVENT: 'inside_event'>
>>> events.resumed().feed(b"id: 2\\ndata: b\\n\\n")
b'id: 2\\ndata: b\\n\\n'
"""

import re

from bilberryring.execution import Place

MAX_EVENT_BYTES = 1024 * 1024
"""Most bytes of an event that is not complete; an endpoint may send without end."""
END_OF_EVENT = re.compile(rb"(?>\r\n|\n|\r)(?:\r\n|\n|\r)")
"""A line end and a blank line; each of the three line ends may occur."""
MAX_SEPARATOR_BYTES = 4
ID_FIELD = b"id:"
DATA_FIELD = b"data:"
COMMENT = b":"
ID_IN_HEADER = re.compile(rb"[^\x00\x0b\x0c]+")
"""An id that the header of a request to continue the stream can carry."""


class EventTooLargeError(Exception):
    """An event exceeds `MAX_EVENT_BYTES`; the remedy is to resume elsewhere."""

    def __init__(self):
        super().__init__(
            f"event_too_large: over {MAX_EVENT_BYTES} bytes. "
            "Remedy: resume the stream at another endpoint."
        )


def has_data(events: bytes) -> bool:
    """Whether one of the complete events carries data, unlike a mere comment.

    >>> has_data(b"id: 1\\ndata: a\\n\\n"), has_data(b": waiting\\n\\n")
    (True, False)
    """
    return any(line.startswith(DATA_FIELD) for line in events.splitlines())


class EventStream:
    """Buffers the bytes of a stream until they form complete events."""

    def __init__(self, *, last_id: str = ""):
        self._buffer = b""
        self._last_id = last_id
        self._has_events = False
        self._can_resume = True
        self._is_resumed = bool(last_id)

    @property
    def last_id(self) -> str:
        """The id of the last complete event that had one, or the initial id."""
        return self._last_id

    @property
    def can_resume(self) -> bool:
        """Whether the last id covers all data that was passed on."""
        return self._can_resume

    @property
    def is_resumed(self) -> bool:
        """Whether the stream continues after an event that the caller has."""
        return self._is_resumed

    @property
    def place(self) -> Place:
        """The place in the stream."""
        if any(
            line and not line.startswith(COMMENT) for line in self._buffer.splitlines()
        ):
            return Place.INSIDE_EVENT
        return Place.AFTER_EVENT if self._has_events else Place.BEFORE_EVENTS

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return the events that they complete, or `b""`.

        Raises `EventTooLargeError` if the next event is too long.
        """
        unseen = max(0, len(self._buffer) - MAX_SEPARATOR_BYTES)
        self._buffer += data
        end = self._end_of_last_event(unseen)
        complete, self._buffer = self._buffer[:end], self._buffer[end:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLargeError
        self._read_fields(complete)
        return complete

    def resumed(self) -> "EventStream":
        """Return a stream that another attempt continues after the last event."""
        return EventStream(last_id=self._last_id)

    def take_partial(self) -> bytes:
        """Remove and return the bytes after the last event of an ended stream."""
        trailing_data, self._buffer = self._buffer, b""
        return trailing_data

    def _end_of_last_event(self, start: int) -> int:
        end = 0
        for separator in END_OF_EVENT.finditer(self._buffer, start):
            end = separator.end()
        return end

    def _read_fields(self, complete: bytes) -> None:
        """Note the last id, and whether data followed without one to resume after."""
        has_id = has_data = False
        for line in complete.splitlines():
            if line.startswith(ID_FIELD):
                event_id = line[len(ID_FIELD) :].strip()
                self._last_id = event_id.decode("latin-1")
                has_id = ID_IN_HEADER.fullmatch(event_id) is not None
            elif line.startswith(DATA_FIELD):
                has_data = self._has_events = True
            elif not line:
                if has_data:
                    self._can_resume = has_id
                has_id = has_data = False
