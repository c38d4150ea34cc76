"""Streams of many gateways from endpoints that fall silent for a while or for good.

The gateways forward requests as running ones do. Of their work they report the long
prompts that a test lets them place, but not the requests of callers. Only the
connections are simulated: an endpoint writes events at a fixed pace, and what it would
write while it is silent comes afterwards.
"""

import math
import random
from dataclasses import dataclass, field, replace
from io import StringIO

from twisted.internet.defer import Deferred

from bilberryring.admission import EndpointStatements
from bilberryring.core import Delivery
from bilberryring.execution import Close, Framing
from bilberryring.fleet import (
    MS_PER_SECOND,
    FleetConfiguration,
    FleetState,
    Route,
)
from bilberryring.fleet.configuration import CallerLimits
from bilberryring.gateway.attempts import AttemptRunner
from bilberryring.gateway.capacity_samples import CapacitySamples
from bilberryring.gateway.connection_pool import ConnectionPool
from bilberryring.gateway.counters import GatewayCounters
from bilberryring.gateway.endpoint_choice import EndpointChooser
from bilberryring.gateway.endpoint_connection import EndpointResponse
from bilberryring.gateway.forwarding import Forwarder
from bilberryring.gateway.messages import (
    CallerRequest,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from bilberryring.gateway.repeat_rules import RetryPolicy
from bilberryring.gateway.request_gate import RequestGate
from bilberryring.gateway.request_log import RequestLog
from bilberryring.gateway.settings import GatewayBounds
from bilberryring.gateway.statement_recorder import StatementRecorder
from bilberryring.membership import EndpointHealth
from bilberryring.platform import names
from bilberryring.platform.adapter import HttpHeaderCodec
from bilberryring.routing import PlacedRequest
from bilberryring.standins.gateway_site import HOST_NAME
from bilberryring.telemetry import EventLog, Metrics
from bilberryring.testing.peer_network import (
    SERVICE,
    PeerNetwork,
    SimulatedGateway,
    make_settings,
    make_stream_route,
)
from bilberryring.testing.simulation_clock import SimulationClock

N_EVENTS = 20
EVENT_SECONDS = 0.05
PROMPT_TOKENS = 5_000
CALLER_SECONDS = 10.0
STAMP = (names.RESPONSE_STAMP, b"s-1")


@dataclass(frozen=True, slots=True, kw_only=True)
class Silence:
    """An endpoint writes nothing from `start` until `end`, in simulated seconds."""

    start: float
    end: float = math.inf


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamShape:
    """The length of a prompt in tokens and the number of events of its answer."""

    prompt_tokens: int = PROMPT_TOKENS
    events: int = N_EVENTS
    tokens_per_event: int = 1


@dataclass(slots=True, kw_only=True)
class StreamTimes:
    """When a request was sent, its time to the first event, and its longest gap.

    All are in seconds, and infinite for what did not come.
    """

    sent_at: float
    request_id: str
    first: float = math.inf
    longest_gap: float = 0.0
    is_whole: bool = False


@dataclass(slots=True, kw_only=True)
class StreamOutcomes:
    """What callers got, and what reached the endpoints.

    `sends` are the addresses that each request reached. `first_seconds` are the times
    until the first event, and `streams` those of all requests that have ended.
    """

    delivered: list[Delivery] = field(default_factory=list)
    is_right: list[bool] = field(default_factory=list)
    first_seconds: list[float] = field(default_factory=list)
    streams: list["StreamTimes"] = field(default_factory=list)
    sends: dict[str, list[str]] = field(default_factory=dict)

    @property
    def repeats(self) -> int:
        """The sends beyond the first of each request."""
        return sum(len(addresses) - 1 for addresses in self.sends.values())

    @property
    def whole(self) -> int:
        """The number of callers that got each event once and the end."""
        return sum(
            what is Delivery.WHOLE and is_right
            for what, is_right in zip(self.delivered, self.is_right, strict=True)
        )


class _Connection:
    """A connection to a simulated endpoint that carries one stream."""

    is_reused = False

    def __init__(self, *, fleet: "SilentFleet", address: str):
        self._fleet = fleet
        self._address = address
        self._response: EndpointResponse | None = None
        self.transport = None

    def send(self, *, headers, request_id, **request) -> EndpointResponse:
        self._response = EndpointResponse(connection=self, reactor=self._fleet.clock)
        fields = {name.lower(): value for name, value in headers}
        self._fleet.record_send(self._address, request_id)
        first = int(fields.get(b"last-event-id") or 0) + 1
        head = ResponseHead(
            status=200,
            reason=b"OK",
            headers=((names.REQUEST_ID, request_id.encode()), STAMP),
            framing=Framing.CHUNKS,
        )
        self._write_at(self._fleet.clock.seconds() + EVENT_SECONDS, head, first)
        return self._response

    def abort(self) -> None:
        self._response = None

    def forbid_reuse(self) -> None:
        pass

    def _write_at(self, at: float, event, number: int) -> None:
        at = self._fleet.end_of_silence(self._address, at)
        if math.isfinite(at):
            delay = at - self._fleet.clock.seconds()
            self._fleet.clock.callLater(delay, self._write, event, number)

    def _write(self, event, number: int) -> None:
        now = self._fleet.clock.seconds()
        if self._response is None:
            return
        if self._fleet.end_of_silence(self._address, now) > now:
            self._write_at(now, event, number)
            return
        self._response.add(event)
        if self._response is None or isinstance(event, ResponseEnd):
            return
        following = ResponseData(b"id: %d\ndata: piece %d\n\n" % (number, number))
        if number > N_EVENTS:
            following = ResponseEnd(framing=Framing.CHUNKS, close=Close.AT_END)
        self._write_at(now + EVENT_SECONDS, following, number + 1)


class _Pool(ConnectionPool):
    """Opens simulated connections at once."""

    def __init__(self, *, fleet: "SilentFleet"):
        self._fleet = fleet

    async def acquire(self, address: str, **options) -> _Connection:
        return self._fleet.connect(address)

    async def connection_failure(self, address: str, **options) -> None:
        return None

    def release(self, connection: _Connection) -> None:
        pass


class _Exchange:
    """A caller's request for a stream, and what it got of it."""

    held_back_until = 0.0

    def __init__(self, *, fleet: "SilentFleet", request_id: str, shape: StreamShape):
        self._fleet = fleet
        self._shape = shape
        self._request_id = request_id
        self._sent_at = self._last_at = fleet.clock.seconds()
        self._times = StreamTimes(sent_at=self._sent_at, request_id=request_id)
        self._body = b""
        self._is_aborted = False
        self._is_finished = False
        self._status = 0

    @property
    def is_closed(self) -> bool:
        return self._is_aborted or self._is_finished

    @property
    def has_started(self) -> bool:
        return bool(self._body)

    @property
    def delivery(self) -> Delivery:
        if self._is_finished:
            return Delivery.WHOLE
        return Delivery.CUT if self._body else Delivery.NOTHING

    def read_request(self) -> CallerRequest:
        max_tokens = self._shape.events * self._shape.tokens_per_event
        headers = {
            b"Host": HOST_NAME,
            names.REQUEST_ID: self._request_id,
            names.DEADLINE_MS: str(int(CALLER_SECONDS * 1_000)),
            names.TOKEN_USAGE: f"{self._shape.prompt_tokens},{max_tokens}",
        }
        return CallerRequest(
            method=b"POST",
            target=b"/",
            headers=tuple((k, v.encode()) for k, v in headers.items()),
            body=self._request_id.encode(),
            received_at=self._sent_at,
        )

    def notifyFinish(self) -> Deferred:
        return Deferred()

    def start(self, status: int, reason: bytes, headers) -> None:
        self._status = status

    def write(self, data: bytes) -> None:
        now = self._fleet.clock.seconds()
        if not self._body:
            self._times.first = now - self._sent_at
            self._fleet.outcomes.first_seconds.append(self._times.first)
        else:
            gap = now - self._last_at
            self._times.longest_gap = max(self._times.longest_gap, gap)
        self._last_at = now
        self._body += data

    def end(self) -> None:
        self._is_finished = True
        self._record()

    def abort(self) -> None:
        self._is_aborted = True
        self._record()

    leave_incomplete = abort

    def apply_backpressure(self, source) -> None:
        pass

    def _record(self) -> None:
        expected = b"".join(
            b"id: %d\ndata: piece %d\n\n" % (number, number)
            for number in range(1, self._shape.events + 1)
        )
        self._times.is_whole = self._is_finished
        self._fleet.outcomes.streams.append(self._times)
        self._fleet.outcomes.delivered.append(self.delivery)
        self._fleet.outcomes.is_right.append(
            self._status == 200 and self._body == expected
        )


class SilentFleet:
    """Gateways before one service whose endpoints may fall silent.

    `retry_slack` is the fixed number of retries that all gateways together may make.
    With `learns_capacity` they follow the learned speed of the endpoints.
    """

    def __init__(
        self,
        *,
        network: PeerNetwork,
        seed: int,
        retry_slack: float,
        learns_capacity: bool = True,
    ):
        self._network = network
        self._learns_capacity = learns_capacity
        self._random = random.Random(seed)
        self._bounds = replace(GatewayBounds(), retry_slack=retry_slack)
        self._fleet = _with_route(network)
        self._forwarders: dict[str, Forwarder] = {}
        self._silences: dict[str, Silence] = {}
        self._n_requests = 0
        self.outcomes = StreamOutcomes()
        self.counters = GatewayCounters(metrics=Metrics())

    @property
    def clock(self) -> SimulationClock:
        """The simulated clock."""
        return self._network.clock

    @property
    def n_requests(self) -> int:
        """The number of requests that have arrived."""
        return self._n_requests

    def silence(self, share: float, *, seconds: float) -> None:
        """Let a random share of the endpoints write nothing for some time from now."""
        now = self.clock.seconds()
        endpoints = sorted(item.address for item in self._fleet.endpoints.all)
        chosen = self._random.sample(endpoints, round(share * len(endpoints)))
        for address in chosen:
            self._silences[address] = Silence(start=now, end=now + seconds)

    def prefill(self, share: float, *, seconds: float, silent_seconds: float) -> None:
        """Let a random share of the endpoints prefill a long prompt from now.

        Each is expected to take `seconds` and writes nothing for `silent_seconds`. A
        random gateway that uses the endpoint has placed the prompt there and reports
        it.
        """
        self.silence(share, seconds=silent_seconds)
        for endpoint in self._fleet.endpoints.all:
            silence = self._silences.get(endpoint.address)
            if silence is None or silence.start < self.clock.seconds():
                continue
            users = [
                gateway
                for gateway in self._network.gateways
                if endpoint in gateway.slices.endpoints(SERVICE)
            ]
            if not users:
                continue
            gateway = self._random.choice(users)
            prompt = PlacedRequest(lead=endpoint.id, part_ms=seconds * MS_PER_SECOND)
            gateway.tracker.place(prompt, now=self.clock.seconds())
            gateway.exchange.report_change(is_urgent=True)
            self.clock.callLater(seconds, self._end_prefill, gateway, prompt)

    def _end_prefill(self, gateway: SimulatedGateway, prompt: PlacedRequest) -> None:
        gateway.tracker.remove(prompt, now=self.clock.seconds())
        gateway.exchange.report_change()

    def end_of_silence(self, address: str, at: float) -> float:
        """Return when an endpoint writes what is due at a time."""
        silence = self._silences.get(address)
        if silence is None or not silence.start <= at < silence.end:
            return at
        return silence.end

    def connect(self, address: str):
        """Return a new connection to an endpoint."""
        return _Connection(fleet=self, address=address)

    def next_shape(self, request_id: str) -> StreamShape:
        """Return the lengths of a new request."""
        return StreamShape()

    def report_work(self, gateway: SimulatedGateway, *, is_urgent: bool) -> None:
        """Let a gateway tell the others that its callers' requests have changed."""

    def record_send(self, address: str, request_id: str) -> None:
        """Count a request that reaches an endpoint."""
        self.outcomes.sends.setdefault(request_id, []).append(address)

    def hopeless(self) -> int:
        """Return how many requests reached no endpoint but those silent by now."""
        now = self.clock.seconds()
        return sum(
            all(self.end_of_silence(address, now) > now for address in addresses)
            for addresses in self.outcomes.sends.values()
        )

    def arrive(self, *, per_second: float, seconds: float) -> None:
        """Let requests arrive at random gateways for some time."""
        self._network.call_at_rate(per_second, seconds=seconds, work=self._arrive)

    def _arrive(self) -> None:
        gateway = self._network.choose_gateway()
        self._n_requests += 1
        request_id = f"r{self._n_requests}"
        exchange = _Exchange(
            fleet=self, request_id=request_id, shape=self.next_shape(request_id)
        )
        self._forwarder(gateway).accept(exchange)

    def _forwarder(self, gateway: SimulatedGateway) -> Forwarder:
        if gateway.host not in self._forwarders:
            self._forwarders[gateway.host] = self._make_forwarder(gateway)
        return self._forwarders[gateway.host]

    def _make_forwarder(self, gateway: SimulatedGateway) -> Forwarder:
        clock = self.clock
        settings = replace(make_settings(gateway.host, ()), bounds=self._bounds)
        event_log = EventLog(process=gateway.host, role="gateway", stream=StringIO())
        statements = EndpointStatements(seed=self._random.randrange(2**32))
        health = EndpointHealth()
        chooser = EndpointChooser(
            settings=settings,
            slices=gateway.slices,
            tracker=gateway.tracker,
            peers=gateway.view,
            health=health,
            statements=statements,
            speeds=gateway.speeds,
            seed=self._random.randrange(2**32),
        )
        samples = CapacitySamples(
            clock=clock,
            chooser=chooser,
            speeds=gateway.speeds,
            is_on=self._learns_capacity,
        )
        log = RequestLog(
            clock=clock,
            log=event_log,
            counters=self.counters,
            observe_first_response=lambda route, workspace, seconds: None,
        )
        recorder = StatementRecorder(
            clock=clock, statements=statements, chooser=chooser, log=event_log
        )
        retry_policy = RetryPolicy(
            clock=clock, bounds=self._bounds, peers=gateway.view, seed=1
        )
        pool = _Pool(fleet=self)
        codec = HttpHeaderCodec()
        attempts = AttemptRunner(
            reactor=clock,
            codec=codec,
            fleet=self._fleet,
            chooser=chooser,
            pool=pool,
            tracker=gateway.tracker,
            health=health,
            reservations=None,
            crashes=gateway.crashes,
            retry_policy=retry_policy,
            statements=recorder,
            log=log,
            on_work_changed=lambda *, is_urgent=False: self.report_work(
                gateway, is_urgent=is_urgent
            ),
            samples=samples,
        )
        return Forwarder(
            reactor=clock,
            codec=codec,
            gate=RequestGate(fleet=self._fleet, crashes=gateway.crashes),
            retry_policy=retry_policy,
            chooser=chooser,
            attempts=attempts,
            pool=pool,
            health=health,
            crashes=gateway.crashes,
            statements=recorder,
            log=log,
        )


def make_chat_route() -> Route:
    """Return a route with the objectives of short prompts."""
    return replace(
        make_stream_route(),
        host=HOST_NAME,
        timeout=CALLER_SECONDS,
        first_answer_objective=0.3,
        gap_objective=0.25,
    )


def _with_route(network: PeerNetwork) -> FleetState:
    """Put a configuration with a route in force at all gateways of the network."""
    fleet = network.fleet
    fleet.put_in_force(
        FleetConfiguration(
            version=2,
            routes=(make_chat_route(),),
            services={SERVICE.name: replace(SERVICE, cold_requests_per_second=0.0)},
            workspaces_by_key={},
            has_workspaces=False,
            limits=CallerLimits(),
        )
    )
    return fleet
