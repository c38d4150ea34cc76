"""This process's copies of the published items, with notification of changes."""

from collections.abc import Callable, Iterable

from bilberryring.fleet import PublishedItem, Replica

ChangeListener = Callable[[Replica, tuple[str, ...]], None]


class PublishedCopies:
    """Holds a replica of the published items for each prefix."""

    def __init__(self, *, prefixes: tuple[str, ...]):
        self._replicas = {prefix: Replica() for prefix in prefixes}
        self._listeners: list[ChangeListener] = []

    @property
    def revisions(self) -> tuple[tuple[str, int], ...]:
        """Each prefix with the revision of the latest change under it."""
        return tuple(
            (prefix, replica.revision) for prefix, replica in self._replicas.items()
        )

    @property
    def prefixes(self) -> tuple[str, ...]:
        """The prefixes that have a replica."""
        return tuple(self._replicas)

    def replica(self, prefix: str) -> Replica | None:
        """Return the replica of a prefix, or `None` if there is none."""
        return self._replicas.get(prefix)

    def add_listener(self, listener: ChangeListener) -> None:
        """Call `listener` with the replica and the changed keys after each change."""
        self._listeners.append(listener)

    def apply(self, prefix: str, items: Iterable[PublishedItem]) -> int:
        """Apply single changes; return how many keys changed."""
        replica = self._replicas[prefix]
        return self._notify(replica, replica.apply(items))

    def replace(
        self, prefix: str, items: Iterable[PublishedItem], *, revision: int
    ) -> int:
        """Replace all items as of `revision`; return how many keys changed."""
        replica = self._replicas[prefix]
        return self._notify(replica, replica.replace(items, revision=revision))

    def take_copy(
        self, prefix: str, items: Iterable[PublishedItem], *, revision: int
    ) -> int:
        """Replace all items by those of a peer whose latest change is `revision`.

        Returns how many keys changed.
        """
        replica = self._replicas[prefix]
        return self._notify(replica, replica.take_copy(items, revision=revision))

    def take_changes(
        self, prefix: str, items: Iterable[PublishedItem], *, revision: int
    ) -> int:
        """Apply a peer's changes since the own revision, up to `revision`.

        Returns how many keys changed.
        """
        replica = self._replicas[prefix]
        return self._notify(replica, replica.take_changes(items, revision=revision))

    def _notify(self, replica: Replica, changed: tuple[str, ...]) -> int:
        if changed:
            for listener in self._listeners:
                listener(replica, changed)
        return len(changed)
