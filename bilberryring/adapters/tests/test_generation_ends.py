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
ENDS = [
    (framing, close)
    for framing in Framing
    for close in Close
    if (framing, close) != (Framing.CONNECTION, Close.AT_END)
]


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
