"""Readers of bytes from outside raise nothing but their own errors.

`BILBERRYRING_EXAMPLES` sets the number of examples of a run by hand.
"""

import contextlib
import copy
import itertools
import json
import math
import os
import random

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from bilberryring.core import RequestId, SettingsError
from bilberryring.fleet import MS_PER_SECOND
from bilberryring.gateway.caller_site import CallerSite
from bilberryring.gateway.endpoint_connection import EndpointConnection
from bilberryring.gateway.messages import AttemptMetadata
from bilberryring.objects import is_address
from bilberryring.platform.configuration import (
    MAX_COUNT,
    MAX_SLOTS,
    ContentError,
    decode_configuration,
    decode_endpoint,
)
from bilberryring.platform.headers import (
    decode_request_headers,
    decode_response_headers,
    encode_request_headers,
    encode_response_headers,
)
from bilberryring.platform.settings import decode_settings
from bilberryring.routing import (
    Candidate,
    DecodeGroup,
    EndpointWork,
    PromptDemand,
    PromptPlanner,
)
from bilberryring.standins.gateway_site import ENGINE, make_configuration
from bilberryring.standins.scripted_endpoint import chunk, event, stream_head
from bilberryring.testing.silent_descriptor import silent_descriptor

EXAMPLES = int(os.environ.get("BILBERRYRING_EXAMPLES", "200"))
FUZZED = settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
ANSWER_PIECES = [
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.0 200\r\n",
    b"HTTP/1.1 103 Hints\r\n\r\n",
    b"HTTP/1.1 204 No Content\r\n\r\n",
    b"HTTP/1.1 999 \xff\r\n",
    b"Bilberryring-Request-Id: r\r\n",
    b"Bilberryring-Request-Id: z\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: -3\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Keep-Alive: timeout=99999999999999999999\r\n",
    b"Keep-Alive: timeout=" + b"9" * 400 + b"\r\n",
    b"Keep-Alive: timeout=" + b"9" * 5_000 + b"\r\n",
    b"Content-Length: " + b"9" * 5_000 + b"\r\n",
    b"9" * 5_000 + b"\r\n",
    b"Connection: close\r\n",
    b"\r\n",
    b"abc",
    b"0\r\n\r\n",
    chunk(b"data"),
    stream_head("r"),
    event(1),
]
REQUEST_PIECES = [
    b"POST /look/ HTTP/1.1\r\n",
    b"GET / HTTP/1.0\r\n",
    b"HEAD * HTTP/9.9\r\n",
    b"Host: h\r\n",
    b"Cookie: a=\xff; b\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: 0\r\n",
    b"Content-Length: 99999999999999999999\r\n",
    b"Content-Length: " + b"9" * 5_000 + b"\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Expect: 100-continue\r\n",
    b"Bilberryring-Deadline-Ms: nan\r\n",
    b"Bilberryring-Token-Usage: 1e400,-1\r\n",
    b"Bilberryring-Token-Usage: " + b"9" * 5_000 + b",1\r\n",
    b"\r\n",
    b"abc",
    chunk(b"abc"),
    b"0\r\n\r\n",
]
HEADER_NAMES = [
    b"Host",
    b"Authorization",
    b"Bilberryring-Request-Id",
    b"Bilberryring-Token-Usage",
    b"Bilberryring-Prompt-Prefix",
    b"Bilberryring-Deadline-Ms",
    b"Bilberryring-Server-Load",
    b"Bilberryring-Not-Executed",
    b"Last-Event-Id",
    b"Retry-After",
    b"Server-Leaving",
    b"Date",
    b"Connection",
    b"Keep-Alive",
]
numbers = st.sampled_from(
    [
        b"",
        b"0",
        b"-1",
        b"1e400",
        b"nan",
        b"inf",
        b"9" * 400,
        b"9" * 5_000,
        b"1,2,3",
        b"1," + b"9" * 5_000,
        b"0,0," + b"9" * 5_000,
        b"a:b,c",
        b"\xff",
    ]
)
pairs = st.lists(
    st.tuples(
        st.sampled_from(HEADER_NAMES), st.one_of(numbers, st.binary(max_size=12))
    ),
    max_size=8,
).map(tuple)
json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.sampled_from([2**53 - 1, 2**53, 2**63, 10**400, 1e308, 1e-320, 3e10])
    | st.floats(allow_nan=False)
    | st.text(max_size=6),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=6,
)


class ClosingTransport(StringTransport):
    """Ends the connection when the protocol closes or aborts it."""

    is_closed = False
    is_write_closed = False

    def loseConnection(self) -> None:
        if not self.is_closed:
            self.is_closed = self.disconnecting = True
            self.protocol.connectionLost(Failure(ConnectionDone()))

    abortConnection = loseConnection

    def loseWriteConnection(self) -> None:
        self.is_write_closed = True

    def fileno(self) -> int:
        return silent_descriptor()


def pieces_of(pieces):
    return st.lists(
        st.one_of(st.sampled_from(pieces), st.binary(max_size=8)), max_size=12
    )


