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
    LAPSE_HOLD_SECONDS,
    RECOVERY_GRACE_SECONDS,
    AnnouncedEndpoint,
    EndpointId,
    EndpointList,
    EndpointRunId,
    EndpointState,
)
from bilberryring.fleet.eras import (
    MAX_REVISION,
    EraOrder,
    compare_era,
    parse_era,
)
from bilberryring.fleet.lost_writes import (
    NO_LIMIT,
    LossRules,
    LostWrite,
    NoLossRules,
    PublishedItem,
    Revision,
)
from bilberryring.fleet.replica import Replica, ReplicaPosition
from bilberryring.fleet.state import FleetState

__all__ = [
    "AnnouncedEndpoint",
    "CallerLimits",
    "EndpointId",
    "EndpointList",
    "EndpointRunId",
    "EndpointState",
    "EraOrder",
    "FailureDomain",
    "FleetConfiguration",
    "FleetState",
    "LAPSE_HOLD_SECONDS",
    "LossRules",
    "LostWrite",
    "MAX_REVISION",
    "MS_PER_SECOND",
    "NO_LIMIT",
    "NoLossRules",
    "PublishedItem",
    "RECOVERY_GRACE_SECONDS",
    "Replica",
    "ReplicaPosition",
    "Revision",
    "RequestKind",
    "Route",
    "Service",
    "ServiceName",
    "ServiceShare",
    "Workspace",
    "WorkspaceName",
    "compare_era",
    "parse_era",
]
