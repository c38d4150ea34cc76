"""Crowds of clients whose bodies are not complete, too large or made of many fields.

The number of clients and the limits were fixed on the code without a budget, which
exceeds them. `bin/test` runs these files one at a time.
"""

import pytest

from bilberryring.standins.gateway_site import GatewaySite
from bilberryring.testing.misbehaving_clients import (
    BULK_SERVICE,
    MachineLimits,
    ProcessPeak,
    answer_crowd,
    crowd_configuration,
    run_crowd,
)
from bilberryring.testing.misbehaving_requests import (
    BODY_BYTES,
    HEAD_BYTES,
    ONLY_CHUNKS_OF_A_BYTE,
    OVERSIZED_BODIES,
    SHORT_FIELDS,
    UNFINISHED_BODIES,
    chunk_of,
    request_head,
)

N_BODIES = 40
N_STOPPED = 60
"""Clients that stop at any point, and so send half of a body on average."""
N_SHORT_FIELDS = {
    "headers": 900,
    "cookies": 300,
    "query": 150,
    "trailers": 80,
    "JSON": 40,
}
LIMITS = MachineLimits(memory_mb=120, max_descriptors=1_535)
"""Above a gateway at rest, and below it with the bodies of a crowd."""
SMALLEST_MACHINE = MachineLimits(memory_mb=152, max_descriptors=1_535)


@pytest.fixture
def site(request):
    limits = getattr(request, "param", LIMITS)
    site = GatewaySite(
        memory_mb=limits.memory_mb, max_fds=limits.max_descriptors
    ).start()
    yield add_endpoints(site)
    site.stop()


@pytest.fixture
def pair():
    site = GatewaySite(
        gateways=2, memory_mb=LIMITS.memory_mb, max_fds=LIMITS.max_descriptors
    ).start()
    yield add_endpoints(site)
    site.stop()


def add_endpoints(site):
    site.publish(crowd_configuration())
    site.add_endpoint("a", answer_crowd)
    site.add_endpoint("b", answer_crowd, service=BULK_SERVICE, slots=400)
    site.start_gateway()
    return site


@pytest.mark.parametrize("kind", UNFINISHED_BODIES)
def test_unfinished_bodies_do_not_exhaust_the_memory(site, kind):
    """Each body was held in full, whether or not its request could ever run."""
    n = N_STOPPED if kind == "any point" else N_BODIES
    run_crowd(site, UNFINISHED_BODIES[kind], n, LIMITS)


def test_bodies_in_chunks_of_a_byte_keep_no_process_busy_for_ever(site):
    """Guards against framing that is held, or parsed in quadratic time."""
    run_crowd(site, ONLY_CHUNKS_OF_A_BYTE, N_BODIES, LIMITS)


@pytest.mark.parametrize("kind", OVERSIZED_BODIES)
def test_bodies_far_over_the_limit_do_not_exhaust_the_memory(site, kind):
    """Chunked ones were held up to the limit, also after their refusal."""
    run_crowd(site, OVERSIZED_BODIES[kind], N_BODIES, LIMITS)


@pytest.mark.parametrize("kind", SHORT_FIELDS)
def test_many_short_fields_do_not_exhaust_the_memory(site, kind):
    """A parsed field takes many times the memory of its bytes."""
    run_crowd(site, SHORT_FIELDS[kind], N_SHORT_FIELDS[kind], LIMITS)


def test_a_crowd_spread_over_two_gateways_exhausts_the_memory_of_neither(pair):
    """Guards against bounds that hold for one process of several only."""
    pair.start_gateway(2)
    kind = UNFINISHED_BODIES["one piece"]
    run_crowd(pair, kind, 2 * N_BODIES, LIMITS, numbers=(1, 2))


@pytest.mark.parametrize("site", [SMALLEST_MACHINE], indirect=True)
@pytest.mark.parametrize("framing", ["length", "chunks", "pieces"])
def test_the_largest_legal_request_is_served_on_the_smallest_machine(site, framing):
    """Guards against a budget that is too small for one request within the limits."""
    peak = ProcessPeak(site.process("gateway-1"))
    body = b"x" * BODY_BYTES
    line = f"Content-Length: {BODY_BYTES}"
    parts = [body]
    if framing == "chunks":
        line = "Transfer-Encoding: chunked"
        parts = [chunk_of(BODY_BYTES // 4_096) * 4_096 + b"0\r\n\r\n"]
    elif framing == "pieces":
        parts = [body[at : at + 1_024] for at in range(0, BODY_BYTES, 1_024)]
    n_filler = HEAD_BYTES - len(request_head(line, "Connection: close", "X-Filler: "))
    head = request_head(line, "Connection: close", f"X-Filler: {'x' * n_filler}")
    assert len(head) == HEAD_BYTES
    with site.caller_socket() as caller:
        for part in (head, *parts):
            caller.sendall(part)
        answer = b"".join(iter(lambda: caller.recv(1 << 20), b""))
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert answer.endswith(b"\r\n\r\nok " + body)
    peak.check(SMALLEST_MACHINE)
