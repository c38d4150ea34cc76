"""State and health of endpoints, from sidecars' reports and an entry's own attempts."""

from bilberryring.membership.endpoint_health import EndpointHealth
from bilberryring.membership.evidence import (
    HEARTBEAT_SECONDS,
    REPORT_FRESH_SECONDS,
    REPORT_MAX_SECONDS,
    REPORT_MIN_SECONDS,
    EndpointEvidence,
    SidecarReport,
    SidecarState,
    Standing,
    is_silent,
    standing_of,
)
from bilberryring.membership.reporting import (
    RUNNING_CHANGE_SHARE,
    WAIT_CHANGE_SECONDS,
    ReportedLoad,
    needs_report,
)

__all__ = [
    "EndpointHealth",
    "EndpointEvidence",
    "HEARTBEAT_SECONDS",
    "REPORT_FRESH_SECONDS",
    "REPORT_MAX_SECONDS",
    "REPORT_MIN_SECONDS",
    "RUNNING_CHANGE_SHARE",
    "ReportedLoad",
    "SidecarReport",
    "SidecarState",
    "Standing",
    "WAIT_CHANGE_SECONDS",
    "is_silent",
    "needs_report",
    "standing_of",
]
