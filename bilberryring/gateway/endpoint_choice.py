"""Choice of the endpoint for a request.

Endpoints that must not get the request are excluded first. Of the others the one with
the lowest cost is chosen.
"""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

from bilberryring.admission import (
    EndpointStatements,
    StartRate,
    StatedStanding,
    UserPlace,
)
from bilberryring.capacity import USUAL_SPEED, EndpointSpeeds, SpeedTable
from bilberryring.fleet import (
    MS_PER_SECOND,
    AnnouncedEndpoint,
    EndpointId,
    Route,
    Service,
    ServiceName,
    Workspace,
)
from bilberryring.gateway.endpoint_slices import EndpointSlices
from bilberryring.gateway.messages import CallerMetadata
from bilberryring.gateway.peer_view import PeerView
from bilberryring.gateway.settings import GatewaySettings
from bilberryring.membership import EndpointHealth
from bilberryring.routing import (
    Candidate,
    EndpointWork,
    PlacedRequest,
    PromptDemand,
    PromptPlanner,
    WorkTracker,
)

REMOTE_PENALTY_MS = 5.0
"""Milliseconds added to the delay of an endpoint in another failure domain."""
FAILURE_WEIGHT = 3.0
"""Number of requests in progress that cost as much as a failure share of 1."""
OVER_LIMIT_WEIGHT = 2.0
"""Number of further requests in progress as which one beyond the learned concurrency of
an endpoint counts."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """The endpoint for one attempt, with engines that share the prefill of its prompt.

    `predicted_ms` is the predicted time to the first token, in which `backlog_ms` is
    the wait for other prompts; both are 0 without a prompt. `helpers` are the other
    engines that prefill parts of the prompt. Of these, `holders` keep their part of the
    KV cache until the request ends. On the engines `stopped` the prefill lets
    `leaving_callers` callers wait until they leave. The endpoint had `requests` others
    in progress.
    """

    endpoint: AnnouncedEndpoint
    helpers: tuple[AnnouncedEndpoint, ...]
    placed: PlacedRequest
    predicted_ms: float
    backlog_ms: float = 0.0
    holders: tuple[AnnouncedEndpoint, ...] = ()
    stopped: tuple[EndpointId, ...] = ()
    leaving_callers: int = 0
    requests: int = 0

    @property
    def holder_tokens(self) -> int:
        """The memory that each holder keeps for the request, in tokens."""
        return self.placed.holder_tokens


class EndpointChooser:
    """Chooses endpoints from the state that this process holds, without any I/O."""

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        slices: EndpointSlices,
        tracker: WorkTracker,
        peers: PeerView,
        health: EndpointHealth,
        statements: EndpointStatements,
        speeds: EndpointSpeeds | None = None,
        seed: int | None = None,
    ):
        self._settings = settings
        self._slices = slices
        self._tracker = tracker
        self._peers = peers
        self._health = health
        self._statements = statements
        self._speeds = speeds or EndpointSpeeds(seed=seed)
        self._starts = StartRate()
        self._planners: dict[ServiceName, PromptPlanner] = {}
        self._random = random.Random(seed)

    def choose(
        self,
        *,
        route: Route,
        service: Service,
        workspace: Workspace | None,
        metadata: CallerMetadata,
        excluded: frozenset[EndpointId],
        now: float,
        seconds_left: float,
        allows_avoided: bool = True,
        among: frozenset[EndpointId] | None = None,
    ) -> Choice | None:
        """Return the endpoint for the next attempt, or `None` if there is none.

        Endpoints in `excluded`, and others than `among` if it is given, are not
        considered, and those to avoid only if `allows_avoided` and no other can take
        the request. `now` and `seconds_left`,
        the time until the deadline, are in seconds.
        """
        allowed = self._allowed_endpoints(route, service, workspace, excluded, now)
        if among is not None:
            allowed = [endpoint for endpoint in allowed if endpoint.id in among]
        usable = [
            endpoint
            for endpoint in allowed
            if not self._health.is_avoided(endpoint.id, now=now)
        ]
        if not usable and allows_avoided:
            usable = allowed
        if not usable:
            return None
        self._random.shuffle(usable)
        speeds = self._speed_table(route, service, workspace, now)
        if service.engine is None or not metadata.prompt_tokens:
            return self._choose_by_load(usable, speeds, now)
        return self._choose_by_plan(
            route, service, metadata, usable, speeds, now, seconds_left
        )

    def work(self, endpoint: EndpointId, *, now: float) -> EndpointWork:
        """Return the work that this gateway and live peers placed on an endpoint."""
        return self._tracker.work(endpoint, now=now) + self._peers.work(
            endpoint, now=now
        )

    def seconds_until_start(
        self,
        *,
        route: Route,
        service: Service,
        workspace: Workspace | None,
        now: float,
    ) -> float | None:
        """Return when the first of the endpoints may get a request by its statements.

        Returns 0 if one may get it now, and `None` if none is known that ever will.
        """
        regions = _allowed_regions(route, workspace)
        if regions is None:
            return None
        seconds = min(
            (
                self._statements.seconds_until_start(endpoint.run, now=now)
                for endpoint in self._slices.endpoints(service, regions=regions)
            ),
            default=math.inf,
        )
        return seconds if math.isfinite(seconds) else None

    def statements_of(
        self,
        *,
        route: Route,
        service: Service,
        workspace: Workspace | None,
        now: float,
    ) -> dict[AnnouncedEndpoint, StatedStanding]:
        """Return how the endpoints for a request stand by what they said."""
        regions = _allowed_regions(route, workspace)
        if regions is None:
            return {}
        return {
            endpoint: self._statements.standing(endpoint.run, now=now)
            for endpoint in self._slices.endpoints(service, regions=regions)
        }

    def place_among_users(
        self,
        endpoint: EndpointId,
        *,
        route: Route,
        service: Service,
        workspace: Workspace | None,
    ) -> UserPlace | None:
        """Return this gateway's place among those that use an endpoint, if known."""
        regions = _allowed_regions(route, workspace)
        if regions is None:
            return None
        return self._slices.place_among_users(service, endpoint, regions=regions)

    def record_choice(self, choice: Choice, *, now: float) -> None:
        """Count a request as a start on each of its endpoints."""
        for endpoint in (choice.endpoint, *choice.helpers):
            self._statements.record_start(endpoint.run, now=now)
            self._speeds.record_start(endpoint.id, now=now)

    def record_start(self, endpoint: EndpointId, *, now: float) -> None:
        """Count a request against the start rate of the endpoint."""
        self._starts.record_start(endpoint, now=now)

    def _allowed_endpoints(
        self,
        route: Route,
        service: Service,
        workspace: Workspace | None,
        excluded: frozenset[EndpointId],
        now: float,
    ) -> list[AnnouncedEndpoint]:
        regions = _allowed_regions(route, workspace)
        if regions is None:
            return []
        per_second = self._slices.starts_per_second(service, regions=regions)
        return [
            endpoint
            for endpoint in self._slices.endpoints(service, regions=regions)
            if endpoint.id not in excluded
            and self._statements.may_start(endpoint.run, now=now)
            and (
                per_second is None
                or self._starts.may_start(endpoint.id, now=now, per_second=per_second)
            )
        ]

    def _speed_table(
        self, route: Route, service: Service, workspace: Workspace | None, now: float
    ) -> SpeedTable:
        """Return the learned speeds of the endpoints that differ from the others."""
        regions = _allowed_regions(route, workspace) or frozenset()
        key = service.name, regions
        if self._speeds.is_current(key, now=now):
            return self._speeds.table(key, (), now=now)
        endpoints = tuple(
            (endpoint.id, endpoint.run)
            for endpoint in self._slices.endpoints(service, regions=regions)
        )
        return self._speeds.table(key, endpoints, now=now)

    def _choose_by_load(
        self, usable: Sequence[AnnouncedEndpoint], speeds: SpeedTable, now: float
    ) -> Choice:
        """Return the endpoint with the least load for its number of slots.

        Another failure domain counts as half a request in progress. On a slower
        endpoint each request counts more, the one to place as well.
        """

        def cost(endpoint: AnnouncedEndpoint) -> float:
            work = self.work(endpoint.id, now=now)
            load = work.requests + FAILURE_WEIGHT * self._health.failure_share(
                endpoint.id
            )
            is_remote = endpoint.failure_domain != self._settings.failure_domain
            load += 0.5 * is_remote
            speed = speeds.get(endpoint.id)
            if speed is not None:
                over = max(0.0, work.requests + 1 - speed.limit)
                load += OVER_LIMIT_WEIGHT * over
                load = (load + 1.0) * speed.step - 1.0
            return load / endpoint.slots

        best = min(usable, key=cost)
        return Choice(
            endpoint=best,
            helpers=(),
            placed=PlacedRequest(lead=best.id),
            predicted_ms=0.0,
            requests=self.work(best.id, now=now).requests,
        )

    def _choose_by_plan(
        self,
        route: Route,
        service: Service,
        metadata: CallerMetadata,
        usable: Sequence[AnnouncedEndpoint],
        speeds: SpeedTable,
        now: float,
        seconds_left: float,
    ) -> Choice | None:
        gap = route.gap_objective
        demand = PromptDemand(
            prompt_tokens=metadata.prompt_tokens,
            max_tokens=metadata.max_tokens,
            first_ms=route.first_answer_objective * MS_PER_SECOND,
            gap_ms=None if gap is None else gap * MS_PER_SECOND,
            deadline_ms=seconds_left * MS_PER_SECOND,
        )
        candidates = [self._candidate(endpoint, speeds, now) for endpoint in usable]
        by_id = {endpoint.id: endpoint for endpoint in usable}
        planner = self._planners.setdefault(service.name, PromptPlanner())
        plan = planner.plan(
            demand,
            service.engine,
            candidates,
            now=now,
            gateways=self._peers.entry_count(now=now),
        )
        if plan is None:
            return None
        held_tokens = plan.holder_tokens * len(plan.holders)
        placed = PlacedRequest(
            lead=plan.lead,
            helpers=plan.helpers,
            holders=plan.holders,
            holder_tokens=plan.holder_tokens,
            part_ms=plan.part_ms,
            kv_tokens=max(0, demand.kv_tokens - held_tokens),
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
            stopped=tuple(by_id[name].id for name in plan.stopped),
            leaving_callers=plan.leaving_callers,
            requests=next(
                item.work.requests for item in candidates if item.endpoint == plan.lead
            ),
        )

    def _candidate(
        self, endpoint: AnnouncedEndpoint, speeds: SpeedTable, now: float
    ) -> Candidate:
        is_remote = endpoint.failure_domain != self._settings.failure_domain
        speed = speeds.get(endpoint.id, USUAL_SPEED) if speeds else USUAL_SPEED
        return Candidate(
            endpoint=endpoint.id,
            work=self.work(endpoint.id, now=now),
            delay_ms=REMOTE_PENALTY_MS if is_remote else 0.0,
            failure_share=self._health.failure_share(endpoint.id),
            slowdown=speed.step,
            prefill_slowdown=speed.prefill,
            max_requests=speed.limit,
        )


def _allowed_regions(
    route: Route, workspace: Workspace | None
) -> frozenset[str] | None:
    """Return the regions that both allow, empty for all, or `None` if there is none."""
    limits = [frozenset(owner.regions) for owner in (route, workspace) if owner]
    limits = [regions for regions in limits if regions]
    if not limits:
        return frozenset()
    return frozenset.intersection(*limits) or None
