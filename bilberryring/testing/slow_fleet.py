"""Short streams of many gateways from engines of which some are slow.

The engines work in passes as those of `burst_fleet`. A third of them is slow for good,
or a fifth is much slower for some seconds.
"""

import random
from dataclasses import dataclass

from bilberryring.testing.burst_fleet import BurstFleet
from bilberryring.testing.peer_network import PeerNetwork
from bilberryring.testing.silent_fleet import CALLER_SECONDS, StreamShape

FIRST_SECONDS = 0.3
GAP_SECONDS = 0.25
"""The objectives of the route."""
RETRY_SLACK_PER_GATEWAY = 4.0
SETTLE_SECONDS = 3.0
AFTER_SECONDS = 6.0
ENDPOINTS_PER_GATEWAY = {3: 18, 25: 69, 68: 172}
"""Numbers of endpoints for the numbers of gateways that are simulated."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Slowdown:
    """A share of the engines takes `factor` times as long for some seconds.

    With `beyond` they do so only, and to the end, while more requests than that run.
    """

    share: float
    factor: float
    seconds: float
    beyond: int | None = None


THIRD = Slowdown(share=1 / 3, factor=3.0, seconds=9.0)
FIFTH = Slowdown(share=1 / 5, factor=8.0, seconds=9.0)
KNEE = Slowdown(share=1 / 2, factor=4.0, seconds=20.0, beyond=4)


@dataclass(frozen=True, slots=True, kw_only=True)
class SlowResult:
    """What callers got while engines were slow, and after that.

    `on_time` and `on_time_after` are shares of the streams whose first event and all
    others were on time, of those sent in the slow time and in `AFTER_SECONDS` from its
    end. `sends_by_second` are the shares of the sends that went to slow engines in each
    second from the beginning of the slow time.
    """

    requests: int
    on_time: float
    on_time_after: float
    sends_by_second: tuple[float, ...]
    control_bytes: float


class SlowFleet(BurstFleet):
    """Gateways before engines whose speed a test sets."""

    def __init__(self, *, network: PeerNetwork, seed: int, **options):
        super().__init__(network=network, seed=seed, **options)
        self._generator = random.Random(seed)
        self._sent_to: list[tuple[float, str]] = []

    @property
    def sent_to(self) -> list[tuple[float, str]]:
        """The times and addresses of all sends."""
        return self._sent_to

    def draw(self, share: float) -> tuple[str, ...]:
        """Return the addresses of a random share of the engines."""
        addresses = sorted(item.address for item in self._fleet.endpoints.all)
        return tuple(self._generator.sample(addresses, round(share * len(addresses))))

    def slow_down_beyond(
        self, addresses: tuple[str, ...], requests: int, factor: float
    ) -> None:
        """Let engines take as many times as long while more requests run."""
        for address in addresses:
            self.engine(address).slow_down_beyond(requests, factor)

    def slow_down(self, addresses: tuple[str, ...], factor: float) -> None:
        """Let engines take `factor` times as long from now on."""
        for address in addresses:
            self.engine(address).slow_down(factor)

    def record_send(self, address: str, request_id: str) -> None:
        super().record_send(address, request_id)
        self._sent_to.append((self.clock.seconds(), address))

    def next_shape(self, request_id: str) -> StreamShape:
        tokens = min(20_000, int(self._lengths.lognormvariate(0.0, 0.6) * 4_000))
        events = 4 + int(self._lengths.expovariate(1.0 / 28.0))
        shape = StreamShape(
            prompt_tokens=tokens, events=min(events, 100), tokens_per_event=51
        )
        self._shapes[request_id] = shape
        return shape


def play_slow(
    *,
    gateways: int,
    endpoints: int,
    slowdown: Slowdown,
    learns: bool = True,
    seed: int = 1,
    rate: float = 2.0,
) -> SlowResult:
    """Let streams arrive at a rate for each endpoint while some engines are slow."""
    network = PeerNetwork(gateways=gateways, endpoints=endpoints, seed=seed)
    network.advance(2.0)
    fleet = SlowFleet(
        network=network,
        seed=seed,
        retry_slack=RETRY_SLACK_PER_GATEWAY * gateways,
        learns_capacity=learns,
    )
    network.advance(1.0)
    total = SETTLE_SECONDS + slowdown.seconds + AFTER_SECONDS
    fleet.arrive(per_second=rate * endpoints, seconds=total)
    network.advance(SETTLE_SECONDS)
    began_at, received = network.now, network.bytes_received
    slow = fleet.draw(slowdown.share)
    if slowdown.beyond is None:
        fleet.slow_down(slow, slowdown.factor)
    else:
        fleet.slow_down_beyond(slow, slowdown.beyond, slowdown.factor)
    network.advance(slowdown.seconds)
    ended_at = network.now
    control_bytes = (network.bytes_received - received) / slowdown.seconds / gateways
    if slowdown.beyond is None:
        fleet.slow_down(slow, 1.0)
    network.advance(AFTER_SECONDS + CALLER_SECONDS + 0.5)
    shares = []
    for second in range(int(slowdown.seconds + AFTER_SECONDS)):
        start = began_at + second
        sends = [to for at, to in fleet.sent_to if start <= at < start + 1.0]
        shares.append(sum(to in slow for to in sends) / max(1, len(sends)))
    return SlowResult(
        requests=fleet.n_requests,
        on_time=_share_on_time(fleet, began_at, ended_at),
        on_time_after=_share_on_time(fleet, ended_at, ended_at + AFTER_SECONDS),
        sends_by_second=tuple(round(share, 3) for share in shares),
        control_bytes=round(control_bytes),
    )


def _share_on_time(fleet: SlowFleet, since: float, until: float) -> float:
    streams = [item for item in fleet.outcomes.streams if since <= item.sent_at < until]
    on_time = sum(
        item.is_whole
        and item.first <= FIRST_SECONDS
        and item.longest_gap <= GAP_SECONDS
        for item in streams
    )
    return round(on_time / max(1, len(streams)), 4)
