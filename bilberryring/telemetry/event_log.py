"""Structured logs: one JSON line an event, with its number."""

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
    """Writes events of one process; `level` is the lowest that is written."""

    def __init__(
        self,
        *,
        process: str,
        role: str,
        level: str = "info",
        stream: TextIO | None = None,
    ):
        self._lowest = _LEVELS.index(level)
        self._logger = structlog.wrap_logger(
            structlog.WriteLogger(stream or sys.stderr),
            processors=[_encode_line],
            process=process,
            role=role,
        )

    def write(self, event: LogEvent, **fields: object) -> None:
        """Write one event with its fields."""
        if _LEVELS.index(event.level) < self._lowest:
            return
        self._logger.info(
            event.name.lower(),
            number=event.value,
            level=event.level,
            time=datetime.now(UTC).isoformat(timespec="milliseconds"),
            **fields,
        )
