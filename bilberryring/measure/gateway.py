"""The cost of a gateway: at rest, for each peer, request, event, plan and choice.

What gateways tell each other is measured in a simulated network, at the sizes that
need more processes than one machine runs.
"""

import os
import random
import time
from pathlib import Path

import click
import msgspec

from bilberryring.admission import EndpointStatements
from bilberryring.core import RequestId
from bilberryring.gateway.endpoint_choice import EndpointChooser
from bilberryring.gateway.messages import CallerMetadata
from bilberryring.membership import EndpointHealth
from bilberryring.routing import (
    Candidate,
    DecodeGroup,
    EndpointWork,
    PromptDemand,
    plan_prompt,
)
from bilberryring.standins.gateway_site import (
    MODEL_SERVICE,
    GatewaySite,
    make_configuration,
)
from bilberryring.standins.scripted_endpoint import (
    answer_all,
    chunk,
    event,
    stream_head,
)
from bilberryring.testing.peer_network import (
    SERVICE,
    PeerNetwork,
    make_settings,
    make_stream_route,
)
from bilberryring.testing.processes import pause
from bilberryring.testing.prompt_load import FIGURES

PEER_COUNTS = (1, 4, 8)
REST_SECONDS = 8.0
REQUESTS = 1_000
EVENTS = 4_000
ENDPOINT_COUNTS = (21, 69, 200)
PLANS = 100
FLEETS = ((3, 21), (25, 69), (68, 172), (400, 4_400))
"""Gateways and endpoints of the fleets for which choices and control are measured."""
CHOICES = 50
SETTLED_SECONDS = 4.0
CONTROL_SECONDS = 4.0
REQUESTS_PER_GATEWAY = 2.13
"""Requests a second of one gateway: 145 a second over 68."""
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
MICROSECONDS = 1_000_000.0


class GatewayResult(msgspec.Struct, frozen=True, kw_only=True):
    """One figure; CPU in microseconds, or as a share of a core."""

    what: str
    figure: float
    unit: str


def run_table() -> None:
    """Measure and print a line for each figure."""
    for gateways in PEER_COUNTS:
        share, memory = _rest(gateways)
        _print(f"at rest, {gateways - 1} peers", 100 * share, "% of a core")
        _print(f"resident memory, {gateways - 1} peers", memory, "MB")
    _print("one request of a plain service", _per_request(), "us of CPU")
    _print("one event of a stream", _per_event(), "us of CPU")
    for endpoints in ENDPOINT_COUNTS:
        for tokens in (4_000, 150_000):
            name = f"plan of {tokens} tokens over {endpoints} endpoints"
            _print(name, _per_plan(endpoints, tokens), "us of CPU")
    for gateways, endpoints in FLEETS:
        _measure_fleet(gateways, endpoints)


def _measure_fleet(gateways: int, endpoints: int) -> None:
    """Print what one gateway of a fleet spends on choices and on control."""
    fleet = f"{gateways} gateways, {endpoints} endpoints"
    network = PeerNetwork(gateways=gateways, endpoints=endpoints)
    network.advance(SETTLED_SECONDS)
    for load, per_gateway in (("at rest", 0.0), ("under load", REQUESTS_PER_GATEWAY)):
        network.place_requests(per_gateway * gateways, CONTROL_SECONDS)
        received = network.bytes_received
        before = time.process_time()
        network.advance(CONTROL_SECONDS)
        share = (time.process_time() - before) / CONTROL_SECONDS / gateways
        kilobytes = (network.bytes_received - received) / CONTROL_SECONDS / gateways
        _print(f"control {load}, {fleet}, without sockets", 100 * share, "% of a core")
        _print(f"control {load}, {fleet}, received", kilobytes / 1_000, "KB/s")
    for tokens in (4_000, 150_000):
        name = f"choice for {tokens} tokens, {fleet}"
        _print(name, _per_choice(network, tokens), "us of CPU")


