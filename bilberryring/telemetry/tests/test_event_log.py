"""Lines of the log that no value can make too long."""

import io
import json

from bilberryring.telemetry import EventLog, LogEvent
from bilberryring.telemetry.event_log import MAX_FAULT_CHARS


def test_the_detail_of_an_internal_fault_is_bounded():
    output = io.StringIO()
    log = EventLog(process="p", role="entry", stream=output)
    log.write(LogEvent.INTERNAL_FAULT, detail=repr(ValueError("x" * 100_000)))
    line = json.loads(output.getvalue())
    assert len(line["detail"]) == MAX_FAULT_CHARS
    assert line["detail"].startswith("ValueError('xxx")
