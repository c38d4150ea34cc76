"""Data structures of a fleet: routes, workspaces, endpoints and published items."""

from bilberryring.fleet.configuration import (
    MS_PER_SECOND,
    CallerLimits,
    FailureDomain,
    FleetConfiguration,
    RequestKind,
    Route,
    Service,
    ServiceName,
    ServiceShare,
    Workspace,
    WorkspaceName,
)
from bilberryring.fleet.endpoints import (
    RECOVERY_GRACE_SECONDS,
    AnnouncedEndpoint,
    EndpointId,
    EndpointList,
    EndpointState,
)
from bilberryring.fleet.replica import PublishedItem, Replica
from bilberryring.fleet.state import FleetState

__all__ = [
    "AnnouncedEndpoint",
    "CallerLimits",
    "EndpointId",
    "EndpointList",
    "EndpointState",
    "FailureDomain",
    "FleetConfiguration",
    "FleetState",
    "MS_PER_SECOND",
    "PublishedItem",
    "RECOVERY_GRACE_SECONDS",
    "Replica",
    "RequestKind",
    "Route",
    "Service",
    "ServiceName",
    "ServiceShare",
    "Workspace",
    "WorkspaceName",
]
