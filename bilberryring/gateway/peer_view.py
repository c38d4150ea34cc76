"""The state of the other gateways as they reported it.

Nothing here does I/O or reads a clock; the current time is passed in.
"""

from dataclasses import dataclass, field

from bilberryring.core import Fingerprint
from bilberryring.fleet import MS_PER_SECOND
from bilberryring.routing import NO_WORK, EndpointWork

PEER_TIMEOUT_SECONDS = 1.5
"""Seconds without a report after which a peer is not live and its work is ignored."""
PEER_EXPIRY_SECONDS = 30.0
"""Seconds without a report after which a peer is forgotten. Until then it still counts
as one of the gateways that share the operators' limits."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointDeath:
    """A crash of an endpoint; `death` is its id.

    `fingerprints` are those of the requests that were running there.
    """

    death: str
    fingerprints: tuple[Fingerprint, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerReport:
    """A gateway's report about itself.

    `sequence` grows with each report of one incarnation. `known_hosts` are the live
    peers of the gateway, `revisions` the revision of its published items by prefix, and
    `work` what it placed on each endpoint.
    """

    process: str
    incarnation: str
    host: str
    sequence: int
    known_hosts: tuple[str, ...] = ()
    revisions: tuple[tuple[str, int], ...] = ()
    work: tuple[tuple[str, EndpointWork], ...] = ()
    deaths: tuple[EndpointDeath, ...] = ()


@dataclass(slots=True, kw_only=True)
class _Peer:
    report: PeerReport
    heard_at: float
    work: dict[str, EndpointWork] = field(default_factory=dict)


class PeerView:
    """The peers of one gateway, by host; times are in seconds.

    >>> view = PeerView(own_host="10.0.0.1", seed_hosts=("10.0.0.2",))
    >>> view.hosts(now=0.0), view.entry_count(now=0.0)
    (('10.0.0.2',), 2)
    """

    def __init__(self, *, own_host: str, seed_hosts: tuple[str, ...]):
        self._own_host = own_host
        self._seed_hosts = seed_hosts
        self._peers: dict[str, _Peer] = {}
        self._reported_hosts: dict[str, float] = {}

    def set_seeds(self, seed_hosts: tuple[str, ...]) -> None:
        """Replace the hosts that are configured as possible peers."""
        self._seed_hosts = seed_hosts

    def update(self, report: PeerReport, *, now: float) -> bool:
        """Store a report unless a later one of the same incarnation is known.

        Returns whether the report is the first one of a peer that was not live.
        """
        peer = self._peers.get(report.host)
        if peer is not None and _is_outdated(report, peer.report):
            return False
        is_new = peer is None or now - peer.heard_at > PEER_TIMEOUT_SECONDS
        self._peers[report.host] = _Peer(
            report=report, heard_at=now, work=dict(report.work)
        )
        for host in report.known_hosts:
            self._reported_hosts[host] = now
        return is_new

    def expire(self, *, now: float) -> tuple[str, ...]:
        """Forget peers silent for `PEER_EXPIRY_SECONDS`; return their hosts."""
        expired = tuple(
            host
            for host, peer in self._peers.items()
            if now - peer.heard_at > PEER_EXPIRY_SECONDS
        )
        for host in expired:
            del self._peers[host]
        self._reported_hosts = {
            host: at
            for host, at in self._reported_hosts.items()
            if now - at <= PEER_EXPIRY_SECONDS
        }
        return expired

    def live_hosts(self, *, now: float) -> tuple[str, ...]:
        """Return the hosts that sent a report within `PEER_TIMEOUT_SECONDS`."""
        return tuple(
            host
            for host, peer in self._peers.items()
            if now - peer.heard_at <= PEER_TIMEOUT_SECONDS
        )

    def hosts(self, *, now: float) -> tuple[str, ...]:
        """Return every host that may run a peer: seeds, known peers and their peers."""
        known = {*self._seed_hosts, *self._peers, *self._reported_hosts}
        return tuple(sorted(known - {self._own_host}))

    def entry_count(self, *, now: float) -> int:
        """Return how many gateways may share a limit, including this one."""
        return 1 + len(self.hosts(now=now))

    def work(self, endpoint: str, *, now: float) -> EndpointWork:
        """Return the work that all live peers together placed on an endpoint."""
        total = NO_WORK
        for peer in self._peers.values():
            if now - peer.heard_at <= PEER_TIMEOUT_SECONDS and endpoint in peer.work:
                age_ms = (now - peer.heard_at) * MS_PER_SECOND
                total = total + peer.work[endpoint].advanced_by(age_ms)
        return total

    def host_ahead(self, prefix: str, *, revision: int, now: float) -> str | None:
        """Return the host of the live peer with the latest items under a prefix.

        Returns `None` if no live peer has a revision higher than `revision`.
        """
        best_host, best_revision = None, revision
        for host in self.live_hosts(now=now):
            peer_revision = dict(self._peers[host].report.revisions).get(prefix, 0)
            if peer_revision > best_revision:
                best_host, best_revision = host, peer_revision
        return best_host


def _is_outdated(report: PeerReport, known: PeerReport) -> bool:
    is_same_incarnation = report.incarnation == known.incarnation
    return is_same_incarnation and report.sequence <= known.sequence
