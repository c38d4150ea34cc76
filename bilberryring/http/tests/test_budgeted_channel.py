"""What callers' connections hold, together and with any bytes in any order."""

import contextlib
import gc
import weakref

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from twisted.web import http_headers

from bilberryring.budget import BudgetLimits
from bilberryring.core import ErrorCode, RunOutcome, ServingError
from bilberryring.fleet import CallerLimits
from bilberryring.gateway.caller_site import CallerSite
from bilberryring.http import Cause, ClientBudget, make_client_budget
from bilberryring.http.budgeted_channel import (
    CONNECTION_BYTES,
    MAX_REQUESTS_IN_PASS,
    REQUEST_BYTES,
)
from bilberryring.http.caller_channel import REFUSED_BODY_SECONDS
from bilberryring.http.header_names import MAX_NAME_BYTES
from bilberryring.platform.tests.test_bytes_from_outside import (
    EXAMPLES,
    ClosingTransport,
)

MIB = 1024 * 1024
BODY = 4 * MIB
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: h\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
UNKNOWN = b"POST /none HTTP/1.1\r\nHost: h\r\n"
BLOCK = b"x" * 65_536
OK = (200, b"", ((b"Content-Length", b"2"),))


def declared(n_bytes, start=POST):
    return start + b"Content-Length: %d\r\n\r\n" % n_bytes


def check_path(exchange):
    if exchange.uri.startswith(b"/none"):
        return ServingError(code=ErrorCode.PATH_UNKNOWN, outcome=RunOutcome.NOT_RUN)
    return None


