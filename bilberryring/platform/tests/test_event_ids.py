"""Ids of events with which no other endpoint can be asked to continue a stream."""

import pytest

from bilberryring.standins.gateway_site import MODEL_SERVICE
from bilberryring.standins.scripted_endpoint import chunk, event, stream_head
from bilberryring.testing.processes import pause

SILENCE_SECONDS = 1.6


@pytest.mark.parametrize(
    "event_id", [b"\0", b"a\0b", b"a\x0bb", b"a\x0cb", b""], ids=repr
)
def test_an_id_that_names_no_event_to_continue_after_makes_no_stream_wrong(
    site, event_id
):
    """The endpoint is silent after an event with this id, and goes on."""
    first = b"id: %s\ndata: one\n\n" % event_id

    def script(request, connection):
        connection.sendall(stream_head(request.request_id) + chunk(first))
        pause(SILENCE_SECONDS)
        connection.sendall(chunk(event(2)) + chunk(b""))

    for name in "ab":
        site.add_endpoint(name, script, service=MODEL_SERVICE)
    site.start_gateway()
    answer = site.call("/chat/")
    assert (answer.is_cut, answer.body) == (False, first + event(2))
