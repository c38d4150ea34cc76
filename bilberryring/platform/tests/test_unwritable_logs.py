"""A log that cannot be written, as on a full disk, takes no answer from a caller."""

import resource

import pytest

from bilberryring.standins.gateway_site import MODEL_SERVICE
from bilberryring.standins.scripted_endpoint import (
    answer_all,
    chunk,
    event,
    stream_head,
)
from bilberryring.testing.processes import pause

HOUSEKEEPING_SECONDS = 0.5


def send_stream(request, connection):
    connection.sendall(stream_head(request.request_id) + chunk(event(1)) + chunk(b""))


def limit_file_size(process, size):
    """Let no file of a process grow beyond a size in bytes."""
    _, most = resource.prlimit(process.process_id, resource.RLIMIT_FSIZE)
    resource.prlimit(process.process_id, resource.RLIMIT_FSIZE, (size, most))


@pytest.mark.parametrize("path", ["/look/", "/charge/", "/chat/", "/no-such-route/"])
def test_a_log_that_cannot_be_written_takes_no_answer_from_a_caller(site, path):
    site.add_endpoint("a", answer_all)
    site.add_endpoint("b", send_stream, service=MODEL_SERVICE)
    site.start_gateway()
    process = site.process("gateway-1")
    expected = site.call(path)
    limit_file_size(process, 0)
    answer = site.call(path)
    assert (answer.status, answer.is_cut) == (expected.status, False)
    limit_file_size(process, resource.RLIM_INFINITY)
    pause(HOUSEKEEPING_SECONDS)
    assert site.log_events(event="log_lines_dropped")


def test_a_stop_ends_as_planned_while_the_log_cannot_be_written(site):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    process = site.process("gateway-1")
    limit_file_size(process, 0)
    process.terminate()
    pause(1.0)
    assert site.call("/look/").status == 200
    assert process.wait(6.0) == 0
