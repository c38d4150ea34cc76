"""An engine whose answer to a poll is malformed counts as one that gives none."""

import pytest
from twisted.internet.defer import Deferred

from bilberryring.adapters import (
    CALL_TIMEOUT_SECONDS,
    EngineClient,
    EngineError,
    EngineSilentError,
)
from bilberryring.execution import Close, Framing
from bilberryring.testing.memory_endpoint import MemoryEndpoint

HELD = b'{"incarnation":"e","kv_used":7,"kv_tokens":7,"highest_fence":7,"requests":[]}'


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        b"[1]",
        b"\xff",
        b'{"requests":' + b"[" * 100_000,
        *(
            HELD.replace(b'"%s":7' % field, b'"%s":%s' % (field, figure))
            for field in (b"kv_used", b"kv_tokens", b"highest_fence")
            for figure in (b"9" * 400, b"9" * 5_000, b"-1", b"1e400", b"1.5", b"true")
        ),
    ],
    ids=lambda body: repr(body[:60]),
)
def test_a_malformed_answer_to_a_poll_is_an_engine_error(body):
    endpoint = MemoryEndpoint()
    failures = []
    client = EngineClient(client=endpoint.client)
    Deferred.fromCoroutine(client.held()).addErrback(failures.append)
    endpoint.answer(body, framing=Framing.LENGTH, close=Close.AT_END)
    assert isinstance(failures[0].value, EngineError)


def test_a_poll_without_an_answer_in_time_tells_that_the_engine_may_be_sound():
    endpoint = MemoryEndpoint()
    failures = []
    client = EngineClient(client=endpoint.client)
    Deferred.fromCoroutine(client.held()).addErrback(failures.append)
    endpoint.open()
    endpoint.pass_time(CALL_TIMEOUT_SECONDS)
    assert isinstance(failures[0].value, EngineSilentError)


def test_a_poll_whose_body_stalls_tells_that_the_engine_may_be_sound():
    endpoint = MemoryEndpoint()
    failures = []
    client = EngineClient(client=endpoint.client)
    Deferred.fromCoroutine(client.held()).addErrback(failures.append)
    endpoint.open()
    endpoint.send(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{")
    endpoint.pass_time(CALL_TIMEOUT_SECONDS)
    assert isinstance(failures[0].value, EngineSilentError)


def test_a_poll_that_breaks_off_tells_that_the_engine_is_lost():
    endpoint = MemoryEndpoint()
    failures = []
    client = EngineClient(client=endpoint.client)
    Deferred.fromCoroutine(client.held()).addErrback(failures.append)
    endpoint.answer(b"", framing=Framing.LENGTH, close=Close.RESET)
    assert isinstance(failures[0].value, EngineError)
    assert not isinstance(failures[0].value, EngineSilentError)
