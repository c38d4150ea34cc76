"""Ends of an engine's answer: its last event proves that the answer is complete."""

import pytest
from twisted.internet.defer import Deferred

from bilberryring.adapters import (
    EngineClient,
    GenerateRequest,
    Generation,
    GenerationEnd,
)
from bilberryring.execution import Close, Framing
from bilberryring.testing.memory_endpoint import MemoryEndpoint

TOKEN = b'{"index":0,"text":"a"}\n'
END = b'{"end":"length","count":1}\n'
ODD_LINES = [
    b"x",
    b"\xff",
    b"[1]",
    b"[" * 50_000,
    b'{"index":' + b"9" * 400 + b',"text":"b"}',
    b'{"index":' + b"9" * 5_000 + b',"text":"b"}',
    b'{"index":-1,"text":"b"}',
    b'{"index":1e400,"text":"b"}',
    b'{"end":"length","count":' + b"9" * 400 + b"}",
    b'{"end":"length","count":-1}',
]
ENDS = [
    (framing, close)
    for framing in Framing
    for close in Close
    if (framing, close) != (Framing.CONNECTION, Close.AT_END)
]


@pytest.mark.parametrize("line", ODD_LINES, ids=lambda line: repr(line[:30]))
def test_an_odd_line_ends_its_generation_alone_as_malformed(line):
    endpoint = MemoryEndpoint()
    tokens, ends = [], []
    generation = Generation(
        on_tokens=lambda first, texts: tokens.extend(texts), on_held=lambda: None
    )

    async def generate():
        order = GenerateRequest(request="r", holder="1-a", prompt="p", max_tokens=1)
        client = EngineClient(client=endpoint.client)
        ends.append(await client.generate(order, generation))

    Deferred.fromCoroutine(generate())
    body = TOKEN + line + b"\n" + END
    endpoint.answer(body, framing=Framing.CHUNKS, close=Close.AT_END)
    assert ends == [GenerationEnd.MALFORMED]
    assert tokens == ["a"]
    assert endpoint.is_closed


@pytest.mark.parametrize(("framing", "close"), ENDS)
@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (TOKEN + END, GenerationEnd.COMPLETED),
        (TOKEN + END[:-1], GenerationEnd.INTERRUPTED),
        (TOKEN + END[:9], GenerationEnd.INTERRUPTED),
        (TOKEN, GenerationEnd.INTERRUPTED),
        (TOKEN[:5], GenerationEnd.INTERRUPTED),
        (b"", GenerationEnd.INTERRUPTED),
    ],
)
def test_only_the_last_event_completes_a_generation(framing, close, body, expected):
    endpoint = MemoryEndpoint()
    tokens, ends = [], []
    generation = Generation(
        on_tokens=lambda first, texts: tokens.extend(texts), on_held=lambda: None
    )

    async def generate():
        order = GenerateRequest(request="r", holder="1-a", prompt="p", max_tokens=1)
        client = EngineClient(client=endpoint.client)
        ends.append(await client.generate(order, generation))

    Deferred.fromCoroutine(generate())
    endpoint.answer(body, framing=framing, close=close)
    assert ends == [expected]
    assert tokens == (["a"] if body.startswith(TOKEN) else [])