class Callers:
    """Connections to a gateway's listener on a paused clock."""

    def __init__(self, memory=24 * MIB, connections=100, sockets=200, budget=None):
        self.clock = Clock()
        limits = BudgetLimits(
            memory_bytes=memory, max_connections=connections, max_sockets=sockets
        )
        self.budget = budget or ClientBudget(clock=self.clock, limits=limits)
        self.exchanges = []
        self.site = CallerSite(
            reactor=self.clock,
            on_request=self.exchanges.append,
            limits=CallerLimits,
            check_head=check_path,
            client_budget=self.budget,
        )

    def connect(self, data=b""):
        channel = self.site.buildProtocol(None)
        transport = ClosingTransport()
        transport.protocol = channel
        channel.makeConnection(transport)
        self.send(channel, data)
        return channel

    def send(self, channel, data):
        if data and not channel.transport.is_closed:
            channel.dataReceived(data)

    def send_body(self, channel, n_bytes):
        for _ in range(n_bytes // len(BLOCK)):
            self.send(channel, BLOCK)
        self.send(channel, b"x" * (n_bytes % len(BLOCK)))

    def wait(self, seconds):
        self.clock.advance(seconds)
        self.clock.advance(0)
        assert self.budget.update() == 0


@pytest.fixture
def callers():
    return Callers()


def answer_of(channel):
    return channel.transport.value()


def answer(exchange):
    exchange.start(*OK)
    exchange.write(b"ok")
    exchange.end()


def test_bodies_of_legal_size_are_refused_before_they_are_read_when_none_fits(callers):
    """200 bodies one byte short took 875 MB."""
    crowd = [callers.connect(declared(BODY)) for _ in range(20)]
    refused = [channel for channel in crowd if answer_of(channel)]
    assert 0 < len(crowd) - len(refused) <= 24 * MIB // (2 * BODY)
    for channel in refused:
        assert answer_of(channel).startswith(b"HTTP/1.1 503 ")
        assert b"\r\nRetry-After: 1\r\n" in answer_of(channel)
        assert b'"not_run"' in answer_of(channel)
    assert callers.budget.held_bytes <= 24 * MIB


def test_uploads_in_progress_are_not_aborted_for_new_ones(callers):
    first = [callers.connect(declared(BODY)) for _ in range(2)]
    for _ in range(BODY // len(BLOCK)):
        callers.wait(0.5)
        callers.connect(declared(BODY))
        for channel in first:
            callers.send(channel, BLOCK)
    assert len(callers.exchanges) == 2


def test_a_body_that_stopped_gives_way_to_one_that_comes(callers):
    stopped = [callers.connect(declared(BODY)) for _ in range(2)]
    for channel in stopped:
        callers.send_body(channel, BODY - 1)
    callers.wait(1.5)
    late = callers.connect(declared(BODY))
    callers.send_body(late, BODY)
    assert len(callers.exchanges) == 1
    assert sorted(answer_of(channel)[:12] for channel in stopped) == [
        b"",
        b"HTTP/1.1 503",
    ]


def test_a_small_request_is_served_while_large_bodies_take_the_rest(callers):
    for _ in range(20):
        callers.connect(declared(BODY))
    callers.connect(GET)
    callers.connect(declared(2) + b"xy")
    assert len(callers.exchanges) == 2


def test_a_request_in_progress_is_not_evicted(callers):
    channel = callers.connect(declared(BODY))
    callers.send_body(channel, BODY)
    callers.wait(30.0)
    for _ in range(20):
        callers.connect(declared(BODY))
    assert not callers.exchanges[0].is_closed


@pytest.mark.parametrize("framing", ["length", "chunks", "small chunks"])
def test_a_largest_request_is_served_on_the_smallest_machine(framing):
    """152 MB and 1,535 descriptors, without other load."""
    clock = Clock()
    budget = make_client_budget(
        clock=clock,
        largest_request_bytes=BODY,
        memory_bytes=152_000_000,
        max_descriptors=1_535,
    )
    callers = Callers(budget=budget)
    if framing == "length":
        callers.send_body(callers.connect(declared(BODY)), BODY)
    else:
        size = len(BLOCK) if framing == "chunks" else 1_024
        channel = callers.connect(CHUNKED)
        for _ in range(BODY // size):
            callers.send(channel, b"%x\r\n%s\r\n" % (size, b"x" * size))
        callers.send(channel, b"0\r\n\r\n")
    (exchange,) = callers.exchanges
    assert exchange.read_request().body == b"x" * BODY


def test_a_chunked_body_is_refused_once_it_does_not_fit():
    callers = Callers(memory=4 * MIB)
    channel = callers.connect(CHUNKED)
    for _ in range(40):
        callers.send(channel, b"%x\r\n%s\r\n" % (len(BLOCK), BLOCK))
    assert answer_of(channel).startswith(b"HTTP/1.1 503 ")
    assert callers.budget.held_bytes < MIB


@pytest.mark.parametrize("head", [declared(BODY, UNKNOWN), CHUNKED])
def test_a_body_that_its_head_rules_out_is_not_kept(callers, head):
    head = head.replace(b" /a ", b" /none ")
    for _ in range(50):
        channel = callers.connect(head)
        prefix = b"%x\r\n" % (BODY - 1) if b"chunked" in head else b""
        callers.send(channel, prefix)
        callers.send_body(channel, BODY - 1)
        assert channel.requests[0].content.getvalue() == b""
    assert callers.budget.held_bytes < 2 * MIB
    assert callers.budget.n_connections == 50
    callers.wait(REFUSED_BODY_SECONDS)
    assert answer_of(channel).startswith(b"HTTP/1.1 404 ")
    assert not callers.exchanges


def test_a_body_that_its_head_rules_out_keeps_its_connection_if_it_comes_in_time(
    callers,
):
    channel = callers.connect(declared(2, UNKNOWN) + b"xy" + GET)
    refused = callers.exchanges[0].read_request()
    assert refused.refusal.code is ErrorCode.PATH_UNKNOWN
    assert refused.body == b""
    answer(callers.exchanges[0])
    assert callers.exchanges[1].read_request().refusal is None
    assert not channel.transport.is_closed


def test_a_body_that_is_awaited_is_asked_for_only_if_its_head_is_served(callers):
    expect = b"Expect: 100-continue\r\n"
    served = callers.connect(declared(2, POST + expect))
    assert answer_of(served).startswith(b"HTTP/1.1 100 ")
    refused = callers.connect(declared(2, UNKNOWN + expect))
    assert answer_of(refused).startswith(b"HTTP/1.1 404 ")
    too_large = callers.connect(declared(BODY + 1, POST + expect))
    assert answer_of(too_large).startswith(b"HTTP/1.1 413 ")


def test_requests_wait_while_responses_are_not_read(callers):
    """8 and 200 GETs on each of 200 connections took 1.2 and 1.3 GB."""
    channel = callers.connect(GET * 5)
    for number in (1, 2):
        assert len(callers.exchanges) == number
        channel.pauseProducing()
        answer(callers.exchanges[-1])
        assert len(callers.exchanges) == number
        assert channel.transport.producerState == "paused"
        channel.resumeProducing()
    assert len(callers.exchanges) == 3
    assert channel.transport.producerState == "producing"


def test_requests_in_one_read_wait_too_when_each_is_answered_at_once(callers):
    def answer_unread(exchange):
        exchange.channel.pauseProducing()
        answer(exchange)
        callers.exchanges.append(exchange)

    callers.site = CallerSite(
        reactor=callers.clock, on_request=answer_unread, client_budget=callers.budget
    )
    channel = callers.connect(GET * 5)
    assert len(callers.exchanges) == 1
    for number in (2, 3, 4, 5):
        channel.resumeProducing()
        assert len(callers.exchanges) == number


def test_pipelined_requests_that_are_answered_at_once_let_others_have_a_turn(callers):
    """40 callers with 1,000 requests in a read made the process stand still for 7 s."""
    served = []

    def answer_at_once(exchange):
        answer(exchange)
        served.append(exchange)

    callers.site = CallerSite(
        reactor=callers.clock, on_request=answer_at_once, client_budget=callers.budget
    )
    turns = []
    channel = callers.connect()

    def call_later(seconds, work, *values):
        if seconds:
            return callers.clock.callLater(seconds, work, *values)
        # The clock of the test would run all turns in one call.
        turns.append(work)

    channel.callLater = call_later
    channel.dataReceived(GET * 100)
    for number in range(1, 7):
        assert len(served) == number * MAX_REQUESTS_IN_PASS
        (work,) = turns
        turns.clear()
        work()
    assert len(served) == 100 and not turns
    callers.send(channel, GET)
    assert len(served) == 101


@pytest.mark.parametrize("is_unread", [False, True])
def test_little_is_read_ahead_of_a_request_in_progress(callers, is_unread):
    """The library read on without a bound while a response was not read."""
    channel = callers.connect(GET)
    if is_unread:
        channel.pauseProducing()
    for _ in range(channel._optimisticEagerReadSize + 1):
        callers.send(channel, b"x")
    assert channel.transport.producerState == "paused"
    assert len(channel._dataBuffer) < 64


def test_trailers_are_not_kept(callers):
    """20,000 trailers of one byte take more than a megabyte."""
    channel = callers.connect(CHUNKED + b"0\r\n" + b"a\r\n" * 20_000)
    assert not channel._transferDecoder._trailerHeaders
    callers.send(channel, b"\r\n")
    assert len(callers.exchanges) == 1


def test_fields_of_queries_and_cookies_are_not_kept(callers):
    query = b"&".join(b"%d" % number for number in range(2_000))
    cookies = b";".join(b"%d=" % number for number in range(1_000))
    head = b"GET /a?%s HTTP/1.1\r\nHost: h\r\nCookie: %s\r\n\r\n" % (query, cookies)
    callers.connect(head)
    (exchange,) = callers.exchanges
    assert not exchange.args and not exchange.received_cookies
    assert exchange.read_request().target == b"/a?" + query


def test_heads_of_many_fields_are_charged_with_their_tables():
    callers = Callers(memory=4 * MIB)
    fields = b"".join(b"a%d:\r\n" % number for number in range(490))
    crowd = [callers.connect(GET[:-2] + fields) for _ in range(100)]
    # Connections whose request was refused are still open.
    assert callers.budget.held_bytes <= 4 * MIB + len(crowd) * CONNECTION_BYTES
    assert sum(answer_of(channel)[:12] == b"HTTP/1.1 503" for channel in crowd) > 50


def test_long_header_names_are_not_remembered(callers):
    """The library remembers 10,000 names, whatever their length."""
    names = http_headers._nameEncoder._canonicalHeaderCache
    for number in range(20):
        name = b"%d" % number + b"a" * 10_000
        callers.connect(GET[:-2] + name + b": b\r\n\r\n")
    assert len(callers.exchanges) == 20
    assert max(map(len, names)) <= MAX_NAME_BYTES


def test_above_the_limit_a_connection_that_was_never_used_is_closed():
    callers = Callers(connections=3)
    busy = callers.connect(GET)
    served = callers.connect(GET)
    answer(callers.exchanges[1])
    callers.wait(1.0)
    unused = [callers.connect()]
    for _ in range(20):
        callers.wait(0.3)
        unused.append(callers.connect())
    assert callers.budget.n_connections == 3
    assert not busy.transport.is_closed and not served.transport.is_closed
    assert [channel.transport.is_closed for channel in unused] == [True] * 20 + [False]
    assert callers.budget.take_causes() == {Cause.TOO_MANY_CONNECTIONS: 20}


def test_a_new_connection_is_closed_while_all_others_are_busy():
    callers = Callers(connections=2)
    busy = [callers.connect(GET) for _ in range(2)]
    assert callers.connect().transport.is_closed
    assert not any(channel.transport.is_closed for channel in busy)


def test_a_request_without_a_descriptor_for_its_endpoint_is_refused():
    callers = Callers(connections=100, sockets=6)
    crowd = [callers.connect(GET) for _ in range(4)]
    assert len(callers.exchanges) == 3
    assert answer_of(crowd[3]).startswith(b"HTTP/1.1 503 ")


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"GET",
        declared(9) + b"x",
        CHUNKED + b"9\r\nx",
        GET,
        GET * 3,
        b"X\r\n\r\n",
        declared(9, UNKNOWN),
    ],
)
def test_a_closed_connection_is_freed_at_once(callers, data):
    """Left to the collection of garbage, closed ones added up to hundreds of MB."""
    gc.disable()
    try:
        channel = callers.connect(data)
        transport, reference = channel.transport, weakref.ref(channel)
        transport.producer = None
        transport.loseConnection()
        callers.exchanges.clear()
        del transport.protocol, channel, transport
        callers.clock.advance(60.0)
        assert reference() is None
    finally:
        gc.enable()
    assert callers.budget.held_bytes == 0


PIECES = [
    GET,
    declared(300_000),
    declared(5) + b"x",
    declared(400_000, UNKNOWN),
    CHUNKED,
    b"10\r\n" + b"x" * 16 + b"\r\n",
    b"fffff\r\n",
    b"0\r\n",
    b"a\r\n" * 50,
    b"\r\n",
    b"a:\r\n" * 50,
    BLOCK,
    b"GET /a HTTP/1.1\r\nHost",
    b"Expect: 100-continue\r\n",
    b"x",
]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["send", "send", "send", "split", "answer", "unread", "read"])
        | st.sampled_from(["wait", "close", "open"]),
        st.integers(0, 5),
        st.sampled_from(PIECES),
    ),
    max_size=40,
)


