"""Which endpoint gets a request: rules first, then the least expected harm."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from bilberryring.admission import StartRate, share_of_rate
from bilberryring.fleet import (
    MILLISECONDS,
    AnnouncedEndpoint,
    EndpointId,
    FleetState,
    Route,
    Service,
    Workspace,
)
from bilberryring.gateway.messages import CallerFacts
from bilberryring.gateway.peer_view import PeerView
from bilberryring.gateway.settings import GatewaySettings
from bilberryring.membership import EndpointHealth
from bilberryring.routing import (
    Candidate,
    EndpointWork,
    PlacedRequest,
    PromptDemand,
    WorkBook,
    needs_span,
    plan_prompt,
    plan_span,
)

NEAR_GAIN_MS = 5.0
"""Milliseconds that an endpoint of another failure domain counts as slower."""
FAILURE_COST = 3.0
"""Requests in progress that weigh as much as failing every time."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """An endpoint for one attempt, and the engines that help it to read."""

    endpoint: AnnouncedEndpoint
    helpers: tuple[AnnouncedEndpoint, ...]
    placed: PlacedRequest
    predicted_ms: float
    backlog_ms: float = 0.0
    holders: tuple[AnnouncedEndpoint, ...] = ()

    @property
    def holder_tokens(self) -> int:
        """The memory that each holder keeps, in tokens."""
        return self.placed.holder_tokens


class EndpointChooser:
    """Chooses by what this process knows now; keeps no sockets."""

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        fleet: FleetState,
        book: WorkBook,
        peers: PeerView,
        health: EndpointHealth,
        seed: int | None = None,
    ):
        self._settings = settings
        self._fleet = fleet
        self._book = book
        self._peers = peers
        self._health = health
        self._starts = StartRate()
        self._random = random.Random(seed)

    def choose(
        self,
        *,
        route: Route,
        service: Service,
        workspace: Workspace | None,
        facts: CallerFacts,
        excluded: frozenset[EndpointId],
        now: float,
        seconds_left: float,
    ) -> Choice | None:
        """Return an endpoint, or `None` when none may take the request."""
        homes = [set(owner.regions) for owner in (route, workspace) if owner]
        usable = self._usable(homes, service, excluded, now)
        if not usable:
            return None
        self._random.shuffle(usable)
        if service.engine is None or not facts.prompt_tokens:
            return self._choose_plain(usable, now)
        return self._choose_engines(route, service, facts, usable, now, seconds_left)

    def work(self, endpoint: EndpointId, *, now: float) -> EndpointWork:
        """Return the work of this entry and its peers on an endpoint."""
        return self._book.work(endpoint, now=now) + self._peers.work(endpoint, now=now)

    def record_start(self, endpoint: EndpointId, *, now: float) -> None:
        """Count a send against the endpoint's rate."""
        self._starts.record_start(endpoint, now=now)

    def _usable(
        self,
        homes: list[set[str]],
        service: Service,
        excluded: frozenset[EndpointId],
        now: float,
    ) -> list[AnnouncedEndpoint]:
        per_second = self._rate_share(service, now)
        allowed = [
            endpoint
            for endpoint in self._fleet.endpoints.usable(service.name)
            if endpoint.id not in excluded
            and self._is_home(homes, endpoint)
            and (
                per_second is None
                or self._starts.may_start(endpoint.id, now=now, per_second=per_second)
            )
        ]
        sound = [
            endpoint
            for endpoint in allowed
            if not self._health.is_avoided(endpoint.id, now=now)
        ]
        return sound or allowed

    def _rate_share(self, service: Service, now: float) -> int | None:
        """Return the starts a second on one endpoint, or `None` without a bound."""
        if service.cold_requests_per_second <= 0:
            return None
        bounds = self._settings.bounds
        bound = service.cold_requests_per_second * bounds.cold_ratio
        return share_of_rate(
            per_second=bound + bounds.cold_slack,
            entries=self._peers.entry_count(now=now),
        )

    def _is_home(self, homes: list[set[str]], endpoint: AnnouncedEndpoint) -> bool:
        """Whether route and workspace both allow the endpoint's region."""
        region = self._settings.region_of(endpoint.failure_domain)
        return all(region in regions for regions in homes if regions)

    def _choose_plain(self, usable: Sequence[AnnouncedEndpoint], now: float) -> Choice:
        def cost(endpoint: AnnouncedEndpoint) -> float:
            work = self.work(endpoint.id, now=now)
            busy = work.requests + FAILURE_COST * self._health.failure_share(
                endpoint.id
            )
            is_far = endpoint.failure_domain != self._settings.failure_domain
            return (busy + 0.5 * is_far) / endpoint.slots

        best = min(usable, key=cost)
        placed = PlacedRequest(lead=best.id)
        return Choice(endpoint=best, helpers=(), placed=placed, predicted_ms=0.0)

    def _choose_engines(
        self,
        route: Route,
        service: Service,
        facts: CallerFacts,
        usable: Sequence[AnnouncedEndpoint],
        now: float,
        seconds_left: float,
    ) -> Choice | None:
        gap = route.gap_objective
        demand = PromptDemand(
            prompt_tokens=facts.prompt_tokens,
            max_tokens=facts.max_tokens,
            first_ms=route.first_answer_objective * MILLISECONDS,
            gap_ms=None if gap is None else gap * MILLISECONDS,
            deadline_ms=seconds_left * MILLISECONDS,
        )
        candidates = [self._candidate(endpoint, now) for endpoint in usable]
        by_id = {endpoint.id: endpoint for endpoint in usable}
        is_span = needs_span(demand, service.engine)
        make_plan = plan_span if is_span else plan_prompt
        plan = make_plan(demand, service.engine, candidates)
        if plan is None:
            return None
        held = plan.holder_tokens * len(plan.holders)
        placed = PlacedRequest(
            lead=plan.lead,
            helpers=plan.helpers,
            holders=plan.holders,
            holder_tokens=plan.holder_tokens,
            part_ms=plan.part_ms,
            kv_tokens=max(0, demand.kv_tokens - held),
            value=demand.value,
            due_at=now + route.first_answer_objective,
            gap_ms=None if demand.gap_ms is None else int(demand.gap_ms),
        )
        return Choice(
            endpoint=by_id[plan.lead],
            helpers=tuple(by_id[helper] for helper in plan.helpers),
            holders=tuple(by_id[holder] for holder in plan.holders),
            placed=placed,
            predicted_ms=plan.predicted_ms,
            backlog_ms=plan.backlog_ms,
        )

    def _candidate(self, endpoint: AnnouncedEndpoint, now: float) -> Candidate:
        is_far = endpoint.failure_domain != self._settings.failure_domain
        return Candidate(
            endpoint=endpoint.id,
            work=self.work(endpoint.id, now=now),
            delay_ms=NEAR_GAIN_MS if is_far else 0.0,
            failure_share=self._health.failure_share(endpoint.id),
        )
