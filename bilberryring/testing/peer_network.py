"""Many gateways that report to each other over a simulated network.

Only what gateways tell each other is run: their reports, what they know of each other,
and which of them read the store. There are no callers, endpoints are names, and time
is simulated, so a minute of hundreds of gateways takes seconds.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from io import StringIO

from twisted.internet.error import TCPTimedOutError
from twisted.python.failure import Failure

from bilberryring.capacity import EndpointSpeeds
from bilberryring.core import Fingerprint, Incarnation
from bilberryring.fleet import (
    AnnouncedEndpoint,
    EndpointState,
    FleetConfiguration,
    FleetState,
    LossRules,
    RequestKind,
    Route,
    Service,
    ServiceShare,
)
from bilberryring.fleet.configuration import CallerLimits
from bilberryring.gateway.crash_record import CrashRecord
from bilberryring.gateway.endpoint_slices import EndpointSlices
from bilberryring.gateway.peer_view import EndpointDeath, PeerView
from bilberryring.gateway.peers import CopyFactory, PeerExchange
from bilberryring.gateway.published_copies import PublishedCopies
from bilberryring.gateway.settings import GatewaySettings
from bilberryring.gateway.store_readers import ReadingDuty, StoreAccess
from bilberryring.quarantine import CrashMemory
from bilberryring.routing import PlacedRequest, WorkTracker
from bilberryring.telemetry import EventLog
from bilberryring.testing.prompt_load import FIGURES
from bilberryring.testing.simulation_clock import SimulationClock

DELAY_SECONDS = 0.005
ARRIVAL_STEP_SECONDS = 0.01
HEADER_BYTES = 28
"""Bytes of the IP and UDP headers of a datagram."""
DOMAINS = 5
SERVICE = Service(
    name="model", max_connections=100, cold_requests_per_second=14.0, engine=FIGURES
)


@dataclass(slots=True, kw_only=True)
class SimulatedGateway:
    """One gateway on the network, with what it sent and received so far."""

    host: str
    view: PeerView
    slices: EndpointSlices
    tracker: WorkTracker
    duty: ReadingDuty
    exchange: PeerExchange
    crashes: CrashRecord
    speeds: EndpointSpeeds
    copies: PublishedCopies
    generator: random.Random
    bytes_sent: int = 0
    bytes_received: int = 0
    datagrams_received: int = 0
    is_down: bool = False
    takes_callers: bool = True
    muted: set[str] = field(default_factory=set)
    """Hosts of which no packet arrives, neither datagrams nor those of connections."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Disturbance:
    """The gateways that were cut off or frozen for a while, and those that are new."""

    recovering: tuple[SimulatedGateway, ...]
    started: tuple[SimulatedGateway, ...]


class _Transport:
    """Sends the datagrams of one gateway into the simulated network."""

    def __init__(self, *, network: "PeerNetwork", host: str):
        self._network = network
        self._host = host

    def write(self, datagram: bytes, address: tuple[str, int]) -> None:
        self._network.send(self._host, address[0], datagram)


class _LinkTransport:
    """One end of a simulated TCP connection between two gateways."""

    def __init__(self, *, clock: SimulationClock, is_passing: Callable[[], bool]):
        self._clock = clock
        self._is_passing = is_passing
        self._is_open = True
        self.peer = None

    def write(self, data: bytes) -> None:
        if self._is_passing():
            self._clock.callLater(DELAY_SECONDS, self._deliver, data)

    def abortConnection(self) -> None:
        self._is_open = False

    def loseConnection(self) -> None:
        self._is_open = False

    def getHandle(self):
        return self

    def setsockopt(self, level: int, option: int, value: int) -> None:
        pass

    def setTcpNoDelay(self, enabled: bool) -> None:
        pass

    def setTcpKeepAlive(self, enabled: bool) -> None:
        pass

    def _deliver(self, data: bytes) -> None:
        if self._is_open:
            self.peer.dataReceived(data)


