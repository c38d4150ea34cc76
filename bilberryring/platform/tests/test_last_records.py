"""Each admitted request leaves one last record, which says what its caller got."""

import pytest

from bilberryring.standins.gateway_site import MODEL_SERVICE, request_headers
from bilberryring.standins.scripted_endpoint import (
    answer_all,
    chunk,
    event,
    reset,
    stream_head,
    whole_answer,
)
from bilberryring.telemetry import LogEvent, read_endings
from bilberryring.testing.processes import pause, wait_until

WAIT_SECONDS = 5.0


def send_one_event(request, connection):
    connection.sendall(stream_head(request.request_id) + chunk(event(1)))


def break_off(request, connection):
    send_one_event(request, connection)
    pause(0.1)
    reset(connection)


def fail(request, connection):
    connection.sendall(whole_answer(request.request_id, b"", status="500 Sorry"))


def last_record(site):
    """Return the only last record, once it has been written."""
    names = ("request_finished", "request_failed", "caller_left")

    def records():
        return [line for line in site.log_events() if line["event"] in names]

    wait_until(records, WAIT_SECONDS, "the last record")
    pause(0.1)
    (record,) = records()
    return record


@pytest.mark.parametrize(
    ("path", "script", "event_name", "delivered"),
    [
        ("/look/", answer_all, "request_finished", "whole"),
        ("/look/", fail, "request_finished", "whole"),
        ("/look/", lambda *_: reset(_[1]), "request_failed", "whole"),
        ("/chat/", break_off, "request_failed", "cut"),
        ("/gone/", answer_all, "request_failed", "whole"),
    ],
)
def test_a_request_has_one_last_record(site, path, script, event_name, delivered):
    service = {"service": MODEL_SERVICE} if path == "/chat/" else {}
    site.add_endpoint("a", script, **service)
    site.start_gateway()
    site.call(path)
    record = last_record(site)
    assert (record["event"], record["delivered"]) == (event_name, delivered)


def test_a_caller_that_leaves_has_a_last_record_with_what_it_got(site):
    site.add_endpoint("a", send_one_event, service=MODEL_SERVICE)
    site.start_gateway()
    connection = site.connect()
    connection.request("POST", "/chat/", b"x", request_headers())
    connection.getresponse().read(10)
    connection.close()
    record = last_record(site)
    assert record["event"] == LogEvent.CALLER_LEFT.name.lower()
    assert (record["delivered"], record["sends"]) == ("cut", 1)
    assert record["closed_by"] == "caller"
    assert 'caller_left="true"' in site.metrics()
    assert read_endings(map(str, site.log_events())).is_clean
