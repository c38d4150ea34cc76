"""Tests that the catalogues in docs/ list what the code defines, and of scrapes."""

import re
from pathlib import Path

from bilberryring.core import ErrorCode
from bilberryring.objects import FindingCode as ObjectFindingCode
from bilberryring.objects import Kind
from bilberryring.telemetry import LogEvent, Metrics
from bilberryring.validation import FindingCode

DOCS = Path(__file__).parents[3] / "docs"


def test_log_events_page_lists_every_event():
    text = (DOCS / "LOG_EVENTS.md").read_text("utf-8")
    for event in LogEvent:
        row = f"| {event.value} | {event.name.lower()} | {event.level} |"
        assert f"{row} {event.meaning} |" in text
    assert len(re.findall(r"^\| \d+ \|", text, re.M)) == len(LogEvent)


def test_errors_page_lists_every_error():
    text = (DOCS / "ERRORS.md").read_text("utf-8")
    for code in ErrorCode:
        row = f"| {code.value} | {code.status} | {code.title} | {code.remedy} |"
        assert row in text


def test_errors_page_lists_every_finding_of_a_check():
    """Guards against a code that an operator cannot look up."""
    text = (DOCS / "ERRORS.md").read_text("utf-8")
    for code in FindingCode:
        assert f"| {code.value} | {code.severity.value} | {code.remedy} |" in text
    for code in ObjectFindingCode:
        assert f"| {code.value} | error | {code.remedy} |" in text
    rows = re.findall(r"^\| \w+ \| (?:error|warning) \|", text, re.M)
    assert len(rows) == len(FindingCode) + len(ObjectFindingCode)


def test_objects_page_lists_every_field():
    text = (DOCS / "OBJECTS.md").read_text("utf-8")
    for kind in Kind:
        section = text.split(f"## {kind.value}\n")[1].split("\n## ")[0]
        for field in kind.struct.__struct_fields__:
            assert f"| {field} |" in section, (kind, field)


def test_scrape_is_rendered_in_small_pieces():
    metrics = Metrics()
    histogram = metrics.histogram(
        name="first", doc="d", labels=("workspace",), buckets=(0.1, 1.0), max_series=50
    )
    for index in range(60):
        histogram.observe((f"w{index}",), 0.5)
    pieces = list(metrics.render())
    assert len(pieces) == 7
    text = b"".join(pieces).decode()
    assert text.count("# TYPE first histogram") == 1
    assert 'first_count{workspace="other"} 10' in text