class SimulatedReactor:
    """The clock of the network, with connections to the peers of one gateway."""

    def __init__(self, *, network: "PeerNetwork", host: str):
        self._network = network
        self._host = host

    def seconds(self) -> float:
        """Return the simulated time."""
        return self._network.clock.seconds()

    def callLater(self, delay, call, *args, **kwargs):
        """Call a function after some simulated time."""
        return self._network.clock.callLater(delay, call, *args, **kwargs)

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None) -> None:
        """Connect to the gateway on another host if packets pass in both directions."""
        clock, network = self._network.clock, self._network
        there = partial(network.is_passing, self._host, host)
        back = partial(network.is_passing, host, self._host)
        if not (there() and back()):
            failure = Failure(TCPTimedOutError())
            clock.callLater(timeout, factory.clientConnectionFailed, None, failure)
            return
        target = network.gateway(host)
        near = _LinkTransport(clock=clock, is_passing=there)
        far = _LinkTransport(clock=clock, is_passing=back)
        far.peer = factory.buildProtocol(None)
        near.peer = CopyFactory(copies=target.copies, clock=clock).buildProtocol(None)
        near.peer.makeConnection(far)
        far.peer.makeConnection(near)


class PeerNetwork:
    """Gateways before one service of engines; `loss` is the share of lost datagrams.

    The first gateway on each host starts as one of a new fleet.
    """

    def __init__(
        self,
        *,
        gateways: int,
        endpoints: int,
        seed: int = 1,
        loss: float = 0.0,
        prefixes: tuple[str, ...] = ("a/", "b/"),
        rules: LossRules | None = None,
        on_start: Callable[["SimulatedGateway"], None] = lambda gateway: None,
    ):
        self._prefixes = prefixes
        self._rules = rules
        self._on_start = on_start
        self._clock = SimulationClock()
        self._random = random.Random(seed)
        self._loss = loss
        self._fleet = make_fleet(endpoints)
        self._gateways: dict[str, SimulatedGateway] = {}
        self._n_starts = 0
        self._in_flight: list[tuple[str, SimulatedGateway, bytes]] = []
        self._hosts = [make_host(number) for number in range(gateways)]
        self._seeds = tuple(self._hosts[:3])
        for host in self._hosts:
            self._clock.callLater(self._random.uniform(0.0, 0.3), self._start, host)

    @property
    def clock(self) -> SimulationClock:
        """The simulated clock."""
        return self._clock

    @property
    def fleet(self) -> FleetState:
        """What is published, as all gateways know it."""
        return self._fleet

    @property
    def gateways(self) -> tuple[SimulatedGateway, ...]:
        """All gateways that were started, by the order of their start."""
        return tuple(self._gateways.values())

    @property
    def bytes_received(self) -> int:
        """Bytes that all gateways have received so far."""
        return sum(item.bytes_received for item in self.gateways)

    @property
    def now(self) -> float:
        """The simulated time in seconds."""
        return self._clock.seconds()

    def gateway(self, host: str) -> SimulatedGateway | None:
        """Return the gateway on a host, if it was started."""
        return self._gateways.get(host)

    def advance(self, seconds: float) -> None:
        """Let simulated time pass."""
        for _ in range(round(seconds / DELAY_SECONDS)):
            in_flight, self._in_flight = self._in_flight, []
            self._clock.advance(DELAY_SECONDS)
            for sender, target, datagram in in_flight:
                self._deliver(sender, target, datagram)

    def add(self, count: int) -> None:
        """Start further gateways, which know the first ones as seeds."""
        for number in range(len(self._hosts), len(self._hosts) + count):
            self._hosts.append(make_host(number))
            self._start(self._hosts[-1])

    def stop(self, gateway: SimulatedGateway) -> None:
        """End a gateway: it sends and receives nothing any more."""
        gateway.is_down = True

    def restart(self, gateway: SimulatedGateway, *, seconds: float) -> None:
        """End a gateway; another process starts on its host after some seconds."""
        gateway.is_down = True
        gateway.exchange.stop()
        self._clock.callLater(seconds, self._start, gateway.host)

    def disturb(self, *, seconds: float) -> "Disturbance":
        """Cut a tenth of the gateways off, freeze, stop and add as many each.

        Those that are cut off or frozen recover after `seconds`. None is stopped if
        there are only three.
        """
        count = max(1, len(self.gateways) // 10)
        cut_off, frozen, stopped = (
            self.gateways[start : start + count] for start in (0, count, 2 * count)
        )
        for gateway in (*cut_off, *frozen):
            gateway.is_down = True
            self._clock.callLater(seconds, setattr, gateway, "is_down", False)
        for gateway in frozen:
            gateway.takes_callers = False
            self._clock.callLater(seconds, setattr, gateway, "takes_callers", True)
        for gateway in stopped if len(self.gateways) > 3 else ():
            gateway.is_down = True
            gateway.takes_callers = False
        self.add(count)
        return Disturbance(
            recovering=(*cut_off, *frozen), started=self.gateways[-count:]
        )

    def choose_gateway(self) -> SimulatedGateway:
        """Return a random gateway that callers reach."""
        return self._random.choice(
            [item for item in self.gateways if item.takes_callers]
        )

    def call_at_rate(
        self, per_second: float, *, seconds: float, work, arguments: tuple = ()
    ) -> None:
        """Call a function at a mean rate for some simulated time.

        Few calls are pending at a time, because the clock sorts all that are.
        """
        if seconds <= 0.0:
            return
        for _ in range(int(per_second * ARRIVAL_STEP_SECONDS + self._random.random())):
            work(*arguments)
        self._clock.callLater(
            ARRIVAL_STEP_SECONDS,
            lambda: self.call_at_rate(
                per_second,
                seconds=seconds - ARRIVAL_STEP_SECONDS,
                work=work,
                arguments=arguments,
            ),
        )

    def end_reports(self) -> None:
        """End the periodic reports of all gateways; they still answer new ones."""
        for gateway in self.gateways:
            gateway.exchange.stop()

    def call_later(self, seconds: float, work, *arguments) -> None:
        """Call a function after some simulated time."""
        self._clock.callLater(seconds, work, *arguments)

    def place_requests(self, per_second: float, seconds: float) -> None:
        """Let requests arrive at all gateways together at a rate, for some time.

        Each one is in prefill for 0.1 s and in decode for 2 s.
        """
        for _ in range(round(per_second * seconds)):
            at = self._random.uniform(0.0, seconds)
            self._clock.callLater(at, self._place)

    def record_death(
        self, gateway: SimulatedGateway, death: str, fingerprint: str
    ) -> None:
        """Let a gateway see an endpoint crash while a request was running there."""
        gateway.crashes.record(
            EndpointDeath(death=death, fingerprints=(Fingerprint(fingerprint),))
        )

    def knows_death(self, gateway: SimulatedGateway, fingerprint: str) -> bool:
        """Return whether a gateway counts a crash against a request."""
        return gateway.crashes.crash_count(Fingerprint(fingerprint)) > 0

    def cut_one_way(
        self, senders: Iterable[SimulatedGateway], receivers: Iterable[SimulatedGateway]
    ) -> None:
        """Let no packet pass from some gateways to others; those back still do."""
        hosts = {item.host for item in senders}
        for receiver in receivers:
            receiver.muted |= hosts - {receiver.host}

    def mend(self) -> None:
        """Let packets pass between all gateways again."""
        for gateway in self.gateways:
            gateway.muted.clear()

    def is_passing(self, sender: str, receiver: str) -> bool:
        """Whether packets pass from one host to another."""
        source, target = self._gateways.get(sender), self._gateways.get(receiver)
        if source is None or target is None or source.is_down or target.is_down:
            return False
        return sender not in target.muted

    def send(self, sender: str, receiver: str, datagram: bytes) -> None:
        """Deliver a datagram after the delay, unless it is lost."""
        source, target = self._gateways[sender], self._gateways.get(receiver)
        if source.is_down:
            return
        source.bytes_sent += len(datagram) + HEADER_BYTES
        if target is None or sender in target.muted or self._is_lost():
            return
        self._in_flight.append((sender, target, datagram))

    def _is_lost(self) -> bool:
        return self._random.random() < self._loss

    def _deliver(self, sender: str, target: SimulatedGateway, datagram: bytes) -> None:
        if target.is_down:
            return
        target.bytes_received += len(datagram) + HEADER_BYTES
        target.datagrams_received += 1
        target.exchange.datagramReceived(datagram, (sender, 1))

    def _place(self) -> None:
        gateway = self._random.choice(self.gateways)
        if gateway.is_down:
            return
        lead = self._random.choice(gateway.slices.endpoints(SERVICE)).id
        request = PlacedRequest(lead=lead, part_ms=30.0, kv_tokens=6_000, gap_ms=300)
        gateway.tracker.place(request, now=self.now)
        gateway.exchange.report_change()
        self._clock.callLater(0.1, self._change, gateway, "mark_prefilled", request)
        self._clock.callLater(2.1, self._change, gateway, "remove", request)

    def _change(self, gateway: SimulatedGateway, change: str, request) -> None:
        getattr(gateway.tracker, change)(request, now=self.now)
        gateway.exchange.report_change()

    def _start(self, host: str) -> None:
        self._n_starts += 1
        settings = make_settings(host, self._seeds)
        generator = random.Random(self._random.randrange(2**32))
        view = PeerView(
            own_host=host, seed_hosts=settings.seed_hosts, generator=generator
        )
        slices = EndpointSlices(
            clock=self._clock,
            settings=settings,
            fleet=self._fleet,
            peers=view,
        )
        tracker = WorkTracker()
        duty = ReadingDuty(
            clock=self._clock,
            own_host=host,
            is_alone=False,
            peers=lambda: view.store_access(now=self._clock.seconds()),
        )
        duty.record(StoreAccess.WORKING)
        memory = CrashMemory(now=self.now)
        if host not in self._gateways:
            memory.record_first_start()
        crashes = CrashRecord(
            clock=self._clock, memory=memory, seed=generator.randrange(2**32)
        )
        speeds = EndpointSpeeds(seed=self._n_starts)
        copies = PublishedCopies(
            prefixes=self._prefixes, clock=self._clock, rules=self._rules
        )
        exchange = PeerExchange(
            reactor=SimulatedReactor(network=self, host=host),
            settings=settings,
            incarnation=Incarnation(f"{self._n_starts:08}"),
            view=view,
            slices=slices,
            tracker=tracker,
            copies=copies,
            crashes=crashes,
            duty=duty,
            speeds=speeds,
            log=EventLog(process=host, role="gateway", stream=StringIO()),
            generator=generator,
        )
        exchange.transport = _Transport(network=self, host=host)
        self._gateways[host] = SimulatedGateway(
            host=host,
            view=view,
            slices=slices,
            tracker=tracker,
            duty=duty,
            exchange=exchange,
            crashes=crashes,
            speeds=speeds,
            copies=copies,
            generator=generator,
        )
        exchange.start_reports()
        self._on_start(self._gateways[host])


def make_host(number: int) -> str:
    return f"10.{number % DOMAINS}.{number // 250}.{number % 250 + 1}"


def make_settings(host: str, seeds: tuple[str, ...]) -> GatewaySettings:
    return GatewaySettings(
        process=host,
        failure_domain=f"d{host.split('.')[1]}",
        host=host,
        caller_address=f"{host}:1",
        ready_address=f"{host}:2",
        peer_port=1,
        metrics_port=4,
        platform_address="10.99.0.1:5",
        seed_hosts=seeds,
    )


def make_stream_route() -> Route:
    """Return a route to the service, with the objectives of long prompts."""
    return Route(
        name="r",
        host="site.example",
        prefix="/",
        kind=RequestKind.STREAMING,
        shares=(ServiceShare(service=SERVICE.name, weight=1.0),),
        timeout=15.0,
        first_answer_objective=4.0,
        gap_objective=1.2,
        max_endpoints=2,
        may_resume=True,
        is_anonymous_allowed=True,
        priority=0,
    )


def make_fleet(endpoints: int) -> FleetState:
    fleet = FleetState()
    fleet.put_in_force(
        FleetConfiguration(
            version=1,
            routes=(),
            services={SERVICE.name: SERVICE},
            workspaces_by_key={},
            has_workspaces=False,
            limits=CallerLimits(),
        )
    )
    for number in range(endpoints):
        fleet.endpoints.announce(
            AnnouncedEndpoint(
                id=f"i-{number:08x}",
                service=SERVICE.name,
                address=f"10.9.{number // 250}.{number % 250}:1",
                failure_domain=f"d{number % DOMAINS}",
                slots=5,
                state=EndpointState.READY,
            )
        )
    return fleet
