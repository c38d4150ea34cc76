"""A burst of prompts at many gateways before sound engines with few slots.

The gateways forward requests and report them to each other as running ones do. The
engines work in passes and run at most `slots` requests at once; others wait there
without limit, in the order of their arrival. Memory and preemption are not simulated.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from bilberryring.execution import Close, Framing
from bilberryring.gateway.endpoint_connection import EndpointResponse
from bilberryring.gateway.messages import ResponseData, ResponseEnd, ResponseHead
from bilberryring.platform import names
from bilberryring.standins.pass_engine import PassEngine, ReadPart, SimulatedStream
from bilberryring.testing.peer_network import PeerNetwork, SimulatedGateway
from bilberryring.testing.prompt_load import FIGURES
from bilberryring.testing.silent_fleet import (
    CALLER_SECONDS,
    STAMP,
    SilentFleet,
    StreamShape,
)

MEDIAN_PROMPT_TOKENS = 5_000
PROMPT_SIGMA = 0.8
"""Standard deviation of the logarithm of the prompt lengths."""
MAX_PROMPT_TOKENS = 60_000
MEAN_EVENTS = FIGURES.usual_answer_tokens / FIGURES.stride
"""Mean number of events of the answers, whose numbers are exponential."""
MAX_EVENTS = 100
USUAL_RATE = 2.0
"""Requests per second and endpoint before and after the burst. The endpoints can
answer about 4."""
BURST_RATE = 7.0
BURST_SECONDS = 2.0
USUAL_SECONDS = 3.0
RETRY_SLACK_PER_GATEWAY = 4.0


@dataclass(frozen=True, slots=True, kw_only=True)
class BurstResult:
    """What a burst cost.

    `reread_tokens` are prompt tokens of second attempts, and `whole` the requests
    whose callers got each event once.
    """

    gateways: int
    endpoints: int
    requests: int
    whole: int
    silent_attempts: int
    second_attempts: int
    reread_tokens: int


def play_burst(
    *, gateways: int, endpoints: int, seed: int = 1, dead: int = 0
) -> BurstResult:
    """Let a burst of requests arrive, and return what it cost.

    Of the endpoints `dead` write nothing any more from the middle of the burst on.
    """
    network = PeerNetwork(gateways=gateways, endpoints=endpoints, seed=seed)
    slack = RETRY_SLACK_PER_GATEWAY * gateways
    network.advance(2.0)
    fleet = BurstFleet(network=network, seed=seed, retry_slack=slack)
    network.advance(3.0)
    for rate, seconds in (
        (USUAL_RATE, USUAL_SECONDS),
        (BURST_RATE, BURST_SECONDS),
        (USUAL_RATE, USUAL_SECONDS),
    ):
        if rate == BURST_RATE:
            network.call_later(seconds / 2, fleet.stop_engines, dead)
        fleet.arrive(per_second=rate * endpoints, seconds=seconds)
        network.advance(seconds)
    network.advance(CALLER_SECONDS + 0.5)
    return BurstResult(
        gateways=gateways,
        endpoints=endpoints,
        requests=fleet.n_requests,
        whole=fleet.outcomes.whole,
        silent_attempts=fleet.counters.silent_attempts,
        second_attempts=fleet.outcomes.repeats,
        reread_tokens=fleet.counters.reread_tokens,
    )


@dataclass(slots=True, kw_only=True, eq=False)
class _Job:
    """One send of a request to an engine and its helpers."""

    shape: StreamShape
    first_event: int
    helpers: tuple["_SlotEngine", ...]
    write: Callable[[int], None]
    parts_left: int = 0
    is_aborted: bool = False
    parts: list[ReadPart] = field(default_factory=list)
    stream: SimulatedStream | None = None
    next_event: int = 0


class _SlotEngine:
    """An engine that runs few requests at once and lets the others wait."""

    def __init__(self, *, clock):
        self._passes = PassEngine(clock=clock, figures=FIGURES)
        self._n_running = 0
        self._knee: tuple[int, float] | None = None
        self._is_dead = False
        self._waiting: deque[_Job] = deque()

    def add(self, job: _Job) -> None:
        """Begin with a request, or let it wait for a slot."""
        self._waiting.append(job)
        self._begin_next()

    def slow_down(self, slowdown: float) -> None:
        """Let the passes that begin from now on take as many times as long."""
        self._passes.slowdown = slowdown

    def slow_down_beyond(self, requests: int, slowdown: float) -> None:
        """Let passes take longer while more requests than that run."""
        self._knee = requests, slowdown

    def stop(self) -> None:
        """Write nothing any more; connections stay open."""
        self._is_dead = True

    def drop(self, job: _Job) -> None:
        """End a request whose connection closed, with the pass at the latest."""
        job.is_aborted = True
        if job in self._waiting:
            self._waiting.remove(job)
        for part in job.parts:
            part.tokens_left = 0.0
        if job.stream is not None:
            job.stream.events_left = 1

    def read(self, part: ReadPart) -> None:
        """Read a part of a prompt."""
        self._passes.read(part)

    def _begin_next(self) -> None:
        if self._is_dead or not self._waiting or self._n_running >= FIGURES.slots:
            return
        self._n_running += 1
        self._apply_knee()
        job = self._waiting.popleft()
        tokens = job.shape.prompt_tokens
        job.parts_left = 1 + len(job.helpers)
        for engine in (self, *job.helpers):
            part = ReadPart(
                tokens_left=tokens / (1 + len(job.helpers)),
                ms_per_token=FIGURES.prefill_ms(tokens) / tokens,
                is_for_other=engine is not self,
                on_read=lambda: self._end_part(job),
            )
            job.parts.append(part)
            engine.read(part)

    def _end_part(self, job: _Job) -> None:
        job.parts_left -= 1
        if job.parts_left:
            return
        if job.is_aborted:
            self._end()
            return
        job.next_event = job.first_event
        job.stream = SimulatedStream(
            context_tokens=job.shape.prompt_tokens,
            events_left=max(1, job.shape.events - job.first_event + 1),
            on_event=lambda: self._write_event(job),
            on_end=self._end,
        )
        self._passes.write(job.stream)

    def _write_event(self, job: _Job) -> None:
        if not job.is_aborted and not self._is_dead:
            job.write(job.next_event)
            job.next_event += 1

    def _apply_knee(self) -> None:
        if self._knee is not None:
            requests, slowdown = self._knee
            self.slow_down(slowdown if self._n_running > requests else 1.0)

    def _end(self) -> None:
        self._n_running -= 1
        self._apply_knee()
        self._begin_next()


class _Connection:
    """A connection to a simulated engine that carries one stream."""

    is_reused = False

    def __init__(self, *, fleet: "BurstFleet", address: str):
        self._fleet = fleet
        self._address = address
        self._job: _Job | None = None
        self._response: EndpointResponse | None = None
        self.transport = None

    def send(self, *, headers, request_id, **request) -> EndpointResponse:
        self._response = EndpointResponse(connection=self, reactor=self._fleet.clock)
        self._fleet.record_send(self._address, request_id)
        fields = {name.lower(): value for name, value in headers}
        helpers = fields.get(b"bilberryring-helpers", b"").decode()
        first = int(fields.get(b"last-event-id") or 0) + 1
        shape = self._fleet.shape(request_id)

        def write(number: int) -> None:
            if number == first:
                self._response.add(_head(request_id))
            data = b"id: %d\ndata: piece %d\n\n" % (number, number)
            self._response.add(ResponseData(data))
            if number == shape.events:
                self._response.add(
                    ResponseEnd(framing=Framing.CHUNKS, close=Close.AT_END)
                )

        self._job = _Job(
            shape=shape,
            first_event=first,
            helpers=tuple(
                self._fleet.engine(name) for name in helpers.split(",") if name
            ),
            write=write,
        )
        self._fleet.engine(self._address).add(self._job)
        return self._response

    def abort(self) -> None:
        self._fleet.engine(self._address).drop(self._job)

    def forbid_reuse(self) -> None:
        pass


class BurstFleet(SilentFleet):
    """Gateways before sound engines, which report their callers' requests."""

    def __init__(self, *, network: PeerNetwork, seed: int, **options):
        super().__init__(network=network, seed=seed, **options)
        self._lengths = random.Random(seed)
        self._engines: dict[str, _SlotEngine] = {}
        self._shapes: dict[str, StreamShape] = {}

    def engine(self, address: str) -> _SlotEngine:
        """Return the engine at an address."""
        if address not in self._engines:
            self._engines[address] = _SlotEngine(clock=self.clock)
        return self._engines[address]

    def stop_engines(self, count: int) -> None:
        """Let some of the engines that have got requests write nothing any more."""
        for address in sorted(self._engines)[:count]:
            self._engines[address].stop()

    def shape(self, request_id: str) -> StreamShape:
        """Return the lengths of a request."""
        return self._shapes[request_id]

    def connect(self, address: str) -> _Connection:
        return _Connection(fleet=self, address=address)

    def next_shape(self, request_id: str) -> StreamShape:
        tokens = self._lengths.lognormvariate(0.0, PROMPT_SIGMA) * MEDIAN_PROMPT_TOKENS
        events = 1 + int(self._lengths.expovariate(1.0 / (MEAN_EVENTS - 1.0)))
        shape = StreamShape(
            prompt_tokens=int(min(tokens, MAX_PROMPT_TOKENS)),
            events=min(events, MAX_EVENTS),
            tokens_per_event=FIGURES.stride,
        )
        self._shapes[request_id] = shape
        return shape

    def report_work(self, gateway: SimulatedGateway, *, is_urgent: bool) -> None:
        gateway.exchange.report_change(is_urgent=is_urgent)


def _head(request_id: str) -> ResponseHead:
    return ResponseHead(
        status=200,
        reason=b"OK",
        headers=((names.REQUEST_ID, request_id.encode()), STAMP),
        framing=Framing.CHUNKS,
    )
