"""Admission of requests: routing, authentication and the choice of a service."""

import random

from bilberryring.core import ErrorCode, ServingError
from bilberryring.fleet import FleetState, RequestKind, Route, Service, Workspace
from bilberryring.gateway.caller_site import CallerExchange
from bilberryring.gateway.crash_record import CrashRecord, fingerprint_of
from bilberryring.gateway.event_stream import EventStream
from bilberryring.gateway.messages import CallerMetadata, CallerRequest
from bilberryring.gateway.refusals import RETRY_AFTER_SECONDS, not_run
from bilberryring.gateway.request_context import RequestContext

DEFAULT_TIMEOUT_SECONDS = 60.0
"""Seconds that a caller is assumed to wait if it does not specify a deadline."""


class RequestGate:
    """Admits or refuses requests according to the current configuration."""

    def __init__(self, *, fleet: FleetState, crashes: CrashRecord):
        self._fleet = fleet
        self._crashes = crashes
        self._refuses_new = False

    def refuse_new(self) -> None:
        """Refuse new requests with the outcome "not run": the process exits soon."""
        self._refuses_new = True

    def admit(
        self, exchange: CallerExchange, request: CallerRequest, metadata: CallerMetadata
    ) -> RequestContext:
        """Return the context of an admitted request.

        Raises `ServingError` if the request is refused.
        """
        if request.refusal is not None:
            raise request.refusal
        route, workspace = self.check_head(request.target, metadata)
        configuration = self._fleet.configuration
        if len(request.body) > configuration.limits.max_body_bytes:
            raise not_run(ErrorCode.BODY_TOO_LARGE)
        fingerprint = fingerprint_of(request, metadata.key)
        if self._crashes.is_quarantined(fingerprint, is_sent_once=route.is_sent_once):
            retry_after = self._crashes.seconds_left(fingerprint)
            raise not_run(ErrorCode.HELD_BACK, retry_after=retry_after)
        service = self._service(route)
        timeout = (
            DEFAULT_TIMEOUT_SECONDS if metadata.timeout is None else metadata.timeout
        )
        is_stream = route.kind is RequestKind.STREAMING
        return RequestContext(
            exchange=exchange,
            request=request,
            metadata=metadata,
            route=route,
            service=service,
            workspace=workspace,
            deadline=request.received_at + min(timeout, route.timeout),
            stream=EventStream(last_id=metadata.last_event_id) if is_stream else None,
            fingerprint=fingerprint,
            configuration=configuration.version,
        )

    def check_head(
        self, target: bytes, metadata: CallerMetadata
    ) -> tuple[Route, Workspace | None]:
        """Return the route and the workspace of a request.

        Raises `ServingError` if the request is refused whatever its body is.
        """
        configuration = self._fleet.configuration
        if self._refuses_new:
            raise not_run(ErrorCode.LEAVING, retry_after=RETRY_AFTER_SECONDS)
        if configuration is None:
            raise not_run(ErrorCode.NO_SET, retry_after=2 * RETRY_AFTER_SECONDS)
        path = target.split(b"?", 1)[0].decode("latin-1")
        route = configuration.route_of(metadata.host, path)
        if route is None:
            raise self._unknown_error(ErrorCode.PATH_UNKNOWN)
        return route, self._workspace(metadata, route)

    def _unknown_error(self, code: ErrorCode) -> ServingError:
        """Return the error for an unknown path or API key.

        While the published state cannot be read, the path or key may exist without
        being known here. The error then asks the caller to retry.
        """
        if self._fleet.stale_since is not None:
            return not_run(
                ErrorCode.NO_SET,
                detail="the published state cannot be read",
                retry_after=2 * RETRY_AFTER_SECONDS,
            )
        return not_run(code)

    def _workspace(self, metadata: CallerMetadata, route: Route) -> Workspace | None:
        configuration = self._fleet.configuration
        if not configuration.has_workspaces:
            return None
        workspace = configuration.workspace_of(metadata.key) if metadata.key else None
        if workspace is None and not route.is_anonymous_allowed:
            raise self._unknown_error(ErrorCode.KEY_UNKNOWN)
        return workspace

    def _service(self, route: Route) -> Service:
        """Return one of the route's existing services, chosen at random by weight."""
        services = self._fleet.configuration.services
        shares = [
            share
            for share in route.shares
            if share.service in services and share.weight
        ]
        if not shares:
            raise not_run(ErrorCode.NO_ENDPOINT, retry_after=1.0)
        chosen = random.choices(shares, weights=[share.weight for share in shares])
        return services[chosen[0].service]
