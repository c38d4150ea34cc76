"""Structured logs: each event is one line of JSON."""

import sys
from datetime import UTC, datetime
from typing import TextIO

import msgspec
import structlog

from bilberryring.telemetry.events import LogEvent

_LEVELS = ("debug", "info", "warning", "error")
_ENCODER = msgspec.json.Encoder(enc_hook=str)


def _encode_line(_logger, _method: str, fields: dict) -> str:
    return _ENCODER.encode(fields).decode()


class EventLog:
    """Writes the log events of one process.

    Events below `level` are not written.
    """

    def __init__(
        self,
        *,
        process: str,
        role: str,
        level: str = "info",
        stream: TextIO | None = None,
    ):
        self._min_level_index = _LEVELS.index(level)
        self._logger = structlog.wrap_logger(
            structlog.WriteLogger(stream or sys.stderr),
            processors=[_encode_line],
            process=process,
            role=role,
        )

    def write(self, event: LogEvent, **fields: object) -> None:
        """Write one event with its fields unless its level is too low."""
        if _LEVELS.index(event.level) < self._min_level_index:
            return
        self._logger.info(
            event.name.lower(),
            number=event.value,
            level=event.level,
            time=datetime.now(UTC).isoformat(timespec="milliseconds"),
            **fields,
        )
