"""Lines of the log that no value can make too long, and lines that are not dropped."""

import io
import json

import pytest

from bilberryring.telemetry import BoundedOutput, EventLog, LogEvent
from bilberryring.telemetry.event_log import MAX_FAULT_CHARS


def test_the_detail_of_an_internal_fault_is_bounded():
    output = io.StringIO()
    log = EventLog(process="p", role="entry", stream=output)
    log.write(LogEvent.INTERNAL_FAULT, detail=repr(ValueError("x" * 100_000)))
    line = json.loads(output.getvalue())
    assert len(line["detail"]) == MAX_FAULT_CHARS
    assert line["detail"].startswith("ValueError('xxx")


@pytest.mark.parametrize(
    "event",
    [
        LogEvent.REQUEST_FINISHED,
        LogEvent.REQUEST_FAILED,
        LogEvent.CALLER_LEFT,
        LogEvent.DRAIN_CONTINUED,
        LogEvent.DRAIN_FINISHED,
        LogEvent.LOG_LINES_DROPPED,
    ],
)
def test_a_flood_of_other_lines_drops_no_last_record(event):
    written = []
    output = BoundedOutput(
        write=written.append, seconds=lambda: 0.0, burst=10, reserved_lines=2
    )
    log = EventLog(
        process="p", role="gateway", stream=output, reserved_stream=output.reserved
    )
    for _ in range(20):
        log.write(LogEvent.CALLER_REFUSED)
    log.write(event, request="r")
    assert len(written) == 11
    assert json.loads(written[-1])["event"] == event.name.lower()
    assert output.dropped == 10


def test_the_reserve_fills_before_other_lines_are_written_again():
    now = 0.0
    written = []
    output = BoundedOutput(
        write=written.append,
        seconds=lambda: now,
        rate=1.0,
        burst=1,
        reserved_lines=2,
    )
    for _ in range(3):
        output.reserved.write("last")
    now = 2.0
    output.write("other")
    assert written == ["last"] * 3
    now = 3.0
    output.write("other")
    assert written == ["last"] * 3 + ["other"]
