"""The cost of relaying: CPU per token and per request, and the time added."""

import http.client
import itertools
import json
import os
import threading
import time
from dataclasses import dataclass
from pathlib import Path

import click
import msgspec

from bilberryring.measure.statistics import percentile
from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import MODEL, FleetPlan, workspace_key

STREAM_COUNTS = (1, 20, 100)
TOKENS = 200
PROMPT = "manifiesto " * 400
ROUNDS = 3
UPLOAD_BYTES = 5_000_000
PROBES = 40
PROBE_TOKENS = 2
WARM_UP_SECONDS = 1.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class RelayResult(msgspec.Struct, frozen=True, kw_only=True):
    """One run; times are in seconds, CPU in microseconds."""

    streams: int
    tokens_per_second: float
    direct_first_token: float
    relayed_first_token: float
    added_median: float
    entry_per_token: float
    sidecars_per_token: float
    entry_core_share: float
    worst_gap: float


class UploadResult(msgspec.Struct, frozen=True, kw_only=True):
    """Gaps between tokens of a stream, in seconds, with and without an upload."""

    gap_99_quiet: float
    gap_worst_quiet: float
    gap_99_upload: float
    gap_worst_upload: float


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamTimes:
    """When the first token came, and the gaps after it, in seconds."""

    first_token: float
    gaps: tuple[float, ...]


def cpu_seconds(process_id: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def read_stream(address: str, path: str, body: dict, headers: dict) -> StreamTimes:
    """Post a request and note when each piece of its answer comes."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=120)
    started = time.perf_counter()
    connection.request("POST", path, json.dumps(body), headers)
    response = connection.getresponse()
    times: list[float] = []
    for line in response:
        if b'"text"' in line:
            times.append(time.perf_counter())
    gaps = tuple(b - a for a, b in zip(times, times[1:], strict=False))
    return StreamTimes(first_token=times[0] - started, gaps=gaps)


def direct_stream(
    fleet: Fleet, engine: str, label: str, tokens: int = TOKENS
) -> StreamTimes:
    """Speak straight to an engine."""
    body = {
        "request": f"direct-{label}",
        "holder": "direct",
        "prompt": f"{label} {PROMPT}",
        "max_tokens": tokens,
        "priority": 0,
        "fence": 2**62,
    }
    return read_stream(fleet.target_address(engine), "/v1/generate", body, {})


def relayed_stream(fleet: Fleet, label: str, tokens: int = TOKENS) -> StreamTimes:
    """Speak through the entry."""
    body = {
        "model": MODEL,
        "prompt": f"{label} {PROMPT}",
        "max_tokens": tokens,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {workspace_key('bars')}"}
    return read_stream(
        fleet.caller_address("entry-1"), "/v1/completions", body, headers
    )


def together(count: int, stream) -> list[StreamTimes]:
    """Run some streams at once, each in a thread."""
    results: list[StreamTimes] = []

    def run(index: int) -> None:
        results.append(stream(index))

    threads = [threading.Thread(target=run, args=(i,)) for i in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def probe_first_token(count: int, stream) -> float:
    """Return the median time to first token beside `count - 1` other streams.

    `stream` takes a label and a number of tokens. Probes follow one another, so
    that they do not wait for each other's prefill.
    """
    is_over = threading.Event()

    def keep_streaming(index: int) -> None:
        number = 0
        while not is_over.is_set():
            stream(f"background {index} {number}", TOKENS)
            number += 1

    threads = [
        threading.Thread(target=keep_streaming, args=(index,))
        for index in range(count - 1)
    ]
    for thread in threads:
        thread.start()
    time.sleep(WARM_UP_SECONDS)
    times = [stream(f"probe {i}", PROBE_TOKENS).first_token for i in range(PROBES)]
    is_over.set()
    for thread in threads:
        thread.join()
    return percentile(times, 0.5)


def measure_streams(fleet: Fleet, direct: Fleet, count: int) -> RelayResult:
    """Compare relayed streams with the same number of direct ones."""
    entry = fleet.process("entry-1").process_id
    sidecars = [fleet.process(f"sidecar-{n}").process_id for n in fleet.engines]
    relayed: list[StreamTimes] = []
    before = cpu_seconds(entry), sum(map(cpu_seconds, sidecars))
    started = time.perf_counter()
    for round_number in range(ROUNDS):
        relayed += together(
            count,
            lambda index, r=round_number: relayed_stream(fleet, f"{r} {index} {count}"),
        )
    seconds = time.perf_counter() - started
    cpu_entry = cpu_seconds(entry) - before[0]
    cpu_sidecars = sum(map(cpu_seconds, sidecars)) - before[1]
    tokens = ROUNDS * count * TOKENS
    turns = itertools.count()
    direct_median = probe_first_token(
        count,
        lambda label, n: direct_stream(
            direct,
            direct.engines[next(turns) % len(direct.engines)],
            f"{count} {label}",
            n,
        ),
    )
    relayed_median = probe_first_token(
        count, lambda label, n: relayed_stream(fleet, f"{count} {label}", n)
    )
    return RelayResult(
        streams=count,
        tokens_per_second=tokens / seconds,
        direct_first_token=direct_median,
        relayed_first_token=relayed_median,
        added_median=relayed_median - direct_median,
        entry_per_token=1e6 * cpu_entry / tokens,
        sidecars_per_token=1e6 * cpu_sidecars / tokens,
        entry_core_share=cpu_entry / seconds,
        worst_gap=max(gap for item in relayed for gap in item.gaps),
    )


def measure_upload(fleet: Fleet) -> UploadResult:
    """Look at a stream's gaps while another caller uploads a large prompt."""
    quiet = relayed_stream(fleet, "quiet").gaps
    prompt = "x" * UPLOAD_BYTES
    uploads = threading.Thread(
        target=lambda: [_upload(fleet, f"u{index} {prompt}") for index in range(3)]
    )
    uploads.start()
    loud = relayed_stream(fleet, "loud").gaps
    uploads.join()
    return UploadResult(
        gap_99_quiet=percentile(list(quiet), 0.99),
        gap_worst_quiet=max(quiet),
        gap_99_upload=percentile(list(loud), 0.99),
        gap_worst_upload=max(loud),
    )


def _upload(fleet: Fleet, prompt: str) -> None:
    """Upload a body of 5 MB that holds a long prompt."""
    host, port = fleet.caller_address("entry-1").rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=60)
    body = json.dumps({"model": MODEL, "prompt": prompt[:3_900_000], "max_tokens": 1})
    headers = {"Authorization": f"Bearer {workspace_key('logs')}"}
    connection.request("POST", "/v1/completions", body + " " * 1_100_000, headers)
    connection.getresponse().read()