def _per_choice(network: PeerNetwork, tokens: int) -> float:
    gateway = network.gateways[0]
    chooser = EndpointChooser(
        settings=make_settings(gateway.host, ()),
        slices=gateway.slices,
        tracker=gateway.tracker,
        peers=gateway.view,
        health=EndpointHealth(),
        statements=EndpointStatements(seed=1),
        seed=1,
    )
    route = make_stream_route()
    metadata = CallerMetadata(
        request_id=RequestId("r"),
        host=route.host,
        key=None,
        timeout=None,
        prompt_tokens=tokens,
        max_tokens=1_600,
        last_event_id="",
    )
    before = time.process_time()
    for number in range(CHOICES):
        chooser.choose(
            route=route,
            service=SERVICE,
            workspace=None,
            metadata=metadata,
            excluded=frozenset(),
            now=network.now + number / 1_000.0,
            seconds_left=15.0,
        )
    return (time.process_time() - before) * MICROSECONDS / CHOICES


def _print(what: str, figure: float, unit: str) -> None:
    result = GatewayResult(what=what, figure=round(figure, 3), unit=unit)
    click.echo(msgspec.json.encode(result).decode())


def _site(gateways: int, script, service: str) -> GatewaySite:
    site = GatewaySite(gateways=gateways).start()
    site.publish(make_configuration())
    site.add_endpoint("a", script, service=service)
    for number in range(1, gateways + 1):
        site.start_gateway(number)
    return site


def _cpu_seconds(site: GatewaySite) -> float:
    number = site.process("gateway-1").process_id
    fields = Path(f"/proc/{number}/stat").read_text("utf-8").rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def _rest(gateways: int) -> tuple[float, float]:
    site = _site(gateways, answer_all, "orders")
    try:
        pause(1.0)
        before = _cpu_seconds(site)
        pause(REST_SECONDS)
        used = _cpu_seconds(site) - before
        return used / REST_SECONDS, _resident_megabytes(site)
    finally:
        site.stop()


def _resident_megabytes(site: GatewaySite) -> float:
    number = site.process("gateway-1").process_id
    status = Path(f"/proc/{number}/status").read_text("utf-8")
    line = next(one for one in status.splitlines() if one.startswith("VmRSS"))
    return int(line.split()[1]) / 1_024


def _per_request() -> float:
    site = _site(1, answer_all, "orders")
    try:
        connection = site.connect()
        before = _cpu_seconds(site)
        for _ in range(REQUESTS):
            site.call("/look/", connection=connection)
        return (_cpu_seconds(site) - before) * MICROSECONDS / REQUESTS
    finally:
        site.stop()


def _per_event() -> float:
    def stream(request, connection):
        connection.sendall(stream_head(request.request_id))
        for number in range(EVENTS):
            connection.sendall(chunk(event(number)))
            time.sleep(0.0004)
        connection.sendall(chunk(b""))

    site = _site(1, stream, MODEL_SERVICE)
    try:
        before = _cpu_seconds(site)
        site.call("/chat/")
        return (_cpu_seconds(site) - before) * MICROSECONDS / EVENTS
    finally:
        site.stop()


def _per_plan(endpoints: int, tokens: int) -> float:
    draw = random.Random(1)
    candidates = []
    for number in range(endpoints):
        count = draw.randrange(5)
        group = DecodeGroup(gap_ms=250, count=count, value=1.5 * count)
        groups = (group,) if count else ()
        work = EndpointWork(
            requests=count,
            prefill_ms=draw.random() * 60,
            kv_tokens=count * 5_000,
            decode_groups=groups,
        )
        candidates.append(Candidate(endpoint=f"e{number}", work=work))
    demand = PromptDemand(
        prompt_tokens=tokens, max_tokens=1_600, first_ms=3_000.0, gap_ms=1_000.0
    )
    before = time.process_time()
    for _ in range(PLANS):
        plan_prompt(demand, FIGURES, candidates)
    return (time.process_time() - before) * MICROSECONDS / PLANS
