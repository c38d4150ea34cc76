"""The state of the other gateways as they reported it.

Only neighbours on the ring report their work; of all others a gateway knows no more
than that they exist. Nothing here does I/O or reads a clock; the current time is
passed in.
"""

import math
import random
from dataclasses import dataclass, field

from bilberryring.capacity import ReportedSpeed
from bilberryring.core import Fingerprint, PromptPartId
from bilberryring.fleet import MS_PER_SECOND, FailureDomain, ReplicaPosition
from bilberryring.gateway.store_readers import StoreAccess
from bilberryring.quarantine import PartStanding
from bilberryring.routing import NO_WORK, EndpointWork, hash_order, neighbours

PEER_TIMEOUT_SECONDS = 1.5
"""Seconds without a report after which a peer is not live and its work is ignored."""
PEER_EXPIRY_SECONDS = 300.0
"""Seconds without a sign of life after which a gateway is forgotten. Until then it
still counts as one of those that share the operators' limits, since it may only be
cut off: regions can lose each other for minutes."""
MAX_GATEWAYS = 2_048
"""Other gateways that are remembered; further ones count when others are forgotten."""
MAX_PEER_ENDPOINTS = 8_192
"""Endpoints of which one peer's work is remembered; twice those of a large fleet."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointDeath:
    """A crash of an endpoint; `death` is its id.

    `fingerprints` are those of the requests that were running there; with
    `were_suspects` they were suspects of an earlier crash when they were sent. `parts`
    are the shared parts of the first one's prompt, unless the endpoint had been writing
    its answer for a while. The crash happened `age_seconds` ago, and `sent_before`
    seconds after they were sent, which is infinite if they cannot have caused it.
    """

    death: str
    fingerprints: tuple[Fingerprint, ...]
    parts: tuple[PromptPartId, ...] = ()
    were_suspects: bool = field(default=False, compare=False)
    age_seconds: float = field(default=0.0, compare=False)
    sent_before: float = field(default=math.inf, compare=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """A gateway and the seconds since it was last heard by anyone."""

    host: str
    silent_seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerReport:
    """A gateway's report about itself.

    `sequence` grows with each report of one incarnation. `work` is what the gateway
    placed on each endpoint: on all of them if `is_complete`, otherwise on those where
    it changed since the last report. `positions` are those of its published items by
    prefix; without `knows_eras` it tells none. `members` are some of the gateways that
    it knows. `parts` is what it knows of parts of prompts under which endpoints
    crashed. `speeds` are its own estimates of endpoints that differ from others. A
    complete report states that it knows the crashes of the last `crash_memory_seconds`.
    """

    incarnation: str
    host: str
    sequence: int
    is_complete: bool = True
    failure_domain: FailureDomain = FailureDomain("")
    store_access: StoreAccess = StoreAccess.UNUSED
    knows_eras: bool = True
    positions: tuple[tuple[str, ReplicaPosition], ...] = ()
    work: tuple[tuple[str, EndpointWork], ...] = ()
    members: tuple[Member, ...] = ()
    deaths: tuple[EndpointDeath, ...] = ()
    parts: tuple[PartStanding, ...] = ()
    speeds: tuple[ReportedSpeed, ...] = ()
    crash_memory_seconds: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashNews:
    """Crashes and parts of prompts of which a gateway has just learned."""

    deaths: tuple[EndpointDeath, ...] = ()
    parts: tuple[PartStanding, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class _PlacedWork:
    """Work as of the time `at`; a sum holds until one of its peers can be silent."""

    work: EndpointWork
    at: float
    valid_until: float = math.inf


@dataclass(slots=True, kw_only=True)
class _Peer:
    incarnation: str
    sequence: int
    heard_at: float
    failure_domain: FailureDomain
    store_access: StoreAccess
    knows_eras: bool
    positions: dict[str, ReplicaPosition]
    endpoints: set[str] = field(default_factory=set)


class PeerView:
    """The peers of one gateway, by host; times are in seconds.

    The work on an endpoint is summed once after each change of it, so that a choice
    costs the same for any number of peers.

    >>> view = PeerView(own_host="10.0.0.1", seed_hosts=("10.0.0.2",))
    >>> view.hosts(now=0.0), view.entry_count(now=0.0)
    (('10.0.0.2',), 2)
    """

    def __init__(
        self,
        *,
        own_host: str,
        seed_hosts: tuple[str, ...],
        generator: random.Random | None = None,
    ):
        self._random = generator or random.Random()
        self._own_host = own_host
        self._seed_hosts = seed_hosts
        self._peers: dict[str, _Peer] = {}
        self._heard_at: dict[str, float] = {}
        self._work: dict[str, dict[str, _PlacedWork]] = {}
        self._sums: dict[str, _PlacedWork] = {}
        self._gateways: tuple[str, ...] | None = None
        self._outage_seen_at: float | None = None
        self._doubted_since: float | None = None
        self._copied_at: dict[str, float] = {}

    @property
    def own_host(self) -> str:
        """The host of this gateway."""
        return self._own_host

    @property
    def gateways(self) -> tuple[str, ...]:
        """The hosts that may run a gateway, this one included, in hash order.

        The same tuple is returned until a host is added or forgotten.
        """
        if self._gateways is None:
            self._gateways = hash_order(
                {self._own_host, *self._seed_hosts, *self._heard_at}
            )
        return self._gateways

    @property
    def outage_seen_at(self) -> float | None:
        """When a peer last reported failing reads while no live peer could read."""
        return self._outage_seen_at

    def set_seeds(self, seed_hosts: tuple[str, ...]) -> None:
        """Replace the hosts that are configured as possible peers."""
        self._seed_hosts = seed_hosts
        self._gateways = None

    def update(self, report: PeerReport, *, now: float) -> bool:
        """Store a report unless a later one of the same incarnation is known.

        Returns whether the report is the first one of a peer that was not live.
        """
        peer = self._peers.get(report.host)
        is_same = peer is not None and peer.incarnation == report.incarnation
        if is_same and report.sequence <= peer.sequence:
            return False
        if not self._may_know(report.host):
            return False
        is_new = peer is None or now - peer.heard_at > PEER_TIMEOUT_SECONDS
        if peer is not None and (report.is_complete or not is_same):
            self._remove_work(report.host, peer)
        self._peers[report.host] = _Peer(
            incarnation=report.incarnation,
            sequence=report.sequence,
            heard_at=now,
            failure_domain=report.failure_domain,
            store_access=report.store_access,
            knows_eras=report.knows_eras,
            positions=dict(report.positions),
            endpoints=peer.endpoints if peer is not None else set(),
        )
        self._store_work(report, now)
        self._hear(report.host, at=now, now=now)
        for member in report.members:
            self._hear(member.host, at=now - member.silent_seconds, now=now)
        self._note_outage(report, now)
        return is_new

    def expire(self, *, now: float) -> tuple[str, ...]:
        """Drop the work of silent peers and forget hosts; return the latter."""
        for host, peer in self._peers.items():
            if now - peer.heard_at > PEER_TIMEOUT_SECONDS:
                self._remove_work(host, peer)
        expired = tuple(
            host
            for host, at in self._heard_at.items()
            if now - at > PEER_EXPIRY_SECONDS
        )
        for host in expired:
            del self._heard_at[host]
            self._peers.pop(host, None)
            self._copied_at.pop(host, None)
            self._gateways = None
        return expired

    def live_hosts(self, *, now: float) -> tuple[str, ...]:
        """Return the hosts that sent a report within `PEER_TIMEOUT_SECONDS`."""
        return tuple(
            host
            for host, peer in self._peers.items()
            if now - peer.heard_at <= PEER_TIMEOUT_SECONDS
        )

    def hosts(self, *, now: float) -> tuple[str, ...]:
        """Return every other host that may run a gateway, in hash order."""
        return tuple(host for host in self.gateways if host != self._own_host)

    def entry_count(self, *, now: float) -> int:
        """Return how many gateways may share a limit, including this one."""
        return len(self.gateways)

    def neighbours(self, *, distance: int) -> tuple[str, ...]:
        """Return the other gateways within `distance` places on the ring."""
        return neighbours(self.gateways, gateway=self._own_host, distance=distance)

    def members(self, *, now: float, most: int) -> tuple[Member, ...]:
        """Return up to `most` hosts that were heard, drawn at random."""
        hosts = list(self._heard_at)
        if len(hosts) > most:
            hosts = self._random.sample(hosts, most)
        return tuple(
            Member(host=host, silent_seconds=max(0.0, now - self._heard_at[host]))
            for host in hosts
        )

    def record_copy(self, host: str, *, now: float) -> None:
        """Record that a peer answered a query: packets pass in both directions."""
        self._copied_at[host] = now

    def record_failed_copy(self, host: str, *, now: float) -> bool:
        """Record that a peer answered no query; return whether a doubt begins.

        The cause may be a link that carries only the packets of the peers. So no peer
        is relied on until a copy from it succeeds, however often it is heard.
        """
        if self._is_doubted(host):
            return False
        self._doubted_since = now
        return True

    def host_to_verify(self, *, now: float) -> str | None:
        """Return the host of a doubted live peer, preferably of one that reads.

        It is drawn at random. Returns `None` if no live peer is doubted.
        """
        doubted = [host for host in self.live_hosts(now=now) if self._is_doubted(host)]
        if not doubted:
            return None
        reading = [
            host
            for host in doubted
            if self._peers[host].store_access is StoreAccess.WORKING
        ]
        return self._random.choice(reading or doubted)

    def store_access(self, *, now: float) -> dict[str, StoreAccess]:
        """Return the access to the store of each live peer that is relied on, by host.

        Peers that know no eras are left out, as their copies may be of an earlier one,
        and so are those from which copies are in doubt.
        """
        return {
            host: access
            for host, access in self._reported_access(now).items()
            if self._peers[host].knows_eras and not self._is_doubted(host)
        }

    def work(self, endpoint: str, *, now: float) -> EndpointWork:
        """Return the work that all live peers together placed on an endpoint."""
        if endpoint not in self._work:
            return NO_WORK
        total = self._sums.get(endpoint)
        if total is None or now > total.valid_until:
            total = self._sums[endpoint] = self._sum(endpoint, now)
        return total.work.advanced_by((now - total.at) * MS_PER_SECOND)

    def host_ahead(
        self,
        prefix: str,
        *,
        position: ReplicaPosition,
        now: float,
        domain: FailureDomain = "",
    ) -> str | None:
        """Return the host of a live peer with later items under a prefix.

        Of those with the latest ones it is drawn at random, from the peers in the
        failure domain `domain` if there are any. Returns `None` if no live peer is
        ahead of `position`, apart from those from which copies are in doubt.
        """
        ahead = {
            host: known
            for host in self.live_hosts(now=now)
            if not self._is_doubted(host)
            and (known := self._peers[host].positions.get(prefix)) is not None
            and known.is_ahead_of(position)
        }
        if not ahead:
            return None
        latest = max((known.latest, known.latest_lost) for known in ahead.values())
        hosts = [
            host
            for host, known in ahead.items()
            if (known.latest, known.latest_lost) == latest
        ]
        near = [host for host in hosts if self._peers[host].failure_domain == domain]
        return self._random.choice(near or hosts)

    def position(self, host: str, prefix: str) -> ReplicaPosition | None:
        """Return how far a peer's replica of a prefix is, as it reported last."""
        peer = self._peers.get(host)
        return None if peer is None else peer.positions.get(prefix)

    def _is_doubted(self, host: str) -> bool:
        """Whether no copy from a peer has succeeded since one failed."""
        if self._doubted_since is None:
            return False
        return self._copied_at.get(host, -math.inf) <= self._doubted_since

    def _reported_access(self, now: float) -> dict[str, StoreAccess]:
        return {
            host: self._peers[host].store_access for host in self.live_hosts(now=now)
        }

    def _may_know(self, host: str) -> bool:
        return host in self._heard_at or len(self._heard_at) < MAX_GATEWAYS

    def _hear(self, host: str, *, at: float, now: float) -> None:
        if host == self._own_host or now - at > PEER_EXPIRY_SECONDS:
            return
        if not self._may_know(host):
            return
        if host not in self._heard_at:
            self._gateways = None
        self._heard_at[host] = max(at, self._heard_at.get(host, at))

    def _note_outage(self, report: PeerReport, now: float) -> None:
        if report.store_access is not StoreAccess.FAILING:
            return
        accesses = [
            access
            for host, access in self._reported_access(now).items()
            if self._peers[host].knows_eras
        ]
        if StoreAccess.WORKING not in accesses:
            self._outage_seen_at = now

    def _store_work(self, report: PeerReport, now: float) -> None:
        endpoints = self._peers[report.host].endpoints
        for endpoint, work in report.work:
            if endpoint not in endpoints and len(endpoints) >= MAX_PEER_ENDPOINTS:
                continue
            self._sums.pop(endpoint, None)
            placed = self._work.setdefault(endpoint, {})
            if work.requests or work.prefill_ms or work.kv_tokens:
                placed[report.host] = _PlacedWork(work=work, at=now)
                endpoints.add(endpoint)
            else:
                placed.pop(report.host, None)
                endpoints.discard(endpoint)
            if not placed:
                del self._work[endpoint]

    def _sum(self, endpoint: str, now: float) -> _PlacedWork:
        """Return the sum of what the live peers placed on an endpoint."""
        total, valid_until = NO_WORK, math.inf
        for host, placed in self._work[endpoint].items():
            silent_at = self._peers[host].heard_at + PEER_TIMEOUT_SECONDS
            if now <= silent_at:
                age_ms = (now - placed.at) * MS_PER_SECOND
                total = total + placed.work.advanced_by(age_ms)
                valid_until = min(valid_until, silent_at)
        return _PlacedWork(work=total, at=now, valid_until=valid_until)

    def _remove_work(self, host: str, peer: _Peer) -> None:
        for endpoint in peer.endpoints:
            self._sums.pop(endpoint, None)
            placed = self._work.get(endpoint, {})
            placed.pop(host, None)
            if not placed:
                self._work.pop(endpoint, None)
        peer.endpoints = set()
