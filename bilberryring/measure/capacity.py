"""Slopes from which docs/CAPACITY.md works out what each role needs."""

import gc
import itertools
import time
import tracemalloc
import zlib
from dataclasses import replace

import click
import msgspec

from bilberryring.acceptance import READERS_PER_DOMAIN, WATCH_TIMEOUT_SECONDS
from bilberryring.entry.endpoint_record import EndpointRecord
from bilberryring.execution import Answer, Call, Ledger, new_ticket
from bilberryring.measure.idle_fleet import idle_slopes
from bilberryring.membership import HEARTBEAT_SECONDS
from bilberryring.objects import (
    CanonicalSet,
    FailureDomain,
    Model,
    ModelEndpoint,
    ObjectSet,
    Priority,
    Version,
    Workspace,
    build_set,
    check_set,
    decode_part,
    encode_manifest,
    key_digest,
    render_set,
)
from bilberryring.routing import (
    LengthAware,
    Placement,
    PromptShape,
)
from bilberryring.routing.subset import tracked_endpoints
from bilberryring.telemetry import FIRST_TOKEN_BUCKETS, Metrics
from bilberryring.wire import (
    Beat,
    Envelope,
    Heartbeat,
    SetNotice,
    decode_envelope,
    encode_envelope,
)

ENTRIES = 400
ENDPOINTS = 4_400
DOMAINS = 11
MODELS = 13
WORKSPACES = 990
CHANGES_PER_DAY = 3_300
SECONDS_PER_DAY = 86_400
VERSIONS_PER_ENDPOINT = 2
LENGTH_PREFIX_BYTES = 4


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """One measured slope with its unit."""

    name: str
    value: float
    unit: str


def full_objects(endpoints: int = ENDPOINTS, workspaces: int = WORKSPACES) -> ObjectSet:
    """Return a consistent set of a size."""
    domains = [
        FailureDomain(name=f"domain-{i}", region=f"region-{i % 3}")
        for i in range(DOMAINS)
    ]
    priorities = [Priority(name=f"priority-{i}", rank=i) for i in range(3)]
    models = [
        Model(name=f"model-{i}", default_version=f"model-{i}-v1") for i in range(MODELS)
    ]
    versions = [
        Version(name=f"model-{i}-v1", model=f"model-{i}", weights_megabytes=14_000)
        for i in range(MODELS)
    ]
    spaces = [
        Workspace(
            name=f"workspace-{i}",
            priority=f"priority-{i % 3}",
            key_digests=(key_digest(f"key-{i}"),),
            models=tuple(f"model-{(i + k) % MODELS}" for k in range(4)),
            share=1 / workspaces,
        )
        for i in range(workspaces)
    ]
    servers = [
        ModelEndpoint(
            name=f"endpoint-{i}",
            failure_domain=f"domain-{i % DOMAINS}",
            sidecar=f"10.{i % DOMAINS}.{i // 250}.{i % 250 + 1}:9400",
            versions=tuple(
                f"model-{(i + k) % MODELS}-v1" for k in range(VERSIONS_PER_ENDPOINT)
            ),
        )
        for i in range(endpoints)
    ]
    return ObjectSet(
        failure_domains={item.name: item for item in domains},
        priorities={item.name: item for item in priorities},
        models={item.name: item for item in models},
        versions={item.name: item for item in versions},
        workspaces={item.name: item for item in spaces},
        model_endpoints={item.name: item for item in servers},
    )


def cpu_of(action, repeats: int = 1) -> float:
    """Return the processor seconds of one call of an action."""
    started = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - started) / repeats


