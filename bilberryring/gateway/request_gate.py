"""Whether a request may be served here: its route, its workspace, its service."""

import random

from bilberryring.core import ErrorCode, ServingError
from bilberryring.fleet import FleetState, RequestKind, Route, Service, Workspace
from bilberryring.gateway.caller_site import CallerExchange
from bilberryring.gateway.crash_record import CrashRecord, fingerprint_of
from bilberryring.gateway.event_stream import EventStream
from bilberryring.gateway.messages import CallerFacts, CallerRequest
from bilberryring.gateway.refusals import SOON_SECONDS, not_run
from bilberryring.gateway.request_run import RequestRun

DEFAULT_PATIENCE = 60.0
"""Seconds that a caller waits who does not say how long."""
HELD_BACK_SECONDS = 60.0
"""Seconds after which a request that ended endpoints may come again."""


class RequestGate:
    """Decides by the configuration in force."""

    def __init__(self, *, fleet: FleetState, crashes: CrashRecord):
        self._fleet = fleet
        self._crashes = crashes
        self._refuses_new = False

    def refuse_new(self) -> None:
        """Answer new requests as not run: this process ends soon."""
        self._refuses_new = True

    def admit(
        self, exchange: CallerExchange, request: CallerRequest, facts: CallerFacts
    ) -> RequestRun:
        """Return the request with its route, or refuse it."""
        configuration = self._fleet.configuration
        if self._refuses_new:
            raise not_run(ErrorCode.LEAVING, retry_after=SOON_SECONDS)
        if configuration is None:
            raise not_run(ErrorCode.NO_SET, retry_after=2 * SOON_SECONDS)
        if len(request.body) > configuration.limits.max_body_bytes:
            raise not_run(ErrorCode.BODY_TOO_LARGE)
        path = request.target.split(b"?", 1)[0].decode("latin-1")
        route = configuration.route_of(facts.host, path)
        if route is None:
            raise self._unknown(ErrorCode.PATH_UNKNOWN)
        workspace = self._workspace(facts, route)
        fingerprint = fingerprint_of(request, facts.key)
        if self._crashes.is_refused(fingerprint):
            raise not_run(ErrorCode.HELD_BACK, retry_after=HELD_BACK_SECONDS)
        service = self._service(route)
        patience = DEFAULT_PATIENCE if facts.patience is None else facts.patience
        is_stream = route.kind is RequestKind.STREAMING
        return RequestRun(
            exchange=exchange,
            request=request,
            facts=facts,
            route=route,
            service=service,
            workspace=workspace,
            ends_at=request.received_at + min(patience, route.timeout),
            events=EventStream(last_id=facts.last_event_id) if is_stream else None,
            fingerprint=fingerprint,
        )

    def _unknown(self, code: ErrorCode) -> ServingError:
        """Refuse what this process does not know, unless its view is old."""
        if self._fleet.stale_since is not None:
            return not_run(
                ErrorCode.NO_SET,
                detail="the published state cannot be read",
                retry_after=2 * SOON_SECONDS,
            )
        return not_run(code)

    def _workspace(self, facts: CallerFacts, route: Route) -> Workspace | None:
        configuration = self._fleet.configuration
        if not configuration.has_workspaces:
            return None
        found = configuration.workspace_of(facts.key) if facts.key else None
        if found is None and not route.is_anonymous:
            raise self._unknown(ErrorCode.KEY_UNKNOWN)
        return found

    def _service(self, route: Route) -> Service:
        """Draw a service by weight among those that exist."""
        services = self._fleet.configuration.services
        shares = [share for share in route.shares if share.service in services]
        if not shares:
            raise not_run(ErrorCode.NO_ENDPOINT, retry_after=1.0)
        drawn = random.choices(shares, weights=[share.weight for share in shares])
        return services[drawn[0].service]
