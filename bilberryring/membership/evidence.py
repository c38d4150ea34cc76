"""What is known about an endpoint, from sources that may be late.

Evidence counts in the careful direction: leaving or out from any source counts
at once, while live needs a fresh word from the endpoint's own sidecar.

>>> evidence = EndpointEvidence(domain_out=False, listed_leaving=False,
...     report=SidecarReport(state=SidecarState.READY, received_at=10.0))
>>> standing_of(evidence, now=11.0).value
'live'
>>> standing_of(evidence, now=20.0).value
'silent'
"""

from dataclasses import dataclass
from enum import Enum

HEARTBEAT_SECONDS = 1.0
REPORT_MIN_SECONDS = 2.0
REPORT_MAX_SECONDS = 5.0
REPORT_FRESH_SECONDS = 3.0


class SidecarState(Enum):
    """What a sidecar says of its endpoint."""

    READY = "ready"
    COLD = "cold"
    LEAVING = "leaving"
    OUT = "out"
    ENGINE_LOST = "engine_lost"


class Standing(Enum):
    """How an entry treats an endpoint."""

    LIVE = "live"
    COLD = "cold"
    LEAVING = "leaving"
    OUT = "out"
    SILENT = "silent"

    @property
    def takes_new_work(self) -> bool:
        """Whether new work may be sent there."""
        return self in (Standing.LIVE, Standing.COLD)


@dataclass(frozen=True, slots=True, kw_only=True)
class SidecarReport:
    """The state in a sidecar's last heartbeat; `received_at` is in seconds."""

    state: SidecarState
    received_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointEvidence:
    """All evidence about one endpoint."""

    domain_out: bool
    listed_leaving: bool
    report: SidecarReport | None


def standing_of(evidence: EndpointEvidence, *, now: float) -> Standing:
    """Return how to treat an endpoint at the time `now`, in seconds."""
    report = evidence.report
    if evidence.domain_out:
        return Standing.OUT
    if evidence.listed_leaving:
        return Standing.LEAVING
    if report is None or now - report.received_at > REPORT_FRESH_SECONDS:
        return Standing.SILENT
    match report.state:
        case SidecarState.READY:
            return Standing.LIVE
        case SidecarState.COLD:
            return Standing.COLD
        case SidecarState.LEAVING:
            return Standing.LEAVING
        case SidecarState.OUT:
            return Standing.OUT
        case SidecarState.ENGINE_LOST:
            return Standing.SILENT