def run_table() -> None:
    """Measure and print."""
    plan = FleetPlan(
        domains=("valpo-a",),
        engines_per_domain=4,
        services_per_domain=0,
        entry_domains=("valpo-a",),
        kv_tokens=4_000_000,
        prefill_rate=400_000.0,
        concurrency=256,
        cold_allowance=256,
    )
    fleet, direct = Fleet(plan=plan), Fleet(plan=plan)
    try:
        fleet.start()
        direct.start_stand_ins()
        click.echo(
            f"{'streams':>8}{'tokens/s':>10}{'direct ms':>11}{'relayed ms':>12}"
            f"{'added ms':>10}{'entry us/token':>16}{'sidecar us/token':>18}"
            f"{'entry core':>12}{'worst gap ms':>14}"
        )
        results = []
        for count in STREAM_COUNTS:
            result = measure_streams(fleet, direct, count)
            results.append(result)
            click.echo(
                f"{count:>8}{result.tokens_per_second:>10.0f}"
                f"{1e3 * result.direct_first_token:>11.1f}"
                f"{1e3 * result.relayed_first_token:>12.1f}"
                f"{1e3 * result.added_median:>10.1f}"
                f"{result.entry_per_token:>16.0f}{result.sidecars_per_token:>18.0f}"
                f"{result.entry_core_share:>12.2f}{1e3 * result.worst_gap:>14.1f}"
            )
        upload = measure_upload(fleet)
        click.echo(
            f"gaps of a stream, ms: quiet 99th {1e3 * upload.gap_99_quiet:.1f}, worst "
            f"{1e3 * upload.gap_worst_quiet:.1f}; during 5 MB uploads 99th "
            f"{1e3 * upload.gap_99_upload:.1f}, worst "
            f"{1e3 * upload.gap_worst_upload:.1f}"
        )
        for result in (*results, upload):
            click.echo(msgspec.json.encode(result).decode())
    finally:
        fleet.stop()
        direct.stop()