def bytes_of(make, count: int) -> float:
    """Return the memory that each of `count` made things keeps."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make(count)
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return (after - before) / count


def accept(canonical: CanonicalSet, decoded: dict) -> ObjectSet:
    """Do what a process does with a set: decode new parts and check the whole."""
    for digest, content in canonical.parts.items():
        if digest not in decoded:
            decoded[digest] = tuple(decode_part(content))
    objects = build_set(item for digest in canonical.parts for item in decoded[digest])
    assert not [finding for finding in check_set(objects) if finding is not None]
    return objects


def longest_step(canonical: CanonicalSet) -> float:
    """Return the longest time between two points where a process may pause."""
    objects = build_set(
        item for part in canonical.parts.values() for item in decode_part(part)
    )
    worst = 0.0
    started = time.perf_counter()
    steps = itertools.chain(
        itertools.chain.from_iterable(decode_part(p) for p in canonical.parts.values()),
        check_set(objects),
    )
    for _ in steps:
        now = time.perf_counter()
        worst = max(worst, now - started)
        started = now
    started = time.perf_counter()
    build_set(itertools.chain(objects.all_objects()))
    return max(worst, time.perf_counter() - started)


def set_slopes() -> list[Slope]:
    """Measure a set at full size, and a change of one object in it."""
    objects = full_objects()
    first = render_set(objects, predecessor=None)
    endpoint = changed_endpoint(objects.model_endpoints["endpoint-7"])
    endpoints = {**objects.model_endpoints, endpoint.name: endpoint}
    second = render_set(
        replace(objects, model_endpoints=endpoints), predecessor=first.manifest
    )
    new_parts = [second.parts[d] for d in second.parts.keys() - first.parts.keys()]
    decoded: dict = {}
    whole = cpu_of(lambda: accept(first, decoded))
    change = cpu_of(lambda: accept(second, decoded))
    manifest = len(encode_manifest(second.manifest))
    pulled = [encode_manifest(second.manifest), *new_parts]
    total = sum(map(len, first.parts.values()))
    return [
        Slope(name="set at full size", value=total, unit="bytes"),
        Slope(name="parts", value=len(first.parts), unit="parts"),
        Slope(name="largest part", value=max(map(len, first.parts.values())), unit="B"),
        Slope(name="manifest", value=manifest, unit="bytes"),
        Slope(
            name="pulled for one change",
            value=sum(len(zlib.compress(content)) for content in pulled),
            unit="bytes",
        ),
        Slope(name="first acceptance", value=whole, unit="s of CPU"),
        Slope(name="acceptance of a change", value=change, unit="s of CPU"),
        Slope(name="longest step", value=longest_step(first), unit="s"),
    ]


def changed_endpoint(endpoint: ModelEndpoint) -> ModelEndpoint:
    """Return the endpoint with another concurrency."""
    return msgspec.structs.replace(endpoint, concurrency=32)


def memory_slopes() -> list[Slope]:
    """Measure what each tracked or published thing keeps in memory."""
    objects = full_objects()
    endpoint = next(iter(objects.model_endpoints.values()))

    def published(count: int):
        canonical = render_set(full_objects(endpoints=count), predecessor=None)
        decoded: dict = {}
        return canonical, decoded, accept(canonical, decoded)

    def histograms(count: int):
        created = Metrics().histogram(
            name="x",
            doc="x",
            labels=("workspace",),
            buckets=FIRST_TOKEN_BUCKETS,
            max_series=count,
        )
        for index in range(count):
            created.observe((f"workspace-{index}",), 0.1)
        return created

    def ledger(count: int):
        book = Ledger(incarnation="i")
        for _ in range(count):
            ticket = new_ticket(endpoint="e", incarnation="i", issued_micros=0)
            call = Call(ticket=ticket, workspace="w", digest="d" * 32)
            book.receive(call, now=0.0, deadline=9.0)
            answer = Answer(status=201, content_type="text/plain", body=b"x" * 200)
            book.complete(call, answer)
        return book

    return [
        Slope(
            name="published endpoint", value=bytes_of(published, ENDPOINTS), unit="B"
        ),
        Slope(
            name="tracked endpoint",
            value=bytes_of(
                lambda n: [EndpointRecord(endpoint=endpoint) for _ in range(n)], 1000
            ),
            unit="B",
        ),
        Slope(name="histogram series", value=bytes_of(histograms, 990), unit="B"),
        Slope(name="ledger record", value=bytes_of(ledger, 2000), unit="B"),
    ]


def control_slopes() -> list[Slope]:
    """Measure the messages that flow without any request."""
    heartbeat = Heartbeat(
        sender_clock=10**12,
        state="ready",
        backlog_tokens=[1_200, 40_000, 0, 300_000],
        running=12,
        free_kv_tokens=200_000,
        allowance=64,
        set_number=1_234,
        prefill_rate=39_000,
        kv_tokens=400_000,
    )
    messages = {
        "report": Envelope(heartbeat=heartbeat),
        "beat": Envelope(beat=Beat(sender_clock=10**12)),
        "set notice": Envelope(set_notice=SetNotice(number=1234, digest="0" * 16)),
    }
    slopes = []
    for name, envelope in messages.items():
        frame = encode_envelope(envelope)
        size = len(frame) + LENGTH_PREFIX_BYTES
        write = cpu_of(lambda e=envelope: encode_envelope(e), 5000)
        read = cpu_of(lambda f=frame: decode_envelope(f), 5000)
        slopes += [
            Slope(name=f"{name}, size", value=size, unit="B"),
            Slope(name=f"{name}, write", value=1e6 * write, unit="us of CPU"),
            Slope(name=f"{name}, read", value=1e6 * read, unit="us of CPU"),
        ]
    return slopes


def decision_slopes() -> list[Slope]:
    """Measure what an entry decides by."""
    objects = full_objects()
    endpoint = next(iter(objects.model_endpoints.values()))
    record = EndpointRecord(endpoint=endpoint)
    heartbeat = Heartbeat(
        sender_clock=10**6,
        state="ready",
        backlog_tokens=[1_200, 40_000, 0, 300_000],
        running=12,
        free_kv_tokens=200_000,
        allowance=64,
        set_number=1,
        prefill_rate=39_000,
        kv_tokens=400_000,
    )
    record.apply_heartbeat(heartbeat, now=1.0)
    shape = PromptShape(prompt_tokens=2_000, max_tokens=200)
    placement = Placement(policy=LengthAware(), seed=1)

    def choose() -> None:
        loads = [record.load(now=1.5, round_trip_seconds=0.0) for _ in range(12)]
        placement.choose(shape, loads)

    tracked = tracked_endpoints(objects, entry="entry-1", per_model=6)
    return [
        Slope(name="choice among 12", value=1e6 * cpu_of(choose, 2000), unit="us"),
        Slope(
            name="take a report",
            value=1e6
            * cpu_of(lambda: record.apply_heartbeat(heartbeat, now=1.0), 5000),
            unit="us of CPU",
        ),
        Slope(
            name="choice of tracked endpoints",
            value=cpu_of(
                lambda: tracked_endpoints(objects, entry="entry-1", per_model=6)
            ),
            unit="s of CPU",
        ),
        Slope(name="endpoints tracked", value=len(tracked), unit="endpoints"),
        Slope(
            name="links of a sidecar",
            value=ENTRIES * len(tracked) / ENDPOINTS,
            unit="links",
        ),
    ]


def platform_slopes() -> list[Slope]:
    """Work out the platform's calls from the readers."""
    readers = READERS_PER_DOMAIN * DOMAINS
    per_change = readers * 3
    return [
        Slope(name="watching readers", value=readers, unit="processes"),
        Slope(
            name="calls at rest", value=readers / WATCH_TIMEOUT_SECONDS, unit="calls/s"
        ),
        Slope(name="calls for one change", value=per_change, unit="calls"),
        Slope(name="beats", value=1 / HEARTBEAT_SECONDS, unit="beats/s"),
        Slope(
            name="changes", value=CHANGES_PER_DAY / SECONDS_PER_DAY, unit="changes/s"
        ),
    ]


def run_table() -> None:
    """Measure every slope and print it."""
    for measure in (
        set_slopes,
        memory_slopes,
        control_slopes,
        decision_slopes,
        platform_slopes,
    ):
        for slope in measure():
            click.echo(f"{slope.name:<44}{slope.value:>12.4g} {slope.unit}")
    for name, value, unit in idle_slopes():
        click.echo(f"{name:<44}{value:>12.4g} {unit}")
