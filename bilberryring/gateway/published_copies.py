"""This process's copies of the published items, with notification of changes."""

from collections.abc import Callable, Iterable

from bilberryring.fleet import (
    LossRules,
    LostWrite,
    PublishedItem,
    Replica,
    ReplicaPosition,
    Revision,
)

YOUNG_SECONDS = 10.0
"""Seconds after its start in which a process may lack removals that an older copy of
the store undoes."""

ChangeListener = Callable[[Replica, tuple[str, ...]], None]
EraListener = Callable[[str, Replica], None]


class PublishedCopies:
    """Holds a replica of the published items for each prefix.

    Every update names the era of the store that it comes from. One of an earlier era
    changes nothing, and a later era begins with a full copy. `clock` is the reactor.
    """

    def __init__(
        self, *, prefixes: tuple[str, ...], clock, rules: LossRules | None = None
    ):
        self._clock = clock
        self._started_at = clock.seconds()
        self._replicas = {prefix: Replica(rules=rules) for prefix in prefixes}
        self._listeners: list[ChangeListener] = []
        self._era_listeners: list[EraListener] = []

    @property
    def positions(self) -> tuple[tuple[str, ReplicaPosition], ...]:
        """Each prefix with the position of its replica."""
        return tuple(
            (prefix, replica.position) for prefix, replica in self._replicas.items()
        )

    @property
    def prefixes(self) -> tuple[str, ...]:
        """The prefixes that have a replica."""
        return tuple(self._replicas)

    def now(self) -> float:
        """Return the time in seconds, as for what the replicas hold."""
        return self._clock.seconds()

    def replica(self, prefix: str) -> Replica | None:
        """Return the replica of a prefix, or `None` if there is none."""
        return self._replicas.get(prefix)

    def add_listener(self, listener: ChangeListener) -> None:
        """Call `listener` with the replica and the changed keys after each change."""
        self._listeners.append(listener)

    def add_era_listener(self, listener: EraListener) -> None:
        """Call `listener` with the prefix and the replica when a later era begins.

        It is called before the listeners of changes.
        """
        self._era_listeners.append(listener)

    def apply(self, prefix: str, items: Iterable[PublishedItem], *, era: int) -> int:
        """Apply single changes of the current era; return how many keys changed."""
        replica = self._replicas[prefix]
        if era != replica.era:
            return 0
        return self._notify(replica, replica.apply(items))

    def replace(
        self, prefix: str, items: Iterable[PublishedItem], *, revision: int, era: int
    ) -> int:
        """Replace all items as of `revision`; return how many keys changed."""
        replica = self._replicas[prefix]
        if era > replica.era:
            return self._begin_era(prefix, items, revision=revision, era=era)
        if era < replica.era:
            return 0
        return self._notify(replica, replica.replace(items, revision=revision))

    def take_copy(
        self, prefix: str, items: Iterable[PublishedItem], *, revision: int, era: int
    ) -> int:
        """Replace all items by those of a peer whose latest change is `revision`.

        Returns how many keys changed.
        """
        replica = self._replicas[prefix]
        if era > replica.era:
            return self._begin_era(
                prefix, items, revision=revision, era=era, latest=revision
            )
        if era < replica.era:
            return 0
        return self._notify(replica, replica.take_copy(items, revision=revision))

    def take_changes(
        self, prefix: str, items: Iterable[PublishedItem], *, revision: int, era: int
    ) -> int:
        """Apply a peer's changes since the own revision, up to `revision`.

        Returns how many keys changed.
        """
        replica = self._replicas[prefix]
        if era != replica.era:
            return 0
        return self._notify(replica, replica.take_changes(items, revision=revision))

    def add_lost_writes(
        self,
        prefix: str,
        writes: Iterable[LostWrite],
        *,
        era: int,
        latest_lost: Revision,
    ) -> int:
        """Take over the writes that the store has lost and a peer knows.

        Returns how many keys changed.
        """
        replica = self._replicas[prefix]
        if era != replica.era:
            return 0
        now = self.now()
        changed = replica.add_lost_writes(writes, latest_lost=latest_lost, now=now)
        return self._notify(replica, changed)

    def expire(self) -> tuple[str, ...]:
        """Forget lost writes that were not written again in time; return their keys."""
        now = self.now()
        keys: list[str] = []
        for replica in self._replicas.values():
            expired = replica.expire_lost_writes(now=now)
            self._notify(replica, expired)
            keys.extend(expired)
        return tuple(keys)

    def _begin_era(
        self,
        prefix: str,
        items: Iterable[PublishedItem],
        *,
        revision: int,
        era: int,
        latest: int = 0,
    ) -> int:
        replica = self._replicas[prefix]
        now = self.now()
        changed = replica.begin_era(
            items,
            revision=revision,
            era=era,
            now=now,
            latest=latest,
            is_young=now - self._started_at < YOUNG_SECONDS,
        )
        for listener in self._era_listeners:
            listener(prefix, replica)
        return self._notify(replica, changed)

    def _notify(self, replica: Replica, changed: tuple[str, ...]) -> int:
        if changed:
            for listener in self._listeners:
                listener(replica, changed)
        return len(changed)
