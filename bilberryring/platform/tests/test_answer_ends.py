"""Every way in which an endpoint's answer can end, seen from the caller.

An answer may reach the caller framed as complete only if the endpoint's bytes prove
that it is, or if it has neither a length nor chunks and its connection was closed in
order by an endpoint that still runs. A stream that may be resumed is completed by
another attempt.
"""

import contextlib
import itertools
import socket
from dataclasses import dataclass

import pytest

from bilberryring.execution import Close, Framing
from bilberryring.standins.gateway_site import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    GatewaySite,
    make_configuration,
    make_route,
)
from bilberryring.standins.scripted_endpoint import (
    STAMP_HEADER,
    chunk,
    event,
    reset,
    stream_head,
)
from bilberryring.testing.processes import pause

EVENTS = [event(number) for number in range(1, 5)]
WHOLE = b"".join(EVENTS)
CUT_SECONDS = 0.02
"""Seconds between the last bytes and the close: a reset destroys unread bytes."""

COMMENT = b": waiting\n\n"
STREAM_PLACES = {
    "nothing": b"",
    "comment": COMMENT,
    "inside the first event": b"id: 1\nda",
    "inside an id": EVENTS[0] + EVENTS[1] + b"id: 3",
    "inside data": EVENTS[0] + EVENTS[1] + b"id: 3\ndata: pie",
    "before the blank line": EVENTS[0] + EVENTS[1] + b"id: 3\ndata: piece 3\n",
    "after an event": EVENTS[0] + EVENTS[1],
    "after the last event": WHOLE,
}
"""The body that the endpoint sends until its answer ends."""
PLACES_INSIDE_EVENTS = {
    "inside the first event",
    "inside an id",
    "inside data",
    "before the blank line",
}
BODY = b"x" * 300
BODY_PLACES = {"nothing": b"", "inside": BODY[:200], "at the end": BODY}


@dataclass(frozen=True, kw_only=True)
class Cell:
    """One way in which an answer ends; `path` is that of the route."""

    path: str
    framing: Framing
    close: Close
    place: str
    is_resumed: bool = False

    @property
    def is_proven(self):
        """Whether the endpoint's bytes prove that its answer is complete."""
        is_inside = self.place in PLACES_INSIDE_EVENTS
        return self.close is Close.AT_END and not is_inside

    @property
    def is_unknown(self):
        """Whether a complete answer could end like this too."""
        if self.framing is not Framing.CONNECTION or self.close is not Close.CLEAN:
            return False
        if self.path in ("/look/", "/charge/"):
            return True
        return self.place in ("after an event", "after the last event")

    def __str__(self):
        attempt = "resumed" if self.is_resumed else "first"
        return f"{self.framing.value}-{self.close.value}-{self.place}-{attempt}"


def closes(framing):
    if framing is Framing.CONNECTION:
        return (Close.CLEAN, Close.RESET)
    return (Close.AT_END, Close.CLEAN, Close.RESET)


def cells(path, places, attempts):
    return [
        Cell(
            path=path, framing=framing, close=close, place=place, is_resumed=is_resumed
        )
        for framing, place, is_resumed in itertools.product(Framing, places, attempts)
        for close in closes(framing)
    ]


class EndingEndpoint:
    """Ends answers as its cell says; other attempts get whole and framed answers."""

    def __init__(self):
        self.cell = None
        self.n_attempts = 0

    def __call__(self, request, connection):
        self.n_attempts += 1
        cell = self.cell
        if cell.path in ("/look/", "/charge/"):
            self._end(cell, request, connection, BODY_PLACES[cell.place], BODY)
            return
        last_id = int(request.headers.get("last-event-id") or 0)
        if cell.is_resumed and self.n_attempts == 1:
            connection.sendall(stream_head(request.request_id) + chunk(EVENTS[0]))
            pause(CUT_SECONDS)
            reset(connection)
        elif self.n_attempts == (2 if cell.is_resumed else 1):
            body = STREAM_PLACES[cell.place]
            if cell.is_resumed:
                body = body.removeprefix(EVENTS[0])
            rest = b"".join(EVENTS[last_id:])
            self._end(cell, request, connection, body, rest)
        else:
            rest = b"".join(EVENTS[last_id:])
            connection.sendall(stream_head(request.request_id))
            connection.sendall((chunk(rest) if rest else b"") + chunk(b""))

    def _end(self, cell, request, connection, body, whole):
        head = f"HTTP/1.1 200 OK\r\nBilberryring-Request-Id: {request.request_id}\r\n"
        head += f"{STAMP_HEADER}\r\n"
        is_at_end = cell.close is Close.AT_END
        match cell.framing:
            case Framing.LENGTH:
                length = len(body) if is_at_end else max(len(whole), len(body) + 1)
                connection.sendall(f"{head}Content-Length: {length}\r\n\r\n".encode())
                connection.sendall(body)
            case Framing.CHUNKS:
                head += "Transfer-Encoding: chunked\r\n\r\n"
                connection.sendall(head.encode() + (chunk(body) if body else b""))
                connection.sendall(chunk(b"") if is_at_end else b"")
            case Framing.CONNECTION:
                connection.sendall(f"{head}\r\n".encode() + body)
        pause(CUT_SECONDS)
        match cell.close:
            case Close.CLEAN:
                with contextlib.suppress(OSError):
                    connection.shutdown(socket.SHUT_WR)
            case Close.RESET:
                reset(connection)


