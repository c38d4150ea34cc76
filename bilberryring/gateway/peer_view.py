"""What the other entries said of themselves; pure, the clock is handed in."""

from dataclasses import dataclass, field

from bilberryring.core import Fingerprint
from bilberryring.fleet import MILLISECONDS
from bilberryring.routing import NO_WORK, EndpointWork

ALIVE_SECONDS = 1.5
"""Seconds of silence after which a peer's work no longer counts."""
REMEMBERED_SECONDS = 30.0
"""Seconds for which a silent peer still counts as one that shares bounds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointDeath:
    """An endpoint that ended, and the requests that ran there."""

    death: str
    fingerprints: tuple[Fingerprint, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerReport:
    """One entry's report of itself."""

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
    """The peers of one entry, by host; times are in seconds.

    >>> view = PeerView(own_host="10.0.0.1", seed_hosts=("10.0.0.2",))
    >>> view.hosts(now=0.0), view.entry_count(now=0.0)
    (('10.0.0.2',), 2)
    """

    def __init__(self, *, own_host: str, seed_hosts: tuple[str, ...]):
        self._own_host = own_host
        self._seed_hosts = seed_hosts
        self._peers: dict[str, _Peer] = {}
        self._told_hosts: dict[str, float] = {}

    def set_seeds(self, seed_hosts: tuple[str, ...]) -> None:
        """Replace the seeds."""
        self._seed_hosts = seed_hosts

    def take(self, report: PeerReport, *, now: float) -> bool:
        """Take a report unless it is older than the last one; whether it is news."""
        peer = self._peers.get(report.host)
        if peer is not None and _is_older(report, peer.report):
            return False
        is_new = peer is None or now - peer.heard_at > ALIVE_SECONDS
        self._peers[report.host] = _Peer(
            report=report, heard_at=now, work=dict(report.work)
        )
        for host in report.known_hosts:
            self._told_hosts[host] = now
        return is_new

    def expire(self, *, now: float) -> tuple[str, ...]:
        """Forget peers that were silent for long; return their hosts."""
        gone = tuple(
            host
            for host, peer in self._peers.items()
            if now - peer.heard_at > REMEMBERED_SECONDS
        )
        for host in gone:
            del self._peers[host]
        self._told_hosts = {
            host: at
            for host, at in self._told_hosts.items()
            if now - at <= REMEMBERED_SECONDS
        }
        return gone

    def live_hosts(self, *, now: float) -> tuple[str, ...]:
        """Return the hosts heard of lately."""
        return tuple(
            host
            for host, peer in self._peers.items()
            if now - peer.heard_at <= ALIVE_SECONDS
        )

    def hosts(self, *, now: float) -> tuple[str, ...]:
        """Return every host that may run a peer."""
        known = {*self._seed_hosts, *self._peers, *self._told_hosts}
        return tuple(sorted(known - {self._own_host}))

    def entry_count(self, *, now: float) -> int:
        """Return how many entries may share a bound, this one included."""
        return 1 + len(self.hosts(now=now))

    def work(self, endpoint: str, *, now: float) -> EndpointWork:
        """Return the work of all live peers on an endpoint."""
        total = NO_WORK
        for peer in self._peers.values():
            if now - peer.heard_at <= ALIVE_SECONDS and endpoint in peer.work:
                late = (now - peer.heard_at) * MILLISECONDS
                total = total + peer.work[endpoint].aged(late)
        return total

    def ahead(self, prefix: str, *, revision: int, now: float) -> str | None:
        """Return the host of a live peer with later published items."""
        best, best_revision = None, revision
        for host in self.live_hosts(now=now):
            theirs = dict(self._peers[host].report.revisions).get(prefix, 0)
            if theirs > best_revision:
                best, best_revision = host, theirs
        return best


def _is_older(report: PeerReport, known: PeerReport) -> bool:
    same_run = report.incarnation == known.incarnation
    return same_run and report.sequence <= known.sequence