def paths_of(value, path=()):
    """Return the paths of all values inside a JSON value."""
    yield path
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, inner in items:
        if isinstance(inner, dict | list):
            yield from paths_of(inner, (*path, key))
        else:
            yield (*path, key)


def replaced(value, path, new):
    if not path:
        return new
    changed = copy.deepcopy(value)
    inner = changed
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = new
    return changed


def use_configuration(configuration):
    """Calculate with the figures as requests do."""
    for route in configuration.routes:
        random.choices(route.shares, weights=[share.weight for share in route.shares])
        assert 0.0 < route.first_answer_objective < math.inf
        assert 0.0 <= route.timeout < math.inf
        engines = [item.engine for item in configuration.services.values()]
        for figures, tokens in itertools.product(filter(None, engines), (1, 10**6)):
            demand = PromptDemand(
                prompt_tokens=tokens,
                max_tokens=tokens,
                first_ms=route.first_answer_objective * MS_PER_SECOND,
                gap_ms=route.gap_objective,
            )
            candidates = [Candidate(endpoint=name, work=BUSY) for name in "abcd"]
            plan = PromptPlanner().plan(demand, figures, candidates, now=1.0)
            assert plan is None or math.isfinite(plan.predicted_ms + plan.cost)


BUSY = EndpointWork(
    requests=3,
    prefill_ms=50.0,
    kv_tokens=9_000,
    decode_groups=(DecodeGroup(gap_ms=200, count=2, value=2.0),),
)
CONFIGURATION = make_configuration(3)
CONFIGURATION_PATHS = list(paths_of(CONFIGURATION))
ANNOUNCEMENT = {
    "service": "orders",
    "address": "127.0.0.1:1",
    "zone": "north",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "born": 7,
    "engine": ENGINE,
}
ANNOUNCEMENT_PATHS = list(paths_of(ANNOUNCEMENT))


@FUZZED
@given(pieces_of(ANSWER_PIECES), st.booleans(), st.booleans())
def test_an_endpoint_may_send_anything(pieces, is_head, is_joined):
    connection = EndpointConnection(
        reactor=Clock(),
        address="127.0.0.1:1",
        on_idle=lambda connection: None,
        on_closed=lambda connection: None,
    )
    transport = StringTransport()
    transport.abortConnection = transport.loseConnection
    connection.transport = transport
    connection._is_open = True
    connection.send(
        method=b"HEAD" if is_head else b"POST",
        target=b"/",
        headers=((b"Host", b"h"),),
        body=b"" if is_head else b"x",
        is_expected=lambda head: (b"Bilberryring-Request-Id", b"z") not in head.headers,
        request_id=RequestId("r"),
    )
    for data in [b"".join(pieces)] if is_joined else pieces:
        connection.dataReceived(data)
    connection.connectionLost()


@FUZZED
@given(pieces_of(REQUEST_PIECES), st.booleans())
def test_a_caller_may_send_anything(pieces, is_joined):
    clock = Clock()

    def answer(exchange):
        decode_request_headers(exchange.read_request().headers)
        exchange.start(200, b"", ((b"Content-Length", b"0"),))
        exchange.end()

    channel = CallerSite(reactor=clock, on_request=answer).buildProtocol(None)
    transport = ClosingTransport()
    transport.protocol = channel
    channel.makeConnection(transport)
    for data in [b"".join(pieces)] if is_joined else pieces:
        if not transport.is_closed:
            channel.dataReceived(data)
    clock.pump([1.0] * 100)
    assert transport.is_closed


@FUZZED
@given(pairs, st.sampled_from([200, 204, 400, 421, 429, 503]))
def test_headers_may_have_any_value(headers, status):
    metadata = decode_request_headers(headers)
    decode_response_headers(status, headers)
    encode_response_headers(headers)
    encode_request_headers(
        headers,
        AttemptMetadata(
            endpoint="i-1", seconds_left=1.0, last_event_id=metadata.last_event_id
        ),
    )


@FUZZED
@given(st.sampled_from(CONFIGURATION_PATHS), json_values)
def test_a_configuration_may_have_any_value_in_each_field(path, value):
    content = json.dumps(replaced(CONFIGURATION, path, value)).encode()
    with contextlib.suppress(ContentError):
        use_configuration(decode_configuration(content))


@FUZZED
@given(st.sampled_from(ANNOUNCEMENT_PATHS), json_values)
def test_an_announcement_may_have_any_value_in_each_field(path, value):
    content = json.dumps(replaced(ANNOUNCEMENT, path, value)).encode()
    with contextlib.suppress(ContentError):
        endpoint = decode_endpoint("servers/a", content, now=1.0)
        assert 1 <= endpoint.slots <= MAX_SLOTS
        assert 1.0 <= endpoint.cold_until < math.inf
        assert 0 <= endpoint.started_at_ms <= MAX_COUNT
        assert is_address(endpoint.address)


@FUZZED
@given(st.text(max_size=60))
def test_settings_may_be_any_text(text):
    with contextlib.suppress(SettingsError):
        decode_settings(text)


def test_settings_may_be_nested_deeply():
    with contextlib.suppress(SettingsError):
        decode_settings("a = " + "[" * 100_000)