@pytest.fixture(scope="module")
def ending():
    """A gateway and an endpoint script; it is announced under several names."""
    site = GatewaySite(retry_slack=10_000).start()
    plain, model = PLAIN_SERVICE, MODEL_SERVICE
    once = make_route("/once/", "streaming", model, stream_resume=False)
    routes = [*make_configuration()["routes"], once]
    site.publish(make_configuration(routes=routes))
    script = EndingEndpoint()
    for service in (plain, model):
        endpoint = site.add_endpoint(f"{service}-0", script, service=service)
        for number in range(1, 6):
            site.announce(f"{service}-{number}", endpoint.address, service=service)
    site.start_gateway()
    pause(1.5)
    yield site, script
    site.stop()


def call(ending, cell):
    site, script = ending
    script.cell, script.n_attempts = cell, 0
    return site.call(cell.path)


def is_framed_as_complete(answer):
    """Whether the caller can take the answer for complete by its framing."""
    framing = answer.headers.keys() & {"content-length", "transfer-encoding"}
    return answer.status == 200 and not answer.is_cut and bool(framing)


@pytest.mark.parametrize("cell", cells("/chat/", STREAM_PLACES, (False, True)), ids=str)
def test_a_stream_that_is_not_known_to_be_complete_is_resumed_or_cut(ending, cell):
    _, script = ending
    answer = call(ending, cell)
    begun = EVENTS[0] if cell.is_resumed else b""
    n_faulty = 2 if cell.is_resumed else 1
    assert script.n_attempts == (n_faulty if cell.is_proven else 2)
    if cell.is_proven:
        body = begun + STREAM_PLACES[cell.place].removeprefix(begun)
        assert (answer.body, answer.is_cut) == (body, False)
    elif cell.is_resumed:
        assert answer.is_cut
        assert WHOLE.startswith(answer.body.replace(COMMENT, b""))
    else:
        assert answer.body.replace(COMMENT, b"") == WHOLE
        assert is_framed_as_complete(answer)


@pytest.mark.parametrize("cell", cells("/once/", STREAM_PLACES, (False,)), ids=str)
def test_a_stream_that_cannot_be_resumed_is_framed_as_complete_only_if_it_is(
    ending, cell
):
    answer = call(ending, cell)
    if cell.is_proven:
        assert (answer.body, answer.is_cut) == (STREAM_PLACES[cell.place], False)
    elif cell.is_unknown:
        # The endpoint still runs, so by HTTP its answer is whole. Without a last chunk
        # the caller could not tell it from one that a killed gateway has cut.
        assert answer.body == STREAM_PLACES[cell.place]
        assert is_framed_as_complete(answer)
    else:
        assert not is_framed_as_complete(answer)
        assert answer.is_cut or answer.status == 502


@pytest.mark.parametrize("path", ["/look/", "/charge/"])
@pytest.mark.parametrize(
    "cell", cells("", BODY_PLACES, (False,)), ids=lambda cell: str(cell)
)
def test_a_body_is_framed_as_complete_only_if_it_is_known_to_be(ending, path, cell):
    cell = Cell(path=path, framing=cell.framing, close=cell.close, place=cell.place)
    answer = call(ending, cell)
    if cell.is_proven:
        assert answer.body == BODY_PLACES[cell.place]
        assert is_framed_as_complete(answer)
    elif cell.is_unknown:
        # The same as for a stream: a length marks the end of a body that has arrived.
        assert answer.body == BODY_PLACES[cell.place]
        assert is_framed_as_complete(answer)
    else:
        assert answer.status == 502