@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
@given(STEPS)
def test_any_bytes_in_any_order_stay_within_the_budget(steps):
    callers = Callers(memory=2 * MIB, connections=5, sockets=9)
    crowd = [callers.connect() for _ in range(3)]
    for action, number, piece in steps:
        channel = crowd[number % len(crowd)]
        if action == "open":
            crowd.append(callers.connect(piece))
        elif channel.transport.is_closed:
            continue
        elif action == "send":
            callers.send(channel, piece)
        elif action == "split":
            for position in range(min(len(piece), 40)):
                callers.send(channel, piece[position : position + 1])
        elif action == "answer" and channel._handlingRequest:
            answer(channel.requests[0])
        elif action == "unread":
            channel.pauseProducing()
        elif action == "read":
            channel.resumeProducing()
        elif action == "close":
            channel.transport.loseConnection()
        elif action == "wait":
            callers.wait(number + 0.5)
        # One read and one request may exceed it before it is checked.
        assert callers.budget.held_bytes <= 2 * MIB + 5 * (len(BLOCK) + REQUEST_BYTES)
        assert callers.budget.n_connections <= 5
        assert callers.budget.update() == 0
    for channel in crowd:
        if not channel.transport.is_closed:
            with contextlib.suppress(KeyError):
                channel.transport.loseConnection()
    assert callers.budget.held_bytes == callers.budget.n_connections == 0
    assert callers.budget._n_requests == 0


def test_a_lost_release_is_reported_by_the_audit(callers):
    channel = callers.connect(GET)
    callers.budget._budget.count(channel.account, 1_000)
    assert callers.budget.update() == 1_000
    channel.connectionLost(Failure(ConnectionDone()))
    assert callers.budget.update() == callers.budget.held_bytes == 0
