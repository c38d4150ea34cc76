"""Second copies of answers, which must not count as the answer to the next request."""

import msgspec
import pytest
from twisted.internet.defer import Deferred

from bilberryring.adapters import (
    EngineClient,
    GenerateRequest,
    Generation,
    GenerationEnd,
    HeldResponse,
    PlatformReader,
)
from bilberryring.testing.memory_endpoint import MemoryEndpoint

COPY_TIMES = ["in the same segment", "while idle", "after the next request"]


def with_length(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def with_chunks(body: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


async def generate(client, name):
    """Return the end and the texts of a generation."""
    texts = []
    generation = Generation(
        on_tokens=lambda first, new: texts.extend(new), on_held=lambda: None
    )
    order = GenerateRequest(request=name, holder="1-a", prompt=name, max_tokens=1)
    end = await EngineClient(client=client).generate(order, generation)
    return end, texts


async def held(client, name):
    """Return the incarnation of an engine."""
    return (await EngineClient(client=client).held()).incarnation


async def read(client, name):
    """Return a value of the platform."""
    return (await PlatformReader(client=client, reader="e").read(name)).content


def held_body(name):
    return msgspec.json.encode(
        HeldResponse(
            incarnation=name, kv_used=0, kv_tokens=1, highest_fence=0, requests=()
        )
    )


REQUESTS = {
    "prompt": (
        generate,
        lambda name: (
            b'{"index":0,"text":"%s"}\n{"end":"length","count":1}\n' % name.encode()
        ),
        lambda name: (GenerationEnd.COMPLETED, [name]),
    ),
    "poll": (held, held_body, lambda name: name),
    "value": (read, lambda name: name.encode(), lambda name: name.encode()),
}


@pytest.mark.parametrize("kind", REQUESTS)
@pytest.mark.parametrize("frame", [with_length, with_chunks])
@pytest.mark.parametrize("time_of_copy", COPY_TIMES)
def test_a_second_copy_of_an_answer_is_no_answer_to_the_next_request(
    kind, frame, time_of_copy
):
    send, body_of, result_of = REQUESTS[kind]
    endpoint = MemoryEndpoint()
    first = frame(body_of("first"))
    results = []
    Deferred.fromCoroutine(send(endpoint.client, "first")).addBoth(results.append)
    endpoint.open()
    endpoint.send(first + first if time_of_copy == COPY_TIMES[0] else first)
    if time_of_copy == COPY_TIMES[1]:
        endpoint.send(first)
    Deferred.fromCoroutine(send(endpoint.client, "next")).addBoth(results.append)
    if time_of_copy == COPY_TIMES[2]:
        endpoint.send(first)
    if not endpoint.is_open:
        endpoint.open()
    endpoint.send(frame(body_of("next")))
    assert results == [result_of("first"), result_of("next")]
