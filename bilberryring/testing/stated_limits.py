"""Requests of many gateways to endpoints of which some state a limit.

The gateways choose among the endpoints of their slices as running ones do, but do not
report their work, since limits are kept without messages. Endpoints are names that
answer each request after a short time and say what limit they have.
"""

import random
from dataclasses import dataclass, field

from bilberryring.admission import EndpointStatements, Statement
from bilberryring.gateway.endpoint_choice import Choice, EndpointChooser
from bilberryring.gateway.messages import CallerMetadata
from bilberryring.membership import EndpointHealth
from bilberryring.testing.peer_network import (
    SERVICE,
    PeerNetwork,
    SimulatedGateway,
    make_settings,
    make_stream_route,
)

ARRIVAL_SECONDS = 0.005
ANSWER_SECONDS = (0.05, 0.5)
"""Shortest and longest time until the head of an answer."""
METADATA = CallerMetadata(
    request_id="r",
    host="site",
    key=None,
    timeout=None,
    prompt_tokens=0,
    max_tokens=0,
    last_event_id="",
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """A request that reached an endpoint.

    `told_at` is when its gateway first heard of the endpoint's limit, if it has.
    """

    at: float
    told_at: float | None


@dataclass(slots=True, kw_only=True)
class LimitOutcomes:
    """The requests that reached each endpoint, and the times of refused ones."""

    arrivals: dict[str, list[Arrival]] = field(default_factory=dict)
    refused: list[float] = field(default_factory=list)


class StatedLimitLoad:
    """Sends requests; `limits` has the limits that endpoints state from now on."""

    def __init__(self, *, network: PeerNetwork, seed: int):
        self._network = network
        self._random = random.Random(seed)
        self._route = make_stream_route()
        self._choosers: dict[str, EndpointChooser] = {}
        self._statements: dict[str, EndpointStatements] = {}
        self._told_at: dict[tuple[str, str], float] = {}
        self.limits: dict[str, float] = {}
        self.outcomes = LimitOutcomes()

    def arrive(self, *, per_second: float, seconds: float) -> None:
        """Let requests arrive at random gateways for some time."""
        self._network.call_at_rate(per_second, seconds=seconds, work=self._arrive)

    def _arrive(self) -> None:
        gateway = self._network.choose_gateway()
        chooser = self._chooser(gateway)
        now = self._network.now
        choice = chooser.choose(
            route=self._route,
            service=SERVICE,
            workspace=None,
            metadata=METADATA,
            excluded=frozenset(),
            now=now,
            seconds_left=10.0,
        )
        if choice is None:
            self.outcomes.refused.append(now)
            return
        chooser.record_choice(choice, now=now)
        chooser.record_start(choice.endpoint.id, now=now)
        self._network.call_later(ARRIVAL_SECONDS, self._reach, gateway, choice)
        answer_seconds = self._random.uniform(*ANSWER_SECONDS)
        self._network.call_later(answer_seconds, self._answer, gateway, choice, now)

    def _reach(self, gateway: SimulatedGateway, choice: Choice) -> None:
        endpoint = choice.endpoint.id
        arrival = Arrival(
            at=self._network.now, told_at=self._told_at.get((gateway.host, endpoint))
        )
        self.outcomes.arrivals.setdefault(endpoint, []).append(arrival)

    def _answer(
        self, gateway: SimulatedGateway, choice: Choice, sent_at: float
    ) -> None:
        now = self._network.now
        endpoint = choice.endpoint.id
        limit = self.limits.get(endpoint)
        if limit is not None:
            self._told_at.setdefault((gateway.host, endpoint), now)
        chooser = self._chooser(gateway)
        self._statements[gateway.host].record_answer(
            choice.endpoint.run,
            Statement(requests_per_second=limit, is_success=True),
            place=chooser.place_among_users(
                endpoint, route=self._route, service=SERVICE, workspace=None
            ),
            sent_at=sent_at,
            now=now,
        )

    def _chooser(self, gateway: SimulatedGateway) -> EndpointChooser:
        if gateway.host not in self._choosers:
            seed = self._random.randrange(2**32)
            self._statements[gateway.host] = EndpointStatements(seed=seed)
            self._choosers[gateway.host] = EndpointChooser(
                settings=make_settings(gateway.host, ()),
                slices=gateway.slices,
                tracker=gateway.tracker,
                peers=gateway.view,
                health=EndpointHealth(),
                statements=self._statements[gateway.host],
                seed=seed,
            )
        return self._choosers[gateway.host]
