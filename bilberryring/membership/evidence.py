"""How to treat an endpoint, by evidence from sources that may be late.

Of contradictory evidence the more cautious one applies. If any source says that an
endpoint is leaving or out, that takes effect immediately; an endpoint is live only
with a recent message from its own sidecar.

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
"""Seconds between two messages of a sidecar to an entry, reports or beats."""
REPORT_MIN_SECONDS = 2.0
"""Least seconds between two reports of which only the load differs."""
REPORT_MAX_SECONDS = 5.0
"""Seconds after which a report is sent although nothing has changed."""
REPORT_FRESH_SECONDS = 3.0
"""Seconds without a message after which a sidecar counts as silent."""


class SidecarState(Enum):
    """The state that a sidecar reports for its endpoint.

    `STARTING` is one that does not know its endpoint yet, as no set is in force.
    """

    STARTING = "starting"
    READY = "ready"
    COLD = "cold"
    LEAVING = "leaving"
    OUT = "out"
    ENGINE_LOST = "engine_lost"


class Standing(Enum):
    """How an entry treats an endpoint.

    `SILENT` is an endpoint without a recent message from its sidecar, or whose sidecar
    has lost the engine.
    """

    LIVE = "live"
    COLD = "cold"
    LEAVING = "leaving"
    OUT = "out"
    SILENT = "silent"

    @property
    def takes_new_work(self) -> bool:
        """Whether new requests may be sent there."""
        return self in (Standing.LIVE, Standing.COLD)


@dataclass(frozen=True, slots=True, kw_only=True)
class SidecarReport:
    """The state in a sidecar's last report.

    `received_at` is the time of its last message of any kind, in seconds.
    """

    state: SidecarState
    received_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointEvidence:
    """All evidence about one endpoint.

    `domain_out` says that its failure domain is out of service, `listed_leaving` that
    the published list has it as leaving. `report` is `None` before the first one.
    """

    domain_out: bool
    listed_leaving: bool
    report: SidecarReport | None


def standing_of(evidence: EndpointEvidence, *, now: float) -> Standing:
    """Return how to treat an endpoint at the time `now`, in seconds."""
    if evidence.domain_out:
        return Standing.OUT
    if evidence.listed_leaving:
        return Standing.LEAVING
    if is_silent(evidence.report, now=now):
        return Standing.SILENT
    match evidence.report.state:
        case SidecarState.READY:
            return Standing.LIVE
        case SidecarState.COLD:
            return Standing.COLD
        case SidecarState.LEAVING:
            return Standing.LEAVING
        case SidecarState.OUT | SidecarState.STARTING:
            return Standing.OUT


def is_silent(report: SidecarReport | None, *, now: float) -> bool:
    """Whether nothing is heard of an endpoint, which may be leaving or out as well.

    >>> is_silent(SidecarReport(state=SidecarState.LEAVING, received_at=10.0), now=20.0)
    True
    """
    if report is None or report.state is SidecarState.ENGINE_LOST:
        return True
    return now - report.received_at > REPORT_FRESH_SECONDS
