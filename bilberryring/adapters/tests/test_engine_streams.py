"""Streams of an engine that are malformed, never begin, or are slow."""

import pytest
from twisted.internet.defer import Deferred

from bilberryring.adapters import (
    EngineClient,
    EngineError,
    GenerateRequest,
    Generation,
    GenerationEnd,
)
from bilberryring.testing.memory_endpoint import MemoryEndpoint

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TOKEN = b'{"index":0,"text":"a"}\n'
MALFORMED = [
    b"no json\n",
    b"[1]\n",
    b"\xff\n",
    b'{"index":"0"}\n',
    b'{"text":' + b"[" * 100_000 + b"\n",
    b'{"index":0,"text":"a"}\n{"index":2,"text":"c"}\n',
    b'{"index":-1,"text":"a"}\n',
    b'{"end":"length","count":-1}\n',
    b'{"index":9223372036854775808,"text":"a"}\n',
]


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Play:
    """A generation at an engine that the test plays."""

    def __init__(self):
        self.endpoint = MemoryEndpoint()
        self.tokens: list[tuple[int, list[str]]] = []
        self.outcome: list[object] = []
        self.generation = Generation(
            on_tokens=lambda first, texts: self.tokens.append((first, texts)),
            on_held=lambda: None,
        )
        order = GenerateRequest(request="r", holder="1-a", prompt="p", max_tokens=3)
        client = EngineClient(client=self.endpoint.client)
        Deferred.fromCoroutine(client.generate(order, self.generation)).addBoth(
            self.outcome.append
        )
        self.endpoint.open()


@pytest.mark.parametrize("lines", MALFORMED)
def test_a_malformed_line_ends_a_generation_and_its_stream(lines):
    play = Play()
    play.endpoint.send(HEAD + chunk(lines))
    assert play.endpoint.is_closed
    assert play.outcome == [GenerationEnd.MALFORMED]
    assert play.generation.malformation
    assert play.tokens == ([(0, ["a"])] if lines.startswith(TOKEN) else [])


@pytest.mark.parametrize("sent", [b"", b"HTTP/1.1 200 OK\r\n"])
def test_an_aborted_generation_ends_although_the_engine_sends_no_head(sent):
    play = Play()
    play.endpoint.send(sent)
    play.generation.abort()
    assert play.endpoint.is_closed
    (failure,) = play.outcome
    assert isinstance(failure.value, EngineError)
    assert not play.generation.was_accepted


def test_a_stream_that_comes_a_byte_at_a_time_is_complete():
    play = Play()
    play.endpoint.send(HEAD)
    body = b'{"index":0,"text":"a"}\n\n{"end":"length","count":1}\n'
    for byte in body:
        play.endpoint.send(chunk(bytes([byte])))
    play.endpoint.send(b"0\r\n\r\n")
    assert play.outcome == [GenerationEnd.COMPLETED]
    assert play.tokens == [(0, ["a"])]


def test_bytes_that_complete_no_line_are_no_tokens():
    play = Play()
    play.endpoint.send(HEAD)
    for _ in range(100):
        play.endpoint.send(chunk(b" "))
    play.generation.abort()
    assert play.outcome == [GenerationEnd.INTERRUPTED]
    assert not play.tokens
