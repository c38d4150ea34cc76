"""What a fleet consists of: routes, workspaces, endpoints, published items."""

from bilberryring.fleet.configuration import (
    MILLISECONDS,
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
    RETURN_GRACE,
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
    "MILLISECONDS",
    "PublishedItem",
    "RETURN_GRACE",
    "Replica",
    "RequestKind",
    "Route",
    "Service",
    "ServiceName",
    "ServiceShare",
    "Workspace",
    "WorkspaceName",
]
