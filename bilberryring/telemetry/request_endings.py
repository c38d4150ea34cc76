"""How the requests in logs ended, and which of them were lost.

The logs are those of gateways and entries.

Each admitted request has one last record: `request_finished`, `request_failed` or
`caller_left`. A request is lost if it has none, or if its caller, which did not leave,
got a part of an answer or nothing. Callers leave a stream after a silence; these are
counted by the cause that the log names.

>>> lines = [
...     '{"event": "attempt_started", "request": "a"}',
...     '{"event": "request_finished", "request": "a", "delivered": "whole"}',
...     '{"event": "attempt_started", "request": "b"}',
...     '{"event": "request_failed", "request": "b", "delivered": "cut"}',
... ]
>>> endings = read_endings(lines)
>>> endings.requests, endings.cut, endings.is_clean
(2, ('b',), False)
>>> unmarked = '{"event": "request_failed", "request": "c", "delivered": "unmarked"}'
>>> read_endings([unmarked]).unmarked
('c',)
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from bilberryring.core import Delivery, RequestId
from bilberryring.telemetry.events import LAST_RECORD_EVENTS, LogEvent

LAST_RECORDS = frozenset(event.name.lower() for event in LAST_RECORD_EVENTS)
CALLER_LEFT = LogEvent.CALLER_LEFT.name.lower()
SILENT_SHARE = 0.95
"""Share of a caller's patience from which a silence counts as why it left. Callers
measure it from the sending, up to some milliseconds before the gateway does."""
LINES_DROPPED = LogEvent.LOG_LINES_DROPPED.name.lower()


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestEndings:
    """How requests ended; `requests` is their number.

    `unended` have no last record, `repeated` more than one. The callers of `cut` got a
    part of an answer, those of `unmarked` all that was known without the mark of its
    end, and those of `unanswered` nothing; those that left are not counted.
    `dropped_lines` is the number of log lines that were dropped: with any, a request
    without a last record may have ended. `left_silent` counts the callers that left
    after a silence by its cause.
    """

    requests: int
    unended: tuple[RequestId, ...] = ()
    repeated: tuple[RequestId, ...] = ()
    cut: tuple[RequestId, ...] = ()
    unmarked: tuple[RequestId, ...] = ()
    unanswered: tuple[RequestId, ...] = ()
    dropped_lines: int = 0
    left_silent: dict[str, int] = field(default_factory=dict)

    @property
    def is_clean(self) -> bool:
        """Whether each request ended once, and with a whole answer."""
        return not (
            self.unended
            or self.repeated
            or self.cut
            or self.unmarked
            or self.unanswered
        )


def read_endings(lines: Iterable[str]) -> RequestEndings:
    """Return how the requests in the JSON lines of logs ended.

    Text before the first brace of a line is ignored, and so are lines without JSON.
    """
    last_records: Counter[RequestId] = Counter()
    requests: set[RequestId] = set()
    cut, unmarked, unanswered = [], [], []
    left_silent: Counter[str] = Counter()
    dropped_lines = 0
    for line in lines:
        record = _decode(line)
        event = record.get("event")
        if event == LINES_DROPPED:
            dropped_lines += int(record.get("lines", 0))
        request = record.get("request")
        if not request:
            continue
        requests.add(request)
        if event not in LAST_RECORDS:
            continue
        last_records[request] += 1
        if event == CALLER_LEFT:
            if _is_after_silence(record):
                left_silent[record.get("silence_cause") or "unknown"] += 1
            continue
        match record.get("delivered"):
            case Delivery.CUT.value:
                cut.append(request)
            case Delivery.UNMARKED.value:
                unmarked.append(request)
            case Delivery.NOTHING.value:
                unanswered.append(request)
    return RequestEndings(
        requests=len(requests),
        unended=tuple(sorted(requests - last_records.keys())),
        repeated=tuple(sorted(id for id, n in last_records.items() if n > 1)),
        cut=tuple(cut),
        unmarked=tuple(unmarked),
        unanswered=tuple(unanswered),
        dropped_lines=dropped_lines,
        left_silent=dict(sorted(left_silent.items())),
    )


def read_last_records(lines: Iterable[str]) -> dict[RequestId, str]:
    """Return what the last record of each request says was delivered.

    For a caller that left it is `caller_left`.
    """
    last_records: dict[RequestId, str] = {}
    for record in map(_decode, lines):
        event, request = record.get("event"), record.get("request")
        if request and event in LAST_RECORDS:
            has_left = event == CALLER_LEFT
            last_records[request] = CALLER_LEFT if has_left else record["delivered"]
    return last_records


def _is_after_silence(record: dict) -> bool:
    silent, patience = record.get("silent_ms"), record.get("patience_ms")
    if silent is None or patience is None:
        return False
    return silent >= SILENT_SHARE * patience


def _decode(line: str) -> dict:
    start = line.find("{")
    if start < 0:
        return {}
    try:
        record = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        return {}
    return record if isinstance(record, dict) else {}
