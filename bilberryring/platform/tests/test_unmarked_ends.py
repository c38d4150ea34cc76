"""Streams of sound endpoints that end with their connection, without an end mark.

Such an end may be that of a crash, so another endpoint is asked to go on after the last
event. The caller gets a whole answer also if none can be asked, or if none has more.
"""

import socket

import pytest

from bilberryring.standins.gateway_site import MODEL_SERVICE
from bilberryring.standins.scripted_endpoint import (
    chunk,
    reset,
    stream_head,
    unmarked_stream_head,
)
from bilberryring.testing.processes import pause
from bilberryring.testing.unmarked_streams import (
    EVENTS,
    GRACE_SECONDS,
    WHOLE,
    add_endpoints,
    break_off,
    call,
    call_over_a_stop,
    last_record,
    refuse,
    send_chunked,
    send_half_unmarked,
    send_unmarked,
)

CALLERS_PATIENCE_MS = 2_000
"""Milliseconds without an event after which callers of these routes leave."""


def assert_whole(answer):
    assert (answer.status, answer.body, answer.is_cut) == (200, WHOLE, False)


@pytest.mark.parametrize("later", [send_chunked, send_unmarked])
@pytest.mark.parametrize("ends_after", [0.5, 2.0, 3.5, 5.0])
def test_a_stream_that_ends_during_a_stop_is_not_left_without_an_end_mark(
    make_stream_site, ends_after, later
):
    site = make_stream_site()

    def answer(request, connection):
        send_unmarked(request, connection, seconds=ends_after + 0.3)

    script = add_endpoints(site, answer, later)
    site.start_gateway()
    assert_whole(call_over_a_stop(site, script))
    assert last_record(site)["delivered"] == "whole"


@pytest.mark.parametrize(
    "later", [send_unmarked, refuse, break_off], ids=lambda script: script.__name__
)
def test_a_stream_that_no_endpoint_has_more_of_is_not_left_without_an_end_mark(
    make_stream_site, later
):
    site = make_stream_site()
    script = add_endpoints(site, send_unmarked, later)
    site.start_gateway()
    assert_whole(call(site))
    assert len(script.requests) > 1


@pytest.mark.parametrize(
    ("path", "names", "options"),
    [
        ("/alone/", "ab", {}),
        ("/chat/", "a", {}),
        ("/chat/", "ab", {"retry_slack": 0, "retry_ratio": 0.0}),
    ],
    ids=["one attempt", "one endpoint", "no retry budget"],
)
def test_a_stream_that_cannot_be_repeated_is_not_left_without_an_end_mark(
    make_stream_site, path, names, options
):
    site = make_stream_site(**options)
    script = add_endpoints(site, send_unmarked, send_unmarked, names)
    site.start_gateway()
    assert_whole(call(site, path))
    assert len(script.requests) == 1


def test_a_caller_does_not_wait_for_a_silent_endpoint_until_it_leaves(make_stream_site):
    site = make_stream_site()
    add_endpoints(site, send_unmarked, lambda *_: pause(GRACE_SECONDS))
    site.start_gateway()
    assert_whole(call(site))
    assert last_record(site)["total_ms"] < CALLERS_PATIENCE_MS


def test_streams_that_only_lack_an_end_mark_leave_retries_for_those_that_break_off(
    make_stream_site,
):
    site = make_stream_site(retry_slack=10, retry_ratio=0.0)
    script = add_endpoints(site, send_unmarked, send_unmarked)
    site.start_gateway()
    for _ in range(10):
        assert_whole(call(site))
    assert len(script.requests) > 10
    script.set_scripts(break_off, send_chunked)
    assert_whole(call(site))


def test_a_stream_whose_endpoint_crashed_has_no_end_mark(make_stream_site):
    """The connections of a process that crashes are closed in order too."""
    site = make_stream_site()
    endpoints = []

    def crash(request, connection):
        connection.sendall(
            unmarked_stream_head(request.request_id) + EVENTS[0] + EVENTS[1]
        )
        pause(0.2)
        endpoints[0].stop_listening()
        connection.shutdown(socket.SHUT_WR)

    endpoints.append(site.add_endpoint("a", crash, service=MODEL_SERVICE))
    site.start_gateway()
    answer = call(site)
    assert answer.is_cut
    assert last_record(site)["delivered"] != "whole"


def test_a_stream_whose_endpoint_has_left_has_no_end_mark(make_stream_site):
    """It may have exited in mid-stream, at the end of the time that it had."""
    site = make_stream_site()
    endpoints = []

    def leave(request, connection):
        connection.sendall(
            unmarked_stream_head(request.request_id) + EVENTS[0] + EVENTS[1]
        )
        site.announce(
            "a",
            endpoints[0].address,
            service=MODEL_SERVICE,
            state="draining",
            sequence=2,
        )
        site.wait_for_standing("a", "leaving")
        endpoints[0].stop_listening()
        connection.shutdown(socket.SHUT_WR)

    endpoints.append(site.add_endpoint("a", leave, service=MODEL_SERVICE))
    site.start_gateway()
    answer = call(site)
    assert answer.is_cut
    assert last_record(site)["delivered"] == "unmarked"


def test_a_stream_whose_endpoint_is_shown_to_have_broken_off_has_no_end_mark(
    make_stream_site,
):
    """Another endpoint had more events: the next end without a mark proves nothing."""
    site = make_stream_site()
    add_endpoints(site, send_half_unmarked, send_unmarked)
    site.start_gateway()
    answer = call(site)
    assert (answer.body, answer.is_cut) == (WHOLE, True)


@pytest.mark.parametrize("breaks_after", [0.5, 3.5, 5.0])
def test_a_stream_that_breaks_off_during_a_stop_goes_on_at_another_endpoint(
    make_stream_site, breaks_after
):
    site = make_stream_site()

    def break_later(request, connection):
        connection.sendall(stream_head(request.request_id))
        for data in EVENTS[:29]:
            connection.sendall(chunk(data))
            pause((breaks_after + 0.3) / 29)
        reset(connection)

    script = add_endpoints(site, break_later, send_chunked)
    site.start_gateway()
    assert_whole(call_over_a_stop(site, script))
