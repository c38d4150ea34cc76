"""Endpoints that answer a long upload at once and end the connection.

The sockets and the reactor are real; a test runs the reactor step by step.
"""

import select
import socket
import struct
from functools import partial

import pytest
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.protocol import ClientCreator

from bilberryring.execution import Close
from bilberryring.gateway.endpoint_connection import EndpointConnection
from bilberryring.gateway.messages import ResponseData, ResponseEnd
from bilberryring.http import REST_SECONDS

HEAD = b"HTTP/1.1 200 OK\r\n%s\r\n"
PART = b"part"
LENGTH = b"Content-Length: %d\r\n" % len(PART)
LONG_BODY = b"u" * 8_000_000
STEP_SECONDS = 0.01
MAX_STEPS = 500


class Upload:
    """A request with a body on a connection whose other end a test plays."""

    def __init__(self, *, body):
        self.reactor = EPollReactor()
        self.listener = socket.create_server(("127.0.0.1", 0))
        make_connection = partial(
            EndpointConnection,
            reactor=self.reactor,
            address="",
            on_idle=lambda connection: None,
            on_closed=lambda connection: None,
        )
        creator = ClientCreator(self.reactor, make_connection)
        opened = []
        creator.connectTCP(*self.listener.getsockname()).addCallback(opened.append)
        self.run_until(lambda: opened)
        (self.connection,) = opened
        self.peer, _ = self.listener.accept()
        self.events = []
        response = self.connection.send(
            method=b"POST",
            target=b"/",
            headers=((b"Host", b"h"),),
            body=body,
            is_expected=lambda head: True,
        )
        response.add = self.events.append
        self.run(3)

    def run(self, steps):
        for _ in range(steps):
            self.reactor.runUntilCurrent()
            self.reactor.doPoll(STEP_SECONDS)

    def run_until(self, is_done):
        for _ in range(MAX_STEPS):
            if is_done():
                return
            self.run(1)
        raise AssertionError("it is not done in time")

    def answer(self, *, headers=b"", body=PART):
        self.peer.sendall(HEAD % headers + body)
        self.run_until(lambda: any(isinstance(e, ResponseData) for e in self.events))

    def reset(self):
        self.peer.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self.peer.close()

    def read_all(self):
        """Read the rest of the upload while the reactor writes it."""
        self.peer.setblocking(False)

        def is_read():
            try:
                return self.peer.recv(1 << 20) == b""
            except BlockingIOError:
                return bool(self.ends)

        self.run_until(is_read)

    @property
    def ends(self):
        return [event for event in self.events if isinstance(event, ResponseEnd)]

    def close_of_answer(self):
        """Return how the answer ended, once it has."""
        self.run_until(lambda: self.ends)
        (end,) = self.ends
        return end.close

    def stop(self):
        self.connection.abort()
        self.peer.close()
        self.listener.close()


@pytest.fixture
def make_upload():
    uploads = []

    def make(*, body=LONG_BODY):
        uploads.append(Upload(body=body))
        return uploads[-1]

    yield make
    for upload in uploads:
        upload.stop()


@pytest.mark.parametrize("error", [select.EPOLLERR, select.EPOLLERR | select.EPOLLHUP])
def test_an_error_without_input_does_not_end_an_answer_in_order(make_upload, error):
    # Guards against a part of an answer that is passed on as whole: while the kernel
    # drops what was to be written to a connection that is reset, it reports an error
    # and no input, which the reactor takes for an end in order.
    upload = make_upload()
    upload.answer()
    upload.reset()
    transport = upload.connection.transport
    upload.reactor._doReadOrWrite(transport, transport.fileno(), error)
    assert upload.close_of_answer() is Close.RESET


def test_a_reset_after_an_end_in_order_does_not_complete_an_answer(make_upload):
    # Guards against an end that precedes the reset by a moment: the endpoint has read
    # all that had arrived, closes the connection, and gets the rest.
    upload = make_upload()
    upload.answer()
    upload.peer.shutdown(socket.SHUT_WR)
    upload.run(5)
    upload.reset()
    assert upload.close_of_answer() is Close.RESET


def test_an_answer_whose_endpoint_reads_on_to_the_end_is_complete(make_upload):
    upload = make_upload()
    upload.answer()
    upload.peer.shutdown(socket.SHUT_WR)
    upload.run(5)
    assert not upload.ends
    upload.read_all()
    assert upload.close_of_answer() is Close.CLEAN


def test_an_answer_is_not_held_for_an_endpoint_that_reads_no_more(make_upload):
    upload = make_upload()
    upload.answer()
    upload.peer.shutdown(socket.SHUT_WR)
    began_at = upload.reactor.seconds()
    assert upload.close_of_answer() is Close.CLEAN
    assert upload.reactor.seconds() - began_at < 2 * REST_SECONDS


def test_an_answer_to_a_request_that_was_read_ends_with_its_connection(make_upload):
    upload = make_upload(body=b"short")
    upload.peer.recv(1 << 16)
    upload.answer()
    began_at = upload.reactor.seconds()
    upload.peer.close()
    assert upload.close_of_answer() is Close.CLEAN
    assert upload.reactor.seconds() - began_at < REST_SECONDS


def test_an_early_answer_with_its_length_is_whole_before_a_reset(make_upload):
    upload = make_upload()
    upload.answer(headers=LENGTH)
    upload.reset()
    assert upload.close_of_answer() is Close.AT_END
