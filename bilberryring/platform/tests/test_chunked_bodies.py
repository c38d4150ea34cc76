"""Bodies in chunks: none is passed on with a part missing."""

import pytest

from bilberryring.standins.gateway_site import make_configuration, request_headers
from bilberryring.standins.scripted_endpoint import answer_all, chunk
from bilberryring.testing.processes import pause

MAX_BODY_BYTES = 1_000


def send_chunked(site, sizes, *, is_at_once):
    """Send a request whose body has chunks of these sizes; return the first bytes."""
    fields = "".join(f"{name}: {text}\r\n" for name, text in request_headers().items())
    head = f"POST /look/ HTTP/1.1\r\n{fields}Transfer-Encoding: chunked\r\n\r\n"
    pieces = [head.encode(), *(chunk(b"x" * size) for size in (*sizes, 0))]
    with site.caller_socket() as connection:
        for piece in [b"".join(pieces)] if is_at_once else pieces:
            connection.sendall(piece)
            pause()
        return connection.recv(12)


@pytest.mark.parametrize("is_at_once", [True, False])
@pytest.mark.parametrize(
    ("sizes", "status"),
    [
        ((600, 600), b"413"),
        ((600, 300, 200), b"413"),
        ((600, 600, 100), b"413"),
        ((MAX_BODY_BYTES + 1,), b"413"),
        ((MAX_BODY_BYTES,), b"200"),
        ((600, 400), b"200"),
    ],
)
def test_a_body_in_chunks_is_passed_on_whole_or_refused(
    site, sizes, status, is_at_once
):
    site.publish(make_configuration(2, limits={"max_body_bytes": MAX_BODY_BYTES}))
    endpoint = site.add_endpoint("a", answer_all)
    site.start_gateway()
    answer = send_chunked(site, sizes, is_at_once=is_at_once)
    assert answer == b"HTTP/1.1 " + status
    bodies = [request.body for request in endpoint.requests]
    assert bodies == ([] if status == b"413" else [b"x" * sum(sizes)])
