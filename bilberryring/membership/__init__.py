"""What an entry knows about endpoints, and how it treats them."""

from bilberryring.membership.evidence import (
    HEARTBEAT_SECONDS,
    REPORT_FRESH_SECONDS,
    EndpointEvidence,
    SidecarReport,
    SidecarState,
    Standing,
    standing_of,
)

__all__ = [
    "EndpointEvidence",
    "HEARTBEAT_SECONDS",
    "REPORT_FRESH_SECONDS",
    "SidecarReport",
    "SidecarState",
    "Standing",
    "standing_of",
]
