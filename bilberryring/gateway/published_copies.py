"""The published items of one process, and who is told when they change."""

from collections.abc import Callable, Iterable

from bilberryring.fleet import PublishedItem, Replica

OnChanged = Callable[[Replica, tuple[str, ...]], None]


class PublishedCopies:
    """One replica for each prefix."""

    def __init__(self, *, prefixes: tuple[str, ...]):
        self._replicas = {prefix: Replica() for prefix in prefixes}
        self._listeners: list[OnChanged] = []

    @property
    def revisions(self) -> tuple[tuple[str, int], ...]:
        """The revision of the latest change under each prefix."""
        return tuple(
            (prefix, replica.revision) for prefix, replica in self._replicas.items()
        )

    @property
    def prefixes(self) -> tuple[str, ...]:
        """The prefixes that are kept."""
        return tuple(self._replicas)

    def replica(self, prefix: str) -> Replica | None:
        """Return the replica of a prefix."""
        return self._replicas.get(prefix)

    def on_changed(self, listener: OnChanged) -> None:
        """Have a listener told of changed keys."""
        self._listeners.append(listener)

    def apply(self, prefix: str, items: Iterable[PublishedItem]) -> int:
        """Apply changes; return how many keys changed."""
        replica = self._replicas[prefix]
        return self._tell(replica, replica.apply(items))

    def replace(
        self, prefix: str, items: Iterable[PublishedItem], *, revision: int
    ) -> int:
        """Take a whole copy; return how many keys changed."""
        replica = self._replicas[prefix]
        return self._tell(replica, replica.replace(items, revision=revision))

    def take_copy(
        self, prefix: str, items: Iterable[PublishedItem], *, revision: int
    ) -> int:
        """Take a peer's items, whose latest change is `revision`."""
        replica = self._replicas[prefix]
        return self._tell(replica, replica.take_copy(items, revision=revision))

    def _tell(self, replica: Replica, changed: tuple[str, ...]) -> int:
        if changed:
            for listener in self._listeners:
                listener(replica, changed)
        return len(changed)
