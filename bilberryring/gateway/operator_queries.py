"""Answers to operators' queries: the status, and where a prompt would be sent."""

import math

from bilberryring.admission import EndpointStatements, StatedStanding
from bilberryring.capacity import EndpointSpeeds
from bilberryring.core import Incarnation
from bilberryring.fleet import (
    MS_PER_SECOND,
    AnnouncedEndpoint,
    EndpointState,
    FleetState,
    Route,
    Service,
    ServiceName,
)
from bilberryring.gateway.counters import GatewayCounters
from bilberryring.gateway.crash_record import CrashRecord
from bilberryring.gateway.endpoint_choice import Choice, EndpointChooser
from bilberryring.gateway.messages import CallerMetadata
from bilberryring.gateway.settings import GatewaySettings
from bilberryring.membership import EndpointHealth
from bilberryring.process.explanations import (
    EndpointExplanation,
    ExplainRequest,
    Explanation,
)
from bilberryring.process.operator_site import (
    EndpointStatus,
    ProcessStatus,
    RefusedSetStatus,
)

ROLE = "gateway"


class GatewayQueries:
    """Answers queries from the state of the gateway without changing it."""

    def __init__(
        self,
        *,
        clock,
        settings: GatewaySettings,
        incarnation: Incarnation,
        fleet: FleetState,
        chooser: EndpointChooser,
        health: EndpointHealth,
        statements: EndpointStatements,
        crashes: CrashRecord,
        counters: GatewayCounters,
        speeds: EndpointSpeeds,
    ):
        self._clock = clock
        self._settings = settings
        self._incarnation = incarnation
        self._fleet = fleet
        self._chooser = chooser
        self._health = health
        self._statements = statements
        self._crashes = crashes
        self._counters = counters
        self._speeds = speeds

    def status(
        self, *, state: str, in_progress: int, links: int, is_reader: bool
    ) -> ProcessStatus:
        """Return the status; `links` is the number of live peer gateways."""
        configuration = self._fleet.configuration
        version = configuration.version if configuration else 0
        return ProcessStatus(
            process=self._settings.process,
            role=ROLE,
            failure_domain=self._settings.failure_domain,
            state=state,
            incarnation=self._incarnation,
            set_number=version,
            set_digest="",
            highest_seen=version,
            is_reader=is_reader,
            refused_sets=self._refused_sets(version),
            in_progress=in_progress,
            links=links,
            endpoints=tuple(
                EndpointStatus(
                    endpoint=endpoint.id,
                    failure_domain=endpoint.failure_domain,
                    standing=self._standing(endpoint),
                    outstanding=self._requests(endpoint),
                    set_number=version,
                    slowdown=self._slowdown(endpoint),
                )
                for endpoint in self._fleet.endpoints.all
            ),
            quarantined=(
                *self._crashes.quarantined(),
                *(f"{item}, if sent once" for item in self._crashes.sole_causes()),
                *(f"part {part}" for part in self._crashes.quarantined_parts()),
            ),
            silent_attempts=self._counters.silent_attempts,
            reread_tokens=self._counters.reread_tokens,
        )

    def explain(self, question: ExplainRequest) -> Explanation:
        """Return the endpoint to which a prompt for a service would be sent now."""
        configuration = self._fleet.configuration
        if configuration is None:
            return Explanation(chosen="", endpoints=(), detail="no configuration")
        service = configuration.services.get(ServiceName(question.model))
        routes = [
            route
            for route in configuration.routes
            if any(share.service == question.model for share in route.shares)
        ]
        if service is None or not routes:
            return Explanation(
                chosen="", endpoints=(), detail=f"no route to {question.model!r}"
            )
        choice = self._choose(routes[0], service, question)
        explanations = [
            self._explain_endpoint(endpoint, service, question)
            for endpoint in self._fleet.endpoints.all
            if endpoint.service == service.name
        ]
        if choice is None:
            return Explanation(
                chosen="",
                endpoints=tuple(explanations),
                detail="no endpoint may take it",
            )
        return Explanation(
            chosen=choice.endpoint.id,
            endpoints=tuple(explanations),
            helpers=tuple(helper.id for helper in choice.helpers),
            first_token_seconds=choice.predicted_ms / MS_PER_SECOND,
        )

    def _refused_sets(self, version: int) -> tuple[RefusedSetStatus, ...]:
        reason, _, remedy = self._fleet.refusal.partition(". Remedy: ")
        if not reason:
            return ()
        return (
            RefusedSetStatus(number=version, digest="", reason=reason, remedy=remedy),
        )

    def _choose(
        self, route: Route, service: Service, question: ExplainRequest
    ) -> Choice | None:
        metadata = CallerMetadata(
            request_id="",
            host=route.host,
            key=None,
            timeout=None,
            prompt_tokens=question.prompt_tokens,
            max_tokens=question.max_tokens,
            last_event_id="",
        )
        return self._chooser.choose(
            route=route,
            service=service,
            workspace=None,
            metadata=metadata,
            excluded=frozenset(),
            now=self._clock.seconds(),
            seconds_left=route.timeout,
        )

    def _explain_endpoint(
        self, endpoint: AnnouncedEndpoint, service: Service, question: ExplainRequest
    ) -> EndpointExplanation:
        work = self._chooser.work(endpoint.id, now=self._clock.seconds())
        figures = service.engine
        alone_ms = 0.0
        if figures is not None:
            alone_ms = work.remaining_ms + figures.prefill_ms(question.prompt_tokens)
            alone_ms += figures.pass_ms(
                streams=work.requests, context_tokens=work.kv_tokens
            )
        return EndpointExplanation(
            endpoint=endpoint.id,
            failure_domain=endpoint.failure_domain,
            standing=self._standing(endpoint),
            is_candidate=self._is_candidate(endpoint),
            first_token_seconds=alone_ms / MS_PER_SECOND,
            requests=work.requests,
            slowdown=self._slowdown(endpoint),
            learned_limit=self._limit(endpoint),
        )

    def _is_candidate(self, endpoint: AnnouncedEndpoint) -> bool:
        now = self._clock.seconds()
        return self._fleet.endpoints.is_usable(
            endpoint.id
        ) and self._statements.may_start(endpoint.run, now=now)

    def _slowdown(self, endpoint: AnnouncedEndpoint) -> float:
        slowdown = self._speeds.slowdown(endpoint.id, now=self._clock.seconds())
        return round(slowdown, 2)

    def _limit(self, endpoint: AnnouncedEndpoint) -> int:
        """Return the learned concurrency of an endpoint, 0 if it has none."""
        limit = self._speeds.limit(endpoint.id, now=self._clock.seconds())
        return 0 if math.isinf(limit) else int(limit)

    def _requests(self, endpoint: AnnouncedEndpoint) -> int:
        return self._chooser.work(endpoint.id, now=self._clock.seconds()).requests

    def _standing(self, endpoint: AnnouncedEndpoint) -> str:
        now = self._clock.seconds()
        if endpoint.state is EndpointState.LEAVING:
            return "leaving"
        if endpoint.failure_domain in self._fleet.endpoints.domains_out:
            return "domain_out"
        stated = self._statements.standing(endpoint.run, now=now)
        if stated in (StatedStanding.LEAVING, StatedStanding.RESTING):
            return stated.value
        if self._health.is_avoided(endpoint.id, now=now):
            return "avoided"
        if endpoint.is_cold(now=now):
            return "cold"
        if stated is not StatedStanding.FREE:
            return stated.value
        return "live"
