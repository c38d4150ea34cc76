"""Structured logs: each event is one line of JSON."""

import sys
from datetime import UTC, datetime
from typing import TextIO

import msgspec
import structlog

from bilberryring.telemetry.events import LogEvent

_LEVELS = ("debug", "info", "warning", "error")
MAX_FAULT_CHARS = 500
"""Most characters of the detail of an internal fault: an error may hold any value."""
_ENCODER = msgspec.json.Encoder(enc_hook=str)


def _encode_line(_logger, _method: str, fields: dict) -> str:
    return _ENCODER.encode(fields).decode()


class EventLog:
    """Writes the log events of one process.

    Events below `level` are not written. A line that cannot be written is dropped, and
    the number of those lines is written once that is possible again. Reserved events go
    to `reserved_stream`, if there is one.
    """

    def __init__(
        self,
        *,
        process: str,
        role: str,
        level: str = "info",
        stream: TextIO | None = None,
        reserved_stream: TextIO | None = None,
    ):
        self._min_level_index = _LEVELS.index(level)
        self._n_unwritten = 0
        stream = stream or sys.stderr
        self._logger, self._reserved_logger = (
            structlog.wrap_logger(
                structlog.WriteLogger(target),
                processors=[_encode_line],
                process=process,
                role=role,
            )
            for target in (stream, reserved_stream or stream)
        )

    def write(self, event: LogEvent, **fields: object) -> None:
        """Write one event with its fields unless its level is too low."""
        if _LEVELS.index(event.level) < self._min_level_index:
            return
        if event is LogEvent.INTERNAL_FAULT and "detail" in fields:
            fields["detail"] = str(fields["detail"])[:MAX_FAULT_CHARS]
        if self._n_unwritten and self._try_write(
            LogEvent.LOG_LINES_DROPPED, {"lines": self._n_unwritten}
        ):
            self._n_unwritten = 0
        if not self._try_write(event, fields):
            self._n_unwritten += 1

    def _try_write(self, event: LogEvent, fields: dict[str, object]) -> bool:
        """Write a line, and return whether that was possible, as on a full disk not."""
        logger = self._reserved_logger if event.is_reserved else self._logger
        try:
            logger.info(
                event.name.lower(),
                number=event.value,
                level=event.level,
                time=datetime.now(UTC).isoformat(timespec="milliseconds"),
                **fields,
            )
        except OSError:
            return False
        return True
